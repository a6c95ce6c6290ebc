package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// TestWave plays a wave of upkeep beside a step that may miss one task: every
// machine has its upkeep once, no more are down at once than the wave allows,
// and it is said to be completed only then. A takeover changes nothing.
func TestWave(t *testing.T) {
	tests := []struct {
		name     string
		most     int
		takeover time.Duration // zero for none
	}{
		{"one at a time", 1, 0},
		{"two at a time", 2, 0},
		{"takeover in between", 1, 8 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, 5, 2)
			s.length = func(string) time.Duration { return time.Hour }
			s.tail = func(string, *fakeWorker) time.Duration { return 0 }
			s.wanted = []provider.Wave{{Number: 3, Machines: []string{"m0", "m1", "m2", "m3"}, Most: tt.most, Within: time.Minute}}
			lasting := &job.Job{ID: jobID(1), Spec: "x", Steps: []job.Step{step(4, 2)}}
			lasting.Steps[0].Lasting = true
			lasting.Steps[0].MayMiss = 1
			s.submit(lasting)
			s.owners[0].take()
			if tt.takeover > 0 {
				s.after(tt.takeover, func() {
					s.owners[0].kill()
					s.owners[1].take()
				})
			}
			var watch func()
			watch = func() {
				down := 0
				for _, w := range s.workers {
					if !w.up {
						down++
					}
				}
				if down > tt.most {
					s.violate("%d machines are down", down)
				}
				if s.waves[3] && len(s.upkeeps) < 4 {
					s.violate("the wave is completed with %d of 4 machines", len(s.upkeeps))
				}
				s.after(50*time.Millisecond, watch)
			}
			s.after(0, watch)
			s.run(50 * time.Second)
			is.Equal(s.broken, nil)
			is.True(s.waves[3])
			for i := range 4 {
				is.Equal(s.upkeeps[fmt.Sprintf("m%d", i)], 1)
			}
		})
	}
}
