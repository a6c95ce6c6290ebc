package gateway

import (
	"errors"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// minExpiry keeps the expiry timer from firing without pause.
const minExpiry = time.Millisecond

// enter asks the gate for a slot and waits while the request is queued.
func (g *Gateway) enter(c *call) (*admission.Ticket, *fault.Error) {
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

// withdraw takes back a ticket whose caller went away or whose deadline passed.
func (g *Gateway) withdraw(c *call, t *admission.Ticket) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if _, waiting := g.waiters[t]; waiting {
		delete(g.waiters, t)
		g.gate.Abandon(now, t)
		g.wake(g.gate.Admit(now))
	} else if t.Admitted {
		g.gate.Abandon(now, t)
		g.wake(g.gate.Admit(now))
	}
	return c.unsent()
}

// exit gives the slot back, and tells the gate what the replicas in rotation
// hold by now.
func (g *Gateway) exit(t *admission.Ticket, latency time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	service := t.Request.Service
	if b, found := g.balancers[service]; found {
		g.gate.Capacity(service, b.Slots(now))
	}
	g.wake(g.gate.Release(now, t, latency, ok))
	g.armExpiry(now)
}

// quit gives the slot of a call back that says nothing about the workers.
func (g *Gateway) quit(t *admission.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.gate.Abandon(now, t)
	g.wake(g.gate.Admit(now))
}

// wake lets the waiting requests of tickets go on; g.mu is held.
func (g *Gateway) wake(tickets []*admission.Ticket) {
	for _, t := range tickets {
		wait, ok := g.waiters[t]
		if !ok {
			continue
		}
		delete(g.waiters, t)
		close(wait)
	}
}

// armExpiry sets the timer for the next waiting request that the gate will
// give up on; g.mu is held.
func (g *Gateway) armExpiry(now time.Time) {
	at, ok := g.gate.NextExpiry()
	if !ok {
		return
	}
	armed := !g.expiryAt.IsZero() && !at.Before(g.expiryAt)
	if armed {
		return
	}
	if g.expiry != nil {
		g.expiry.Stop()
	}
	g.expiryAt = at
	g.expiry = time.AfterFunc(max(at.Sub(now), minExpiry), g.expire)
}

func (g *Gateway) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.expiryAt = time.Time{}
	g.wake(g.gate.Expire(now))
	g.armExpiry(now)
}

// asFault returns err as a fault.
func asFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.Wrap(fault.Internal, err, "unexpected")
}
