package gateway

import (
	"errors"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// minExpiryDelay keeps the expiry timer from firing in a busy loop.
const minExpiryDelay = time.Millisecond

// acquireSlot requests a slot from the gate and waits while the request is
// queued.
func (g *Gateway) acquireSlot(c *call) (*admission.Ticket, *fault.Error) {
	t, wait, err := g.offer(c)
	if err != nil || wait == nil {
		return t, err
	}
	select {
	case <-wait:
	case <-c.ctx.Done():
		return nil, g.withdraw(c, t)
	}
	if t.Err != nil {
		return nil, t.Err
	}
	return t, nil
}

// offer returns a channel to wait on when the ticket isn't admitted yet.
func (g *Gateway) offer(c *call) (*admission.Ticket, chan struct{}, *fault.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	t, err := g.gate.Offer(now, admission.Request{
		Service:  c.service.Name,
		Deadline: c.deadline,
		Hops:     c.hops,
	})
	if err != nil {
		return nil, nil, asFault(err)
	}
	if t.Admitted {
		return t, nil, nil
	}
	wait := make(chan struct{})
	g.waiters[t] = wait
	g.armExpiry(now)
	return t, wait, nil
}

// withdraw abandons a ticket whose caller disconnected or whose deadline
// passed.
func (g *Gateway) withdraw(c *call, t *admission.Ticket) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if _, waiting := g.waiters[t]; waiting {
		delete(g.waiters, t)
		g.gate.Abandon(now, t)
		g.wakeWaiters(g.gate.Admit(now))
	} else if t.Admitted {
		g.gate.Abandon(now, t)
		g.wakeWaiters(g.gate.Admit(now))
	}
	return c.notSentFault()
}

// releaseSlot releases the slot, and updates the gate's capacity to that of the
// replicas currently in rotation.
func (g *Gateway) releaseSlot(t *admission.Ticket, latency time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	service := t.Request.Service
	if b, found := g.balancers[service]; found {
		g.gate.SetCapacity(service, b.Slots(now))
	}
	g.wakeWaiters(g.gate.Release(now, t, latency, ok))
	g.armExpiry(now)
}

// abandonSlot releases the slot of a call that gives no sample of the workers'
// latency.
func (g *Gateway) abandonSlot(t *admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.gate.Abandon(now, t)
	g.wakeWaiters(g.gate.Admit(now))
}

// wakeWaiters resumes the waiting requests of tickets. g.mu is held.
func (g *Gateway) wakeWaiters(tickets []*admission.Ticket) {
	for _, t := range tickets {
		wait, ok := g.waiters[t]
		if !ok {
			continue
		}
		delete(g.waiters, t)
		close(wait)
	}
}

// armExpiry sets the timer to the next time at which the gate may have waiting
// requests to expire. g.mu is held.
func (g *Gateway) armExpiry(now time.Time) {
	at, ok := g.gate.NextExpiry()
	if !ok {
		return
	}
	armed := !g.expiryAt.IsZero() && !at.Before(g.expiryAt)
	if armed {
		return
	}
	if g.expiryTimer != nil {
		g.expiryTimer.Stop()
	}
	g.expiryAt = at
	g.expiryTimer = time.AfterFunc(max(at.Sub(now), minExpiryDelay), g.expireWaiters)
}

func (g *Gateway) expireWaiters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.expiryAt = time.Time{}
	g.wakeWaiters(g.gate.Expire(now))
	g.armExpiry(now)
}

// asFault returns err as a fault.
func asFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.Wrap(fault.Internal, err, "unexpected error of the admission gate")
}
