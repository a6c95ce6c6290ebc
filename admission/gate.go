// Package admission controls which requests of all groups and services may
// start on one instance, which wait, and which are refused at once.
//
// Usage:
//
//	g := admission.New()
//	g.Update(table.Services, slots)
//	ticket, err := g.Offer(now, admission.Request{Service: name, Deadline: deadline})
//	if err != nil {
//		// refused, not run; err is a *fault.Error with a retry delay
//	}
//	if !ticket.Admitted {
//		// wait for Release, Admit or Expire to return it
//	}
//	started := g.Release(now, ticket, latency, true)
//
// A free slot goes to the waiting group that holds the fewest slots per unit of
// weight. A request that can't finish by its deadline, judging by the measured
// service time and the queue ahead of it, is refused at once. A standing queue
// accepts only short waits, so that an overload doesn't delay every response
// until its deadline.
//
// Every method takes the current time as a parameter. A Gate holds one entry for
// each service and group, and one ticket for each request that is waiting (at
// most the sum of Service.MaxQueue) or admitted (at most the slots). It isn't
// safe for concurrent use.
package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// Gate decides which requests may start.
type Gate struct {
	config   config
	slots    int
	inFlight int
	groups   map[string]*group
	order    []*group // sorted by name
	services map[string]*service
	waiting  expiryHeap
	recheck  bool // Expire must check all waiting requests
}

// Request describes a request to the gate.
type Request struct {
	Service  string
	Deadline time.Time
	Hops     int // how often it was forwarded
}

// New returns a Gate that has no services and no slots yet.
func New(opts ...Option) *Gate {
	g := &Gate{
		config:   defaults(),
		groups:   map[string]*group{},
		services: map[string]*service{},
	}
	for _, opt := range opts {
		opt(&g.config)
	}
	return g
}

// Update replaces the services and the total number of slots of this instance.
// The next Expire returns the waiting requests of removed services, the next
// Admit those for which slots are now free.
func (g *Gate) Update(services map[string]route.Service, slots int) {
	g.recheck = true
	g.slots = slots
	for _, s := range g.services {
		s.removed = true
	}
	for _, gr := range g.groups {
		gr.services = gr.services[:0]
		gr.weight, gr.maxSlots = 0, 0
	}
	for _, name := range sortedKeys(services) {
		g.addService(services[name])
	}
	g.deleteUnused()
}

func (g *Gate) addService(r route.Service) {
	s := g.services[r.Name]
	if s == nil {
		s = &service{capacityUnset: true}
		g.services[r.Name] = s
	}
	if s.group == nil || s.group.name != r.Group {
		g.assignGroup(s, r.Group)
	}
	s.Service = r
	s.removed = false
	s.group.include(s)
	g.updateLimit(s)
}

// assignGroup assigns s to a group, together with the slots that it holds.
func (g *Gate) assignGroup(s *service, name string) {
	gr := g.groups[name]
	if gr == nil {
		gr = &group{name: name}
		g.groups[name] = gr
	}
	if s.group != nil {
		s.group.inFlight -= s.inFlight
		gr.inFlight += s.inFlight
	}
	s.group = gr
}

// deleteUnused deletes removed services that have no request left, and empty groups.
func (g *Gate) deleteUnused() {
	for name, s := range g.services {
		if s.removed && s.inFlight == 0 && len(s.queue) == 0 {
			delete(g.services, name)
		}
	}
	for name, gr := range g.groups {
		if len(gr.services) == 0 && gr.inFlight == 0 {
			delete(g.groups, name)
		}
	}
	g.order = g.order[:0]
	for _, name := range sortedKeys(g.groups) {
		g.order = append(g.order, g.groups[name])
	}
}

// SetCapacity bounds the requests in flight of one service to the slots of its
// replicas. Until its first call, a service is bounded by the total number of
// slots only.
func (g *Gate) SetCapacity(name string, slots int) {
	s := g.services[name]
	if s == nil || !s.capacityUnset && s.capacity == slots {
		return
	}
	s.capacityUnset = false
	s.capacity = slots
	g.updateLimit(s)
	g.recheck = true
}

// updateLimit sets the maximum of the adaptive limit of s.
func (g *Gate) updateLimit(s *service) {
	maxLimit := g.slots
	if !s.capacityUnset {
		maxLimit = min(maxLimit, s.capacity)
	}
	if s.limit == nil {
		s.limit = limit.New(append(slices.Clone(g.config.limit), limit.WithMax(max(maxLimit, 1)))...)
		return
	}
	s.limit.SetMax(max(maxLimit, 1))
}

// Offer requests a slot. It returns a ticket that is admitted or waits, or a
// *fault.Error of kind Overloaded, OverShare, DeadlinePassed or NotFound.
func (g *Gate) Offer(now time.Time, r Request) (*Ticket, error) {
	s := g.services[r.Service]
	if s == nil || s.removed {
		return nil, fault.New(fault.NotFound, "no service %q", r.Service)
	}
	if !now.Before(r.Deadline) {
		return nil, fault.New(fault.DeadlinePassed, "the deadline passed before the request arrived").After(g.retryDelay(now, s))
	}
	s.group.lastRequestAt = now
	t := &Ticket{Request: r, service: s, heapIndex: notInHeap}
	if len(s.queue) == 0 && g.hasFreeSlot(now, s) && g.canFinish(now, t, 0) {
		g.admit(now, t)
		return t, nil
	}
	if err := g.refusal(now, t); err != nil {
		return nil, err
	}
	g.enqueue(now, t)
	return t, nil
}

// refusal returns the reason why t may not wait, or nil.
func (g *Gate) refusal(now time.Time, t *Ticket) error {
	s := t.service
	wait := g.estimateWait(now, s, len(s.queue)+1)
	switch {
	case !g.canFinish(now, t, wait):
		return g.refuse(now, s, "can't finish by the deadline")
	case t.Request.Hops > 0:
		return g.refuse(now, s, "no free slot for a forwarded request")
	case len(s.queue) >= s.MaxQueue:
		return g.refuse(now, s, "the queue is full")
	case wait > g.config.maxStandingWait && s.isStanding(now, g.config.standingAfter):
		return g.refuse(now, s, "the queue has been non-empty for too long")
	}
	return nil
}

func (g *Gate) refuse(now time.Time, s *service, reason string) *fault.Error {
	kind := fault.Overloaded
	if s.group.isAtMaxSlots() {
		kind = fault.OverShare
	}
	return fault.New(kind, "%s: %s", s.Name, reason).After(g.retryDelay(now, s))
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.Admitted = true
	t.state = admitted
	g.inFlight++
	t.service.inFlight++
	t.service.group.inFlight++
	t.service.group.lastRequestAt = now
}

func (g *Gate) enqueue(now time.Time, t *Ticket) {
	s := t.service
	t.state = waiting
	t.waitingSince = now
	t.expiry = t.Request.Deadline.Add(-g.reservedTime(s))
	if len(s.queue) == 0 {
		s.waitingSince = now
	}
	s.queue = append(s.queue, t)
	heap.Push(&g.waiting, t)
}

// dequeue removes a waiting ticket from its queue and from the heap.
func (g *Gate) dequeue(t *Ticket) {
	t.service.remove(t)
	heap.Remove(&g.waiting, t.heapIndex)
	t.state = ended
}

// Release frees the slot of t, which was held for latency, and returns the
// tickets admitted in turn. ok is false when no response arrived in time; an
// error reported by the server itself counts as a response. A ticket without a
// slot is ignored.
func (g *Gate) Release(now time.Time, t *Ticket, latency time.Duration, ok bool) []*Ticket {
	if t.state != admitted {
		return nil
	}
	s := t.service
	s.limit.Observe(now, s.inFlight, latency, ok)
	s.measure(latency, ok)
	g.freeSlot(t)
	return g.Admit(now)
}

func (g *Gate) freeSlot(t *Ticket) {
	t.state = ended
	g.inFlight--
	t.service.inFlight--
	t.service.group.inFlight--
	if t.service.removed {
		g.deleteUnused()
	}
}

// Admit admits waiting tickets while slots are free, and returns them. Call it
// after Update, SetCapacity and Abandon; Release includes it.
func (g *Gate) Admit(now time.Time) []*Ticket {
	var started []*Ticket
	for {
		s := g.nextService(now)
		if s == nil {
			return started
		}
		t := s.head(g.config.discipline)
		g.dequeue(t)
		g.admit(now, t)
		started = append(started, t)
	}
}

// Abandon drops t, whose caller gave up. If t holds a slot, the slot is freed
// for the next Admit.
func (g *Gate) Abandon(now time.Time, t *Ticket) {
	switch t.state {
	case waiting:
		g.dequeue(t)
	case admitted:
		g.freeSlot(t)
	}
}
