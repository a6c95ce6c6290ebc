package mixed

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	step             = time.Second
	reportInterval   = 5 * time.Second
	lostReportShare  = 0.01 // share of reports that never arrive
	outlierShare     = 0.01 // share of reported latencies multiplied by outlierFactor
	outlierFactor    = 6.0
	latencySigma     = 0.5 // standard deviation of the logarithm of a request's latency
	p99OverMedian    = 3.2 // ratio of p99 to median at latencySigma
	restartCost      = 20  // seconds of work that a resumed task repeats
	redrawnPairShare = 0.25
	batchCoupling    = 0.1 // per noisy batch task and again on their sum: each slows batch tasks by 1 %
	serviceShare     = 0.5 // share of a worker's processors that a replica declares
	serviceMemory    = 0.25
	samplesPerStep   = 8
	serviceClasses   = 6
	batchClasses     = 12
)

// serviceClass is a service. Its load oscillates around a level that changes
// once, at half of the run.
type serviceClass struct {
	name     string
	base     float64 // seconds, median of an unloaded replica
	rate     float64 // requests per second of a replica at full load
	level    [2]float64
	swing    float64
	phase    float64
	declared resource.Vector
}

// batchClass describes the tasks of a job.
type batchClass struct {
	name               string // group and job
	group              string
	job                string
	actual             resource.Vector
	declared           resource.Vector
	work               float64 // seconds at full speed
	declaredDuration   time.Duration
	checkpointInterval float64 // seconds of work between checkpoints
	noisy              bool
}

// replica is a replica of a service on a worker.
type replica struct {
	id      string
	service int
	latency float64 // sum of p99 over the steps since the last report
	steps   int
}

// machine is one worker.
type machine struct {
	name     string
	index    int
	replicas []*replica
	tasks    []*task
}

// fake simulates the workers: it runs tasks and services, slows services down
// by a hidden table of pairs and reports usage with a lag.
type fake struct {
	scenario      Scenario
	random        *rand.Rand
	now           time.Duration
	services      []serviceClass
	batch         []batchClass
	pairs         [2][][]float64 // slowdown by phase, service and batch class
	machines      []*machine
	reports       []lateReport
	normals       []float64
	nextNormal    int
	finished      []*task
	killed        []*task
	nextTask      int
	recordLatency func(service int, seconds float64, weight int64)
	work          float64 // core seconds of progress
	wasted        float64 // core seconds of lost progress
}

type lateReport struct {
	due time.Duration
	provider.Report
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFake(s Scenario) *fake {
	f := &fake{scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1))}
	f.makeServices()
	f.makeBatch()
	f.makePairs()
	for i := range s.Size.Workers {
		f.machines = append(f.machines, &machine{name: "w" + strconv.Itoa(i), index: i})
	}
	for range 4096 {
		f.normals = append(f.normals, f.random.NormFloat64())
	}
	return f
}

func (f *fake) between(low, high float64) float64 {
	return low + (high-low)*f.random.Float64()
}

func (f *fake) makeServices() {
	for i := range serviceClasses {
		f.services = append(f.services, serviceClass{
			name:     "service" + strconv.Itoa(i),
			base:     f.between(0.005, 0.03),
			rate:     f.between(40, 200),
			level:    [2]float64{f.between(0.35, 0.65), f.between(0.35, 0.65)},
			swing:    f.between(0.05, 0.15),
			phase:    f.between(0, 2*math.Pi),
			declared: f.capacityShare(serviceShare, serviceMemory),
		})
	}
}

// capacityShare returns shares of a worker's processors and memory.
func (f *fake) capacityShare(processors, memory float64) resource.Vector {
	c := f.scenario.Size.Capacity
	return resource.Vector{
		Processors: int64(processors * float64(c.Processors)),
		Memory:     int64(memory * float64(c.Memory)),
	}
}

func (f *fake) makeBatch() {
	shares := []float64{1. / 32, 1. / 32, 1. / 16, 1. / 16, 1. / 8, 1. / 4}
	for i := range batchClasses {
		share := shares[i%len(shares)]
		b := batchClass{
			group:              "group" + strconv.Itoa(i%3),
			job:                "job" + strconv.Itoa(i),
			actual:             f.capacityShare(share, share*f.between(0.4, 0.9)),
			work:               f.between(120, 900),
			checkpointInterval: f.between(60, 240),
			noisy:              i%3 == 0,
		}
		b.name = b.group + "/" + b.job
		b.declared = resource.Vector{
			Processors: int64(float64(b.actual.Processors) * f.declarationError()),
			Memory:     int64(float64(b.actual.Memory) * f.declarationError()),
		}
		b.declaredDuration = time.Duration(b.work * f.declarationError() * float64(time.Second))
		f.batch = append(f.batch, b)
	}
}

// declarationError draws the ratio of a declared figure to the actual one.
func (f *fake) declarationError() float64 {
	limit := math.Log(f.scenario.DeclarationError)
	return math.Exp(f.between(-limit, limit))
}

// makePairs draws the slowdown of each service by each batch class, and redraws
// some of them for the second half of the run.
func (f *fake) makePairs() {
	for range f.services {
		first := make([]float64, len(f.batch))
		second := make([]float64, len(f.batch))
		for c := range f.batch {
			first[c] = f.drawPairSlowdown(c)
			second[c] = first[c]
			if f.random.Float64() < redrawnPairShare {
				second[c] = f.drawPairSlowdown(c)
			}
		}
		f.pairs[0] = append(f.pairs[0], first)
		f.pairs[1] = append(f.pairs[1], second)
	}
}

func (f *fake) drawPairSlowdown(class int) float64 {
	if f.random.Float64() < 0.5 {
		return 0
	}
	if f.batch[class].noisy {
		return f.between(0.15, 0.5)
	}
	if class%3 == 1 {
		return f.between(0.02, 0.1)
	}
	return f.between(0, 0.01)
}

func (f *fake) phase() int {
	if f.now < f.scenario.Duration/2 {
		return 0
	}
	return 1
}

// load returns a service's load from 0 to 1.
func (f *fake) load(service int) float64 {
	s := &f.services[service]
	turn := 2 * math.Pi * f.now.Minutes() / 30
	return s.level[f.phase()] + s.swing*math.Sin(turn+s.phase)
}

// slowdown returns the actual factor on a service's latency when it runs beside
// the given tasks.
func (f *fake) slowdown(service int, tasks []*task) float64 {
	sum := 0.0
	for _, t := range tasks {
		sum += f.pairs[f.phase()][service][t.class] * float64(t.percent) / 100
	}
	return 1 + sum*(0.5+f.load(service))
}

// used returns the processors and memory in use on a machine.
func (f *fake) used(m *machine) resource.Vector {
	var sum resource.Vector
	for _, r := range m.replicas {
		sum = sum.Add(f.serviceUse(r.service))
	}
	for _, t := range m.tasks {
		a := f.batch[t.class].actual
		a.Processors = a.Processors * int64(t.percent) / 100
		sum = sum.Add(a)
	}
	return sum
}

func (f *fake) serviceUse(service int) resource.Vector {
	d := f.services[service].declared
	return resource.Vector{
		Processors: int64(f.load(service) * float64(d.Processors)),
		Memory:     d.Memory * 9 / 10,
	}
}

// advance simulates one step of virtual time.
func (f *fake) advance() {
	f.now += step
	for _, m := range f.machines {
		f.runMachine(m)
		if f.now%reportInterval == 0 {
			f.report(m)
		}
	}
}

func (f *fake) runMachine(m *machine) {
	capacity := f.scenario.Size.Capacity
	used := f.used(m)
	for used.Memory > capacity.Memory && len(m.tasks) > 0 {
		last := m.tasks[len(m.tasks)-1]
		f.stop(last)
		f.killed = append(f.killed, last)
		used = f.used(m)
	}
	contention := max(1, float64(used.Processors)/float64(capacity.Processors))
	for _, r := range m.replicas {
		f.serveReplica(m, r, contention)
	}
	noisyLoad := 0.0
	for _, t := range m.tasks {
		if f.batch[t.class].noisy {
			noisyLoad += batchCoupling * float64(t.percent) / 100
		}
	}
	for _, t := range slices.Clone(m.tasks) {
		f.runTask(t, contention*(1+batchCoupling*noisyLoad))
	}
}

func (f *fake) serveReplica(m *machine, r *replica, contention float64) {
	s := &f.services[r.service]
	load := f.load(r.service)
	median := s.base * (1 + load*load) * f.slowdown(r.service, m.tasks) * contention * contention
	r.latency += median * p99OverMedian
	r.steps++
	weight := int64(load*s.rate)/samplesPerStep + 1
	for range samplesPerStep {
		f.nextNormal = (f.nextNormal + 1) % len(f.normals)
		f.recordLatency(r.service, median*math.Exp(latencySigma*f.normals[f.nextNormal]), weight)
	}
}

func (f *fake) runTask(t *task, slowdown float64) {
	b := &f.batch[t.class]
	speed := float64(t.percent) / 100 / slowdown
	t.progress += speed * step.Seconds()
	f.work += speed * step.Seconds() * coresOf(b.actual)
	if t.progress-t.saved >= b.checkpointInterval {
		t.saved, t.savedAt = t.progress, f.now
	}
	if t.progress >= b.work {
		f.finished = append(f.finished, t)
		f.detach(t)
	}
}

func coresOf(v resource.Vector) float64 { return float64(v.Processors) / 1000 }

// start begins a task on a worker.
func (f *fake) start(worker int, t *task) {
	t.worker, t.percent = worker, 100
	t.started, t.savedAt, t.resumed = f.now, f.now, t.progress
	m := f.machines[worker]
	m.tasks = append(m.tasks, t)
}

// stop ends a task and returns its progress to the last checkpoint.
func (f *fake) stop(t *task) {
	f.detach(t)
	lost := t.progress - max(t.saved-restartCost, 0)
	f.wasted += lost * coresOf(f.batch[t.class].actual)
	t.progress -= lost
	t.saved = t.progress
}

func (f *fake) detach(t *task) {
	m := f.machines[t.worker]
	m.tasks = slices.DeleteFunc(m.tasks, func(o *task) bool { return o == t })
}

// report queues a machine's usage report for delivery after the lag.
func (f *fake) report(m *machine) {
	r := provider.Report{Worker: m.name}
	at := epoch.Add(f.now)
	for _, p := range m.replicas {
		seconds := p.latency / float64(max(p.steps, 1)) * math.Exp(f.scenario.Noise*f.random.NormFloat64())
		if f.random.Float64() < outlierShare {
			seconds *= outlierFactor
		}
		p.latency, p.steps = 0, 0
		s := &f.services[p.service]
		r.Usage = append(r.Usage, provider.Usage{
			Task: p.id, MeasuredAt: at, Interval: reportInterval, Used: f.serviceUse(p.service),
			Latency:  time.Duration(seconds * float64(time.Second)),
			Requests: int(f.load(p.service) * s.rate * reportInterval.Seconds()),
		})
	}
	for _, t := range m.tasks {
		used := f.batch[t.class].actual
		noise := math.Exp(f.scenario.Noise * f.random.NormFloat64())
		used.Processors = int64(float64(used.Processors) * noise * float64(t.percent) / 100)
		r.Usage = append(r.Usage, provider.Usage{
			Task: t.id, Group: f.batch[t.class].group, MeasuredAt: at, Interval: reportInterval, Used: used,
		})
	}
	lag := time.Duration(float64(f.scenario.Lag) * f.between(0.8, 1.2))
	if f.random.Float64() >= lostReportShare && !f.scenario.isSilent(f.now, m) {
		f.reports = append(f.reports, lateReport{f.now + lag, r})
	}
}

// takeDueReports removes and returns the reports that are due.
func (f *fake) takeDueReports() []provider.Report {
	var due []provider.Report
	f.reports = slices.DeleteFunc(f.reports, func(r lateReport) bool {
		if r.due > f.now {
			return false
		}
		due = append(due, r.Report)
		return true
	})
	return due
}

// newArrivals returns the tasks that arrive in this step. For the same seed, the
// arrivals are the same under every policy.
func (f *fake) newArrivals(arrivals *rand.Rand) []*task {
	var list []*task
	wave := f.scenario.arrivalFactor(f.now)
	demand := f.scenario.Demand * coresOf(f.scenario.Size.Capacity) * float64(f.scenario.Size.Workers)
	for c := range f.batch {
		b := &f.batch[c]
		rate := demand / float64(len(f.batch)) / (b.work * coresOf(b.actual))
		if b.noisy {
			rate *= wave
		}
		for n := rate; n > 0; n-- {
			if arrivals.Float64() < n {
				f.nextTask++
				list = append(list, &task{id: "t" + strconv.Itoa(f.nextTask), class: c})
			}
		}
	}
	return list
}
