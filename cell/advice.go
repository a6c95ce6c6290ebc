package cell

import (
	"time"
)

// Bounds of asking the adviser. An answer takes time for each worker named,
// and one question is answered at a time.
const (
	askedAtOnce  = 30                     // workers named in a question
	adviceMargin = 300 * time.Millisecond // before its end a ticket counts as ended
	adviceRetry  = 200 * time.Millisecond // after a question without an answer
)

// advice is what is known of the workers that may run a step.
type advice struct {
	asked   map[*worker]bool // incarnations of workers that were asked about, and whether they may
	tickets map[*worker]ticket
}

// ticket allows a worker to run a step for a while.
type ticket struct {
	value string
	until time.Duration
}

// hasTicket reports whether a step may be started on a worker, as far as
// advice goes.
func (c *Cell) hasTicket(s *stepState, w *worker) bool {
	if s.job.terms.Advice == nil {
		return true
	}
	return c.ticket(s, w) != ""
}

func (c *Cell) ticket(s *stepState, w *worker) string {
	if s.advice == nil {
		return ""
	}
	t := s.advice.tickets[w]
	if c.now >= t.until {
		return ""
	}
	return t.value
}

func (c *Cell) dropTicket(s *stepState, w *worker) {
	if s.advice != nil {
		delete(s.advice.tickets, w)
	}
}

// ask asks the adviser about workers for a step that waits for want of
// tickets. Workers that may run it are asked about again when their tickets
// have ended; those that may not never become allowed.
func (c *Cell) ask(s *stepState) {
	if s.job.terms.Advice == nil || c.adviceBusy || c.now < c.adviceAfter || len(s.ready) == 0 {
		return
	}
	if s.advice == nil {
		s.advice = &advice{asked: make(map[*worker]bool), tickets: make(map[*worker]ticket)}
	}
	hosts := c.toAsk(s)
	if len(hosts) == 0 {
		return
	}
	c.adviceBusy = true
	c.do(Advise{Job: s.job.job.ID, Round: s.round.number, Step: s.number, Hosts: hosts})
}

// toAsk returns the workers to name: those with room that may run the step,
// or weren't asked about.
func (c *Cell) toAsk(s *stepState) []string {
	var hosts []string
	for _, w := range c.usableIn(s.job.terms.Service) {
		may, asked := s.advice.asked[w]
		if asked && !may || c.ticket(s, w) != "" || !c.suits(s, w) || !s.ready[0].mayRunOn(w, c.now) {
			continue
		}
		hosts = append(hosts, w.host.ID)
		if len(hosts) == askedAtOnce {
			break
		}
	}
	return hosts
}

// advised takes the adviser's answer.
func (c *Cell) advised(in Advised) {
	c.adviceBusy = false
	c.changed = true
	if in.Err != nil {
		c.adviceAfter = c.now + adviceRetry
		c.note("no advice", "job", in.Job, "step", in.Step, "err", in.Err)
		return
	}
	s := c.stepOf(in.Job, in.Round, in.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.tried = 0
	for _, h := range in.Hosts {
		if w := c.thereSince(h, in.Sent); w != nil {
			s.advice.asked[w] = false
		}
	}
	for _, t := range in.Tickets {
		if w := c.thereSince(t.Host, in.Sent); w != nil {
			s.advice.asked[w] = true
			s.advice.tickets[w] = ticket{value: t.Ticket, until: in.Sent + in.Valid - adviceMargin}
		}
	}
	c.note("advice", "job", in.Job, "step", in.Step, "asked", len(in.Hosts), "allowed", len(in.Tickets))
}

// thereSince returns a worker that hasn't restarted since a time, as far as is known.
func (c *Cell) thereSince(id string, at time.Duration) *worker {
	if w := c.workers[id]; w != nil && w.since <= at {
		return w
	}
	return nil
}

func (c *Cell) stepOf(id string, number, step int) *stepState {
	j := c.jobs[id]
	if j == nil || j.rounds[number] == nil || step >= len(j.rounds[number].steps) {
		return nil
	}
	return j.rounds[number].steps[step]
}

// usableIn returns the workers of a service that may get tasks, as of the last
// look.
func (c *Cell) usableIn(service string) []*worker {
	if p := c.looks.pools[service]; p != nil {
		return p.usable
	}
	return nil
}
