package admission

import "time"

// Expire refuses the waiting tickets that can no longer finish by their
// deadline. Each has its Err set.
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
	g.sweep()
	return refused
}

// trim refuses the newest tickets of s that lost their chance with the slots
// that went away.
//
// What goes wrong: half of the workers die, and requests that were accepted
// for the old rate are held until shortly before their deadline and then
// refused. One would see refusals that take as long as the deadline. Judging
// the queue anew refuses them while their callers can still go elsewhere.
func (g *Gate) trim(now time.Time, s *service) []*Ticket {
	var refused []*Ticket
	for i := len(s.queue) - 1; i >= 0; i-- {
		t := s.queue[i]
		if s.removed {
			refused = append(refused, g.drop(now, t, "the service was removed"))
			continue
		}
		if !g.canFinish(now, t, g.wait(now, s, i+1)) {
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

// NextExpiry returns when Expire has something to do; a time in the past
// says at once.
func (g *Gate) NextExpiry() (time.Time, bool) {
	if len(g.waiting) == 0 {
		return time.Time{}, false
	}
	if g.recheck {
		return time.Time{}, true
	}
	return g.waiting[0].expiry, true
}
