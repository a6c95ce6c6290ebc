package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against starts that rely on a capacity which a worker no longer has.
func TestStartsFitWorkersThatShrink(t *testing.T) {
	tests := []struct {
		name string
		play func(s *site)
	}{
		{"nothing else", func(*site) {}},
		{"the store is away", func(s *site) {
			s.after(4*time.Second, func() { s.owners[0].noStore = true })
			s.after(11*time.Second, func() { s.owners[0].noStore = false })
		}},
		{"reads of the list fail", func(s *site) {
			s.after(4*time.Second, func() { s.owners[0].noList = true })
			s.after(11*time.Second, func() { s.owners[0].noList = false })
		}},
		{"the owner stands still", func(s *site) {
			s.after(4*time.Second, func() { s.owners[0].freeze(5 * time.Second) })
		}},
		{"an owner follows", func(s *site) {
			s.after(5*time.Second, func() { s.replaceOwner(0, 1) })
			s.after(9*time.Second, func() {
				s.owners[0].listDelay = 400 * time.Millisecond
				s.replaceOwner(1, 0)
			})
		}},
	}
	for _, tt := range tests {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(tt.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				const jobs, every = 120, 100 * time.Millisecond
				s := newSite(t, 700+seed, 8, 2)
				s.submitEvery(jobs, every)
				s.owners[0].takeOver()
				for n := range 30 {
					at := time.Duration(n) * 500 * time.Millisecond
					s.after(at, func() { s.workers[s.rng.IntN(len(s.workers))].resize(40 + s.rng.Int64N(60)) })
				}
				tt.play(s)
				s.after(16*time.Second, func() {
					for _, w := range s.workers {
						w.resize(100)
					}
				})
				s.run(jobs*every + 3*settleTime)
				is.Equal(s.violations, nil)
				for i := range jobs {
					is.Equal(s.state(jobID(i)), "completed")
				}
			})
		}
	}
}
