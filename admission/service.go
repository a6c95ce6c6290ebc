package admission

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// service is one service's queue and measurements.
type service struct {
	route.Service
	group     *group
	removed   bool
	unlimited bool // no capacity was set
	capacity  int
	limit     *limit.Limit
	inFlight  int

	queue        []*Ticket // oldest first
	waitingSince time.Time // when the queue was last empty

	served estimate // time of service of answered requests
	held   estimate // time that slots are held, whatever the result
}

// bound returns how many requests of s may be in flight, the shares of
// groups aside.
func (s *service) bound() int {
	bound := s.limit.Value()
	if s.unlimited {
		return bound
	}
	return min(bound, s.capacity)
}

// standing reports whether the queue hasn't been empty for a time.
func (s *service) standing(now time.Time, after time.Duration) bool {
	return len(s.queue) > 0 && now.Sub(s.waitingSince) >= after
}

// head returns the ticket that goes next.
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

// measure takes the time that a slot was held into account.
//
// What goes wrong: a dead worker refuses within a fraction of the time of
// service, the queue seems to drain many times as fast, and requests are
// accepted that can't finish. One would see timeouts where refusals belong. A
// request that failed sooner than usual says nothing about the others.
func (s *service) measure(latency time.Duration, ok bool) {
	if ok {
		s.served.add(latency)
	}
	if ok || latency.Seconds() > s.held.mean {
		s.held.add(latency)
	}
}
