package cell_test

import (
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// BenchmarkOwner plays 10 s of a site of 490 workers with a thousand starts a
// second, and tells what the owner spends on each start.
func BenchmarkOwner(b *testing.B) {
	for range b.N {
		s := newSite(&testing.T{}, 1, 490, 1)
		s.length = func(string) time.Duration { return 1700 * time.Millisecond }
		n := 0
		var arrive func()
		arrive = func() {
			j := &job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(20, 1)}}
			j.Steps[0].Fills = n%2 == 0
			j.Steps[0].Image = "f"
			n++
			s.submit(j)
			s.after(20*time.Millisecond, arrive)
		}
		s.after(0, arrive)
		s.owners[0].take()
		s.run(10 * time.Second)
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(s.ran)+1), "ns/start")
	}
}
