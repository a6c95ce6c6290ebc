package cell_test

import (
	"fmt"
	"time"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// adviceTime is how long the adviser takes, and ticketTime how long its tickets
// are valid.
const (
	adviceTime = 60 * time.Millisecond
	ticketTime = 1500 * time.Millisecond
)

// advise answers a question about workers. The adviser takes one at a time.
func (o *owner) advise(a cell.Advise) {
	s := o.site
	life := o.life
	sent := s.now
	if o.asking++; o.asking > 1 {
		s.violate("two questions for the adviser at once")
	}
	s.after(adviceTime, func() {
		o.asking--
		reply := cell.Advised{Job: a.Job, Round: a.Round, Step: a.Step, Hosts: a.Hosts, Valid: ticketTime, Sent: sent}
		for _, h := range a.Hosts {
			if s.advised(h) {
				ticket := fmt.Sprintf("%s/%d/%v", h, s.bornOf(h), s.now)
				s.tickets[ticket] = s.now + ticketTime
				reply.Tickets = append(reply.Tickets, provider.Ticket{Host: h, Ticket: ticket})
			}
		}
		if o.life == life {
			o.step(reply)
		}
	})
}

// bornOf returns when the incarnation of a worker that is there started, zero if none is.
func (s *site) bornOf(id string) uint64 {
	for _, w := range s.workers {
		if w.up && w.host.ID == id {
			return w.host.Born
		}
	}
	return 0
}

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// upkeep takes a machine down, and brings another life of its worker up later.
func (o *owner) upkeep(a cell.Upkeep) {
	s := o.site
	life := o.life
	s.after(hop, func() {
		for _, w := range s.workers {
			if w.up && w.host.Machine == a.Order.Machine {
				s.upkeeps[a.Order.Machine]++
				s.taken(w)
				if s.keepNames {
					w.restart(upkeepTime)
				} else {
					w.crash(upkeepTime, s.upkeeps[a.Order.Machine])
				}
			}
		}
		s.after(hop, func() {
			if o.life == life {
				o.step(cell.UpkeepReply{Machine: a.Order.Machine, Wave: a.Order.Wave})
			}
		})
	})
}
