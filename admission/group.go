package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// activityTimeout is how long a group counts as active after its last request.
const activityTimeout = time.Second

// group is the state that the services of one group share.
type group struct {
	name          string
	weight        float64
	maxSlots      int // slots it may hold, unbounded if not positive
	services      []*service
	inFlight      int
	lastRequestAt time.Time
}

// include adds s. The group's weight and bound are the maxima of its services'.
func (gr *group) include(s *service) {
	gr.services = append(gr.services, s)
	gr.weight = max(gr.weight, s.Weight)
	gr.maxSlots = max(gr.maxSlots, s.GroupSlots)
}

func (gr *group) isAtMaxSlots() bool {
	return gr.maxSlots > 0 && gr.inFlight >= gr.maxSlots
}

func (gr *group) queueLength() int {
	n := 0
	for _, s := range gr.services {
		n += len(s.queue)
	}
	return n
}

func (gr *group) isActive(now time.Time) bool {
	return gr.inFlight > 0 || !gr.lastRequestAt.IsZero() && now.Sub(gr.lastRequestAt) < activityTimeout || gr.queueLength() > 0
}

// demand returns how many slots the group could use.
func (gr *group) demand() int {
	n := gr.inFlight + gr.queueLength() + 1
	if gr.maxSlots > 0 {
		n = min(n, gr.maxSlots)
	}
	return n
}

// load returns the number of slots held per unit of weight.
func (gr *group) load() float64 {
	return float64(gr.inFlight) / gr.positiveWeight()
}

// minWeight replaces a weight that isn't positive.
const minWeight = 1e-6

func (gr *group) positiveWeight() float64 {
	return max(gr.weight, minWeight)
}

// hasFreeSlot reports whether a request of s may start now.
func (g *Gate) hasFreeSlot(now time.Time, s *service) bool {
	if g.inFlight >= g.slots || s.inFlight >= s.maxInFlight() || s.group.isAtMaxSlots() {
		return false
	}
	return g.slots-g.inFlight > g.headroom(now, s.group)
}

// headroom returns how many slots must stay free for other groups when gr takes
// one.
//
// A group above its fair share leaves a few slots free. Otherwise a group that
// floods the instance would hold every slot, and a request of another group
// would wait for one of them to end: the tail latency of a lightly loaded group
// would rise with the load of the busy one.
func (g *Gate) headroom(now time.Time, gr *group) int {
	if g.config.headroom == 0 {
		return 0
	}
	total := 0.0
	others := false
	for _, o := range g.order {
		if o != gr && !o.isActive(now) {
			continue
		}
		total += o.positiveWeight()
		others = others || o != gr
	}
	if !others || float64(gr.inFlight) < float64(g.slots)*gr.positiveWeight()/total {
		return 0
	}
	return int(g.config.headroom*float64(g.slots) + 0.5)
}

// nextService returns the service whose queue is served next, or nil: that of
// the group with the lowest load.
func (g *Gate) nextService(now time.Time) *service {
	if len(g.waiting) == 0 || g.inFlight >= g.slots {
		return nil
	}
	var best *service
	for _, gr := range g.order {
		s := g.oldestWaiting(now, gr)
		if s == nil {
			continue
		}
		if best == nil || s.group.load() < best.group.load() {
			best = s
		}
	}
	return best
}

// oldestWaiting returns the service of gr with the oldest waiting request among
// those that may start one. A service at its own limit doesn't block the others
// of its group.
func (g *Gate) oldestWaiting(now time.Time, gr *group) *service {
	var oldest *service
	for _, s := range gr.services {
		if len(s.queue) == 0 || !g.hasFreeSlot(now, s) {
			continue
		}
		if oldest == nil || s.queue[0].waitingSince.Before(oldest.queue[0].waitingSince) {
			oldest = s
		}
	}
	return oldest
}

// fairShare returns the weighted max-min fair share of gr while all active
// groups compete: slots that a group doesn't use are divided among the others.
func (g *Gate) fairShare(now time.Time, gr *group) float64 {
	activeGroups := []*group{gr}
	for _, o := range g.order {
		if o != gr && o.isActive(now) {
			activeGroups = append(activeGroups, o)
		}
	}
	slices.SortFunc(activeGroups, func(x, y *group) int {
		return cmp.Or(
			cmp.Compare(float64(x.demand())/x.positiveWeight(), float64(y.demand())/y.positiveWeight()),
			cmp.Compare(x.name, y.name),
		)
	})
	return divide(activeGroups, float64(g.slots), gr)
}

// divide divides slots among groups, sorted by demand per unit of weight, and
// returns the share of target.
func divide(groups []*group, slots float64, target *group) float64 {
	total := 0.0
	for _, gr := range groups {
		total += gr.positiveWeight()
	}
	for _, gr := range groups {
		part := slots * gr.positiveWeight() / total
		if gr == target {
			return part
		}
		slots -= min(part, float64(gr.demand()))
		total -= gr.positiveWeight()
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
