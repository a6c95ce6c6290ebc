// Package admission decides which requests of all groups and services may
// start on one instance, which wait, and which are refused at once.
//
// Usage:
//
//	g := admission.New()
//	g.Update(table.Services, slots)
//	ticket, err := g.Offer(now, admission.Request{Service: name, Deadline: deadline})
//	if err != nil {
//		// refused, not run; err is a *fault.Error with a time to come back
//	}
//	if !ticket.Admitted {
//		// wait for Release, Admit or Expire to return it
//	}
//	started := g.Release(now, ticket, latency, true)
//
// Slots go to the waiting group that holds the fewest for its weight. A
// request that can't finish by its deadline, by the measured time of service
// and the queue before it, is refused at once. A queue that doesn't empty
// accepts only short waits, so that an overload doesn't make every answer as
// late as its deadline.
//
// Every method gets the time as a parameter. A Gate holds one entry for each
// service and group, one ticket for each request that is waiting (at most the
// sum of Service.Queue) or admitted (at most the slots). It isn't safe for
// concurrent use.
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
	order    []*group // by name
	services map[string]*service
	waiting  expiryHeap
	recheck  bool // waiting requests must be judged anew
}

// Request is what the gate needs to know of a request.
type Request struct {
	Service  string
	Deadline time.Time
	Hops     int // how often it was forwarded
}

// New returns a Gate without services and slots.
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

// Update replaces the services and the total of slots that this instance can
// serve. Requests that wait for a service that is gone are returned by the
// next Expire; requests for which there is room now by the next Admit.
func (g *Gate) Update(services map[string]route.Service, slots int) {
	g.recheck = true
	g.slots = slots
	for _, s := range g.services {
		s.removed = true
	}
	for _, gr := range g.groups {
		gr.services = gr.services[:0]
		gr.weight, gr.bound = 0, 0
	}
	for _, name := range sortedKeys(services) {
		g.define(services[name])
	}
	g.sweep()
}

func (g *Gate) define(r route.Service) {
	s := g.services[r.Name]
	if s == nil {
		s = &service{unlimited: true}
		g.services[r.Name] = s
	}
	if s.group == nil || s.group.name != r.Group {
		g.move(s, r.Group)
	}
	s.Service = r
	s.removed = false
	s.group.include(s)
	g.bound(s)
}

// move puts s under a group, with the slots that it holds.
func (g *Gate) move(s *service, name string) {
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

// sweep forgets services that are gone once nothing of theirs is left.
func (g *Gate) sweep() {
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

// Capacity bounds what one service may have in flight to the slots of its
// replicas. A service for which it was never called is bounded by the total
// only.
func (g *Gate) Capacity(name string, slots int) {
	s := g.services[name]
	if s == nil || !s.unlimited && s.capacity == slots {
		return
	}
	s.unlimited = false
	s.capacity = slots
	g.bound(s)
	g.recheck = true
}

// bound sets the largest value of the adaptive limit of s.
func (g *Gate) bound(s *service) {
	largest := g.slots
	if !s.unlimited {
		largest = min(largest, s.capacity)
	}
	if s.limit == nil {
		s.limit = limit.New(append(slices.Clone(g.config.limit), limit.WithMax(max(largest, 1)))...)
		return
	}
	s.limit.SetMax(max(largest, 1))
}

// Offer asks for a slot. It returns a ticket that is admitted or waits, or a
// *fault.Error of kind Overloaded, OverShare, DeadlinePassed or NotFound.
func (g *Gate) Offer(now time.Time, r Request) (*Ticket, error) {
	s := g.services[r.Service]
	if s == nil || s.removed {
		return nil, fault.New(fault.NotFound, "no service %q", r.Service)
	}
	if !now.Before(r.Deadline) {
		return nil, fault.New(fault.DeadlinePassed, "the deadline passed before the request arrived").After(g.drain(now, s))
	}
	s.group.touched = now
	t := &Ticket{Request: r, service: s, position: notWaiting}
	if len(s.queue) == 0 && g.mayGo(now, s) && g.canFinish(now, t, 0) {
		g.admit(now, t)
		return t, nil
	}
	if err := g.refusal(now, t); err != nil {
		return nil, err
	}
	g.enqueue(now, t)
	return t, nil
}

// refusal returns why t may not wait, or nil.
func (g *Gate) refusal(now time.Time, t *Ticket) error {
	s := t.service
	wait := g.wait(now, s, len(s.queue)+1)
	switch {
	case !g.canFinish(now, t, wait):
		return g.refuse(now, s, "can't finish by the deadline")
	case t.Request.Hops > 0:
		return g.refuse(now, s, "no free slot for a forwarded request")
	case len(s.queue) >= s.Queue:
		return g.refuse(now, s, "the queue is full")
	case wait > g.config.standingWait && s.standing(now, g.config.standingTime):
		return g.refuse(now, s, "the queue doesn't empty")
	}
	return nil
}

func (g *Gate) refuse(now time.Time, s *service, reason string) *fault.Error {
	kind := fault.Overloaded
	if s.group.atBound() {
		kind = fault.OverShare
	}
	return fault.New(kind, "%s: %s", s.Name, reason).After(g.drain(now, s))
}

func (g *Gate) admit(now time.Time, t *Ticket) {
	t.Admitted = true
	t.state = admitted
	g.inFlight++
	t.service.inFlight++
	t.service.group.inFlight++
	t.service.group.touched = now
}

func (g *Gate) enqueue(now time.Time, t *Ticket) {
	s := t.service
	t.state = waiting
	t.since = now
	t.expiry = t.Request.Deadline.Add(-g.reserve(s))
	if len(s.queue) == 0 {
		s.waitingSince = now
	}
	s.queue = append(s.queue, t)
	heap.Push(&g.waiting, t)
}

// dequeue takes a waiting ticket out.
func (g *Gate) dequeue(t *Ticket) {
	t.service.remove(t)
	heap.Remove(&g.waiting, t.position)
	t.state = ended
}

// Release frees the slot of t, which was held for latency, and returns the
// tickets now admitted. ok is false when no answer came in time; an error
// that the server itself reported is an answer. A ticket that holds no slot
// is ignored.
func (g *Gate) Release(now time.Time, t *Ticket, latency time.Duration, ok bool) []*Ticket {
	if t.state != admitted {
		return nil
	}
	s := t.service
	s.limit.Observe(now, s.inFlight, latency, ok)
	s.measure(latency, ok)
	g.free(t)
	return g.Admit(now)
}

func (g *Gate) free(t *Ticket) {
	t.state = ended
	g.inFlight--
	t.service.inFlight--
	t.service.group.inFlight--
	if t.service.removed {
		g.sweep()
	}
}

// Admit returns the tickets that may go now. It is to be called after Update,
// Capacity and Abandon; Release includes it.
func (g *Gate) Admit(now time.Time) []*Ticket {
	var started []*Ticket
	for {
		s := g.next(now)
		if s == nil {
			return started
		}
		t := s.head(g.config.discipline)
		g.dequeue(t)
		g.admit(now, t)
		started = append(started, t)
	}
}

// Abandon drops t, whose caller went away. When t was admitted in the
// meantime its slot is freed, and Admit tells who may go instead.
func (g *Gate) Abandon(now time.Time, t *Ticket) {
	switch t.state {
	case waiting:
		g.dequeue(t)
	case admitted:
		g.free(t)
	}
}
