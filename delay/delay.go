// Package delay breaks down the delay of a job, which is the time that it took beyond
// its work, by cause.
//
// Usage:
//
//	var a delay.Account
//	a.Add(delay.Room, 300*time.Millisecond)
//	cause, longest := a.Largest()
//
// An Account belongs to one task, or to the critical path of a job: the last task to end
// of each step that the job waited for.
package delay

import (
	"time"
)

//go:generate go tool stringer -type=Cause -linecomment

// Cause is a reason for which a job took longer than its work.
type Cause uint8

// Causes. Their names are written to logs.
const (
	None         Cause = iota // none
	Room                      // room
	Failed                    // failed
	Moved                     // moved
	Lost                      // lost
	Slowed                    // slowed
	Work                      // work
	Interference              // interference
	Slow                      // slow
	Longer                    // longer
	causes
)

// Meaning of the names:
//
//	room          waited for a worker with free capacity, or whose serving tasks tolerate the task
//	failed        ran and failed, because of the task or its worker
//	moved         ran and was stopped by the owner, to be started on another worker
//	lost          ran on a worker that was lost or whose lease expired
//	slowed        ran throttled beside serving tasks
//	work          ran longer than estimated, undisturbed and on a healthy worker
//	interference  ran longer than estimated because of filling tasks beside it
//	slow          ran longer than estimated because its worker is slow
//	longer        ran longer than estimated; only in logs of versions that don't split it

// All returns all causes except None.
func All() []Cause {
	return []Cause{Room, Failed, Moved, Lost, Slowed, Work, Interference, Slow, Longer}
}

// Account holds durations by cause. The zero value is empty.
type Account struct {
	byCause [causes]time.Duration
}

// Add adds a duration to a cause. A duration that isn't positive is ignored.
func (a *Account) Add(c Cause, d time.Duration) {
	if d > 0 {
		a.byCause[c] += d
	}
}

// Merge adds the durations of another account.
func (a *Account) Merge(other *Account) {
	for c, d := range other.byCause {
		a.byCause[c] += d
	}
}

// Of returns the duration of a cause.
func (a *Account) Of(c Cause) time.Duration {
	return a.byCause[c]
}

// Largest returns the cause with the longest duration, None for an empty account.
func (a *Account) Largest() (Cause, time.Duration) {
	largest := None
	for c, d := range a.byCause {
		if d > a.byCause[largest] {
			largest = Cause(c)
		}
	}
	return largest, a.byCause[largest]
}
