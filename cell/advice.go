package cell

import (
	"time"
)

// Bounds of requests to the adviser. It handles one request at a time, and takes longer
// the more workers a request names.
const (
	maxHostsPerRequest  = 30
	ticketMargin        = 300 * time.Millisecond // a ticket is treated as expired this long before its end
	adviceRetryInterval = 200 * time.Millisecond // after a request without an answer
)

// advice holds the adviser's answers for a step.
type advice struct {
	allowed map[*worker]bool // the adviser's last answer for each worker incarnation that was asked about
	tickets map[*worker]ticket
}

// ticket permits a worker to run a step until it expires.
type ticket struct {
	value     string
	expiresAt time.Duration
}

// hasTicket reports whether the worker has a ticket for the step, or the step needs none.
func (c *Cell) hasTicket(s *stepState, w *worker) bool {
	if s.job.terms.Advice == nil {
		return true
	}
	return c.ticket(s, w) != ""
}

// ticket returns the valid ticket for the step on a worker, or an empty string.
func (c *Cell) ticket(s *stepState, w *worker) string {
	if s.advice == nil {
		return ""
	}
	t := s.advice.tickets[w]
	if c.now >= t.expiresAt {
		return ""
	}
	return t.value
}

func (c *Cell) dropTicket(s *stepState, w *worker) {
	if s.advice != nil {
		delete(s.advice.tickets, w)
	}
}

// requestAdvice asks the adviser about workers for a step that has no candidate with a
// ticket. Allowed workers are asked about again when their tickets have expired; a refused
// worker stays refused.
func (c *Cell) requestAdvice(s *stepState) {
	if len(s.ready) > 0 {
		c.askAdviser(s.ready[0])
	}
}

// askAdviser asks the adviser which workers may run the task.
func (c *Cell) askAdviser(t *task) {
	s := t.step
	if s.job.terms.Advice == nil || c.adviceInFlight || c.now < c.adviceRetryAt {
		return
	}
	if s.advice == nil {
		s.advice = &advice{allowed: make(map[*worker]bool), tickets: make(map[*worker]ticket)}
	}
	hosts := c.hostsToAsk(t)
	if len(hosts) == 0 {
		return
	}
	c.adviceInFlight = true
	c.emit(Advise{Job: s.job.job.ID, Round: s.round.number, Step: s.number, Hosts: hosts})
}

// hostsToAsk returns the workers to ask about: those with free capacity for the step that
// are allowed, or weren't asked about yet.
func (c *Cell) hostsToAsk(t *task) []string {
	s := t.step
	var hosts []string
	for _, w := range c.usableWorkers(s.job.terms.Service) {
		allowed, asked := s.advice.allowed[w]
		if asked && !allowed || c.ticket(s, w) != "" || !c.fitsWithoutTicket(s, w) || !c.mayRunOn(t, w) {
			continue
		}
		hosts = append(hosts, w.host.ID)
		if len(hosts) == maxHostsPerRequest {
			break
		}
	}
	return hosts
}

// handleAdviseReply stores the tickets that the adviser granted.
func (c *Cell) handleAdviseReply(in AdviseReply) {
	c.adviceInFlight = false
	c.needsDispatch = true
	if in.Err != nil {
		c.adviceRetryAt = c.now + adviceRetryInterval
		c.logEvent("advice request failed", "job", in.Job, "step", in.Step, "err", in.Err)
		return
	}
	s := c.stepOf(in.Job, in.Round, in.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.lastFailedPass = 0
	s.noTargetUntil = 0
	for _, h := range in.Hosts {
		if w := c.workerSince(h, in.Sent); w != nil {
			s.advice.allowed[w] = false
		}
	}
	for _, t := range in.Tickets {
		if w := c.workerSince(t.Host, in.Sent); w != nil {
			s.advice.allowed[w] = true
			s.advice.tickets[w] = ticket{value: t.Value, expiresAt: in.Sent + in.Valid - ticketMargin}
		}
	}
	c.logEvent("advice", "job", in.Job, "step", in.Step, "asked", len(in.Hosts), "allowed", len(in.Tickets))
}

// workerSince returns the worker if no restart of it is known since the given time, nil
// otherwise.
func (c *Cell) workerSince(id string, at time.Duration) *worker {
	if w := c.workers[id]; w != nil && w.knownSince <= at {
		return w
	}
	return nil
}

// stepOf returns a step of a job's round, nil if the job or round isn't open.
func (c *Cell) stepOf(id string, number, step int) *stepState {
	j := c.jobs[id]
	if j == nil || j.rounds[number] == nil || step >= len(j.rounds[number].steps) {
		return nil
	}
	return j.rounds[number].steps[step]
}

// usableWorkers returns the workers of a service that could get tasks at the last dispatch
// pass.
func (c *Cell) usableWorkers(service string) []*worker {
	if p := c.passes.pools[service]; p != nil {
		return p.usable
	}
	return nil
}
