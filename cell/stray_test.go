package cell_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// holdUpStart holds up the first start that the owner gives to a worker. It returns the order once
// it was given.
func (s *site) holdUpStart(o *owner, number int) *provider.StartOrder {
	order := &provider.StartOrder{}
	o.onStart = func(given provider.StartOrder) {
		if order.Task == "" && given.Host.ID == s.workers[number].host.ID {
			*order = given
			s.lateOrderRate = 1
			s.after(0, func() { s.lateOrderRate = 0 })
		}
	}
	return order
}

// runsElsewhere reports whether a task runs on another worker than the given one.
func (s *site) runsElsewhere(task string, number int) bool {
	for _, w := range s.workers {
		if w.number != number && w.up && w.runs[task] != nil {
			return true
		}
	}
	return false
}

// deliver restarts a worker under its ID, and delivers a start that was held up to the next
// incarnation before that is asked anything.
func (s *site) deliver(is *is.I, order *provider.StartOrder, number int) {
	const down = 450 * time.Millisecond
	s.restartOne(number, down, false)
	s.after(down, func() { is.Equal(s.workers[number].start(*order), provider.Accepted) })
}

// Guards against a task that runs twice because a start that was held up reaches the next
// incarnation of its worker while the task runs elsewhere.
func TestStrayStart(t *testing.T) {
	replace := func(s *site) { s.replaceOwner(0, 1) }
	nothing := func(*site) {}
	tests := []struct {
		name     string
		step     job.Step
		job      job.Job // template
		disrupt  func(s *site)
		again    func(s *site) // once the task runs elsewhere
		restarts int
		relayed  bool
	}{
		{name: "its owner is killed", step: step(4, 2), disrupt: replace, again: nothing, restarts: 1},
		{name: "its owner goes on", step: step(4, 2), disrupt: nothing, again: nothing, restarts: 1},
		{name: "a relay has it", step: step(4, 2), disrupt: nothing, again: nothing, restarts: 1, relayed: true},
		{name: "its owner leaves", step: step(4, 2), disrupt: (*site).handOver, again: nothing, restarts: 1},
		{name: "two restarts", step: step(4, 2), disrupt: replace, again: nothing, restarts: 2},
		{name: "two restarts, and its owner goes on", step: step(4, 2), disrupt: nothing, again: nothing, restarts: 2},
		{name: "the next owner is killed as well", step: step(4, 2), disrupt: replace, again: func(s *site) { s.replaceOwner(1, 0) }, restarts: 1},
		{name: "its owner is killed later", step: step(4, 2), disrupt: nothing, again: replace, restarts: 1},
		{name: "a gang", step: gangOf(4, 2), disrupt: replace, again: nothing, restarts: 1},
		{name: "a gang whose owner goes on", step: gangOf(4, 2), disrupt: nothing, again: nothing, restarts: 1},
		{name: "an occurrence", step: step(4, 2), job: job.Job{Times: 1, First: wall(1100 * time.Millisecond).UnixMilli()}, disrupt: replace, again: nothing, restarts: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3200, 4, 2)
			s.awaitsRestarts()
			s.ordersInTransit = tt.relayed
			o := s.owners[0]
			order := s.holdUpStart(o, 0)
			o.takeOver()
			s.run(time.Second)
			j := tt.job
			j.ID, j.Spec, j.Steps = jobID(0), "x", []job.Step{tt.step}
			j.Steps[0].Estimate = 10 * time.Second
			s.submit(&j)
			s.run(s.now + 300*time.Millisecond)
			is.True(order.Task != "")
			s.workers[0].corruptEntry(time.Hour) // no further start there
			tt.disrupt(s)
			for n := 0; n < 300 && !s.runsElsewhere(order.Task, 0); n++ {
				s.run(s.now + 20*time.Millisecond)
			}
			is.True(s.runsElsewhere(order.Task, 0))
			tt.again(s)
			s.run(s.now + 300*time.Millisecond)
			for range tt.restarts - 1 {
				s.restartOne(0, 450*time.Millisecond, false)
				s.run(s.now + 1500*time.Millisecond)
			}
			s.deliver(is, order, 0)
			s.run(s.now + 3*settleTime)
			s.mustComplete(1)
		})
	}
}

// handOver makes the first owner leave in order, and the second one take the cell.
func (s *site) handOver() {
	s.owners[0].leave(func(settled bool) {
		s.owners[1].settled = settled
		s.replaceOwner(0, 1)
	})
}

// gangOf returns a step whose tasks work only together.
func gangOf(count int, cores int64) job.Step {
	g := step(count, cores)
	g.Gang = true
	return g
}

// Guards against a successor that holds tasks back although the owner before left in order,
// with none of its starts under way.
func TestNoWaitAfterAnOrderlyLeave(t *testing.T) {
	tests := []struct {
		name    string
		heldUp  bool
		settled bool
	}{
		{"all starts are answered", false, true},
		{"a start has no answer", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3250, 4, 2)
			s.duration = func(string) time.Duration { return 800 * time.Millisecond }
			if tt.heldUp {
				s.holdUpStart(s.owners[0], 0)
			}
			s.owners[0].takeOver()
			s.run(time.Second)
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(30, 2)}}) // more than fit at once
			s.run(s.now + 300*time.Millisecond)
			left := false
			s.owners[0].leave(func(settled bool) {
				left = true
				is.Equal(settled, tt.settled)
			})
			s.run(s.now + 400*time.Millisecond)
			is.True(left)
			s.owners[1].settled = tt.settled
			starts := 0
			s.owners[1].onStart = func(provider.StartOrder) { starts++ }
			s.owners[1].takeOver()
			s.run(s.now + time.Second)
			is.Equal(starts > 0, tt.settled)
			s.run(s.now + 2*settleTime)
			s.mustComplete(1)
		})
	}
}

// Guards against a successor that waits for starts of tasks that may have copies.
func TestNoWaitForTasksWithCopies(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3260, 4, 2)
	s.duration = func(string) time.Duration { return 800 * time.Millisecond }
	s.owners[0].takeOver()
	s.run(time.Second)
	copied := step(30, 2)
	copied.AllowsCopies = true
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{copied}})
	s.run(s.now + 100*time.Millisecond)
	starts := 0
	s.owners[1].onStart = func(provider.StartOrder) { starts++ }
	s.replaceOwner(0, 1)
	s.run(s.now + 1500*time.Millisecond)
	is.True(starts > 0)
	s.run(s.now + 2*settleTime)
	s.mustComplete(1)
}

// Guards against a task that waits for a worker which is gone for good.
func TestStrayStartAtAWorkerThatIsGone(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3270, 4, 1)
	s.duration = func(string) time.Duration { return 9 * time.Second }
	o := s.owners[0]
	order := s.holdUpStart(o, 0)
	o.takeOver()
	s.run(time.Second)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(4, 2)}})
	s.run(s.now + 300*time.Millisecond)
	s.workers[0].corruptEntry(time.Hour)
	for n := 0; n < 300 && !s.runsElsewhere(order.Task, 0); n++ {
		s.run(s.now + 20*time.Millisecond)
	}
	s.workers[0].resetConnections()
	s.workers[0].crash(time.Hour, 1)
	s.run(s.now + 300*time.Millisecond)
	is.True(!s.runsElsewhere(order.Task, 0)) // the worker may be back
	s.run(s.now + cell.DefaultTiming().UnlistedGrace + time.Second)
	is.True(s.runsElsewhere(order.Task, 0))
	s.run(s.now + 2*settleTime)
	s.mustComplete(1)
}

// Guards against tasks that wait for late starts where a restarted worker has another ID, which refuses them.
func TestNoStrayStartsWhereIDsAreNotReused(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3280, 4, 2)
	for _, w := range s.workers {
		w.host.StartedAt = 0
	}
	s.duration = func(string) time.Duration { return 800 * time.Millisecond }
	s.owners[0].takeOver()
	s.run(time.Second)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(30, 2)}}) // more than fit at once
	s.run(s.now + 100*time.Millisecond)
	starts := 0
	s.owners[1].onStart = func(provider.StartOrder) { starts++ }
	s.replaceOwner(0, 1)
	s.run(s.now + 1500*time.Millisecond)
	is.True(starts > 0)
	s.run(s.now + 2*settleTime)
	s.mustComplete(1)
}

// recordedStrays returns how many tasks of a job have stray starts on record.
func (s *site) recordedStrays(id string) int {
	entries, err := s.store.readCatalog(s.t).Entries()
	if err != nil {
		s.t.Fatal(err)
	}
	e := entries[id]
	n := 0
	for i := range e.Job.Steps[0].Count {
		if len(e.Progress.Strays(job.Task{Job: id, Index: i})) > 0 {
			n++
		}
	}
	return n
}

// Guards against a record of stray starts that outlives them, so that each later owner takes them for new ones.
func TestStrayStartsLeaveTheRecord(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3290, 4, 2)
	s.owners[0].takeOver()
	s.run(time.Second)
	long := step(60, 1) // more than fit at once
	long.Estimate = time.Hour
	s.duration = func(string) time.Duration { return time.Hour }
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{long}})
	s.run(s.now + 100*time.Millisecond)
	s.replaceOwner(0, 1)
	s.run(s.now + 500*time.Millisecond)
	is.True(s.recordedStrays(jobID(0)) > 0)
	s.run(s.now + cell.DefaultTiming().MaxOrderAge + time.Second)
	is.Equal(s.recordedStrays(jobID(0)), 0)
	is.Equal(s.violations, nil)
}

// Guards against tasks that wait for late starts as long as workers leave, although none can arrive any more.
func TestStrayStartsEndWithTime(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3310, 80, 2)
	s.duration = func(string) time.Duration { return time.Hour }
	s.owners[0].takeOver()
	s.run(time.Second)
	long := step(400, 1)
	long.Estimate = time.Hour
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{long}})
	s.killAtFirstStart(0)
	s.run(s.now + 100*time.Millisecond)
	is.True(s.runningCount(jobID(0)) < 400)
	s.owners[1].takeOver()
	takenAt := s.now
	for n := range 60 { // workers leave one after the other, for 24 s
		s.after(time.Second+time.Duration(n)*400*time.Millisecond, func() {
			s.workers[n].resetConnections()
			s.workers[n].crash(time.Hour, 1)
		})
	}
	timing := cell.DefaultTiming()
	s.run(takenAt + timing.MaxOrderAge + timing.UnlistedGrace + 2*time.Second)
	is.Equal(s.runningCount(jobID(0)), 8*(80-len(s.downWorkers())))
	is.Equal(s.violations, nil)
}

// killAtFirstStart kills an owner right after its next dispatch pass.
func (s *site) killAtFirstStart(owner int) {
	s.owners[owner].onStart = func(provider.StartOrder) { s.after(0, s.owners[owner].kill) }
}

// downWorkers returns the workers that are down.
func (s *site) downWorkers() []*fakeWorker {
	return slices.DeleteFunc(slices.Clone(s.workers), func(w *fakeWorker) bool { return w.up })
}

// Guards against tasks that wait because those ahead of them, which are held back, use up each dispatch pass.
func TestHeldTasksLeaveThePassToOthers(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3320, 890, 2)
	s.duration = func(string) time.Duration { return 10 * time.Second }
	s.owners[0].takeOver()
	s.run(time.Second)
	for n := range 60 {
		s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(20, 1)}})
	}
	s.killAtFirstStart(0)
	s.run(s.now + 100*time.Millisecond)
	s.owners[1].takeOver()
	s.run(s.now + 500*time.Millisecond)
	s.submit(&job.Job{ID: jobID(100), Spec: "x", Steps: []job.Step{step(20, 1)}})
	s.run(s.now + 500*time.Millisecond)
	is.Equal(s.runningCount(jobID(100)), 20)
	is.Equal(s.violations, nil)
}

// Guards against tasks that wait for a worker that is gone until its entry has expired, as nobody asked about its
// machine.
func TestAwaitedWorkersThatAreGone(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3330, 80, 2)
	s.duration = func(string) time.Duration { return 30 * time.Second }
	s.owners[0].takeOver()
	s.run(time.Second)
	long := step(60, 6)
	long.Estimate = 30 * time.Second
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{long}})
	s.killAtFirstStart(0)
	s.run(s.now + 100*time.Millisecond)
	s.owners[1].takeOver()
	s.run(s.now + 4*time.Second)
	is.Equal(s.runningCount(jobID(0)), 60)
	idle := slices.IndexFunc(s.workers, func(w *fakeWorker) bool { return len(w.runs) == 0 })
	s.workers[idle].resetConnections()
	s.workers[idle].goDown()
	s.workers[idle].machineGone = true
	stops := 0
	s.owners[1].onLog = func(e cell.LogEvent) {
		if e.Event == "stop" {
			stops++
		}
	}
	s.run(s.now + 2500*time.Millisecond)
	is.True(stops > 0) // the next incarnation may start them
	is.Equal(s.runningCount(jobID(0)), 60)
	s.run(s.now + 2*settleTime)
	s.mustComplete(1)
}
