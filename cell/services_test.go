package cell_test

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
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

// upkeep orders the upkeep of a machine.
func (o *owner) upkeep(a cell.Upkeep) {
	s := o.site
	generation := o.generation
	s.after(hopDelay, func() {
		err := s.beginUpkeep(a.Order)
		s.after(hopDelay, func() {
			if o.generation == generation {
				o.step(cell.UpkeepReply{Machine: a.Order.Machine, Wave: a.Order.Wave, Err: err})
			}
		})
	})
}

// beginUpkeep takes a machine down, and starts another incarnation of its worker later. An
// upkeep that the machine has had for the wave is confirmed without effect.
func (s *site) beginUpkeep(o provider.MachineOrder) error {
	wave := fmt.Sprintf("%s/%d", o.Machine, o.Wave)
	for _, w := range s.workers {
		if w.host.Machine != o.Machine {
			continue
		}
		if !w.up {
			return fault.New(fault.Conflict, "busy")
		}
		if s.upkeepDone[wave] {
			return nil
		}
		s.upkeepDone[wave] = true
		s.upkeepCount[o.Machine]++
		s.onUpkeep(w)
		if s.keepIDs {
			w.restart(upkeepTime)
		} else {
			w.crash(upkeepTime, s.upkeepCount[o.Machine])
		}
	}
	return nil
}
