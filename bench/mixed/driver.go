package mixed

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	roundInterval = 5 * time.Second
	lowestNanos   = 10_000
	highestNanos  = 100_000_000_000
	digits        = 3
	tail          = 99
)

// Result holds the figures of one run after the warm-up.
type Result struct {
	Tails     []float64 // p99 of each service in seconds
	Work      float64   // batch core hours per hour, without the wasted ones
	Arrived   float64   // batch core hours submitted per hour
	Evictions int
	Killed    int     // tasks killed because their worker ran out of memory
	Wasted    float64 // batch core hours lost to evictions and kills, per hour
	Throttles int
	Moves     int // requested; the simulation moves no service
}

// task is a batch task, queued or running.
type task struct {
	id       string
	class    int
	worker   int
	percent  int
	progress float64
	saved    float64
	resumed  float64 // progress at its latest start
	started  time.Duration
	savedAt  time.Duration
}

// driver runs a simulation under a policy and carries out its decisions.
type driver struct {
	*fake
	policy    policy
	queue     []*task
	byID      map[string]*task
	serviceOf map[string]int // service by replica
	tails     []*hdrhistogram.Histogram
	result    Result
}

// policy decides where tasks run, and throttles or evicts running ones.
type policy interface {
	// choose returns the index of the machine for a task, if one fits.
	choose(d *driver, t *task) (int, bool)
	// taskReservation returns the resources to reserve for a task.
	taskReservation(d *driver, t *task) resource.Vector
	// replicaReservation returns the resources to reserve for a replica.
	replicaReservation(d *driver, r *replica) resource.Vector
	taskStarted(d *driver, t *task)
	taskEnded(d *driver, t *task, done bool)
	handleReport(d *driver, r provider.Report)
	// protect limits interference on a machine. It is called for each machine
	// in each round.
	protect(d *driver, m *machine)
}

func newDriver(s Scenario, p policy, noColocation bool) *driver {
	d := &driver{fake: newFake(s), policy: p, byID: map[string]*task{}, serviceOf: map[string]int{}}
	d.recordLatency = d.record
	for range d.services {
		d.tails = append(d.tails, hdrhistogram.New(lowestNanos, highestNanos, digits))
	}
	for i := range s.Size.Workers {
		index := i
		if noColocation {
			index = i / 2
		}
		m := d.machines[index]
		r := &replica{id: "r" + strconv.Itoa(i), service: i % len(d.services)}
		m.replicas = append(m.replicas, r)
		d.serviceOf[r.id] = r.service
	}
	return d
}

func (d *driver) record(service int, seconds float64, weight int64) {
	if d.now <= d.scenario.Warmup {
		return
	}
	_ = d.tails[service].RecordValues(int64(seconds*1e9), weight) // only a defect gives a value out of range, and then the p99 shows it
}

// run simulates the scenario and returns the figures after the warm-up.
func (d *driver) run() Result {
	arrivals := rand.New(rand.NewPCG(d.scenario.Seed, 2))
	for d.now < d.scenario.Duration {
		if d.now == d.scenario.Warmup {
			d.work, d.wasted, d.result = 0, 0, Result{}
		}
		d.advance()
		for _, t := range d.newArrivals(arrivals) {
			d.queue = append(d.queue, t)
			b := &d.batch[t.class]
			d.result.Arrived += b.work * coresOf(b.actual)
		}
		d.handleEndedTasks()
		for _, r := range d.takeDueReports() {
			d.policy.handleReport(d, r)
		}
		if d.now%roundInterval == 0 {
			d.round()
		}
	}
	return d.summary()
}

func (d *driver) summary() Result {
	hours := (d.scenario.Duration - d.scenario.Warmup).Hours()
	scale := 3600 * hours
	r := d.result
	r.Work = (d.work - d.wasted) / scale
	r.Wasted = d.wasted / scale
	r.Arrived /= scale
	for _, h := range d.tails {
		r.Tails = append(r.Tails, float64(h.ValueAtPercentile(tail))/1e9)
	}
	return r
}

// handleEndedTasks reports finished tasks to the policy and requeues the killed
// ones.
func (d *driver) handleEndedTasks() {
	for _, t := range d.finished {
		delete(d.byID, t.id)
		d.policy.taskEnded(d, t, true)
	}
	for _, t := range d.killed {
		d.result.Killed++
		d.requeue(t)
	}
	d.finished, d.killed = d.finished[:0], d.killed[:0]
}

func (d *driver) requeue(t *task) {
	delete(d.byID, t.id)
	d.queue = append([]*task{t}, d.queue...)
	d.policy.taskEnded(d, t, false)
}

// round protects services, then starts the queued tasks that fit, in the order
// of arrival. Once a task of a class doesn't fit, the rest of the class waits
// for the next round.
func (d *driver) round() {
	for _, m := range d.machines {
		d.policy.protect(d, m)
	}
	full := make([]bool, len(d.batch))
	d.queue = slices.DeleteFunc(d.queue, func(t *task) bool {
		if full[t.class] {
			return false
		}
		index, ok := d.policy.choose(d, t)
		if !ok {
			full[t.class] = true
			return false
		}
		d.start(index, t)
		d.byID[t.id] = t
		d.policy.taskStarted(d, t)
		return true
	})
}

func (d *driver) evict(t *task) {
	d.result.Evictions++
	d.stop(t)
	d.requeue(t)
}

func (d *driver) setThrottle(t *task, percent int) {
	d.result.Throttles++
	t.percent = percent
}

// free returns the unreserved resources of a machine.
func (d *driver) free(m *machine) resource.Vector {
	free := d.scenario.Size.Capacity
	for _, r := range m.replicas {
		free = free.Sub(d.policy.replicaReservation(d, r))
	}
	for _, t := range m.tasks {
		free = free.Sub(d.policy.taskReservation(d, t))
	}
	return free
}

func (d *driver) clock() time.Time { return epoch.Add(d.now) }
