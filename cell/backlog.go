package cell

import (
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// backlog returns the tasks that wait because this owner is overloaded or its workers have
// no free capacity, nil if neither is the case.
func (c *Cell) backlog() *overload.Backlog {
	b := c.overloadGauge.Backlog(c.now)
	full, pools := c.fullPools(), c.sharedPools()
	if b == nil && len(full) == 0 && len(pools) == 0 {
		return nil
	}
	if b == nil {
		return &overload.Backlog{Full: full, Pools: pools}
	}
	b.Full, b.Pools = full, pools
	for _, s := range c.waitingSteps {
		b.Add(s.job.terms.Priority, len(s.ready))
	}
	return b
}

// fullPools returns the services in whose pools urgent tasks wait for free capacity, with
// the priority that overload.IsFull determines for each.
func (c *Cell) fullPools() map[string]int {
	lateProcessors := make(map[string]map[int]int64)
	for _, s := range c.waitingSteps {
		if !c.lacksCapacity(s) {
			continue
		}
		service := s.job.terms.Service
		if lateProcessors[service] == nil {
			lateProcessors[service] = make(map[int]int64)
		}
		lateProcessors[service][s.job.terms.Priority] += s.need.Processors * int64(len(s.ready))
	}
	full := make(map[string]int)
	for service, byPriority := range lateProcessors {
		if priority, ok := overload.IsFull(byPriority, c.usableProcessors(service)); ok {
			full[service] = priority
		}
	}
	return full
}

// lacksCapacity reports whether a step has urgent tasks that are past their objective and
// have found no worker for at least overload.MinCapacityWait.
func (c *Cell) lacksCapacity(s *stepState) bool {
	if s.spec.Lasting || s.spec.Fills || len(s.ready) == 0 {
		return false
	}
	return s.rank.Standing != ranking.InTime && s.lastFailedPass > 0 && c.now-s.ready[0].waitingSince >= overload.MinCapacityWait
}

// usableProcessors returns the total processors of the service's workers that may get
// tasks.
func (c *Cell) usableProcessors(service string) int64 {
	total := int64(0)
	for _, w := range c.pools[service] {
		if c.isUsable(w) {
			total += w.host.Capacity.Processors
		}
	}
	return total
}
