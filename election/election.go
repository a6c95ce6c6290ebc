// Package election decides when an instance tries to become a cell's owner.
// It keeps nothing safe: the store lets one claim succeed, and the term fences
// the others. It only makes claims prompt, and rare.
//
// Usage:
//
//	e := election.New(id, nonce, 0.4, election.DefaultTiming(), rand.Float64)
//	e.Observe(now, owner)       // after every good read of the owner's record
//	if e.Stand(now, age) { ... } // age is the time since that read
package election

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
)

// Timing holds the bounds of an Election.
type Timing struct {
	// Silence is how long an owner may write nothing. It writes twice a
	// second, and a slow store takes a quarter of a second for an answer.
	Silence time.Duration
	// Fresh is the oldest read that says anything of the owner: without one,
	// the reader itself may be the one that is cut off.
	Fresh time.Duration
	// Spread is the span over which instances wait at random, so that they
	// don't all claim at once.
	Spread time.Duration
	// Handover is that span when the owner has said that it leaves.
	Handover time.Duration
	// Handicap is how long an instance without any processors would wait in
	// addition. One with Ample of them doesn't wait, so that a cell is owned by
	// an instance that can carry it where there is one.
	Handicap time.Duration
	Ample    float64
	// Again is the pause after a claim that failed.
	Again time.Duration
}

// DefaultTiming returns the bounds for an owner that writes every 0.5 s.
func DefaultTiming() Timing {
	return Timing{
		Silence:  1500 * time.Millisecond,
		Fresh:    700 * time.Millisecond,
		Spread:   300 * time.Millisecond,
		Handover: 60 * time.Millisecond,
		Handicap: 500 * time.Millisecond,
		Ample:    0.8,
		Again:    200 * time.Millisecond,
	}
}

// Election is one instance's view of who owns a cell.
type Election struct {
	instance string
	nonce    uint64
	timing   Timing
	random   func() float64
	owner    catalog.Owner
	observed bool
	since    time.Duration // when the owner was last heard, as far as reads tell
	wait     time.Duration // this instance's random part
	notUntil time.Duration
	handicap time.Duration
}

// New returns an Election of an instance with so many processors. The nonce
// tells this process from the one before it; random returns numbers from 0 to 1.
func New(instance string, nonce uint64, processors float64, timing Timing, random func() float64) *Election {
	lack := 1 - min(1, processors/timing.Ample)
	return &Election{
		instance: instance,
		nonce:    nonce,
		timing:   timing,
		random:   random,
		handicap: time.Duration(lack * float64(timing.Handicap)),
	}
}

// Observe takes the owner's record as just read.
func (e *Election) Observe(now time.Duration, owner catalog.Owner) {
	if e.observed && owner == e.owner {
		return
	}
	e.observed = true
	e.owner = owner
	e.since = now
	e.wait = time.Duration(e.random() * float64(e.timing.Spread))
	if e.gone() {
		e.wait = time.Duration(e.random() * float64(e.timing.Handover))
	}
}

// gone reports whether the owner is known not to be there: there is none, it
// has left, or it was an earlier process of this instance.
func (e *Election) gone() bool {
	return e.owner.Term == 0 || e.owner.Leaving || e.owner.Instance == e.instance && e.owner.Nonce != e.nonce
}

// Stand reports whether to claim the cell. Age is the time since the last
// good read of the owner's record. Time without one doesn't count as the
// owner's silence.
func (e *Election) Stand(now, age time.Duration) bool {
	if age > e.timing.Fresh {
		e.since = max(e.since, now-e.timing.Silence/2)
		return false
	}
	if !e.observed || now < e.notUntil {
		return false
	}
	silence := e.timing.Silence
	if e.gone() {
		silence = 0
	}
	return now-e.since >= silence+e.wait+e.handicap
}

// Failed takes note that a claim failed.
func (e *Election) Failed(now time.Duration) {
	e.notUntil = now + e.timing.Again + time.Duration(e.random()*float64(e.timing.Spread))
}

// Term returns the term to claim with.
func (e *Election) Term() uint64 {
	return catalog.NextTerm(e.owner.Term)
}
