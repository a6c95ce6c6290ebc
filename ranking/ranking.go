// Package ranking decides which of the work that waits is started first.
//
// Usage:
//
//	r := ranking.New(slices.Values(ranks)) // of all that waits, now and then
//	slices.SortStableFunc(steps, func(a, b *step) int { return r.Compare(a.rank, b.rank) })
//
// The load that it answers is one that swings around what the workers can do. While all
// can be in time, what has to begin first goes first: no order is in time more often.
// Once more is asked for, that order is the worst one: each job waits until it is barely
// in time, and what then takes a little longer than estimated is late. So where some work
// of a priority is late already, the jobs with the least work left go first, which has the
// most callers answered in time for the work that is done. Nothing is lost for those whose
// time is over: they come after the rest in either order.
package ranking

import (
	"cmp"
	"iter"
	"time"
)

//go:generate go tool stringer -type=Standing -linecomment

// Standing tells how a job stands to its objective.
type Standing uint8

// Standings, in the order in which jobs are started.
const (
	InTime  Standing = iota // in time
	Late                    // late
	TooLate                 // too late
)

// lateFactor is the multiple of its objective from which a job that is late is
// worth nothing to its caller any more.
const lateFactor = 3

// StandingOf returns how a job stands that began to wait at a time and has to go on by due
// to meet its objective.
func StandingOf(now, begun, due, objective time.Duration) Standing {
	switch {
	case now <= due:
		return InTime
	case now <= begun+lateFactor*objective:
		return Late
	}
	return TooLate
}

// Rank is what the order of some work depends on.
type Rank struct {
	Priority int // the lowest goes first
	Standing Standing
	Due      time.Duration // when it has to begin for its job to be in time
	// Work is what is left of its job, in core-seconds, zero where the workers' room for
	// it is reserved: a step that waits for room goes by when it has to begin.
	Work float64
}

// Ranking is an order of work. The zero Ranking is that of a load at which all can be in
// time.
type Ranking struct {
	overloaded map[int]bool // priorities of which some work is late
}

// New returns the Ranking for what waits.
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
