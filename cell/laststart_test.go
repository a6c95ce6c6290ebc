package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// lastingOf returns a step of lasting tasks.
func lastingOf(count int, cores int64) job.Step {
	l := step(count, cores)
	l.Lasting = true
	return l
}

// runnerOf returns the worker that runs a task, nil if none does.
func (s *site) runnerOf(task string) *fakeWorker {
	for _, w := range s.workers {
		if w.up && w.runs[task] != nil {
			return w
		}
	}
	return nil
}

// lastingSite returns a site whose tasks don't end, with a first owner.
func lastingSite(t *testing.T, seed uint64, workers int) *site {
	s := newSite(t, seed, workers, 2)
	s.awaitsRestarts()
	s.checkRecords = true
	s.duration = func(string) time.Duration { return time.Hour }
	s.tail = func(string, *fakeWorker) time.Duration { return 0 } // they are at work at once
	s.owners[0].takeOver()
	s.run(time.Second)
	return s
}

// Guards against a successor that doesn't know where a lasting task may run, as its start wasn't on record.
func TestStartsOfLastingTasksAreOnRecord(t *testing.T) {
	is := is.New(t)
	s := lastingSite(t, 3400, 6)
	apart := lastingOf(6, 2)
	apart.PerWorker = 1
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{apart}})
	s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{lastingOf(8, 2)}})
	s.run(s.now + 2500*time.Millisecond)
	is.Equal(s.runningCount(jobID(0)), 6)
	is.Equal(s.runningCount(jobID(1)), 8)
	task := jobID(0) + ".0.0.0"
	is.Equal(s.lastStart(task), progress.Start{Host: s.runnerOf(task).host.ID, Begun: true})
	for n := range 5 { // each in turn is killed, and its tasks are started elsewhere
		s.workers[n].resetProcess()
		s.run(s.now + 4*time.Second)
		is.Equal(s.runningCount(jobID(0)), 6)
		is.Equal(s.runningCount(jobID(1)), 8)
	}
	s.replaceOwner(0, 1)
	s.run(s.now + 4*time.Second)
	is.Equal(s.runningCount(jobID(0)), 6)
	is.Equal(s.violations, nil)
}

// startedOn returns how many of a job's tasks were last started on a worker, by the record.
func (s *site) startedOn(id, worker string) int {
	n := 0
	for i := range s.jobOf(id).Steps[0].Count {
		if s.lastStart(job.Task{Job: id, Index: i}.String()).Host == worker {
			n++
		}
	}
	return n
}

// Guards against lasting tasks that wait for silent workers on which they were never started.
func TestLastingTasksWaitForTheirWorkerAlone(t *testing.T) {
	tests := []struct {
		name   string
		forget bool // the earlier owner had no starts on record
		waits  bool
	}{
		{name: "starts are on record"},
		{name: "an owner that didn't record starts", forget: true, waits: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := lastingSite(t, 3410, 20)
			order := s.holdUpStart(s.owners[0], 0)
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(120, 1)}})
			for n := 0; n < 100 && order.Task == ""; n++ {
				s.run(s.now + tickInterval)
			}
			is.True(order.Task != "")
			s.owners[0].kill() // most tasks haven't been ordered
			s.owners[1].forgetsStarts = tt.forget
			for n := range 2 {
				s.owners[1].unreachable[n] = true
			}
			waiting := s.startedOn(jobID(0), "w0-0") + s.startedOn(jobID(0), "w1-0")
			is.True(waiting < 20)
			s.owners[1].takeOver()
			s.run(s.now + 3*time.Second)
			is.Equal(s.runningCount(jobID(0)) < 120-waiting, tt.waits)
			is.Equal(s.runnerOf(order.Task), nil) // its start may arrive
			is.Equal(s.violations, nil)
		})
	}
}

// Guards against a lasting task that runs twice because its start reaches the next incarnation of its worker after
// a takeover.
func TestStrayStartOfALastingTask(t *testing.T) {
	for _, owners := range []int{1, 2} {
		is := is.New(t)
		s := lastingSite(t, 3420, 4)
		s.checkRecords = false // the start that arrives late isn't on record any more
		order := s.holdUpStart(s.owners[0], 0)
		s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(4, 2)}})
		s.run(s.now + 300*time.Millisecond)
		is.True(strings.HasPrefix(order.Task, jobID(0)))
		s.workers[0].corruptEntry(time.Hour)
		for n := range owners {
			s.replaceOwner(n%2, (n+1)%2)
			s.run(s.now + 300*time.Millisecond)
		}
		for n := 0; n < 300 && !s.runsElsewhere(order.Task, 0); n++ {
			s.run(s.now + 20*time.Millisecond)
		}
		is.True(s.runsElsewhere(order.Task, 0))
		s.deliver(is, order, 0)
		s.run(s.now + 3*settleTime)
		is.True(s.runnerOf(order.Task) != nil)
		is.Equal(s.violations, nil)
	}
}

// Guards against a task that waits for late starts, and runs twice with one, although the worker that they would
// reach can take it.
func TestTaskIsStartedAgainOnTheWorkerOfItsStrayStart(t *testing.T) {
	is := is.New(t)
	s := lastingSite(t, 3440, 4)
	s.checkRecords = false // the start that arrives late isn't on record any more
	order := s.holdUpStart(s.owners[0], 0)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(4, 2)}})
	s.run(s.now + 300*time.Millisecond)
	is.True(order.Task != "")
	s.replaceOwner(0, 1)
	s.run(s.now + 300*time.Millisecond)
	is.Equal(s.runnerOf(order.Task), s.workers[0])
	is.Equal(s.workers[0].start(*order), provider.RefusedToken)
	s.deliver(is, order, 0)
	s.run(s.now + 3*settleTime)
	is.True(s.runnerOf(order.Task) != nil)
	is.Equal(s.violations, nil)
}

// Guards against a lasting task that waits for the end of a takeover although the machine that ran it is down.
func TestLastingTasksOfAMachineThatIsDown(t *testing.T) {
	is := is.New(t)
	s := lastingSite(t, 3430, 20)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(40, 1)}})
	s.run(s.now + 3*time.Second)
	s.owners[0].kill()
	down := 0
	for _, w := range s.workers[:2] {
		down += len(w.runs)
		w.resetConnections()
		w.crash(time.Hour, 1)
	}
	is.True(down > 0)
	starts := 0
	s.owners[1].onStart = func(provider.StartOrder) { starts++ }
	s.owners[1].takeOver()
	s.run(s.now + 2500*time.Millisecond)
	is.Equal(starts, down)
	is.Equal(s.runningCount(jobID(0)), 40)
	is.Equal(s.violations, nil)
}

// Guards against a start of a lasting task without a record: the task was found running elsewhere while the record of its
// next start was written, and the reservation outlived that run.
func TestReservationOfATaskThatIsFoundRunning(t *testing.T) {
	const off = 21 * time.Millisecond
	is := is.New(t)
	s := lastingSite(t, 9030, 4)
	s.checkRecords = false
	s.noMachineList = true
	order := s.holdUpStart(s.owners[0], 0)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(4, 2)}})
	s.run(s.now + 300*time.Millisecond)
	is.True(order.Task != "")
	s.workers[0].corruptEntry(time.Hour) // it gets no tasks
	var events []string
	note := func(e cell.LogEvent) {
		f := fieldsOf(e)
		if f["task"] == order.Task || f["worker"] == "w0-0" {
			events = append(events, e.Event)
			t.Logf("%v %s %v", s.now, e.Event, f)
		}
	}
	s.owners[0].onLog = note
	ended := false
	s.owners[0].onLog = func(e cell.LogEvent) {
		note(e)
		if e.Event == "end" && fieldsOf(e)["task"] == order.Task && !ended {
			ended = true
			s.after(off, func() { s.storeDelay = 600 * time.Millisecond })
			s.after(off+20*time.Millisecond, func() { s.deliver(is, order, 0) })
		}
		if e.Event == "adopted" && fieldsOf(e)["task"] == order.Task {
			s.after(800*time.Millisecond, func() { s.storeDelay = 0; s.restartOne(0, 100*time.Millisecond, false) })
		}
	}
	s.owners[0].onStart = func(o provider.StartOrder) {
		if o.Task == order.Task {
			t.Logf("%v start on %s, on record: %+v", s.now, o.Host.ID, s.lastStart(o.Task))
			runner := s.workerAt(o.Host).number
			s.after(20*time.Millisecond, func() { // the start has arrived
				s.owners[0].kill()
				s.owners[1].unreachable[runner] = true
			})
			s.after(300*time.Millisecond, func() {
				t.Logf("%v the next owner takes the cell, on record: %+v", s.now, s.lastStart(o.Task))
				s.workers[0].entryCorrupt = false
				s.owners[1].onLog = note
				s.owners[1].takeOver()
			})
		}
	}
	s.run(s.now + 8*time.Second)
	is.Equal(s.violations, nil)
}

// Guards against a lasting task that runs twice: one of its two late starts was carried out, and the one that was on
// record as its last start is taken for it.
func TestFoundRunIsNotTheLastStartOnRecord(t *testing.T) {
	is := is.New(t)
	s := lastingSite(t, 9040, 6)
	s.checkRecords = false
	var orders []provider.StartOrder
	var task string
	s.owners[0].onStart = func(o provider.StartOrder) {
		first := task == "" && o.Host.ID == s.workers[0].host.ID
		if first || o.Task == task && len(orders) == 1 && o.Host.ID != orders[0].Host.ID {
			task = o.Task
			orders = append(orders, o)
			s.lateOrderRate = 1
			s.after(0, func() { s.lateOrderRate = 0 })
		}
	}
	st := lastingOf(6, 2)
	st.MaxStopped = 6
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{st}})
	s.run(s.now + 300*time.Millisecond)
	is.True(task != "")
	s.workers[0].corruptEntry(time.Hour)
	for n := 0; n < 300 && len(orders) < 2; n++ {
		s.run(s.now + 20*time.Millisecond)
	}
	is.Equal(len(orders), 2)
	second := s.workerAt(orders[1].Host).number
	t.Logf("%v: %s ordered to %s and %s; on record %+v", s.now, task, orders[0].Host.ID, orders[1].Host.ID, s.lastStart(task))
	s.run(s.now + 100*time.Millisecond)
	s.owners[0].kill()
	s.workers[second].corruptEntry(time.Hour)
	s.deliver(is, &orders[0], 0)
	s.run(s.now + 470*time.Millisecond)
	is.True(s.workers[0].runs[task] != nil)
	s.owners[1].onLog = func(e cell.LogEvent) {
		f := fieldsOf(e)
		if f["task"] == task || f["worker"] == orders[0].Host.ID || f["worker"] == orders[1].Host.ID {
			t.Logf("%v %s %v", s.now, e.Event, f)
		}
	}
	s.owners[1].takeOver()
	s.run(s.now + 2500*time.Millisecond)
	s.deliver(is, &orders[1], second)
	s.run(s.now + 3*settleTime)
	is.Equal(s.violations, nil)
}

// Guards against starts of lasting tasks that exceed the limit of starts without an answer once their record is written.
func TestRecordedStartsKeepToTheStartLimit(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		is := is.New(t)
		s := newSite(t, 9010, 100, 1)
		s.duration = func(string) time.Duration { return time.Hour }
		s.tail = func(string, *fakeWorker) time.Duration { return 0 }
		s.owners[0].takeOver()
		s.run(time.Second)
		st := step(700, 1)
		st.Lasting = lasting
		s.storeDelay = 120 * time.Millisecond
		s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{st}})
		s.run(s.now + 5*time.Second)
		t.Logf("lasting %v: at most %d starts without an answer, %d run", lasting, s.owners[0].maxStartsInFlight, s.runningCount(jobID(0)))
		is.True(s.owners[0].maxStartsInFlight <= 256)
	}
}

// Guards against lasting tasks of a step that all wait for the survey because the start of one of them is
// on record without an outcome.
func TestQuickTakeoversDoNotHoldLastingTasks(t *testing.T) {
	for _, gap := range []time.Duration{20 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			is := is.New(t)
			s := lastingSite(t, 9000, 20)
			apart := lastingOf(15, 1)
			apart.PerWorker = 1
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{apart}})
			s.run(s.now + 3*time.Second)
			is.Equal(s.runningCount(jobID(0)), 15)
			var busy, idle []*fakeWorker
			for _, w := range s.workers {
				if len(w.runs) > 0 {
					busy = append(busy, w)
				} else {
					idle = append(idle, w)
				}
			}
			for _, o := range s.owners {
				o.unreachable[idle[0].number] = true // nothing was ever started there
			}
			s.owners[0].kill()
			busy[0].resetConnections()
			busy[0].crash(time.Hour, 1)
			ordered := false
			s.owners[1].onStart = func(provider.StartOrder) {
				if ordered {
					return
				}
				ordered = true
				s.after(gap, func() {
					s.replaceOwner(1, 0)
					busy[1].resetConnections()
					busy[1].crash(time.Hour, 2)
				})
			}
			s.owners[1].takeOver()
			for n := 0; n < 200 && !ordered; n++ {
				s.run(s.now + tickInterval)
			}
			is.True(ordered)
			s.run(s.now + gap)
			from := s.now
			holds := make(map[any]int)
			s.owners[0].onLog = func(e cell.LogEvent) {
				if e.Event == "task waits" {
					holds[fieldsOf(e)["hold"]]++
				}
			}
			for s.now < from+40*time.Second && s.runningCount(jobID(0)) < 15 {
				s.run(s.now + tickInterval)
			}
			t.Logf("all run %v after the second takeover; holds logged: %v", s.now-from, holds)
			is.True(s.now-from < 3*time.Second)
			is.Equal(s.violations, nil)
		})
	}
}
