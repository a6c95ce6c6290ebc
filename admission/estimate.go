package admission

import (
	"math"
	"time"
)

// estimateWeight is the weight of the latest sample in a moving average.
const estimateWeight = 1.0 / 32

// Bounds of the delay that a refusal requests before a retry.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// estimate is a moving average of a duration and of its absolute deviation, in
// seconds.
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

// reservedTime returns the service time that a waiting request of s must have left
// before its deadline when it gets a slot.
func (g *Gate) reservedTime(s *service) time.Duration {
	return seconds(s.serviceTime.mean + g.config.reserveDeviations*s.serviceTime.deviation)
}

// minServiceTime returns the time left below which a request of s is unlikely to
// finish.
func (g *Gate) minServiceTime(s *service) time.Duration {
	return seconds(s.serviceTime.mean - g.config.reserveDeviations*s.serviceTime.deviation)
}

// canFinish reports whether t can finish by its deadline after a wait. A request
// that needn't wait is admitted while it has a chance. One that waits must be
// likely to finish, since others could use the slot.
//
// A request of an idle service is always admitted. Otherwise a temporary
// slowdown that raises the measured service time above every deadline would
// make the service refuse all requests for good, since no request would be left
// to correct the measurement.
func (g *Gate) canFinish(now time.Time, t *Ticket, wait time.Duration) bool {
	if wait > 0 {
		return !now.Add(wait + g.reservedTime(t.service)).After(t.Request.Deadline)
	}
	return t.service.inFlight == 0 || !now.Add(g.minServiceTime(t.service)).After(t.Request.Deadline)
}

// estimateWait returns the expected time until the request at a position of the
// queue of s, counted from one, gets a slot.
func (g *Gate) estimateWait(now time.Time, s *service, position int) time.Duration {
	serviceSlots := float64(s.maxInFlight())
	slots := g.fairShare(now, s.group)
	if s.group.maxSlots > 0 {
		slots = min(slots, float64(s.group.maxSlots))
	}
	if slots <= 0 || serviceSlots <= 0 {
		return maxRetryDelay
	}
	ahead := 0.0
	for _, o := range s.group.services {
		if o != s {
			ahead += float64(len(o.queue)) * o.slotTime.mean
		}
	}
	ahead += float64(position) * s.slotTime.mean
	return seconds(max(ahead/slots, float64(position)*s.slotTime.mean/serviceSlots))
}

// retryDelay returns the time that the queue of s takes to drain at its current
// rate, within the bounds of a retry delay.
func (g *Gate) retryDelay(now time.Time, s *service) time.Duration {
	return min(max(g.estimateWait(now, s, len(s.queue)+1), minRetryDelay), maxRetryDelay)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
