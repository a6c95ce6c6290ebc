package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against paused filling tasks that are neither let go on nor moved.
func TestPausedTasksAreMoved(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 2, 1)
	s.length = func(task string) time.Duration {
		if s.lasts(task) {
			return time.Hour
		}
		return 3 * time.Second
	}
	serving := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(2, 4)}}
	serving.Steps[0].Lasting = true
	serving.Steps[0].PerWorker = 1
	serving.Steps[0].Image = "quick"
	serving.Steps[0].Target = 10 * time.Millisecond
	var slowed *fakeWorker // the worker on which the filling task begins
	began := time.Duration(0)
	s.tail = func(_ string, w *fakeWorker) time.Duration {
		switch {
		case w != slowed:
			return 2 * time.Millisecond
		case s.now < began+time.Second:
			return 9800 * time.Microsecond
		}
		return 7500 * time.Microsecond
	}
	filling := &job.Job{ID: jobID(2), Spec: "x", Steps: []job.Step{step(1, 4)}}
	filling.Steps[0].Fills = true
	filling.Steps[0].Image = "rebuild"
	s.submit(serving)
	s.owners[0].take()
	s.after(3*time.Second, func() { s.submit(filling) })
	var watch func()
	watch = func() {
		for _, w := range s.workers {
			if slowed == nil && w.runs[jobID(2)+".0.0.0"] != nil {
				slowed, began = w, s.now
			}
		}
		s.after(50*time.Millisecond, watch)
	}
	s.after(0, watch)
	s.run(12 * time.Second)
	is.True(slowed != nil)
	is.Equal(s.broken, nil)
	is.Equal(s.state(jobID(2)), "completed") // 1 s paused, then 3 s elsewhere
}
