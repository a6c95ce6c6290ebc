package mixed

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// blind goes by declared sizes and knows nothing of interference.
type blind struct {
	split  bool       // batch only where no service runs
	random *rand.Rand // picks any worker that fits, else the best fit
}

func (b *blind) choose(d *driver, t *task) (int, bool) {
	need := b.need(d, t)
	best, least, fits := -1, 0.0, 0
	for i, m := range d.machines {
		if b.split && len(m.replicas) > 0 {
			continue
		}
		free := d.free(m)
		if !need.Fits(free) {
			continue
		}
		fits++
		rest := free.Sub(need).Dominant(d.scenario.Size.Capacity)
		if b.random != nil {
			rest = b.random.Float64()
		}
		if best < 0 || rest < least {
			best, least = i, rest
		}
	}
	return best, best >= 0
}

func (b *blind) need(d *driver, t *task) resource.Vector {
	return d.batch[t.class].declared
}

func (b *blind) reserve(d *driver, r *replica) resource.Vector {
	return d.services[r.service].declare
}

func (b *blind) started(*driver, *task)          {}
func (b *blind) ended(*driver, *task, bool)      {}
func (b *blind) report(*driver, provider.Report) {}
func (b *blind) protect(*driver, *machine)       {}

// threshold is best fit with a fixed limit on each service's latency. The
// limit is a multiple of what the service takes alone under its full load.
type threshold struct {
	blind
	limit  float64
	evicts bool
	last   map[string]float64 // newest latency over the one alone, by replica
	acted  map[string]time.Duration
}

func newThreshold(limit float64, evicts bool) *threshold {
	return &threshold{limit: limit, evicts: evicts, last: map[string]float64{}, acted: map[string]time.Duration{}}
}

func (p *threshold) report(d *driver, r provider.Report) {
	for _, u := range r.Usage {
		if u.Latency > 0 {
			p.last[u.Task] = u.Latency.Seconds()
		}
	}
}

// protect acts on the largest task, at most once for each report interval
// and lag.
func (p *threshold) protect(d *driver, m *machine) {
	if d.now-p.acted[m.name] < reportEvery+d.scenario.Lag || len(m.tasks) == 0 {
		return
	}
	over, under := false, true
	for _, r := range m.replicas {
		ratio := p.last[r.id] / d.alone(r.service)
		over = over || ratio > p.limit
		under = under && ratio < p.limit*thresholdRelease
	}
	if over {
		p.acted[m.name] = d.now
		p.restrain(d, m)
		return
	}
	if under && !p.evicts {
		p.raise(d, m)
	}
}

const (
	thresholdRelease = 0.9
	thresholdFloor   = 25
)

func (p *threshold) restrain(d *driver, m *machine) {
	var largest *task
	for _, t := range m.tasks {
		if !p.evicts && t.percent <= thresholdFloor {
			continue
		}
		if largest == nil || p.need(d, t).Processors > p.need(d, largest).Processors {
			largest = t
		}
	}
	if largest == nil {
		return
	}
	if p.evicts {
		d.evict(largest)
		return
	}
	d.setThrottle(largest, largest.percent/2)
}

func (p *threshold) raise(d *driver, m *machine) {
	for _, t := range m.tasks {
		if t.percent < 100 {
			p.acted[m.name] = d.now
			d.setThrottle(t, min(2*t.percent, 100))
			return
		}
	}
}

// alone returns the p99 of a service by itself at its load now. It is more
// than a real threshold would know, and in the threshold's favour.
func (d *driver) alone(service int) float64 {
	load := d.load(service)
	return d.services[service].base * (1 + load*load) * tailOfMedian
}
