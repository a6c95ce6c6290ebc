package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// maxStopTime is how long a task of a cancelled job may go on once its worker is in
// contact with an owner: the platform's limit for cancellations plus the duration of a
// stop.
const maxStopTime = 3*time.Second + 400*time.Millisecond

// runCount returns the number of a job's runs on all workers.
func (s *site) runCount(id string) int {
	n := 0
	for _, w := range s.workers {
		for name := range w.runs {
			if name[:len(id)] == id {
				n++
			}
		}
	}
	return n
}

// Guards against a start that is carried out after its job was cancelled, and is never
// stopped.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 3, 1)
	s.duration = func(string) time.Duration { return time.Hour }
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	submitJobs(s, 1)
	s.after(3*time.Second, func() { s.cancel(jobID(0)) })
	s.run(8 * time.Second)
	is.Equal(s.state(jobID(0)), "cancelled")
	is.Equal(s.runCount(jobID(0)), 0)
	lateRun := &fakeRun{attempt: 1 << 30, duration: time.Hour, paceSince: s.now, pace: 100, need: s.needOf(jobID(0) + ".0.0.0")}
	s.workers[2].runs[jobID(0)+".0.0.0"] = lateRun
	s.run(s.now + maxStopTime)
	is.Equal(s.runCount(jobID(0)), 0)
}

// Guards against tasks of a cancelled job that go on because the owner that started them
// was removed.
func TestTasksOfRemovedStarterAreStopped(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 3, 2)
	s.duration = func(string) time.Duration { return time.Hour }
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	for n := range 4 {
		long := step(3, 2)
		long.Estimate = time.Hour // they don't count as hanging
		s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{long}})
	}
	s.run(4 * time.Second)
	is.True(s.runCount(jobID(2)) > 0)
	s.owners[0].kill()
	s.cancel(jobID(2))
	s.run(7 * time.Second)
	s.owners[1].takeOver()
	s.run(s.now + maxStopTime)
	is.Equal(s.state(jobID(2)), "cancelled")
	is.Equal(s.runCount(jobID(2)), 0)
	is.True(s.runCount(jobID(1)) > 0) // others go on
}
