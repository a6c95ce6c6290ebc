package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// acceptsLasting reports whether an instance that reads the record accepts lasting jobs.
func (s *site) acceptsLasting() bool {
	return s.store.readCatalog(s.t).Backlog().HasRoom(service, terms.Priority)
}

// Guards against urgent jobs that wait for capacity that new lasting jobs keep taking.
func TestUrgentJobsFindRoom(t *testing.T) {
	const (
		workers        = 40
		span           = 60 * time.Second
		lifetime       = 12 * time.Second // on average
		callerPatience = 2 * time.Second  // that callers wait beyond the objective
	)
	tests := []struct {
		name     string
		interval time.Duration // between two lasting jobs
		reject   bool
		rejected [2]int // minimum and maximum
		inTime   [2]float64
	}{
		{"all are accepted", 600 * time.Millisecond, false, [2]int{}, [2]float64{0, 0.2}},
		{"some are rejected", 600 * time.Millisecond, true, [2]int{20, 40}, [2]float64{0.7, 1}},
		{"there is room for all", 1100 * time.Millisecond, true, [2]int{}, [2]float64{0.95, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 1, workers, 1)
			s.duration = func(string) time.Duration { return time.Second }
			rejected, urgent, n := 0, 0, 0
			submitted := make(map[string]time.Duration)
			for at := time.Duration(0); at < span; at += test.interval {
				s.after(at, func() {
					if test.reject && !s.acceptsLasting() {
						rejected++
						return
					}
					n++
					id := jobID(n)
					j := &job.Job{ID: id, Spec: "x", Steps: []job.Step{step(8, 2)}}
					j.Steps[0].Lasting = true
					j.Steps[0].PerWorker = 1
					s.submit(j)
					s.after(lifetime+time.Duration(n%9-4)*time.Second, func() { s.cancel(id) })
				})
			}
			for at := 5 * time.Second; at < span; at += 500 * time.Millisecond {
				s.after(at, func() {
					n++
					urgent++
					s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(4, 5)}})
					submitted[jobID(n)] = s.now
				})
			}
			inTime := 0
			s.after(0, func() { s.owners[0].takeOver() })
			var poll func()
			poll = func() {
				known := s.store.readCatalog(t)
				for id, at := range submitted {
					if state, _ := known.State(id); state.Final() {
						delete(submitted, id)
						if s.now-at <= terms.Objective+callerPatience {
							inTime++
						}
					}
				}
				s.after(100*time.Millisecond, poll)
			}
			s.after(0, poll)
			s.run(span + 5*time.Second)
			share := float64(inTime) / float64(urgent)
			t.Logf("%d of %d lasting jobs rejected, %.2f of the urgent ones in time", rejected, n-urgent+rejected, share)
			is.Equal(s.violations, nil)
			is.True(rejected >= test.rejected[0] && rejected <= test.rejected[1])
			is.True(share >= test.inTime[0] && share <= test.inTime[1])
		})
	}
}
