package admission

import (
	"math"
	"time"
)

// estimateWeight is the weight of the newest sample in a moving average.
const estimateWeight = 1.0 / 32

// Bounds of the time to come back.
const (
	shortestRetry = 10 * time.Millisecond
	longestRetry  = 10 * time.Second
)

// estimate is a moving average of a time and of its deviation, in seconds.
type estimate struct {
	samples   int
	mean      float64
	deviation float64
}

func (e *estimate) add(d time.Duration) {
	e.samples++
	weight := max(estimateWeight, 1/float64(e.samples))
	difference := d.Seconds() - e.mean
	e.mean += weight * difference
	if e.samples > 1 {
		e.deviation += weight * (math.Abs(difference) - e.deviation)
	}
}

// reserve returns the time of service that a waiting request of s must have
// left once it has a slot.
func (g *Gate) reserve(s *service) time.Duration {
	return seconds(s.served.mean + g.config.reserve*s.served.deviation)
}

// least returns the time of service below which a request of s has little
// chance.
func (g *Gate) least(s *service) time.Duration {
	return seconds(s.served.mean - g.config.reserve*s.served.deviation)
}

// canFinish reports whether t can be answered by its deadline after a wait. A
// request that needn't wait is tried while it has a chance; one that waits
// must be likely to finish, as others could use the slot.
//
// What goes wrong: one slow spell raises the measured time of service above
// every deadline, all requests are refused, and no new measurement ever
// lowers it again. One would see a service refuse everything with idle
// workers. A request that finds its service idle always goes.
func (g *Gate) canFinish(now time.Time, t *Ticket, wait time.Duration) bool {
	if wait > 0 {
		return !now.Add(wait + g.reserve(t.service)).After(t.Request.Deadline)
	}
	return t.service.inFlight == 0 || !now.Add(g.least(t.service)).After(t.Request.Deadline)
}

// wait returns how long the request at a position of the queue of s, counted
// from one, waits for its slot.
func (g *Gate) wait(now time.Time, s *service, position int) time.Duration {
	own := float64(s.bound())
	slots := g.entitled(now, s.group)
	if s.group.bound > 0 {
		slots = min(slots, float64(s.group.bound))
	}
	if slots <= 0 || own <= 0 {
		return longestRetry
	}
	ahead := 0.0
	for _, o := range s.group.services {
		if o != s {
			ahead += float64(len(o.queue)) * o.held.mean
		}
	}
	ahead += float64(position) * s.held.mean
	return seconds(max(ahead/slots, float64(position)*s.held.mean/own))
}

// drain returns how long the queue of s takes to empty at its present rate,
// as the time to come back.
func (g *Gate) drain(now time.Time, s *service) time.Duration {
	return min(max(g.wait(now, s, len(s.queue)+1), shortestRetry), longestRetry)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
