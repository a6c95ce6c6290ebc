package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// servingJob returns a lasting job of one task with a latency target.
func servingJob(n int, image string, cores int64) *job.Job {
	j := &job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(1, cores)}}
	j.Steps[0].Lasting = true
	j.Steps[0].Image = image
	j.Steps[0].Target = 10 * time.Millisecond
	return j
}

// Guards against filling tasks that wait because serving tasks of different images share
// workers.
func TestServingTasksAreMovedToTheirImage(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1, 2, 1)
	s.duration = func(task string) time.Duration {
		if s.isLasting(task) {
			return time.Hour
		}
		return 2 * time.Second
	}
	// Filling tasks slow down the tasks of image "mind", and none of image "bear".
	s.tail = func(task string, w *fakeWorker) time.Duration {
		slack := 4.0
		if s.stepOf(task).Image == "mind" {
			for name, r := range w.runs {
				if s.stepOf(name).Fills {
					slack -= 12 * float64(s.processorsOf(name)) / workerMillicores * float64(r.pace) / 100
				}
			}
		}
		return time.Duration(float64(10*time.Millisecond) / max(0.1, slack))
	}
	s.owners[0].takeOver()
	s.submit(servingJob(1, "mind", 5))
	s.after(500*time.Millisecond, func() { s.submit(servingJob(2, "mind", 3)) })  // uses up the worker of job 1
	s.after(1000*time.Millisecond, func() { s.submit(servingJob(3, "bear", 4)) }) // on the other worker
	s.after(1500*time.Millisecond, func() { s.submit(servingJob(4, "mind", 3)) }) // beside job 3, as the other worker is full
	rebuild := &job.Job{ID: jobID(5), Spec: "x", Steps: []job.Step{step(24, 2)}}
	rebuild.Steps[0].Fills = true
	rebuild.Steps[0].Image = "rebuild"
	s.after(2*time.Second, func() { s.submit(rebuild) })
	s.after(5*time.Second, func() { s.cancel(jobID(2)) })
	s.run(4900 * time.Millisecond)
	is.True(s.workerOf(jobID(4)) == s.workerOf(jobID(3)))
	s.run(15 * time.Second)
	is.Equal(s.violations, nil)
	is.True(s.workerOf(jobID(4)) == s.workerOf(jobID(1)))
	is.Equal(s.state(jobID(5)), "completed")
}

// workerOf returns the worker that runs the only task of a job.
func (s *site) workerOf(id string) *fakeWorker {
	for _, w := range s.workers {
		if w.runs[id+".0.0.0"] != nil {
			return w
		}
	}
	return nil
}

// Guards against serving tasks of different images on one worker because their starts are on their way.
func TestServingTasksThatStartTogetherStayApart(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 4, 1)
	s.duration = func(string) time.Duration { return time.Hour }
	s.tail = func(string, *fakeWorker) time.Duration { return time.Millisecond }
	s.owners[0].takeOver()
	images := []string{"mind", "bear", "rebuild", "sort"}
	s.after(time.Second, func() {
		for n, image := range images {
			s.submit(servingJob(n, image, 1))
		}
	})
	s.run(1500 * time.Millisecond)
	runners := make(map[*fakeWorker]bool)
	for n := range images {
		w := s.workerOf(jobID(n))
		is.True(w != nil)
		runners[w] = true
	}
	is.Equal(len(runners), len(images))
	is.Equal(s.violations, nil)
}
