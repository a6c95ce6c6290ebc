package admission

import "time"

// Expire refuses the waiting tickets that can no longer finish by their
// deadline, and returns them with Err set.
func (g *Gate) Expire(now time.Time) []*Ticket {
	var refused []*Ticket
	for len(g.waiting) > 0 && !now.Before(g.waiting[0].expiry) {
		refused = append(refused, g.drop(now, g.waiting[0], "can't finish by the deadline"))
	}
	if !g.recheck {
		return refused
	}
	g.recheck = false
	for _, name := range sortedKeys(g.services) {
		refused = append(refused, g.trim(now, g.services[name])...)
	}
	g.deleteUnused()
	return refused
}

// trim refuses the tickets of s that can't finish by their deadline after slots
// were lost, the newest first.
//
// If half of the workers die, requests accepted at the old rate would otherwise
// be held until shortly before their deadline and only then be refused.
// Checking the queue again refuses them while their callers can still try
// elsewhere.
func (g *Gate) trim(now time.Time, s *service) []*Ticket {
	var refused []*Ticket
	for i := len(s.queue) - 1; i >= 0; i-- {
		t := s.queue[i]
		if s.removed {
			refused = append(refused, g.drop(now, t, "the service was removed"))
			continue
		}
		if !g.canFinish(now, t, g.estimateWait(now, s, i+1)) {
			refused = append(refused, g.drop(now, t, "can't finish by the deadline"))
		}
	}
	return refused
}

func (g *Gate) drop(now time.Time, t *Ticket, reason string) *Ticket {
	g.dequeue(t)
	t.Err = g.refuse(now, t.service, reason)
	return t
}

// NextExpiry returns the time at which Expire is due, and false when nothing
// waits. A time in the past means at once.
func (g *Gate) NextExpiry() (time.Time, bool) {
	if len(g.waiting) == 0 {
		return time.Time{}, false
	}
	if g.recheck {
		return time.Time{}, true
	}
	return g.waiting[0].expiry, true
}
