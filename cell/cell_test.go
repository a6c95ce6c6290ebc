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

// quiet is how long a site gets, after its faults are over, to end all jobs.
const quiet = 40 * time.Second

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

func fill(s *site, n int) {
	for i := range n {
		s.submit(&job.Job{ID: jobID(i), Spec: "x", Steps: []job.Step{step(3, 2), step(2, 3, 0)}})
	}
}

func (s *site) mustComplete(n int) {
	s.t.Helper()
	is := is.New(s.t)
	for _, b := range s.broken {
		s.t.Error(b)
	}
	for i := range n {
		is.Equal(s.state(jobID(i)), "completed")
	}
}

func TestJobsComplete(t *testing.T) {
	s := newSite(t, 1, 4, 1)
	fill(s, 12)
	s.owners[0].take()
	s.run(quiet)
	s.mustComplete(12)
}

// Symptom: a start brings a worker over its capacity. Sequence: an owner is
// killed while its tasks run and while a cancelled one is being stopped; the
// next owner finds them all on the workers. Cause: a run that no job needs any
// more was taken over as if it needed nothing.
func TestTakeoverCountsWhatRuns(t *testing.T) {
	s := newSite(t, 2, 3, 2)
	s.length = func(string) time.Duration { return 3 * time.Second }
	fill(s, 20)
	s.owners[0].take()
	s.after(2*time.Second, func() {
		for i := range 6 {
			s.cancel(jobID(i))
		}
		s.owners[0].kill()
	})
	s.after(2100*time.Millisecond, s.owners[1].take)
	s.run(2 * quiet)
	is := is.New(t)
	is.Equal(s.broken, nil)
	for i := 6; i < 20; i++ {
		is.Equal(s.state(jobID(i)), "completed")
	}
}

// Symptom: a task runs twice at the same time. Sequence: an owner is frozen
// between deciding and ordering; another one takes the cell; the first wakes
// and goes on with what it had decided. Cause: without the term that workers
// check, nothing tells its orders from those of its successor.
func TestFrozenOwnerWakes(t *testing.T) {
	s := newSite(t, 3, 4, 2)
	fill(s, 20)
	s.owners[0].take()
	s.after(1500*time.Millisecond, func() { s.owners[0].freeze(4 * time.Second) })
	s.after(3*time.Second, s.owners[1].take)
	s.run(quiet)
	s.mustComplete(20)
}

// Symptom: a task runs twice at the same time. Sequence: an owner loses the
// store but not its workers, and half of them can't be reached by the next
// owner, which takes the cell meanwhile. Cause: the next owner started tasks
// that it found nowhere, though the first still ran them where it couldn't look.
func TestOwnerCutOffWithItsWorkers(t *testing.T) {
	s := newSite(t, 4, 4, 2)
	s.length = func(string) time.Duration { return 2500 * time.Millisecond }
	fill(s, 16)
	s.owners[0].take()
	s.after(1500*time.Millisecond, func() {
		s.owners[0].noStore = true
		for i := range 2 {
			s.owners[1].noWorker[i] = true
			s.owners[0].noWorker[2+i] = true
		}
	})
	s.after(3*time.Second, s.owners[1].take)
	s.after(9*time.Second, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].noWorker)
		clear(s.owners[1].noWorker)
	})
	s.run(2 * quiet)
	s.mustComplete(16)
}

// Symptom: a task runs twice at the same time. Sequence: an owner without the
// store sees a worker fall silent, waits for its lease to end and starts the
// worker's tasks elsewhere. Meanwhile its successor reaches that worker and
// keeps its tasks running. Cause: the end of a lease says nothing to an owner
// that can't know whether it still is one.
func TestLeaseEndsOnlyForAnOwner(t *testing.T) {
	s := newSite(t, 5, 4, 2)
	s.length = func(string) time.Duration { return 20 * time.Second }
	fill(s, 3)
	s.owners[0].take()
	s.after(2*time.Second, func() {
		s.owners[0].noWorker[0] = true
		for i := 1; i < 4; i++ {
			s.owners[1].noWorker[i] = true
		}
	})
	s.after(6*time.Second, func() { s.owners[0].noStore = true })
	s.after(7800*time.Millisecond, s.owners[1].take)
	s.after(13500*time.Millisecond, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].noWorker)
		clear(s.owners[1].noWorker)
	})
	s.run(4 * quiet)
	s.mustComplete(3)
}

// Symptom: a task runs twice at the same time. Sequence: an owner without the
// store keeps the leases of workers that its successor can't reach, for longer
// than the successor waits for them. Cause: nothing ended the leases of an
// owner that hasn't heard of its successor.
func TestIsolatedOwnerStopsExtending(t *testing.T) {
	s := newSite(t, 15, 4, 2)
	s.length = func(string) time.Duration { return 60 * time.Second }
	fill(s, 4)
	s.owners[0].take()
	s.after(2*time.Second, func() {
		s.owners[0].noStore = true
		for i := range 2 {
			s.owners[1].noWorker[i] = true
			s.owners[0].noWorker[2+i] = true
		}
	})
	s.after(4*time.Second, s.owners[1].take)
	s.after(40*time.Second, func() {
		s.owners[0].noStore = false
		clear(s.owners[0].noWorker)
		clear(s.owners[1].noWorker)
	})
	s.run(8 * quiet)
	s.mustComplete(4)
}

// Symptom: a task is started again after it was done and acknowledged.
// Sequence: the store is slow, more tasks end while a write is under way, and
// the owner is killed right after that write. Cause: ends were acknowledged
// that came after what the write held.
func TestEndsDuringAWrite(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 200+seed, 4, 2)
			s.storeDelay = 700 * time.Millisecond
			fill(s, 16)
			s.owners[0].take()
			s.relay(8, 2900*time.Millisecond)
			s.run(3 * quiet)
			s.mustComplete(16)
		})
	}
}

// relay has the owners take the cell from each other a number of times.
func (s *site) relay(times int, every time.Duration) {
	for i := range times {
		s.after(time.Duration(i+1)*every, func() {
			s.takeover(i%2, (i+1)%2)
		})
	}
}

// Symptom: a job is failed though each of its tasks failed less often than is
// allowed. Sequence: a failure is recorded, and the owner is killed before it
// acknowledges it; the next owner sees it listed again. Cause: the same end
// counted twice.
func TestFailuresCountOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 300+seed, 4, 2)
			s.storeDelay = 30 * time.Millisecond
			s.length = func(string) time.Duration { return 200 * time.Millisecond }
			failed := make(map[string]int)
			s.failing = func(task string, _ uint64) bool {
				failed[task]++
				return failed[task] < terms.Attempts
			}
			fill(s, 16)
			s.owners[0].take()
			s.relay(60, 130*time.Millisecond)
			s.run(3 * quiet)
			s.mustComplete(16)
		})
	}
}

// Symptom: a task isn't started again after a takeover. Sequence: it failed
// under one owner, and the next one starts it on the same worker. Cause: its
// attempts were numbered from 1 again, which the worker refuses.
func TestAttemptsRiseOverOwners(t *testing.T) {
	s := newSite(t, 16, 1, 2)
	s.failing = func(_ string, attempt uint64) bool { return attempt == 4097 }
	fill(s, 2)
	s.owners[0].take()
	s.relay(1, 5*time.Second)
	s.length = func(string) time.Duration { return 6 * time.Second }
	s.run(3 * quiet)
	s.mustComplete(2)
}

// Symptom: a task runs twice, or over a worker's capacity. Sequence: a worker
// carries orders out 2 to 12 s late and doesn't answer them. Cause: a start
// without an answer was given up, and took effect after all.
func TestOrdersCarriedOutLate(t *testing.T) {
	s := newSite(t, 6, 5, 1)
	s.lateOrders = 0.15
	fill(s, 25)
	s.owners[0].take()
	s.after(20*time.Second, func() { s.lateOrders = 0 })
	s.run(3 * quiet)
	s.mustComplete(25)
}

// Symptom: a job fails too early, or a task is started after it is done.
// Sequence: an owner's writes are done but not answered, and it is killed; its
// successor sees the same ends again. Cause: an end counted once for each time
// that it was seen.
func TestLostAnswersOfTheStore(t *testing.T) {
	s := newSite(t, 7, 4, 3)
	s.lostSaves = 0.4
	s.failing = func(_ string, attempt uint64) bool { return attempt == 4097 } // the first start of each task
	fill(s, 16)
	s.owners[0].take()
	for i, at := range []time.Duration{2500, 4100, 6000} {
		s.after(at*time.Millisecond, func() {
			s.takeover(i, (i+1)%3)
		})
	}
	s.after(9*time.Second, func() { s.lostSaves = 0 })
	s.run(3 * quiet)
	s.mustComplete(16)
}

// Symptom: tasks of a crashed worker are lost, or stay away for a whole lease.
// Sequence: a worker crashes with ends that nobody has recorded, and comes
// back as another life. Cause: its runs were waited for by their lease alone.
func TestWorkerCrashes(t *testing.T) {
	s := newSite(t, 8, 4, 1)
	s.length = func(string) time.Duration { return 2 * time.Second }
	fill(s, 12)
	s.owners[0].take()
	s.after(3*time.Second, func() { s.workers[0].crash(5*time.Second, 1) })
	s.after(4*time.Second, func() { s.workers[1].crash(500*time.Millisecond, 1) })
	s.run(16 * time.Second)
	s.mustComplete(12)
}

// Symptom: a cancelled job's task is started long after the cancellation.
// Sequence: jobs are cancelled while their first tasks are being started, and
// the owner is replaced. Cause: a cancellation that only the first owner knew.
func TestCancelDuringTakeover(t *testing.T) {
	s := newSite(t, 9, 3, 2)
	fill(s, 15)
	s.owners[0].take()
	s.after(400*time.Millisecond, func() {
		for i := range 15 {
			s.cancel(jobID(i))
		}
	})
	s.after(410*time.Millisecond, func() { s.takeover(0, 1) })
	s.run(quiet)
	is := is.New(t)
	is.Equal(s.broken, nil)
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
	s.failing = func(task string, _ uint64) bool { return task == jobID(0)+".0.0.1" }
	fill(s, 2)
	s.owners[0].take()
	s.run(quiet)
	is.Equal(s.broken, nil)
	is.Equal(s.state(jobID(0)), "failed")
	is.Equal(s.state(jobID(1)), "completed")
	is.Equal(s.failures[jobID(0)+".0.0.1"], terms.Attempts)
}

// Symptom: a task that is to last stays away. Sequence: it ends, by itself, by
// a crash of its worker and by a takeover. Cause: an end of a lasting task
// counted as its last.
func TestLastingTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 11, 4, 2)
	s.length = func(string) time.Duration { return 4 * time.Second }
	s.failing = func(_ string, attempt uint64) bool { return attempt%2 == 0 }
	lasting := step(4, 2)
	lasting.Lasting = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{lasting}})
	s.owners[0].take()
	s.after(6*time.Second, func() { s.workers[0].crash(2*time.Second, 1) })
	s.after(9*time.Second, func() { s.takeover(0, 1) })
	running := 0
	s.after(19*time.Second, func() {
		for _, w := range s.workers {
			running += len(w.runs)
		}
	})
	s.run(20 * time.Second)
	is.Equal(s.broken, nil)
	is.Equal(running, 4)
}

func TestGangStartsTogether(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 12, 4, 1)
	gang := step(6, 4)
	gang.Gang = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{gang}})
	s.submit(&job.Job{ID: jobID(1), Steps: []job.Step{step(2, 8)}})
	s.owners[0].take()
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
	s.length = func(string) time.Duration { return 8 * time.Second }
	s.run(quiet)
	is.Equal(s.broken, nil)
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
	s.owners[0].take()
	s.run(4900 * time.Millisecond)
	is.Equal(s.state(jobID(0)), "queued") // nothing begins before its time
	s.run(quiet)
	is.Equal(s.broken, nil)
	is.Equal(s.state(jobID(0)), "completed")
	is.Equal(len(s.ran), 6)
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
			s.length = func(string) time.Duration { return 5 * time.Second }
			s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{test.step()}})
			s.owners[0].take()
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

// Symptom: tasks of a silent worker are stopped as if they hung. Sequence: a
// worker can't be reached for two seconds. Cause: that its reports showed no
// advance was read off a report that was old.
func TestSilentWorkerDoesNotHang(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 17, 2, 1)
	s.length = func(string) time.Duration { return 6 * time.Second }
	fill(s, 2)
	s.owners[0].take()
	s.after(2*time.Second, func() { s.owners[0].noWorker[0] = true })
	s.after(5*time.Second, func() { clear(s.owners[0].noWorker) })
	s.run(quiet)
	s.mustComplete(2)
	for _, w := range s.workers {
		is.Equal(len(w.barred), int(w.count)) // each run ended once, by itself
		for _, e := range w.barred {
			is.True(e < 4098) // and no task needed a second attempt
		}
	}
}

// Symptom: after a takeover most workers are in quarantine. Sequence: an owner
// paused filling tasks and was replaced. Cause: its successor took them for
// running at full speed, saw no advance, and blamed their workers.
func TestAdoptedFillingTasksGoOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 18, 2, 2)
	s.length = func(string) time.Duration { return 5 * time.Second }
	fills := step(4, 1)
	fills.Fills = true
	s.submit(&job.Job{ID: jobID(0), Steps: []job.Step{fills}})
	s.owners[0].take()
	s.run(2 * time.Second)
	is.Equal(len(s.paces), 0)
	s.takeover(0, 1)
	s.run(3 * time.Second)
	is.Equal(len(s.paces), 4)
	for _, percent := range s.paces {
		is.Equal(percent, 100)
	}
}

// Symptom: the store fills up, or jobs that ended long ago run again. Sequence:
// jobs end, are kept for a while and dropped, while the cell changes hands at
// any moment of that. Cause: progress that is dropped before its job makes the
// job look as if it hadn't begun.
func TestOldJobsAreForgotten(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 400+seed, 3, 2)
			fill(s, 6)
			s.owners[0].take()
			s.run(9*time.Minute + 55*time.Second)
			s.relay(600, time.Duration(37+3*seed)*time.Millisecond)
			s.run(12 * time.Minute)
			is.Equal(s.broken, nil)
			for i := range 6 {
				is.Equal(s.state(jobID(i)), "unknown")
			}
			is.Equal(s.store.fold(t).Len(), 0)
			is.Equal(len(s.ran), 30) // nothing ran again
		})
	}
}
