package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// TestUrgentGoesBeforeLasting checks on a full worker that urgent jobs go before a waiting
// lasting one, but not forever.
func TestUrgentGoesBeforeLasting(t *testing.T) {
	tests := []struct {
		name      string
		urgent    int           // jobs, one every half second, each of which uses the worker for as long
		startedBy time.Duration // when the lasting task has begun
	}{
		{"one urgent job", 1, 5 * time.Second},
		{"urgent jobs without end", 60, 16 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 1, 1)
			s.duration = func(task string) time.Duration {
				switch {
				case s.isLasting(task):
					return time.Hour
				case task == jobID(0)+".0.0.0":
					return 3 * time.Second
				}
				return 500 * time.Millisecond
			}
			s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(1, 6)}})
			s.owners[0].takeOver()
			s.after(time.Second, func() {
				lasting := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(1, 6)}}
				lasting.Steps[0].Lasting = true
				s.submit(lasting)
			})
			for i := range tt.urgent {
				s.after(2*time.Second+time.Duration(i)*500*time.Millisecond, func() {
					s.submit(&job.Job{ID: jobID(2 + i), Spec: "x", Steps: []job.Step{step(1, 6)}})
				})
			}
			s.run(4 * time.Second)
			is.Equal(s.state(jobID(2)), "completed") // the first of them
			s.run(tt.startedBy)
			is.Equal(s.state(jobID(1)), "running")
			is.Equal(s.violations, nil)
		})
	}
}
