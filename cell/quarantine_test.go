package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Guards against sound workers in quarantine by chance, or unhealthy ones that get tasks.
func TestQuarantine(t *testing.T) {
	tests := []struct {
		name  string
		until time.Duration // the worker fails what ends there until then
		least int           // tasks that it completes
		most  int           // failures there
	}{
		{"two failures by chance", 1500 * time.Millisecond, 55, 8},
		{"unhealthy for long", 20 * time.Second, 0, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 4, 1)
			s.length = func(string) time.Duration { return 500 * time.Millisecond }
			failed, done := 0, 0
			s.unhealthy = func(w *fakeWorker) bool {
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
			s.owners[0].take()
			s.run(12 * time.Second)
			t.Logf("failed %d, done %d", failed, done)
			is.Equal(s.broken, nil)
			is.True(done >= tt.least)
			is.True(failed <= tt.most)
			s.run(quiet)
			s.mustComplete(100)
		})
	}
}
