package admission

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// service holds the queue and the measurements of one service.
type service struct {
	route.Service
	group         *group
	removed       bool
	capacityUnset bool // SetCapacity was not called yet
	capacity      int
	limit         *limit.Limit
	inFlight      int

	queue        []*Ticket // oldest first
	waitingSince time.Time // when the queue was last empty

	serviceTime estimate // service time of answered requests
	slotTime    estimate // time that a slot is held, whatever the result
}

// maxInFlight returns how many requests of s may be in flight, regardless of the
// shares of groups.
func (s *service) maxInFlight() int {
	bound := s.limit.Value()
	if s.capacityUnset {
		return bound
	}
	return min(bound, s.capacity)
}

// isStanding reports whether the queue has been non-empty for at least after.
func (s *service) isStanding(now time.Time, after time.Duration) bool {
	return len(s.queue) > 0 && now.Sub(s.waitingSince) >= after
}

// head returns the ticket to admit next.
func (s *service) head(d Discipline) *Ticket {
	if d == LIFO {
		return s.queue[len(s.queue)-1]
	}
	return s.queue[0]
}

func (s *service) remove(t *Ticket) {
	i := slices.Index(s.queue, t)
	s.queue = slices.Delete(s.queue, i, i+1)
}

// measure records the time that a slot was held.
//
// A request that failed faster than the mean is ignored. Otherwise the fast
// refusals of a dead worker would make the queue seem to drain many times
// faster, and requests that can't finish would be accepted and time out.
func (s *service) measure(latency time.Duration, ok bool) {
	if ok {
		s.serviceTime.add(latency)
	}
	if ok || latency.Seconds() > s.slotTime.mean {
		s.slotTime.add(latency)
	}
}
