// Package ranking decides the order in which waiting work is started.
//
// Usage:
//
//	r := ranking.New(slices.Values(ranks)) // of all waiting work, periodically
//	slices.SortStableFunc(steps, func(a, b *step) int { return r.Compare(a.rank, b.rank) })
//
// It is made for a load that swings around the capacity of the workers. While all work can
// meet its objective, the work with the earliest due time goes first (earliest deadline
// first): no order meets more objectives. Under overload that order is the worst one: each
// job waits until it can barely meet its objective, and is late if it takes a little longer
// than estimated. So once some work of a priority is late, the jobs with the least
// remaining work go first, which meets the most objectives for the work done. Jobs that
// are too late lose nothing by it: they come after the rest in either order.
package ranking

import (
	"cmp"
	"iter"
	"time"
)

//go:generate go tool stringer -type=Standing -linecomment

// Standing classifies a job by whether it can still meet its objective.
type Standing uint8

// Standings, in the order in which jobs are started.
const (
	InTime  Standing = iota // in time
	Late                    // late
	TooLate                 // too late
)

// lateFactor is the multiple of its objective from which a late job has no value to its
// caller any more.
const lateFactor = 3

// TooLateAfter returns how long after it began to wait a job with an objective has no
// value to its caller any more.
func TooLateAfter(objective time.Duration) time.Duration {
	return lateFactor * objective
}

// StandingOf returns the standing of a job that began to wait at waitingSince and has to
// continue by due to meet its objective.
func StandingOf(now, waitingSince, due, objective time.Duration) Standing {
	switch {
	case now <= due:
		return InTime
	case now <= waitingSince+TooLateAfter(objective):
		return Late
	}
	return TooLate
}

// Rank holds the sort keys of some waiting work.
type Rank struct {
	Priority int // the lowest goes first
	Standing Standing
	Due      time.Duration // latest start for which its job meets the objective
	// Work is the remaining work of its job in core-seconds, zero where the workers'
	// capacity for it is reserved: a step that waits for a reservation is ordered by Due.
	Work float64
}

// Ranking is an order of work. The zero Ranking is the order without overload.
type Ranking struct {
	overloaded map[int]bool // priorities with late work
}

// New returns the Ranking for the waiting work.
func New(waiting iter.Seq[Rank]) Ranking {
	r := Ranking{overloaded: make(map[int]bool)}
	for rank := range waiting {
		if rank.Standing != InTime {
			r.overloaded[rank.Priority] = true
		}
	}
	return r
}

// Compare is negative where a goes before b.
func (r Ranking) Compare(a, b Rank) int {
	if c := cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Standing, b.Standing)); c != 0 {
		return c
	}
	if r.overloaded[a.Priority] {
		return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Due, b.Due))
	}
	return cmp.Compare(a.Due, b.Due)
}
