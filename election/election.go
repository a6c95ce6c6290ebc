// Package election decides when an instance tries to become a cell's owner.
// Safety doesn't depend on it: the store lets only one claim of a term succeed, and the
// term fences earlier owners. The package makes claims prompt and rare.
//
// Usage:
//
//	e := election.New(id, nonce, 0.4, election.DefaultTiming(), rand.Float64)
//	e.Observe(now, owner)       // after every successful read of the owner's record
//	if e.ShouldClaim(now, age) { ... } // age is the time since that read
package election

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
)

// Timing holds the timeouts and delays of an Election.
type Timing struct {
	// HeartbeatTimeout is the time without a heartbeat after which an owner counts as
	// failed. An owner writes twice a second, and a slow store takes a quarter of a
	// second for an answer.
	HeartbeatTimeout time.Duration
	// MaxReadAge is the maximum age of the last successful read for a claim. With
	// an older one, this instance may itself be cut off from the store.
	MaxReadAge time.Duration
	// MaxDelay bounds the random delay before a claim, which keeps instances
	// from claiming all at once.
	MaxDelay time.Duration
	// MaxHandoverDelay replaces MaxDelay when the owner has left.
	MaxHandoverDelay time.Duration
	// MaxHandicap is the additional delay of an instance with no processors. It falls
	// linearly to zero for an instance with AmpleProcessors, so that the cell
	// is owned by an instance with enough processors where there is one.
	MaxHandicap     time.Duration
	AmpleProcessors float64
	// RetryDelay is the minimum delay after a claim that failed.
	RetryDelay time.Duration
}

// DefaultTiming returns the Timing for an owner that writes every 0.5 s.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatTimeout: 1500 * time.Millisecond,
		MaxReadAge:       700 * time.Millisecond,
		MaxDelay:         300 * time.Millisecond,
		MaxHandoverDelay: 60 * time.Millisecond,
		MaxHandicap:      500 * time.Millisecond,
		AmpleProcessors:  0.8,
		RetryDelay:       200 * time.Millisecond,
	}
}

// Election holds one instance's view of the cell's owner.
type Election struct {
	instance       string
	nonce          uint64
	timing         Timing
	random         func() float64
	owner          catalog.Owner
	observed       bool
	silentSince    time.Duration // last change of the owner's record, or later if reads failed meanwhile
	randomDelay    time.Duration // redrawn with each change of the record
	claimNotBefore time.Duration
	handicap       time.Duration
	yieldedTerm    uint64        // term whose owner can't write any more; zero without one
	yieldedUntil   time.Duration // until when that holds
}

// New returns the Election of an instance. The nonce distinguishes this process from
// earlier ones of the same instance; random returns numbers from 0 to 1.
func New(instance string, nonce uint64, processors float64, timing Timing, random func() float64) *Election {
	shortfall := 1 - min(1, processors/timing.AmpleProcessors)
	return &Election{
		instance: instance,
		nonce:    nonce,
		timing:   timing,
		random:   random,
		handicap: time.Duration(shortfall * float64(timing.MaxHandicap)),
	}
}

// Observe handles the owner's record after a read.
func (e *Election) Observe(now time.Duration, owner catalog.Owner) {
	if e.observed && owner == e.owner {
		return
	}
	e.observed = true
	e.owner = owner
	e.yieldedTerm = 0 // the owner has written since
	e.silentSince = now
	e.randomDelay = time.Duration(e.random() * float64(e.timing.MaxDelay))
	if e.ownerGone() {
		e.randomDelay = time.Duration(e.random() * float64(e.timing.MaxHandoverDelay))
	}
}

// yieldTime is how long the word of an owner that can't write holds. Unless others claim the
// cell meanwhile, the store is away for all, and the owner may go on after it.
const yieldTime = time.Second

// Yield handles the word that the owner of a term can't write to the store.
func (e *Election) Yield(now time.Duration, term uint64) {
	if !e.observed || term != e.owner.Term || e.yieldedTerm == term {
		return
	}
	e.yieldedTerm = term
	e.yieldedUntil = now + yieldTime
	e.silentSince = now
	e.randomDelay = time.Duration(e.random() * float64(e.timing.MaxHandoverDelay))
}

// AssumeSilence handles the word of another stream that the owner of a term has been silent for
// longer than the heartbeat timeout. Half of the timeout without a change of its record
// confirms that.
func (e *Election) AssumeSilence(now time.Duration, term uint64) {
	if now-e.silentSince >= e.timing.HeartbeatTimeout/2 {
		e.Yield(now, term)
	}
}

// ownerYields reports whether the owner has said that it can't write.
func (e *Election) ownerYields(now time.Duration) bool {
	return e.yieldedTerm != 0 && e.yieldedTerm == e.owner.Term && now < e.yieldedUntil
}

// ownerGone reports whether the cell surely has no active owner: there was none, it has
// left, or it was an earlier process of this instance.
func (e *Election) ownerGone() bool {
	return e.owner.Term == 0 || e.owner.Leaving || e.owner.Instance == e.instance && e.owner.Nonce != e.nonce
}

// ShouldClaim reports whether to claim the cell. Age is the time since the last successful
// read of the owner's record. Time without a fresh read doesn't count as silence of the
// owner: after it, at least half of the heartbeat timeout has to pass.
func (e *Election) ShouldClaim(now, age time.Duration) bool {
	if age > e.timing.MaxReadAge {
		e.silentSince = max(e.silentSince, now-e.timing.HeartbeatTimeout/2)
		return false
	}
	if !e.observed || now < e.claimNotBefore {
		return false
	}
	timeout := e.timing.HeartbeatTimeout
	if e.ownerGone() || e.ownerYields(now) {
		timeout = 0
	}
	return now-e.silentSince >= timeout+e.randomDelay+e.handicap
}

// DelayClaim delays the next claim after one that failed, or after the loss of the cell.
func (e *Election) DelayClaim(now time.Duration) {
	e.claimNotBefore = now + e.timing.RetryDelay + time.Duration(e.random()*float64(e.timing.MaxDelay))
}

// Term returns the term for a claim.
func (e *Election) Term() uint64 {
	return catalog.NextTerm(e.owner.Term)
}
