package budget_test

import (
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/budget"
	"github.com/matryer/is"
)

// Guards against retries that aren't bounded by the first attempts, or that
// accumulate without a bound: after a calm period, in an outage, every first
// attempt fails and takes retries until the budget denies one.
func TestRetriesStayWithinBudget(t *testing.T) {
	cases := []struct {
		name    string
		calm    int // first attempts before the outage
		outage  int // first attempts in the one second of the outage
		maxSent int
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
				b.RecordFirstAttempt(now)
			}
			sent := 0
			for i := range 1000 {
				now = now.Add(time.Millisecond)
				if i < c.outage {
					b.RecordFirstAttempt(now)
				}
				sent += takeAll(b, now)
			}
			is.True(sent <= c.maxSent)
			is.True(sent >= c.outage/10) // the ratio is granted
		})
	}
}

// takeAll takes retries until one is denied, at most 1000, and returns their
// number.
func takeAll(b *budget.Budget, now time.Time) int {
	for n := range 1000 {
		if !b.TakeRetry(now) {
			return n
		}
	}
	return 1000
}
