package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// activity is how long a group counts among the competitors after its last
// request.
const activity = time.Second

// group is what the services of one group hold together.
type group struct {
	name     string
	weight   float64
	bound    int // slots it may hold; not positive says no bound of its own
	services []*service
	inFlight int
	touched  time.Time // last request
}

// include adds s, and takes the largest weight and bound of the services.
func (gr *group) include(s *service) {
	gr.services = append(gr.services, s)
	gr.weight = max(gr.weight, s.Weight)
	gr.bound = max(gr.bound, s.Slots)
}

func (gr *group) atBound() bool {
	return gr.bound > 0 && gr.inFlight >= gr.bound
}

func (gr *group) queued() int {
	n := 0
	for _, s := range gr.services {
		n += len(s.queue)
	}
	return n
}

func (gr *group) active(now time.Time) bool {
	return gr.inFlight > 0 || !gr.touched.IsZero() && now.Sub(gr.touched) < activity || gr.queued() > 0
}

// demand returns how many slots the group could use.
func (gr *group) demand() int {
	n := gr.inFlight + gr.queued() + 1
	if gr.bound > 0 {
		n = min(n, gr.bound)
	}
	return n
}

// load returns the slots held for each unit of weight.
func (gr *group) load() float64 {
	return float64(gr.inFlight) / gr.unit()
}

// smallestWeight stands in for a weight that isn't positive.
const smallestWeight = 1e-6

func (gr *group) unit() float64 {
	return max(gr.weight, smallestWeight)
}

// mayGo reports whether a request of s may start now.
func (g *Gate) mayGo(now time.Time, s *service) bool {
	if g.inFlight >= g.slots || s.inFlight >= s.bound() || s.group.atBound() {
		return false
	}
	return g.slots-g.inFlight > g.headroom(now, s.group)
}

// headroom returns how many slots must stay free after gr took one.
//
// What goes wrong: one group floods the instance and holds every slot; a
// request of another group waits until one of them ends, however small its
// own load is. One would see the quiet group's tail rise with the busy
// group's load. A group above its share leaves a few slots to the others.
func (g *Gate) headroom(now time.Time, gr *group) int {
	if g.config.headroom == 0 {
		return 0
	}
	total := 0.0
	others := false
	for _, o := range g.order {
		if o != gr && !o.active(now) {
			continue
		}
		total += o.unit()
		others = others || o != gr
	}
	if !others || float64(gr.inFlight) < float64(g.slots)*gr.unit()/total {
		return 0
	}
	return int(g.config.headroom*float64(g.slots) + 0.5)
}

// next returns the service whose head goes next, or nil.
func (g *Gate) next(now time.Time) *service {
	if len(g.waiting) == 0 || g.inFlight >= g.slots {
		return nil
	}
	var best *service
	for _, gr := range g.order {
		s := g.ready(now, gr)
		if s == nil {
			continue
		}
		if best == nil || s.group.load() < best.group.load() {
			best = s
		}
	}
	return best
}

// ready returns the service of gr that waits longest of those that may go.
// A service at its own limit doesn't block the others of its group.
func (g *Gate) ready(now time.Time, gr *group) *service {
	var oldest *service
	for _, s := range gr.services {
		if len(s.queue) == 0 || !g.mayGo(now, s) {
			continue
		}
		if oldest == nil || s.queue[0].since.Before(oldest.queue[0].since) {
			oldest = s
		}
	}
	return oldest
}

// entitled returns how many slots gr gets while all active groups compete:
// what the others leave of their shares is divided among the rest.
func (g *Gate) entitled(now time.Time, gr *group) float64 {
	rivals := []*group{gr}
	for _, o := range g.order {
		if o != gr && o.active(now) {
			rivals = append(rivals, o)
		}
	}
	slices.SortFunc(rivals, func(x, y *group) int {
		return cmp.Or(
			cmp.Compare(float64(x.demand())/x.unit(), float64(y.demand())/y.unit()),
			cmp.Compare(x.name, y.name),
		)
	})
	return divide(rivals, float64(g.slots), gr)
}

// divide gives slots to rivals, sorted by demand for each unit of weight, and
// returns the part of one of them.
func divide(rivals []*group, slots float64, of *group) float64 {
	total := 0.0
	for _, gr := range rivals {
		total += gr.unit()
	}
	for _, gr := range rivals {
		part := slots * gr.unit() / total
		if gr == of {
			return part
		}
		slots -= min(part, float64(gr.demand()))
		total -= gr.unit()
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
