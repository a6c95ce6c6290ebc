package admission_test

import (
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against giving freed slots to the oldest request regardless of shares:
// two groups of weights 3 and 1 flood 40 slots, and the lighter one came first
// and held all of them.
func TestSharesByWeight(t *testing.T) {
	is := is.New(t)
	g := trained(table(map[string]float64{"heavy": 3, "light": 1}), 40, admission.WithHeadroom(0))
	admitted, _, _ := offer(g, start, 60, request("light", time.Hour))
	offer(g, start, 60, request("heavy", time.Hour))
	for range 200 {
		next := g.Release(start, admitted[0], serviceTime, true)
		admitted = append(admitted[1:], next...)
		offer(g, start, 1, request("light", time.Hour))
		offer(g, start, 1, request("heavy", time.Hour))
	}
	held := map[string]int{}
	for _, s := range g.Dump() {
		held[s.Service] = s.InFlight
	}
	is.Equal(held["heavy"], 30)
	is.Equal(held["light"], 10)
}

// Guards against a group whose tail latency rises with another group's load: one
// group floods all slots before a request of the lightly loaded group arrives.
func TestQuietGroupDoesntWait(t *testing.T) {
	is := is.New(t)
	g := trained(table(map[string]float64{"flood": 1, "quiet": 1}), 40)
	offer(g, start, 200, request("flood", time.Hour))
	admitted, _, _ := offer(g, start, 1, request("quiet", time.Hour))
	is.Equal(len(admitted), 1) // within the headroom
	_, waiting, _ := offer(g, start, 1, request("quiet", time.Hour))
	is.Equal(len(waiting), 1)
	is.Equal(g.Release(start, admitted[0], serviceTime, true), waiting) // before the flood's queue
}

// Guards against head-of-line blocking among the services of a group: the
// replicas of "full" have no free slot, those of "free" have.
func TestFullServiceDoesntBlockItsGroup(t *testing.T) {
	is := is.New(t)
	g := trained(map[string]route.Service{
		"full": {Name: "full", Group: "a", Weight: 1, MaxQueue: 100},
		"free": {Name: "free", Group: "a", Weight: 1, MaxQueue: 100},
	}, 8)
	g.SetCapacity("full", 2)
	_, waiting, _ := offer(g, start, 20, request("full", time.Hour))
	is.Equal(len(waiting), 18)
	admitted, _, _ := offer(g, start, 6, request("free", time.Hour))
	is.Equal(len(admitted), 6)
}

// Guards against a service that starves beside a busier one of its group. The
// requests of both wait alternately and must be admitted in the order of
// arrival.
func TestServicesOfAGroupGoInOrder(t *testing.T) {
	is := is.New(t)
	g := trained(map[string]route.Service{
		"a": {Name: "a", Group: "x", Weight: 1, MaxQueue: 100},
		"b": {Name: "b", Group: "x", Weight: 1, MaxQueue: 100},
	}, 1)
	admitted, _, _ := offer(g, start, 1, request("a", time.Hour))
	names := []string{"a", "b", "a", "b"}
	for i, name := range names {
		offer(g, start.Add(time.Duration(i)*time.Millisecond), 1, request(name, time.Hour))
	}
	for _, name := range names {
		admitted = g.Release(start.Add(time.Second), admitted[0], serviceTime, true)
		is.Equal(len(admitted), 1)
		is.Equal(admitted[0].Request.Service, name)
	}
}

// Guards against waiting requests that aren't admitted although slots are free,
// because no request is in flight whose Release would admit them: an admitted
// caller gives up, or workers return after an outage.
func TestAdmitWithoutRelease(t *testing.T) {
	is := is.New(t)
	services := table(map[string]float64{"a": 1})
	g := trained(services, 1)
	admitted, waiting, _ := offer(g, start, 3, request("a", time.Hour))
	g.Abandon(start, admitted[0])
	is.Equal(g.Admit(start), waiting[:1])
	g.Update(services, 2)
	is.Equal(g.Admit(start), waiting[1:])
}

// Guards against miscounted slots and tickets: no order of events may exceed a
// bound, lose a ticket, return one twice, or leave a slot idle while requests
// wait.
func TestBoundsInAnyOrder(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		services := map[string]route.Service{
			"a": {Name: "a", Group: "x", Weight: 2, MaxQueue: 3, GroupSlots: 4},
			"b": {Name: "b", Group: "x", Weight: 2, MaxQueue: 3, GroupSlots: 4},
			"c": {Name: "c", Group: "y", Weight: 1, MaxQueue: 3},
		}
		g := admission.New(admission.WithHeadroom(0))
		slots := 6
		g.Update(services, slots)
		m := &model{t: t, admitted: map[*admission.Ticket]bool{}, waiting: map[*admission.Ticket]bool{}}
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				slots = rapid.IntRange(0, 8).Draw(t, "slots")
				g.Update(services, slots)
			case 1:
				g.SetCapacity(rapid.SampledFrom(names).Draw(t, "service"), rapid.IntRange(0, 4).Draw(t, "capacity"))
			case 2:
				if ticket := m.draw(); ticket != nil {
					m.forget(ticket)
					g.Abandon(now, ticket)
				}
			case 3:
				if ticket := m.draw(); ticket != nil && m.admitted[ticket] {
					m.forget(ticket)
					m.admit(g.Release(now, ticket, time.Duration(rapid.IntRange(1, 200).Draw(t, "latency"))*time.Millisecond, rapid.Bool().Draw(t, "ok")))
				}
			default:
				left := time.Duration(rapid.IntRange(-10, 500).Draw(t, "left")) * time.Millisecond
				m.offered(g.Offer(now, admission.Request{Service: rapid.SampledFrom(names).Draw(t, "service"), Deadline: now.Add(left)}))
			}
			m.refuse(g.Expire(now))
			before := m.inFlight()
			m.admit(g.Admit(now))
			if m.inFlight() > max(before, slots) {
				t.Fatalf("%d in flight with %d slots", m.inFlight(), slots)
			}
			m.compare(g.Dump())
		}
	})
}

// model tracks the tickets from the caller's point of view.
type model struct {
	t        *rapid.T
	order    []*admission.Ticket
	admitted map[*admission.Ticket]bool
	waiting  map[*admission.Ticket]bool
}

func (m *model) draw() *admission.Ticket {
	if len(m.order) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.order).Draw(m.t, "ticket")
}

func (m *model) inFlight() int { return len(m.admitted) }

func (m *model) offered(ticket *admission.Ticket, err error) {
	if err != nil {
		return
	}
	m.order = append(m.order, ticket)
	if ticket.Admitted {
		m.admitted[ticket] = true
		return
	}
	m.waiting[ticket] = true
}

func (m *model) forget(ticket *admission.Ticket) {
	delete(m.admitted, ticket)
	delete(m.waiting, ticket)
	for i, o := range m.order {
		if o == ticket {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

func (m *model) admit(tickets []*admission.Ticket) {
	for _, ticket := range tickets {
		if !m.waiting[ticket] || !ticket.Admitted {
			m.t.Fatalf("admitted a ticket that didn't wait")
		}
		delete(m.waiting, ticket)
		m.admitted[ticket] = true
	}
}

func (m *model) refuse(tickets []*admission.Ticket) {
	for _, ticket := range tickets {
		if !m.waiting[ticket] || ticket.Err == nil {
			m.t.Fatalf("refused a ticket that didn't wait")
		}
		m.forget(ticket)
	}
}

func (m *model) compare(all []admission.Status) {
	held, waiting := map[string]int{}, map[string]int{}
	for ticket := range m.admitted {
		held[ticket.Request.Service]++
	}
	for ticket := range m.waiting {
		waiting[ticket.Request.Service]++
	}
	for _, s := range all {
		if s.InFlight != held[s.Service] || s.Waiting != waiting[s.Service] || s.Waiting > 3 {
			m.t.Fatalf("%+v, expected %d in flight and %d waiting", s, held[s.Service], waiting[s.Service])
		}
	}
	if held["a"]+held["b"] > 4 {
		m.t.Fatalf("group x holds %d slots", held["a"]+held["b"])
	}
}
