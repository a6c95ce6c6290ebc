package budget_test

import (
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/budget"
	"github.com/matryer/is"
)

// Symptom: an outage is made worse by the load of retries.
// Sequence: a second of calm or of nothing, then an outage in which every
// first try fails and every failure asks for retries until it gets none.
// Cause: retries aren't bounded by first tries, or were saved up without a
// bound.
func TestRetriesStayWithinBudget(t *testing.T) {
	cases := []struct {
		name   string
		calm   int // first tries before the outage
		outage int // first tries in its one second
		most   int
	}{
		{"nothing but the floor", 0, 0, 2},
		{"ratio and floor", 0, 100, 12},
		{"saved up to the bound", 100000, 100, 62},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			b := budget.New(budget.WithRatio(0.1), budget.WithFloor(1), budget.WithBurst(50))
			for range c.calm {
				b.First(now)
			}
			sent := 0
			for i := range 1000 {
				now = now.Add(time.Millisecond)
				if i < c.outage {
					b.First(now)
				}
				sent += takeAll(b, now)
			}
			is.True(sent <= c.most)      // bounded
			is.True(sent >= c.outage/10) // and the ratio is given
		})
	}
}

// takeAll takes what it gets, up to a thousand.
func takeAll(b *budget.Budget, now time.Time) int {
	for n := range 1000 {
		if !b.Take(now) {
			return n
		}
	}
	return 1000
}
