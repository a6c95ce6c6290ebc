package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

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

// Guards against a task that runs twice because a new owner assumes a shorter lease than an
// earlier owner's order gave an incarnation that is on record.
func TestLeaseOfAnInheritedWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3110, 4, 2)
	s.awaitsRestarts()
	s.noMachineList = true
	s.duration = func(string) time.Duration { return 14 * time.Second }
	var order provider.StartOrder
	s.owners[0].onStart = func(o provider.StartOrder) {
		if o.Host.ID == s.workers[0].host.ID {
			order = o
		}
	}
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(4, 2)}})
	s.owners[0].takeOver()
	s.run(time.Second)
	is.True(order.Task != "")
	s.workers[0].extendLease(s.workers[0].clock() + 10_000) // by an order for an earlier incarnation
	s.replaceOwner(0, 1)
	s.after(10*time.Millisecond, func() { s.owners[1].unreachable[0] = true }) // once it has answered
	s.run(s.now + 20*time.Second)
	clear(s.owners[1].unreachable)
	s.run(s.now + settleTime)
	s.mustComplete(1)
}

// Guards against a task that runs twice because an earlier owner's order reaches the next
// incarnation of a worker that was surveyed.
func TestSurveyedWorkerRestarts(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3120, 4, 2)
	s.awaitsRestarts()
	var order provider.StartOrder
	s.owners[0].onStart = func(o provider.StartOrder) {
		if order.Task == "" && o.Host.ID == s.workers[0].host.ID {
			order = o
			s.lateOrderRate = 1
			s.after(0, func() { s.lateOrderRate = 0 })
		}
	}
	s.owners[0].takeOver()
	s.run(time.Second)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(4, 2)}})
	s.run(s.now + 100*time.Millisecond)
	is.True(order.Task != "")
	s.workers[0].corruptEntry(200 * time.Millisecond) // it gets no tasks
	s.replaceOwner(0, 1)
	s.run(s.now + 100*time.Millisecond)
	s.workers[0].restart(300 * time.Millisecond)
	s.after(300*time.Millisecond, func() { is.Equal(s.workerAt(order.Host).start(order), provider.Accepted) }) // still in transit
	s.run(s.now + settleTime)
	s.mustComplete(1)
}

// Guards against a sound job that fails because starts that were refused after their workers
// had restarted count as crashes.
func TestRefusedStartsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3130, 2, 1)
	s.ordersAwaitRestart = true
	o := s.owners[0]
	o.takeOver()
	s.run(time.Second)
	starts := 0
	o.onStart = func(order provider.StartOrder) {
		w := s.workerAt(order.Host)
		starts++
		switch {
		case starts <= 4: // the next incarnation is asked before the start arrives
			w.restart(10 * time.Millisecond)
		case starts == 5:
			s.after(10*time.Millisecond, func() { s.restartOne(w.number, 10*time.Millisecond, true) })
		}
	}
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 2)}})
	s.run(s.now + 2*settleTime)
	is.True(starts > 5)
	s.mustComplete(1)
}
