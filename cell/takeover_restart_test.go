package cell_test

import (
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Guards against a task that runs twice because the record of its worker was deleted when
// the worker had restarted, so that a new owner doesn't ask the next incarnation.
func TestUnresolvedStartsOutliveTheirOwner(t *testing.T) {
	s := newSite(t, 3100, 16, 2)
	s.awaitsRestarts()
	o := s.owners[0]
	o.takeOver()
	s.run(2 * time.Second)
	asked := false
	o.onHold = func(h provider.HoldOrder) {
		if h.Token > s.store.term && !asked {
			asked = true
			for _, o := range s.owners {
				o.cutOffEvery(2)
			}
			s.after(400*time.Millisecond, func() { s.replaceOwner(0, 1) })
			s.after(3*time.Second, func() { clear(s.owners[1].unreachable) })
		}
	}
	s.restartEvery(2, 450*time.Millisecond, true)
	s.after(10*time.Millisecond, func() { s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(40, 2)}}) })
	s.run(s.now + settleTime)
	s.mustComplete(1)
}
