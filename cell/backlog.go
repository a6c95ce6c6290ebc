package cell

import (
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// backlog returns what waits because this owner doesn't keep up or its workers have no
// room, nil if neither is so.
func (c *Cell) backlog() *overload.Backlog {
	b := c.gauge.Backlog(c.now)
	full := c.fullPools()
	if b == nil && len(full) == 0 {
		return nil
	}
	if b == nil {
		return &overload.Backlog{Full: full}
	}
	b.Full = full
	for _, s := range c.waiting {
		b.Add(s.job.terms.Priority, len(s.ready))
	}
	return b
}

// fullPools returns the services in whose pools urgent tasks wait for room.
func (c *Cell) fullPools() map[string]int {
	late := make(map[string]map[int]int64)
	for _, s := range c.waiting {
		if !c.lacksRoom(s) {
			continue
		}
		service := s.job.terms.Service
		if late[service] == nil {
			late[service] = make(map[int]int64)
		}
		late[service][s.job.terms.Priority] += s.need.Processors * int64(len(s.ready))
	}
	full := make(map[string]int)
	for service, byPriority := range late {
		if priority, ok := overload.Full(byPriority, c.processorsOf(service)); ok {
			full[service] = priority
		}
	}
	return full
}

// lacksRoom reports whether a step's tasks are urgent, beyond their objective, and
// have found no worker for a while.
func (c *Cell) lacksRoom(s *stepState) bool {
	if s.spec.Lasting || s.spec.Fills || len(s.ready) == 0 {
		return false
	}
	return s.rank.Standing != ranking.InTime && s.tried > 0 && c.now-s.ready[0].waits >= overload.RoomPatience
}

// processorsOf returns the processors of a service's workers that may get tasks.
func (c *Cell) processorsOf(service string) int64 {
	whole := int64(0)
	for _, w := range c.pools[service] {
		if c.usable(w) {
			whole += w.host.Capacity.Processors
		}
	}
	return whole
}
