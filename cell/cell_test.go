package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// settleTime is how long a site gets, after its faults are over, to finish all jobs.
const settleTime = 40 * time.Second

func step(count int, cores int64, after ...int) job.Step {
	return job.Step{
		Count:    count,
		Need:     resource.Vector{Processors: cores * 1000, Memory: 1000},
		Estimate: time.Second,
		After:    after,
	}
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", n)
}

func submitJobs(s *site, n int) {
	for i := range n {
		s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(3, 2), step(2, 3, 0)}})
	}
}

func (s *site) mustComplete(n int) {
	s.t.Helper()
	is := is.New(s.t)
	for _, b := range s.violations {
		s.t.Error(b)
	}
	for i := range n {
		is.Equal(s.state(jobID(i)), "completed")
	}
}

func TestJobsComplete(t *testing.T) {
	s := newSite(t, 1, 4, 1)
	submitJobs(s, 12)
	s.owners[0].takeOver()
	s.run(settleTime)
	s.mustComplete(12)
}

// Guards against a new owner that adopts runs without counting the capacity they use.
func TestTakeoverCountsWhatRuns(t *testing.T) {
	s := newSite(t, 2, 3, 2)
	s.duration = func(string) time.Duration { return 3 * time.Second }
	submitJobs(s, 20)
	s.owners[0].takeOver()
	s.after(2*time.Second, func() {
		for i := range 6 {
			s.cancel(jobID(i))
		}
		s.owners[0].kill()
	})
	s.after(2100*time.Millisecond, s.owners[1].takeOver)
	s.run(2 * settleTime)
	is := is.New(t)
	is.Equal(s.violations, nil)
	for i := 6; i < 20; i++ {
		is.Equal(s.state(jobID(i)), "completed")
	}
}

// Guards against orders of an owner that was frozen while another one took the cell.
func TestFrozenOwnerWakes(t *testing.T) {
	s := newSite(t, 3, 4, 2)
	submitJobs(s, 20)
	s.owners[0].takeOver()
	s.after(1500*time.Millisecond, func() { s.owners[0].freeze(4 * time.Second) })
	s.after(3*time.Second, s.owners[1].takeOver)
	s.run(settleTime)
	s.mustComplete(20)
}

// Guards against tasks that go on running on workers that a new owner can't reach, and are
// run again.
func TestOwnerCutOffWithItsWorkers(t *testing.T) {
	s := newSite(t, 4, 4, 2)
	s.duration = func(string) time.Duration { return 2500 * time.Millisecond }
	submitJobs(s, 16)
	s.owners[0].takeOver()
	s.after(1500*time.Millisecond, func() {
		s.owners[0].noStore = true
		for i := range 2 {
			s.owners[1].unreachable[i] = true
			s.owners[0].unreachable[2+i] = true
		}
	})
	s.after(3*time.Second, s.owners[1].takeOver)
	s.after(9*time.Second, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].unreachable)
		clear(s.owners[1].unreachable)
	})
	s.run(2 * settleTime)
	s.mustComplete(16)
}

// Guards against a lease that counts as expired for an owner that may have been replaced.
func TestLeaseEndsOnlyForAnOwner(t *testing.T) {
	s := newSite(t, 5, 4, 2)
	s.duration = func(string) time.Duration { return 20 * time.Second }
	submitJobs(s, 3)
	s.owners[0].takeOver()
	s.after(2*time.Second, func() {
		s.owners[0].unreachable[0] = true
		for i := 1; i < 4; i++ {
			s.owners[1].unreachable[i] = true
		}
	})
	s.after(6*time.Second, func() { s.owners[0].noStore = true })
	s.after(7800*time.Millisecond, s.owners[1].takeOver)
	s.after(13500*time.Millisecond, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].unreachable)
		clear(s.owners[1].unreachable)
	})
	s.run(4 * settleTime)
	s.mustComplete(3)
}

// Guards against an owner without the store that renews leases for longer than its
// successor waits.
func TestIsolatedOwnerStopsExtending(t *testing.T) {
	s := newSite(t, 15, 4, 2)
	s.duration = func(string) time.Duration { return 60 * time.Second }
	submitJobs(s, 4)
	s.owners[0].takeOver()
	s.after(2*time.Second, func() {
		s.owners[0].noStore = true
		for i := range 2 {
			s.owners[1].unreachable[i] = true
			s.owners[0].unreachable[2+i] = true
		}
	})
	s.after(4*time.Second, s.owners[1].takeOver)
	s.after(40*time.Second, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].unreachable)
		clear(s.owners[1].unreachable)
	})
	s.run(8 * settleTime)
	s.mustComplete(4)
}

// Guards against ends that are acknowledged with a write that doesn't include them.
func TestEndsDuringAWrite(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 200+seed, 4, 2)
			s.storeDelay = 700 * time.Millisecond
			submitJobs(s, 16)
			s.owners[0].takeOver()
			s.alternateOwners(8, 2900*time.Millisecond)
			s.run(3 * settleTime)
			s.mustComplete(16)
		})
	}
}

// alternateOwners makes two owners take the cell from each other a number of times.
func (s *site) alternateOwners(times int, every time.Duration) {
	for i := range times {
		s.after(time.Duration(i+1)*every, func() {
			s.replaceOwner(i%2, (i+1)%2)
		})
	}
}

// Guards against a failure that is counted again by the next owner that sees it listed.
func TestFailuresCountOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 300+seed, 4, 2)
			s.storeDelay = 30 * time.Millisecond
			s.duration = func(string) time.Duration { return 200 * time.Millisecond }
			failed := make(map[string]int)
			s.failsTask = func(task string, _ uint64) bool {
				failed[task]++
				return failed[task] < terms.Attempts
			}
			submitJobs(s, 16)
			s.owners[0].takeOver()
			s.alternateOwners(60, 130*time.Millisecond)
			s.run(3 * settleTime)
			s.mustComplete(16)
		})
	}
}

// Guards against attempt numbers of a new owner that a worker refuses as too low.
func TestAttemptsRiseOverOwners(t *testing.T) {
	s := newSite(t, 16, 1, 2)
	s.failsTask = func(_ string, attempt uint64) bool { return attempt == firstAttempt }
	submitJobs(s, 2)
	s.owners[0].takeOver()
	s.alternateOwners(1, 5*time.Second)
	s.duration = func(string) time.Duration { return 6 * time.Second }
	s.run(3 * settleTime)
	s.mustComplete(2)
}

// Guards against an unanswered start that takes effect after it was given up.
func TestOrdersCarriedOutLate(t *testing.T) {
	s := newSite(t, 6, 5, 1)
	s.lateOrderRate = 0.15
	submitJobs(s, 25)
	s.owners[0].takeOver()
	s.after(20*time.Second, func() { s.lateOrderRate = 0 })
	s.run(3 * settleTime)
	s.mustComplete(25)
}

// Guards against ends that are counted each time they are listed.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSite(t, 7, 4, 3)
	s.lostSaveRate = 0.4
	s.failsTask = func(_ string, attempt uint64) bool { return attempt == firstAttempt } // the first start of each task
	submitJobs(s, 16)
	s.owners[0].takeOver()
	for i, at := range []time.Duration{2500, 4100, 6000} {
		s.after(at*time.Millisecond, func() {
			s.replaceOwner(i, (i+1)%3)
		})
	}
	s.after(9*time.Second, func() { s.lostSaveRate = 0 })
	s.run(3 * settleTime)
	s.mustComplete(16)
}

// Guards against tasks of a crashed worker that wait for its lease to expire, or are lost.
func TestWorkerCrashes(t *testing.T) {
	s := newSite(t, 8, 4, 1)
	s.duration = func(string) time.Duration { return 2 * time.Second }
	submitJobs(s, 12)
	s.owners[0].takeOver()
	s.after(3*time.Second, func() { s.workers[0].crash(5*time.Second, 1) })
	s.after(4*time.Second, func() { s.workers[1].crash(500*time.Millisecond, 1) })
	s.run(16 * time.Second)
	s.mustComplete(12)
}

// Guards against a cancellation that only the previous owner knew about.
func TestCancelDuringTakeover(t *testing.T) {
	s := newSite(t, 9, 3, 2)
	submitJobs(s, 15)
	s.owners[0].takeOver()
	s.after(400*time.Millisecond, func() {
		for i := range 15 {
			s.cancel(jobID(i))
		}
	})
	s.after(410*time.Millisecond, func() { s.replaceOwner(0, 1) })
	s.run(settleTime)
	is := is.New(t)
	is.Equal(s.violations, nil)
	for i := range 15 {
		is.Equal(s.state(jobID(i)), "cancelled")
	}
	for _, w := range s.workers {
		is.Equal(len(w.runs), 0) // all were stopped
	}
}

func TestAttemptsUsedUp(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 10, 4, 1)
	s.failsTask = func(task string, _ uint64) bool { return task == jobID(0)+".0.0.1" }
	submitJobs(s, 2)
	s.owners[0].takeOver()
	s.run(settleTime)
	is.Equal(s.violations, nil)
	is.Equal(s.state(jobID(0)), "failed")
	is.Equal(s.state(jobID(1)), "completed")
	is.Equal(s.failures[jobID(0)+".0.0.1"], terms.Attempts)
}

// Guards against a lasting task that isn't restarted after it ended.
func TestLastingTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 11, 4, 2)
	s.duration = func(string) time.Duration { return 4 * time.Second }
	s.failsTask = func(_ string, attempt uint64) bool { return attempt%2 == 0 }
	lasting := step(4, 2)
	lasting.Lasting = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{lasting}})
	s.owners[0].takeOver()
	s.after(6*time.Second, func() { s.workers[0].crash(2*time.Second, 1) })
	s.after(9*time.Second, func() { s.replaceOwner(0, 1) })
	running := 0
	s.after(19*time.Second, func() {
		for _, w := range s.workers {
			running += len(w.runs)
		}
	})
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(running, 4)
}

func TestGangStartsTogether(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 12, 4, 1)
	gang := step(6, 4)
	gang.Gang = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{gang}})
	s.submit(&job.Job{ID: jobID(1), Steps: []job.Step{step(2, 8)}})
	s.owners[0].takeOver()
	attempts := make(map[uint64]int)
	s.after(5*time.Second, func() {
		for _, w := range s.workers {
			for _, name := range sortedNames(w.runs) {
				if len(name) > 16 && name[:16] == jobID(0) {
					attempts[w.runs[name].attempt]++
				}
			}
		}
	})
	s.duration = func(string) time.Duration { return 8 * time.Second }
	s.run(settleTime)
	is.Equal(s.violations, nil)
	is.Equal(len(attempts), 1) // all members share one attempt
	for _, n := range attempts {
		is.Equal(n, 6)
	}
	is.Equal(s.state(jobID(0)), "completed")
}

func TestScheduledOccurrences(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 13, 3, 1)
	first := wall(5 * time.Second).UnixMilli()
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{step(2, 1)}, First: first, Interval: 2000, Times: 3})
	s.owners[0].takeOver()
	s.run(4900 * time.Millisecond)
	is.Equal(s.state(jobID(0)), "queued") // nothing begins before its time
	s.run(settleTime)
	is.Equal(s.violations, nil)
	is.Equal(s.state(jobID(0)), "completed")
	is.Equal(len(s.completed), 6)
}

// Guards against a job that counts as running although none of its tasks has begun.
func TestJobIsQueuedUntilATaskBegins(t *testing.T) {
	tests := []struct {
		name     string
		takeover bool
		gang     bool
	}{
		{"its owner goes on", false, false},
		{"an owner follows", true, false},
		{"a gang", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 14, 2, 2)
			s.owners[0].takeOver()
			s.run(time.Second)
			s.lateOrderRate = 1
			few := step(2, 2)
			few.Gang = tt.gang
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{few}})
			s.run(s.now + 100*time.Millisecond) // its starts are ordered, and never carried out
			s.lateOrderRate = 0
			for _, w := range s.workers {
				w.corruptEntry(5 * time.Second) // it waits
			}
			s.run(s.now + 1500*time.Millisecond)
			if tt.takeover {
				s.replaceOwner(0, 1)
			}
			s.run(s.now + time.Second)
			is.Equal(s.state(jobID(0)), "queued")
			s.run(s.now + 3*settleTime)
			is.Equal(s.violations, nil)
			is.Equal(s.state(jobID(0)), "completed")
		})
	}
}

func TestPlacement(t *testing.T) {
	tests := []struct {
		name string
		step func() job.Step
		ok   func(task string, h provider.Host, others int) bool
	}{
		{
			name: "at most one on a worker",
			step: func() job.Step { s := step(4, 1); s.PerWorker = 1; return s },
			ok:   func(_ string, _ provider.Host, others int) bool { return others == 1 },
		},
		{
			name: "only with the label",
			step: func() job.Step { s := step(4, 1); s.Label = "r1"; return s },
			ok:   func(_ string, h provider.Host, _ int) bool { return h.HasLabel("r1") },
		},
		{
			name: "near its data",
			step: func() job.Step { s := step(4, 1); s.Rack = "r0"; return s },
			ok:   func(_ string, h provider.Host, _ int) bool { return h.HasLabel("r0") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 14, 4, 1)
			s.duration = func(string) time.Duration { return 5 * time.Second }
			s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{test.step()}})
			s.owners[0].takeOver()
			s.run(2 * time.Second)
			started := 0
			for _, w := range s.workers {
				for _, name := range sortedNames(w.runs) {
					started++
					is.True(test.ok(name, w.host, len(w.runs))) // placed as asked
				}
			}
			is.Equal(started, 4)
		})
	}
}

// Guards against tasks of a silent worker that are stopped as if they were hanging.
func TestSilentWorkerDoesNotHang(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 17, 2, 1)
	s.duration = func(string) time.Duration { return 6 * time.Second }
	submitJobs(s, 2)
	s.owners[0].takeOver()
	s.after(2*time.Second, func() { s.owners[0].unreachable[0] = true })
	s.after(5*time.Second, func() { clear(s.owners[0].unreachable) })
	s.run(settleTime)
	s.mustComplete(2)
	for _, w := range s.workers {
		is.Equal(len(w.highestEnded), int(w.endCount)) // each run ended once, by itself
		for _, e := range w.highestEnded {
			is.True(e <= firstAttempt) // and no task needed a second attempt
		}
	}
}

// Guards against a task that is stopped as hanging for ever because it takes far longer than estimated.
func TestTaskMayTakeFarLongerThanEstimated(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 21, 1, 1)
	s.duration = func(string) time.Duration { return 10 * time.Minute }
	long := step(1, 2)
	long.Estimate = 3 * time.Second
	s.owners[0].takeOver()
	starts := s.lines("start")
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{long}})
	s.run(11 * time.Minute)
	is.Equal(s.state(jobID(0)), "completed")
	is.True(len(*starts) <= 4)
	is.Equal(s.violations, nil)
}

// Guards against a task that waits for over three seconds beside the only worker for it, on which it has failed.
func TestFailedTaskIsStartedAgainOnTheOnlyWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 22, 1, 1)
	s.failsTask = func(task string, attempt uint64) bool { return attempt%2 == 1 }
	s.owners[0].takeOver()
	starts := s.lines("start")
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 2)}})
	for s.failures[jobID(0)+".0.0.0"] == 0 && s.now < 10*time.Second {
		s.run(s.now + tickInterval)
	}
	failedAt := s.now
	for len(*starts) < 2 && s.now < failedAt+10*time.Second {
		s.run(s.now + tickInterval)
	}
	is.True(s.now-failedAt < 2500*time.Millisecond)
	s.run(s.now + 3*time.Second)
	is.Equal(s.state(jobID(0)), "completed")
	is.Equal(s.violations, nil)
}

// Guards against runs that the previous owner paused and that count as hanging.
func TestAdoptedFillingTasksGoOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 18, 2, 2)
	s.duration = func(string) time.Duration { return 5 * time.Second }
	fills := step(4, 1)
	fills.Fills = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{fills}})
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	is.Equal(len(s.paces), 0)
	s.replaceOwner(0, 1)
	s.run(3 * time.Second)
	is.Equal(len(s.paces), 4)
	for _, percent := range s.paces {
		is.Equal(percent, 100)
	}
}

// Guards against a store that fills up with old jobs, and against old jobs that run again.
func TestOldJobsAreForgotten(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 400+seed, 3, 2)
			submitJobs(s, 6)
			s.owners[0].takeOver()
			s.run(9*time.Minute + 55*time.Second)
			s.alternateOwners(600, time.Duration(37+3*seed)*time.Millisecond)
			s.run(12 * time.Minute)
			is.Equal(s.violations, nil)
			for i := range 6 {
				is.Equal(s.state(jobID(i)), "unknown")
			}
			is.Equal(s.store.readCatalog(t).Len(), 0)
			is.Equal(len(s.completed), 30) // nothing ran again
		})
	}
}

// Guards against a task that hangs unnoticed for a multiple of the stall timeout because it hung before.
func TestTaskThatHungBeforeIsStartedAgainInTime(t *testing.T) {
	s := newSite(t, 9050, 6, 1)
	const fault = 24 * time.Second // all runs that begin before hang
	s.duration = func(string) time.Duration {
		if s.now < fault {
			return 1e6 * time.Second
		}
		return 500 * time.Millisecond
	}
	s.owners[0].takeOver()
	s.run(time.Second)
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(3, 1)}})
	s.run(fault)
	for s.state(jobID(0)) != "completed" && s.now < 5*time.Minute {
		s.run(s.now + 100*time.Millisecond)
	}
	t.Logf("completed %v after the fault", s.now-fault)
	if s.now-fault > 6*time.Second {
		t.Errorf("completed %v after the fault has ended", s.now-fault)
	}
}
