package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// TestAdvice checks a queue whose tasks may run on only two of four workers, which only
// the adviser knows. Tickets expire and are requested again.
func TestAdvice(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 4, 2)
	s.isAllowed = func(host string) bool { return host[:2] == "w1" || host[:2] == "w3" }
	s.requireAdvice()
	for i := range 6 {
		s.after(time.Duration(i)*time.Second, func() {
			s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(6, 2), step(2, 2, 0)}})
		})
	}
	s.owners[0].takeOver()
	s.after(3300*time.Millisecond, func() { s.replaceOwner(0, 1) })
	s.run(settleTime)
	s.mustComplete(6)
	is.True(len(s.tickets) >= 4) // both workers were asked about again
}

// Guards against starts with a ticket of a worker's previous incarnation.
func TestTicketsEndWithTheirIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 4, 1)
	s.isAllowed = func(string) bool { return true }
	s.requireAdvice()
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(120, 2)}})
	s.owners[0].takeOver()
	for n := range 4 {
		s.after(time.Duration(n+1)*2*time.Second, func() { s.restartEvery(2, 400*time.Millisecond, false) })
	}
	s.run(settleTime)
	s.mustComplete(1)
	is.Equal(s.ticketsRefused, 0)
}

// requireAdvice makes the queue require the adviser's tickets.
func (s *site) requireAdvice() {
	advised := terms
	advised.Advice = &job.Advice{Decision: 10 * time.Millisecond, DecisionPerWorker: time.Millisecond, Valid: ticketTime}
	s.table = queue.New(1, queue.Limits{}, []queue.Queue{{Name: "q", Terms: advised}}, []queue.Service{{Name: service}})
}
