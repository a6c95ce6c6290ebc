package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopsWithin is how long a task of a cancelled job may go on once its worker
// is in touch with an owner: the platform's bound for cancellations and the
// time of a stop.
const stopsWithin = 3*time.Second + 400*time.Millisecond

// running returns how many runs of a job there are on all workers.
func (s *site) running(id string) int {
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

// Guards against a start that is carried out after its job was cancelled, and is never stopped.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 3, 1)
	s.length = func(string) time.Duration { return time.Hour }
	s.owners[0].take()
	s.run(2 * time.Second)
	fill(s, 1)
	s.after(3*time.Second, func() { s.cancel(jobID(0)) })
	s.run(8 * time.Second)
	is.Equal(s.state(jobID(0)), "cancelled")
	is.Equal(s.running(jobID(0)), 0)
	late := &fakeRun{attempt: 1 << 30, length: time.Hour, since: s.now, pace: 100, need: s.needOf(jobID(0) + ".0.0.0")}
	s.workers[2].runs[jobID(0)+".0.0.0"] = late
	s.run(s.now + stopsWithin)
	is.Equal(s.running(jobID(0)), 0)
}

// Guards against tasks of a cancelled job that go on as their starter was removed.
func TestTasksOfRemovedStarterAreStopped(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 3, 2)
	s.length = func(string) time.Duration { return time.Hour }
	s.owners[0].take()
	s.run(2 * time.Second)
	fill(s, 4)
	s.run(4 * time.Second)
	is.True(s.running(jobID(2)) > 0)
	s.owners[0].kill()
	s.cancel(jobID(2))
	s.run(7 * time.Second)
	s.owners[1].take()
	s.run(s.now + stopsWithin)
	is.Equal(s.state(jobID(2)), "cancelled")
	is.Equal(s.running(jobID(2)), 0)
	is.True(s.running(jobID(1)) > 0) // others go on
}
