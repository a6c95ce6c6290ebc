package mixed

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// declaredSizes places tasks by their declared sizes and ignores interference.
type declaredSizes struct {
	noColocation bool       // batch tasks run only on workers without services
	random       *rand.Rand // if set, picks a random worker that fits instead of the best fit
}

func (b *declaredSizes) choose(d *driver, t *task) (int, bool) {
	need := b.taskReservation(d, t)
	best, least, fits := -1, 0.0, 0
	for i, m := range d.machines {
		if b.noColocation && len(m.replicas) > 0 {
			continue
		}
		free := d.free(m)
		if !need.Fits(free) {
			continue
		}
		fits++
		remaining := free.Sub(need).Dominant(d.scenario.Size.Capacity)
		if b.random != nil {
			remaining = b.random.Float64()
		}
		if best < 0 || remaining < least {
			best, least = i, remaining
		}
	}
	return best, best >= 0
}

func (b *declaredSizes) taskReservation(d *driver, t *task) resource.Vector {
	return d.batch[t.class].declared
}

func (b *declaredSizes) replicaReservation(d *driver, r *replica) resource.Vector {
	return d.services[r.service].declared
}

func (b *declaredSizes) taskStarted(*driver, *task)            {}
func (b *declaredSizes) taskEnded(*driver, *task, bool)        {}
func (b *declaredSizes) handleReport(*driver, provider.Report) {}
func (b *declaredSizes) protect(*driver, *machine)             {}

// threshold places tasks by best fit and throttles or evicts them when the
// latency of a service exceeds a fixed multiple of its latency without
// colocation at the present load.
type threshold struct {
	declaredSizes
	limit        float64
	evict        bool
	lastLatency  map[string]float64 // latest reported p99 in seconds, by replica
	lastActionAt map[string]time.Duration
}

func newThreshold(limit float64, evicts bool) *threshold {
	return &threshold{limit: limit, evict: evicts, lastLatency: map[string]float64{}, lastActionAt: map[string]time.Duration{}}
}

func (p *threshold) handleReport(d *driver, r provider.Report) {
	for _, u := range r.Usage {
		if u.Latency > 0 {
			p.lastLatency[u.Task] = u.Latency.Seconds()
		}
	}
}

// protect throttles or evicts the largest task of a machine while a service is
// over the limit, and raises a throttle while all are well below it. It acts at
// most once per report interval and lag.
func (p *threshold) protect(d *driver, m *machine) {
	if d.now-p.lastActionAt[m.name] < reportInterval+d.scenario.Lag || len(m.tasks) == 0 {
		return
	}
	over, under := false, true
	for _, r := range m.replicas {
		ratio := p.lastLatency[r.id] / d.unsharedTail(r.service)
		over = over || ratio > p.limit
		under = under && ratio < p.limit*releaseFactor
	}
	if over {
		p.lastActionAt[m.name] = d.now
		p.throttleOrEvict(d, m)
		return
	}
	if under && !p.evict {
		p.raiseThrottle(d, m)
	}
}

const (
	releaseFactor      = 0.9
	minThrottlePercent = 25
)

func (p *threshold) throttleOrEvict(d *driver, m *machine) {
	var largest *task
	for _, t := range m.tasks {
		if !p.evict && t.percent <= minThrottlePercent {
			continue
		}
		if largest == nil || p.taskReservation(d, t).Processors > p.taskReservation(d, largest).Processors {
			largest = t
		}
	}
	if largest == nil {
		return
	}
	if p.evict {
		d.evict(largest)
		return
	}
	d.setThrottle(largest, largest.percent/2)
}

func (p *threshold) raiseThrottle(d *driver, m *machine) {
	for _, t := range m.tasks {
		if t.percent < 100 {
			p.lastActionAt[m.name] = d.now
			d.setThrottle(t, min(2*t.percent, 100))
			return
		}
	}
}

// unsharedTail returns the p99 of a service without colocation at its present
// load. A real threshold policy doesn't know it, so the comparison favours the
// threshold.
func (d *driver) unsharedTail(service int) float64 {
	load := d.load(service)
	return d.services[service].base * (1 + load*load) * p99OverMedian
}
