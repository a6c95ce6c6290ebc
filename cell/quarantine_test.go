package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
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
