package cell_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/speculation"
)

// The load of these tests: a step of ten tasks of which the first takes seven times as long
// on the worker where it is started first.
const (
	copyWorkers  = 12
	copyDuration = 4 * time.Second // of a task on any other worker
	copySlowdown = 7
)

var slowTask = jobID(0) + ".0.0.0"

// copySite is a site with the load of these tests, and two owners.
type copySite struct {
	*site
	starts      []provider.StartOrder // of the slow task
	checkpoints []string              // that these starts resume from
	first       *fakeWorker           // the worker on which it is slow
}

func newCopySite(t *testing.T, change func(*job.Step)) *copySite {
	s := &copySite{site: newSite(t, 4000, copyWorkers, 2)}
	s.copies = true
	s.duration = func(string) time.Duration { return copyDuration }
	s.slowdown = func(task string, w *fakeWorker) float64 {
		if task == slowTask && (s.first == nil || s.first == w) {
			s.first = w
			return copySlowdown
		}
		return 1
	}
	for _, o := range s.owners {
		o.onStart = func(order provider.StartOrder) {
			if order.Task == slowTask {
				s.starts = append(s.starts, order)
				s.checkpoints = append(s.checkpoints, order.Checkpoint)
			}
		}
	}
	j := &job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(10, 1)}}
	j.Steps[0].AllowsCopies = true
	change(&j.Steps[0])
	s.after(time.Second, func() { s.submit(j) })
	s.after(0, s.owners[0].takeOver)
	return s
}

func unchanged(*job.Step) {}

// runsOf returns the workers on which the slow task runs.
func (s *copySite) runsOf() []*fakeWorker {
	var on []*fakeWorker
	for _, w := range s.workers {
		if w.up && w.runs[slowTask] != nil {
			on = append(on, w)
		}
	}
	return on
}

// runUntilCopied runs the site until the slow task has two runs, and returns the worker of
// the copy.
func (s *copySite) runUntilCopied() *fakeWorker {
	s.t.Helper()
	for s.now < settleTime {
		s.run(s.now + 10*time.Millisecond)
		if on := s.runsOf(); len(on) == 2 {
			return on[(slices.Index(on, s.first)+1)%2]
		}
	}
	s.t.Fatal("the slow task got no copy")
	return nil
}

// mustEndBy runs the site until a time by which the job has to be completed, with the
// number of starts of the slow task that it may have taken. Then nothing may run any more.
func (s *copySite) mustEndBy(at time.Duration, starts int) {
	s.t.Helper()
	s.run(at)
	s.mustComplete(1)
	is := is.New(s.t)
	is.Equal(len(s.starts), starts)
	s.run(at + settleTime)
	is.Equal(s.violations, nil)
	is.Equal(len(s.starts), starts)
	is.Equal(s.runCount(jobID(0)), 0)
}

// Times of the load. The copy starts after the siblings have ended, 5 s from the beginning,
// and within a second of that.
const (
	endWithCopy    = 11 * time.Second
	endAtOnce      = 7 * time.Second // with a copy that waits for no sibling
	endWithoutCopy = time.Second + copySlowdown*copyDuration
)

// Guards against a step that waits for its slowest run although a copy would be faster.
func TestCopyOfASlowTask(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	for _, w := range s.workers {
		w.host.Labels = []string{[]string{"r0", "r1"}[w.number*2/copyWorkers]}
	}
	copied := s.runUntilCopied()
	is.True(copied.host.Labels[0] != s.first.host.Labels[0]) // in another rack
	s.mustEndBy(endWithCopy, 2)
	is.Equal(len(s.copiesEnded), 1)
	is.True(s.copiesEnded[0].Won)
	cost := s.copiesEnded[0].CoreSeconds
	is.True(cost > copyDuration.Seconds() && cost < 3*copyDuration.Seconds()) // the original's run time on one core
}

// Guards against a slow run that gets no copy until its siblings have ended, although earlier
// runs of the same queue and image show that it is slow.
func TestCopyBeforeSiblingsEnd(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(copyWorkers, 1)}}) // ends 1 s earlier
	var reasons []any
	s.owners[0].onLog = func(e cell.LogEvent) {
		if e.Event == "copy" {
			is.True(s.now < time.Second+copyDuration)
			reasons = append(reasons, e.Fields[len(e.Fields)-1])
		}
	}
	s.run(endWithCopy)
	s.mustComplete(2)
	is.Equal(reasons, []any{speculation.SlowEarly.String()})
	is.Equal(len(s.starts), 2)
}

// Guards against a second run where none is allowed, or where none fits.
func TestNoCopy(t *testing.T) {
	tests := []struct {
		name   string
		change func(*job.Step)
		site   func(*copySite)
	}{
		{"the step doesn't allow copies", func(s *job.Step) { s.AllowsCopies = false }, func(*copySite) {}},
		{"the owner doesn't", unchanged, func(s *copySite) { s.copies = false }},
		{"a gang with a silent worker", func(s *job.Step) { s.Gang = true }, func(s *copySite) {
			s.after(2*time.Second, func() { s.owners[0].unreachable[s.first.number] = true })
			s.after(6*time.Second, func() { clear(s.owners[0].unreachable) })
		}},
		{"only one worker has the label", func(s *job.Step) { s.Label = "gpu" }, func(s *copySite) {
			s.workers[3].host.Labels = []string{"gpu"}
			s.workers[3].host.Capacity.Processors *= 2
		}},
		{"a larger copy than the budget", func(s *job.Step) { s.Need.Processors = 5000; s.Count = 6 }, func(*copySite) {}},
		{"the adviser allows one worker", unchanged, func(s *copySite) {
			s.requireAdvice()
			s.isAllowed = func(host string) bool { return host[:3] == "w3-" }
		}},
		{"a waiting gang fits on the same workers", unchanged, func(s *copySite) {
			gang := step(copyWorkers, 8)
			gang.Gang = true
			s.after(2*time.Second, func() { s.submit(&job.Job{ID: jobID(1), Steps: []job.Step{gang}}) })
		}},
		{"the other worker has its task", func(s *job.Step) { s.Label, s.PerWorker, s.Count = "gpu", 1, 2 }, func(s *copySite) {
			s.workers[3].host.Labels, s.workers[4].host.Labels = []string{"gpu"}, []string{"gpu"}
			s.slowdown = func(string, *fakeWorker) float64 { return copySlowdown }
			s.after(2*time.Second, func() { s.owners[0].unreachable[3] = true })
			s.after(6*time.Second, func() { clear(s.owners[0].unreachable) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newCopySite(t, tt.change)
			tt.site(s)
			s.run(2 * endWithoutCopy)
			s.mustComplete(1)
			is.Equal(len(s.copyStarts), 0)
		})
	}
}

// Guards against a search through all workers in each scan for a copy that fits on none.
func TestCopyThatFitsNowhereCostsLittle(t *testing.T) {
	const (
		from = 8 * time.Second // the siblings have ended
		span = 10 * time.Second
	)
	is := is.New(t)
	s := newCopySite(t, func(s *job.Step) { s.Label = "gpu" })
	s.workers[3].host.Labels = []string{"gpu"}
	s.workers[3].host.Capacity.Processors *= 2
	s.run(from)
	before := s.owners[0].cell.Checks()
	s.run(from + span)
	is.Equal(s.runsOf(), []*fakeWorker{s.first})
	perSecond := (s.owners[0].cell.Checks() - before) / uint64(span/time.Second)
	t.Logf("%d checks a second", perSecond)
	is.True(perSecond < 10*copyWorkers) // 5 searches and 20 comparisons; 20 searches without a pause
}

// Guards against a scan that compares all runs of a large site, and against steps that no
// scan reaches.
func TestScansForCopiesAreBounded(t *testing.T) {
	const (
		jobs  = 12
		tasks = 600
	)
	is := is.New(t)
	s := newCopySite(t, func(s *job.Step) { s.Need.Processors, s.Need.Memory = 1, 1 })
	s.duration = func(task string) time.Duration {
		if task[:len(jobID(0))] == jobID(0) {
			return copyDuration
		}
		return settleTime
	}
	for i := range jobs {
		j := &job.Job{ID: jobID(i + 1), Spec: "x", Steps: []job.Step{step(tasks, 1)}}
		j.Steps[0].AllowsCopies = true
		j.Steps[0].Need.Processors, j.Steps[0].Need.Memory = 1, 1
		s.submit(j)
	}
	s.run(15 * time.Second)
	is.Equal(len(s.starts), 2)
	before := s.owners[0].cell.Checks()
	s.run(16 * time.Second)
	perScan := (s.owners[0].cell.Checks() - before) / 20
	t.Logf("%d checks a scan, %d runs", perScan, jobs*tasks)
	is.True(perScan > 0)
	is.True(perScan < 5600) // maxRunsPerScan, and the rest of one step
}

// Guards against copies of a task that crashes its workers, before its crashes are counted.
func TestTaskThatCrashesItsWorkerGetsNoCopy(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.silentCrashes = true
	s.crashWorkersOf(slowTask)
	s.owners[0].onLog = func(e cell.LogEvent) { is.True(e.Event != "copy") }
	s.run(2 * settleTime)
	is.Equal(s.violations, nil)
	is.Equal(s.state(jobID(0)), "failed")
}

// Guards against a copy on a worker for which it has no ticket.
func TestCopyNeedsATicket(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.requireAdvice()
	s.isAllowed = func(string) bool { return true }
	s.mustEndBy(endWithCopy+2*time.Second, 2)
	is.Equal(s.ticketsRefused, 0)
}

// Guards against a new owner that stops one of the two runs, or starts a third one.
func TestSuccessorAdoptsBothRuns(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.runUntilCopied()
	s.replaceOwner(0, 1)
	s.run(s.now + 2*time.Second)
	is.Equal(len(s.runsOf()), 2)
	s.mustEndBy(endWithCopy, 2)
	is.Equal(len(s.copiesEnded), 1) // at the successor
	is.True(s.copiesEnded[0].Won)
}

// Guards against a copy whose start is lost, or is carried out late, that holds up its task
// or isn't counted.
func TestStartOfCopyIsUnanswered(t *testing.T) {
	tests := []struct {
		name string
		lose func(s *copySite, w *fakeWorker)
	}{
		{"lost", func(s *copySite, w *fakeWorker) {
			s.owners[0].unreachable[w.number] = true
			s.after(3*time.Second, func() { s.owners[0].unreachable[w.number] = false })
		}},
		{"late", func(s *copySite, _ *fakeWorker) {
			s.lateOrderRate = 1
			s.after(time.Millisecond, func() { s.lateOrderRate = 0 })
		}},
		{"carried out, the answer is lost", func(s *copySite, w *fakeWorker) {
			s.after(hopDelay+time.Millisecond, func() { s.owners[0].unreachable[w.number] = true })
			s.after(3*time.Second, func() { s.owners[0].unreachable[w.number] = false })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newCopySite(t, unchanged)
			before := s.owners[0].onStart
			s.owners[0].onStart = func(o provider.StartOrder) {
				before(o)
				if len(s.starts) == 2 && o.Task == slowTask {
					tt.lose(s, s.workerAt(o.Host))
				}
			}
			s.run(endWithCopy + 3*time.Second + copyDuration)
			s.mustComplete(1)
			s.run(2 * settleTime)
			s.mustComplete(1)
			is.New(t).Equal(s.runCount(jobID(0)), 0)
		})
	}
}

// Guards against a task that completes twice, or is run again, when both runs end done.
func TestBothRunsEndDone(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.owners[0].onLog = func(e cell.LogEvent) {
		if e.Event == "copy" {
			s.after(hopDelay+copyDuration, func() { s.first.end(slowTask, provider.EndDone) })
		}
	}
	s.mustEndBy(endWithCopy, 2)
	is.Equal(len(s.copiesEnded), 1)
}

// Guards against a task that is started again although its copy goes on, or that waits for
// a worker which is away.
func TestWorkerOfOriginalIsAway(t *testing.T) {
	tests := []struct {
		name string
		at   time.Duration // zero: when the copy runs
		away func(s *copySite)
		by   time.Duration
	}{
		{"lost", 0, func(s *copySite) { s.first.crash(5*time.Second, 1) }, endWithCopy},
		{"restarted", 0, func(s *copySite) { s.first.restart(500 * time.Millisecond) }, endWithCopy},
		{"silent before there is a copy", 4 * time.Second, func(s *copySite) { s.owners[0].unreachable[s.first.number] = true }, endWithCopy},
		{"silent for a while", 4 * time.Second, func(s *copySite) {
			s.owners[0].unreachable[s.first.number] = true
			s.after(4*time.Second, func() { clear(s.owners[0].unreachable) })
		}, endWithCopy},
		{"silent until its lease has ended", 0, func(s *copySite) {
			s.owners[0].unreachable[s.first.number] = true
			s.after(20*time.Second, func() { clear(s.owners[0].unreachable) })
		}, endWithCopy},
		{"leaving", 1500 * time.Millisecond, func(s *copySite) { s.first.announceLeave(3 * time.Second) }, endAtOnce},
		{"off the list", 1500 * time.Millisecond, func(s *copySite) { s.first.corruptEntry(settleTime) }, endAtOnce},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newCopySite(t, unchanged)
			if tt.at == 0 {
				s.runUntilCopied()
			} else {
				s.run(tt.at)
			}
			tt.away(s)
			s.mustEndBy(tt.by, 2)
		})
	}
}

// Guards against a run of a cancelled job that goes on because only the other one is
// stopped.
func TestCancelStopsBothRuns(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.runUntilCopied()
	s.cancel(jobID(0))
	s.run(s.now + maxStopTime)
	is.Equal(s.state(jobID(0)), "cancelled")
	is.Equal(s.runCount(jobID(0)), 0)
	s.run(s.now + settleTime)
	is.Equal(s.violations, nil)
	is.Equal(len(s.starts), 2)
}

// Guards against copies that fail and use up the attempts of a task whose original goes on.
func TestCopyFails(t *testing.T) {
	tests := []struct {
		name     string
		failures int // runs of the slow task before the first that doesn't fail at once
		fails    func(s *copySite, w *fakeWorker) bool
		starts   int
		state    string
	}{
		{"each copy", 0, func(s *copySite, w *fakeWorker) bool { return w != s.first }, 3, "completed"},
		{"one failure is left", 2, func(*copySite, *fakeWorker) bool { return false }, 3, "completed"},
		{"the original and the copies", 0, func(*copySite, *fakeWorker) bool { return true }, 3, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newCopySite(t, unchanged)
			s.slowdown = func(task string, w *fakeWorker) float64 {
				switch {
				case task != slowTask:
				case len(s.starts) <= tt.failures:
					return 0.01
				case s.first == nil || s.first == w:
					s.first = w
					return copySlowdown
				}
				return 1
			}
			s.isUnhealthy = func(w *fakeWorker) bool {
				r := w.runs[slowTask]
				return r != nil && r.progress(s.now) >= r.duration && (s.first == nil || tt.fails(s, w))
			}
			s.run(endWithoutCopy + settleTime)
			is.Equal(s.violations, nil)
			is.Equal(s.state(jobID(0)), tt.state)
			is.Equal(len(s.starts), tt.starts)
			is.Equal(s.runCount(jobID(0)), 0)
		})
	}
}

// Guards against a third run of a task, from an order that is carried out late.
func TestThirdRunIsStopped(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.runUntilCopied()
	on := s.runsOf()
	for _, w := range s.workers {
		if !slices.Contains(on, w) {
			w.runs[slowTask] = &fakeRun{attempt: 1 << 30, duration: time.Hour, paceSince: s.now, pace: 100, need: s.needOf(slowTask)}
			break
		}
	}
	s.run(s.now + maxStopTime)
	is.Equal(s.runsOf(), on)
	s.mustEndBy(endWithCopy, 2)
}

// Guards against a task that waits for the stop of the run that lost, and against starts on
// the capacity that this run still uses.
func TestStopOfLoserIsUnanswered(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	s.runUntilCopied()
	s.owners[0].onLog = func(e cell.LogEvent) {
		if e.Event == "stop" {
			s.owners[0].unreachable[s.first.number] = true
			s.after(6*time.Second, func() { clear(s.owners[0].unreachable) })
			s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(copyWorkers, 8)}}) // one on each whole worker
			s.owners[0].onLog = nil
		}
	}
	s.run(endWithCopy)
	s.mustComplete(1)
	is.Equal(s.runsOf(), []*fakeWorker{s.first}) // the stop hasn't arrived
	s.run(settleTime)
	s.mustComplete(2)
	is.Equal(s.runCount(jobID(0)), 0)
}

// Guards against a checkpoint of the run that is behind which replaces that of the other.
func TestCheckpointOfTheRunThatIsFurtherOnIsKept(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, func(s *job.Step) { s.Checkpoints = true })
	s.checkpoint = func(task string, w *fakeWorker) string {
		if task != slowTask {
			return ""
		}
		return fmt.Sprintf("%s/%v", w.host.ID, w.runs[task].progress(s.now))
	}
	s.slowdown = func(task string, w *fakeWorker) float64 {
		if task != slowTask {
			return 1
		}
		s.first = cmp.Or(s.first, w)
		return copySlowdown // also where the copy runs, so that it stays behind
	}
	copied := s.runUntilCopied()
	original := s.first
	s.run(s.now + 3*time.Second)
	copied.crash(5*time.Second, 1)
	s.run(s.now + 500*time.Millisecond)
	original.crash(5*time.Second, 1)
	s.run(s.now + settleTime)
	s.mustComplete(1)
	is.True(len(s.checkpoints) >= 3)
	for _, from := range s.checkpoints[1:] {
		is.True(strings.HasPrefix(from, original.host.ID))
	}
}

// Guards against an old checkpoint that a run repeats, while it advances, and that replaces a
// newer one of the task's other run.
func TestRepeatedCheckpointIsNotKept(t *testing.T) {
	const atOriginal, atCopy = 10, 12 // percent at which the only checkpoint is written
	is := is.New(t)
	s := newCopySite(t, func(s *job.Step) { s.Checkpoints = true })
	s.checkpoint = func(task string, w *fakeWorker) string {
		at := atCopy
		if w == s.first {
			at = atOriginal
		}
		if task != slowTask || w.runs[task].progress(s.now) < w.runs[task].duration*time.Duration(at)/100 {
			return ""
		}
		return fmt.Sprintf("%s/%d", w.host.ID, at)
	}
	s.slowdown = func(task string, w *fakeWorker) float64 {
		if task != slowTask {
			return 1
		}
		s.first = cmp.Or(s.first, w)
		return copySlowdown
	}
	copied, original := s.runUntilCopied(), s.first
	s.run(s.now + 8*time.Second)
	copied.crash(5*time.Second, 1)
	original.crash(5*time.Second, 1)
	s.run(s.now + settleTime)
	s.mustComplete(1)
	is.True(len(s.checkpoints) >= 3)
	is.Equal(s.checkpoints[2], fmt.Sprintf("%s/%d", copied.host.ID, atCopy))
}

// Guards against an account of delays that leaves out the time before the copy's start, or
// counts the time of both runs.
func TestDelaysWhenTheCopyWins(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, unchanged)
	fields := make(map[string]time.Duration)
	s.owners[0].onLog = func(e cell.LogEvent) {
		for i := 0; e.Event == "job ended" && i < len(e.Fields); i += 2 {
			if d, ok := e.Fields[i+1].(time.Duration); ok {
				fields[e.Fields[i].(string)] = d
			}
		}
	}
	s.run(endWithCopy)
	s.mustComplete(1)
	estimate := time.Second      // of step
	is.True(fields["moved"] > 0) // until the copy's start
	is.Equal(fields["after"], fields["room"]+fields["moved"]+estimate+fields["work"]+fields["slow"]+fields["interference"])
	is.Equal(fields["lost"]+fields["failed"], time.Duration(0))
}

// Guards against faults that copies cause in combination with each other and with other
// faults. Only steps that allow copies may have two runs of a task.
func TestRandomSchedulesWithCopies(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(s *site, seed uint64)
	}{
		{"failures", func(s *site, _ uint64) {
			s.failsTask = func(_ string, attempt uint64) bool { return attempt%5 == 4 }
		}},
		{"crashes", func(s *site, _ uint64) { s.crashEveryNth(8, scheduleJobs) }},
		{"restarts", func(s *site, seed uint64) { s.scheduleRestarts(seed) }},
		{"cordons", func(s *site, _ uint64) { s.scheduleCordons() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var copied atomic.Int64 // tasks with a second run, over all seeds
			t.Cleanup(func() { is.New(t).True(copied.Load() > 0) })
			forEachSeed(t, scheduleSeeds/2, func(t *testing.T, seed uint64) {
				s := newSite(t, 4100+seed, copyWorkers, 3)
				s.copies = true
				s.slowdown = slowOnSome
				tt.prepare(s, seed)
				s.playSchedule()
				copied.Add(int64(len(s.copyStarts)))
			})
		})
	}
}

// slowOnSome slows down each task on a third of the workers.
func slowOnSome(task string, w *fakeWorker) float64 {
	h := fnv.New32()
	_, _ = h.Write([]byte(task + w.host.ID))
	if h.Sum32()%3 == 0 {
		return copySlowdown
	}
	return 1
}
