package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against paused filling tasks that are neither resumed nor moved.
func TestPausedTasksAreMoved(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 2, 1)
	s.duration = func(task string) time.Duration {
		if s.isLasting(task) {
			return time.Hour
		}
		return 3 * time.Second
	}
	serving := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(2, 4)}}
	serving.Steps[0].Lasting = true
	serving.Steps[0].PerWorker = 1
	serving.Steps[0].Image = "quick"
	serving.Steps[0].Target = 10 * time.Millisecond
	var slowed *fakeWorker // the worker on which the filling task starts
	fillStartedAt := time.Duration(0)
	s.tail = func(_ string, w *fakeWorker) time.Duration {
		switch {
		case w != slowed:
			return 2 * time.Millisecond
		case s.now < fillStartedAt+time.Second:
			return 9800 * time.Microsecond
		}
		return 7500 * time.Microsecond
	}
	filling := &job.Job{ID: jobID(2), Spec: "x", Steps: []job.Step{step(1, 4)}}
	filling.Steps[0].Fills = true
	filling.Steps[0].Image = "rebuild"
	s.submit(serving)
	s.owners[0].takeOver()
	s.after(3*time.Second, func() { s.submit(filling) })
	var watch func()
	watch = func() {
		for _, w := range s.workers {
			if slowed == nil && w.runs[jobID(2)+".0.0.0"] != nil {
				slowed, fillStartedAt = w, s.now
			}
		}
		s.after(50*time.Millisecond, watch)
	}
	s.after(0, watch)
	s.run(12 * time.Second)
	is.True(slowed != nil)
	is.Equal(s.violations, nil)
	is.Equal(s.state(jobID(2)), "completed") // 1 s paused, then 3 s elsewhere
}

// Guards against filling tasks that aren't paused beside a serving task whose tail
// fluctuates around its target.
func TestFillingTasksPauseBesideFluctuatingTail(t *testing.T) {
	is := is.New(t)
	const target, maxRunning = 10 * time.Millisecond, 4 * time.Second
	s := newSite(t, 1, 1, 1)
	s.duration = func(task string) time.Duration {
		if s.isLasting(task) {
			return time.Hour
		}
		return 700 * time.Millisecond
	}
	serving := &job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 4)}}
	serving.Steps[0].Lasting = true
	serving.Steps[0].Image = "quick"
	serving.Steps[0].Target = target
	s.tail = func(string, *fakeWorker) time.Duration {
		if s.now/(200*time.Millisecond)%4 == 0 {
			return target * 96 / 100 // readings are off by up to a tenth
		}
		return target * 104 / 100
	}
	s.submit(serving)
	s.owners[0].takeOver()
	for i := range 200 {
		filling := &job.Job{ID: jobID(1 + i), Spec: "x", Steps: []job.Step{step(1, 1)}}
		filling.Steps[0].Need.Processors = 160 // a fiftieth of the worker
		filling.Steps[0].Fills = true
		filling.Steps[0].Image = fmt.Sprintf("rebuild-%d", i)
		s.after(2*time.Second+time.Duration(i)*50*time.Millisecond, func() { s.submit(filling) })
	}
	lastPausedAt, longest := time.Duration(0), time.Duration(0)
	var watch func()
	watch = func() {
		working := false
		for name, r := range s.workers[0].runs {
			working = working || !s.isLasting(name) && r.pace > 0
		}
		if !working {
			lastPausedAt = s.now
		}
		longest = max(longest, s.now-lastPausedAt)
		s.after(20*time.Millisecond, watch)
	}
	s.after(2*time.Second, watch)
	s.run(12 * time.Second)
	is.Equal(s.violations, nil)
	if longest > maxRunning {
		t.Errorf("filling tasks work on for %v", longest)
	}
}
