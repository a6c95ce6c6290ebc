package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Guards against healthy workers that are quarantined by chance, and unhealthy ones that
// get tasks.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name      string
		until     time.Duration // the worker fails what ends there until then
		minDone   int           // tasks that it completes
		maxFailed int           // failures there
	}{
		{"two failures by chance", 1500 * time.Millisecond, 55, 8},
		{"unhealthy for long", 20 * time.Second, 0, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 4, 1)
			s.duration = func(string) time.Duration { return 500 * time.Millisecond }
			failed, done := 0, 0
			s.isUnhealthy = func(w *fakeWorker) bool {
				if w.number != 0 {
					return false
				}
				if s.now < tt.until {
					failed++
					return true
				}
				done++
				return false
			}
			for i := range 100 {
				s.after(time.Duration(i)*100*time.Millisecond, func() {
					s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(4, 2)}})
				})
			}
			s.owners[0].takeOver()
			s.run(12 * time.Second)
			t.Logf("failed %d, done %d", failed, done)
			is.Equal(s.violations, nil)
			is.True(done >= tt.minDone)
			is.True(failed <= tt.maxFailed)
			s.run(settleTime)
			s.mustComplete(100)
		})
	}
}

// runUntilFailed runs until a job has failed, for ten seconds at most.
func (s *site) runUntilFailed(id string) {
	for until := s.now + 10*time.Second; s.state(id) != "failed" && s.now < until; {
		s.run(s.now + tickInterval)
	}
}

// Guards against workers that get nothing beside a long task because tasks failed there by their own fault.
func TestProbationEndsBesideALongTask(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 6, 1)
	const broken, long, quick = 0, 1, 2
	isOf := func(task string, n int) bool { return strings.HasPrefix(task, jobID(n)+".") }
	s.duration = func(task string) time.Duration {
		if isOf(task, long) {
			return 70 * time.Second
		}
		return 300 * time.Millisecond
	}
	s.failsTask = func(task string, _ uint64) bool { return isOf(task, broken) }
	ofLong := step(12, 2)
	ofLong.Estimate = 70 * time.Second
	s.owners[0].takeOver()
	s.run(time.Second)
	quarantined := s.lines("quarantine")
	s.submit(&job.Job{ID: jobID(broken), Spec: "x", Steps: []job.Step{step(12, 2)}})
	s.runUntilFailed(jobID(broken))
	is.True(len(*quarantined) >= 6)
	s.submit(&job.Job{ID: jobID(long), Spec: "x", Steps: []job.Step{ofLong}})
	s.run(s.now + time.Second)
	s.submit(&job.Job{ID: jobID(quick), Spec: "x", Steps: []job.Step{step(2, 1)}})
	s.run(s.now + 3*time.Second)
	is.Equal(s.runningCount(jobID(long)), 12)
	is.Equal(s.state(jobID(quick)), "completed")
	is.Equal(s.violations, nil)
}

// Guards against a service on which nothing runs any more because its lasting tasks have failed on each worker.
func TestProbationEndsWithLastingTasksAlone(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 3, 1)
	const calm = 20 * time.Second
	s.duration = func(string) time.Duration {
		if s.now < calm {
			return time.Second
		}
		return time.Hour
	}
	s.failsTask = func(string, uint64) bool { return true }
	s.tail = func(string, *fakeWorker) time.Duration { return 0 }
	s.owners[0].takeOver()
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{lastingOf(4, 2)}})
	quarantined := s.lines("quarantine")
	s.run(calm + 5*time.Second)
	is.True(len(*quarantined) >= 3)
	is.Equal(s.runningCount(jobID(0)), 4)
	is.Equal(s.violations, nil)
}

// Guards against a gang that waits for workers on probation for ever, as nothing else is to be run on them.
func TestGangStartsOnWorkersOnProbation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 5, 3, 1)
	s.failsTask = func(task string, _ uint64) bool { return strings.HasPrefix(task, jobID(0)) }
	s.owners[0].takeOver()
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(12, 2)}})
	quarantined := s.lines("quarantine")
	s.runUntilFailed(jobID(0))
	is.True(len(*quarantined) >= 3)
	gang := step(6, 2)
	gang.Gang = true
	s.submit(&job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{gang}})
	s.run(s.now + 5*time.Second)
	is.Equal(s.state(jobID(1)), "completed")
	is.Equal(s.violations, nil)
}

// Guards against lasting tasks on a worker on which tasks fail, with room on others.
func TestLastingTasksKeepOffWorkersOnProbation(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 4, 4, 1)
	s.duration = func(task string) time.Duration {
		if s.isLasting(task) {
			return time.Hour
		}
		return 300 * time.Millisecond
	}
	s.tail = func(string, *fakeWorker) time.Duration { return 0 }
	s.isUnhealthy = func(w *fakeWorker) bool { return w.number == 0 }
	s.owners[0].takeOver()
	for i := range 20 {
		s.after(time.Duration(i)*50*time.Millisecond, func() {
			s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(4, 1)}})
		})
	}
	s.run(4 * time.Second)
	s.submit(&job.Job{ID: jobID(20), Spec: "x", Steps: []job.Step{lastingOf(8, 2)}})
	s.run(s.now + time.Second)
	is.Equal(s.runningCount(jobID(20)), 8)
	is.Equal(len(s.workers[0].runs), 0)
	is.Equal(s.violations, nil)
}

// Guards against a worker that accepts starts, works on none, and leaves its probation all the same.
func TestHangingWorkerStaysOnProbation(t *testing.T) {
	s := newSite(t, 9020, 4, 1)
	s.slowdown = func(_ string, w *fakeWorker) float64 {
		if w.number == 0 {
			return 1e6
		}
		return 1
	}
	s.duration = func(string) time.Duration { return 400 * time.Millisecond }
	quarantined, ended := 0, 0
	s.owners[0].onLog = func(e cell.LogEvent) {
		switch e.Event {
		case "quarantine":
			quarantined++
		case "quarantine ended":
			ended++
		}
	}
	starts, seen := make([]int, 4), 0
	s.owners[0].onStart = func(o provider.StartOrder) {
		seen++
		if o.Host.ID == s.workers[0].host.ID {
			starts[min(3, int(s.now/(15*time.Second)))]++
		}
	}
	s.owners[0].takeOver()
	s.run(time.Second)
	for n := range 590 {
		s.after(time.Duration(n)*100*time.Millisecond, func() {
			s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(5, 1)}})
		})
	}
	s.run(60 * time.Second)
	done := 0
	for n := range 590 {
		if s.state(jobID(n)) == "completed" {
			done++
		}
	}
	t.Logf("starts on the hanging worker per 15 s: %v of %d; quarantined %d, ended %d; %d jobs done; %v", starts, seen, quarantined, ended, done, s.violations)
	if ended > 0 {
		t.Errorf("probation ended %d times on a worker that completes nothing", ended)
	}
}
