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
	roundEvery   = 5 * time.Second
	lowestNanos  = 10_000
	highestNanos = 100_000_000_000
	digits       = 3
	tail         = 99
)

// Result is what one run gave.
type Result struct {
	Tails     []float64 // p99 of each service in seconds
	Work      float64   // batch core hours that count, in an hour
	Arrived   float64   // batch core hours that arrived, in an hour
	Evictions int
	Killed    int     // tasks that ran out of memory
	Wasted    float64 // batch core hours thrown away, in an hour
	Throttles int
	Moves     int // asked for; the fake moves no service
}

// task is a batch task, queued or running.
type task struct {
	id       string
	class    int
	worker   int
	percent  int
	progress float64
	saved    float64
	resumed  float64 // progress that it started with
	started  time.Duration
	savedAt  time.Duration
}

// driver feeds one policy from one fake and carries out what it decides.
type driver struct {
	*fake
	policy policy
	queue  []*task
	byID   map[string]*task
	homes  map[string]int // service by replica
	tails  []*hdrhistogram.Histogram
	result Result
}

// policy decides where tasks run and what happens to them there.
type policy interface {
	// choose returns the machine for a task.
	choose(d *driver, t *task) (int, bool)
	// need returns what to set aside for a class of tasks.
	need(d *driver, t *task) resource.Vector
	// reserve returns what to set aside for a replica.
	reserve(d *driver, r *replica) resource.Vector
	started(d *driver, t *task)
	ended(d *driver, t *task, done bool)
	report(d *driver, r provider.Report)
	// protect is called for each machine in each round.
	protect(d *driver, m *machine)
}

func newDriver(s Scenario, p policy, split bool) *driver {
	d := &driver{fake: newFake(s), policy: p, byID: map[string]*task{}, homes: map[string]int{}}
	d.latencies = d.record
	for range d.services {
		d.tails = append(d.tails, hdrhistogram.New(lowestNanos, highestNanos, digits))
	}
	for i := range s.Size.Workers {
		at := i
		if split {
			at = i / 2
		}
		m := d.machines[at]
		r := &replica{id: "r" + strconv.Itoa(i), service: i % len(d.services)}
		m.replicas = append(m.replicas, r)
		d.homes[r.id] = r.service
	}
	return d
}

func (d *driver) record(service int, seconds float64, weight int64) {
	if d.now <= d.scenario.Warmup {
		return
	}
	_ = d.tails[service].RecordValues(int64(seconds*1e9), weight) // beyond the range only by a defect, and then p99 shows it
}

// run plays the scenario and returns the figures after the warm-up.
func (d *driver) run() Result {
	arrivals := rand.New(rand.NewPCG(d.scenario.Seed, 2))
	for d.now < d.scenario.Duration {
		if d.now == d.scenario.Warmup {
			d.work, d.wasted, d.result = 0, 0, Result{}
		}
		d.advance()
		for _, t := range d.submit(arrivals) {
			d.queue = append(d.queue, t)
			b := &d.batch[t.class]
			d.result.Arrived += b.work * cores(b.actual)
		}
		d.settle()
		for _, r := range d.arrived() {
			d.policy.report(d, r)
		}
		if d.now%roundEvery == 0 {
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

// settle takes note of tasks that ended by themselves.
func (d *driver) settle() {
	for _, t := range d.finished {
		delete(d.byID, t.id)
		d.policy.ended(d, t, true)
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
	d.policy.ended(d, t, false)
}

// round protects services, then starts what can be placed, in the order of
// arrival. A class that finds no place isn't tried again in the round.
func (d *driver) round() {
	for _, m := range d.machines {
		d.policy.protect(d, m)
	}
	full := make([]bool, len(d.batch))
	d.queue = slices.DeleteFunc(d.queue, func(t *task) bool {
		if full[t.class] {
			return false
		}
		at, ok := d.policy.choose(d, t)
		if !ok {
			full[t.class] = true
			return false
		}
		d.start(at, t)
		d.byID[t.id] = t
		d.policy.started(d, t)
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

// free returns what is not set aside on a machine.
func (d *driver) free(m *machine) resource.Vector {
	rest := d.scenario.Size.Capacity
	for _, r := range m.replicas {
		rest = rest.Sub(d.policy.reserve(d, r))
	}
	for _, t := range m.tasks {
		rest = rest.Sub(d.policy.need(d, t))
	}
	return rest
}

func (d *driver) at() time.Time { return epoch.Add(d.now) }
