package cell_test

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// adviceTime is how long the adviser takes for an answer, and ticketTime how long its
// tickets are valid.
const (
	adviceTime = 60 * time.Millisecond
	ticketTime = 1500 * time.Millisecond
)

// advise answers a request for advice. The adviser handles one at a time.
func (o *owner) advise(a cell.Advise) {
	s := o.site
	generation := o.generation
	sent := s.now
	if o.adviceInFlight++; o.adviceInFlight > 1 {
		s.recordViolation("two questions for the adviser at once")
	}
	s.after(adviceTime, func() {
		o.adviceInFlight--
		reply := cell.AdviseReply{Job: a.Job, Round: a.Round, Step: a.Step, Hosts: a.Hosts, Valid: ticketTime, Sent: sent}
		for _, h := range a.Hosts {
			if s.isAllowed(h) {
				ticket := fmt.Sprintf("%s/%d/%v", h, s.startedAtOf(h), s.now)
				s.tickets[ticket] = s.now + ticketTime
				reply.Tickets = append(reply.Tickets, provider.Ticket{Host: h, Value: ticket})
			}
		}
		if o.generation == generation {
			o.step(reply)
		}
	})
}

// startedAtOf returns the start time of a worker's current incarnation, zero if it is down.
func (s *site) startedAtOf(id string) uint64 {
	for _, w := range s.workers {
		if w.up && w.host.ID == id {
			return w.host.StartedAt
		}
	}
	return 0
}

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// upkeep takes a machine down, and starts another incarnation of its worker later.
func (o *owner) upkeep(a cell.Upkeep) {
	s := o.site
	generation := o.generation
	s.after(hopDelay, func() {
		for _, w := range s.workers {
			if w.up && w.host.Machine == a.Order.Machine {
				s.upkeepCount[a.Order.Machine]++
				s.onUpkeep(w)
				if s.keepIDs {
					w.restart(upkeepTime)
				} else {
					w.crash(upkeepTime, s.upkeepCount[a.Order.Machine])
				}
			}
		}
		s.after(hopDelay, func() {
			if o.generation == generation {
				o.step(cell.UpkeepReply{Machine: a.Order.Machine, Wave: a.Order.Wave})
			}
		})
	})
}
