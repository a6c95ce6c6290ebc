// Package delay accounts for the time that a job took beyond its work, by
// cause.
//
// Usage:
//
//	var a delay.Account
//	a.Add(delay.Room, 300*time.Millisecond)
//	cause, most := a.Largest()
//
// An Account follows one task, or the chain of tasks that a job had to wait
// for: of each step the one that ended last.
package delay

import (
	"time"
)

//go:generate go tool stringer -type=Cause -linecomment

// Cause is why a job took longer than its work.
type Cause uint8

// Causes. Their names stand in logs.
const (
	None   Cause = iota // none
	Room                // room
	Failed              // failed
	Moved               // moved
	Lost                // lost
	Slowed              // slowed
	Longer              // longer
	causes
)

// What the names mean:
//
//	room    waited for a worker with room, or with serving tasks that bear it
//	failed  ran and failed, by its own fault or its worker's
//	moved   ran and was stopped by the owner, to be started elsewhere
//	lost    ran on a worker that was lost, or whose lease ended
//	slowed  worked below full speed beside serving tasks
//	longer  ran longer than was estimated

// All returns the causes that time may be put down to.
func All() []Cause {
	return []Cause{Room, Failed, Moved, Lost, Slowed, Longer}
}

// Account is time by cause. The zero value is empty.
type Account struct {
	spent [causes]time.Duration
}

// Add puts time down to a cause.
func (a *Account) Add(c Cause, d time.Duration) {
	if d > 0 {
		a.spent[c] += d
	}
}

// Join adds all of another account.
func (a *Account) Join(other *Account) {
	for c, d := range other.spent {
		a.spent[c] += d
	}
}

// Of returns the time that was put down to a cause.
func (a *Account) Of(c Cause) time.Duration {
	return a.spent[c]
}

// Largest returns the cause with the most time, None if there is none.
func (a *Account) Largest() (Cause, time.Duration) {
	largest := None
	for c, d := range a.spent {
		if d > a.spent[largest] {
			largest = Cause(c)
		}
	}
	return largest, a.spent[largest]
}
