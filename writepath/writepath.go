// Package writepath decides how an instance writes the records of submitted and cancelled
// jobs: directly, through aggregators, by both ways, or not at all.
//
// It answers a store that is slow or rejects writes, while instances go on appending their
// own few records each. A partition runs its appends one at a time and rejects them once
// more than 2 s of work wait. With 33 to 42 instances and appends that take 96 or 188 ms
// instead of 2 ms, most jobs are rejected. One append could carry the waiting records
// of all instances, which is what an aggregator does. A store that works costs no more
// than before: records are then written directly, without a second message.
//
// Usage, for each record:
//
//	p := writepath.New(rand.Float64, writepath.WithChanges(log))
//	switch p.Next(now, writepath.Silence{Store: outage > 0}) {
//	case writepath.WriteDirectly, writepath.Trial:
//		// append; hand over as well after p.HedgeDelay() or a rejection
//	case writepath.HandOver:
//		// ask aggregators; append if none of them writes
//	case writepath.Reject:
//		// fail the request; nothing was sent
//	}
//
// and for what became of it:
//
//	p.Appended(now, took)          // the store acknowledged a direct append
//	p.Rejected(now)                // it rejected one
//	p.Overdue(now)                 // a direct write has had no answer within HedgeDelay
//	p.HandedOver(now, appendTime)  // an aggregator acknowledged records
//	p.HandoverFailed(now)          // all candidates failed or refused
//
// A Path isn't safe for concurrent use.
package writepath

import (
	"slices"
	"time"
)

//go:generate go tool stringer -type=State,Way,Reason -linecomment -output=strings.go

// State is the state of a Path.
type State uint8

// States of a Path.
const (
	Direct   State = iota // direct
	Diverted              // diverted
)

// Way is how a record is written.
type Way uint8

// Ways of writing a record.
const (
	WriteDirectly Way = iota // directly
	HandOver                 // hand over
	Trial                    // trial
	Reject                   // reject
)

// Reason is why the state changed.
type Reason uint8

// Reasons of a change of state.
const (
	StoreRejects  Reason = iota // store rejects
	NoAnswer                    // no answer
	StoreAnswers                // store answers
	NoAggregators               // no aggregators
)

// Change is a change of state.
type Change struct {
	State      State
	Reason     Reason
	AppendTime time.Duration // of the last append, direct or by an aggregator
}

const (
	// The hedge delay is a multiple of the usual append time, within bounds. An urgent job
	// has 300 ms beyond its work, and the second way takes time as well. With a lower
	// minimum, an append that is a little slower than usual would be hedged.
	hedgeFactor   = 3
	minHedgeDelay = 60 * time.Millisecond
	maxHedgeDelay = 200 * time.Millisecond
	// maxSamples is the number of append times in the moving median. A few slow appends
	// among them don't change it.
	maxSamples = 15
	// quickTime is how long the aggregators' appends must have been quick before a trial.
	quickTime = 300 * time.Millisecond
	// The random delay before a trial spreads the returns of all instances. Its upper bound
	// doubles with each trial that fails and each return that doesn't last.
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// failureTime is how long new records are rejected after a failure of both ways.
	failureTime = 300 * time.Millisecond
)

// Path is the way on which an instance writes its records.
type Path struct {
	random  func() float64
	changed func(Change)

	state      State
	samples    []time.Duration // append times that were answered within the hedge delay
	lastAppend time.Duration   // time that the last append took

	directFailing  bool // since the last direct append that was answered in time
	directFailedAt time.Duration

	handoverFails    bool          // since the last acknowledgement by an aggregator
	failingSince     time.Duration // time of the first failure since then
	handoverFailedAt time.Duration // time of the last one
	probedAt         time.Duration

	quick          bool // whether the aggregators' last append was below the hedge delay
	quickSince     time.Duration
	trialDelay     time.Duration // drawn when quick was set
	maxDelay       time.Duration // upper bound of the random delay
	inTrial        bool
	trialStartedAt time.Duration
	returnedAt     time.Duration // time of the last change to Direct
}

// Option configures a Path.
type Option func(*Path)

// WithChanges sets a callback that gets each change of state.
func WithChanges(f func(Change)) Option {
	return func(p *Path) { p.changed = f }
}

// New returns a Path in state Direct. Random returns numbers from 0 to 1.
func New(random func() float64, opts ...Option) *Path {
	p := &Path{random: random, changed: func(Change) {}, maxDelay: minTrialDelay, returnedAt: -maxTrialDelay}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// State returns the state.
func (p *Path) State() State {
	return p.state
}

// HedgeDelay returns how long a direct write may take until its record is handed over as
// well. It is the maximum before the first append.
func (p *Path) HedgeDelay() time.Duration {
	if len(p.samples) == 0 {
		return maxHedgeDelay
	}
	sorted := slices.Sorted(slices.Values(p.samples))
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeFactor*sorted[len(sorted)/2]))
}

// Silence tells which ways are silent: an older write is in flight and has had no answer for so
// long that new ones would have none either.
type Silence struct {
	Store       bool
	Aggregators bool
}

// Next returns how the next record is written.
func (p *Path) Next(now time.Duration, s Silence) Way {
	p.expireTrial(now)
	switch {
	case p.rejects(now, s):
		return Reject
	case p.state == Direct || p.handoverFails || s.Aggregators:
		return WriteDirectly
	case p.trialIsDue(now):
		p.inTrial = true
		p.trialStartedAt = now
		return Trial
	}
	return HandOver
}

// rejects reports whether neither way can write a record. One record after each failureTime
// probes both ways, so that the others needn't wait until it has failed. A silent store isn't
// probed, since the outcome of each probe would be unknown.
func (p *Path) rejects(now time.Duration, s Silence) bool {
	switch {
	case !p.handoverFails && !s.Aggregators:
		return false
	case s.Store:
		return true
	case !p.handoverFails || !p.directFailing || p.directFailedAt < p.failingSince-failureTime:
		return false // aggregators have failed since
	case now-max(p.directFailedAt, p.handoverFailedAt, p.probedAt) < failureTime:
		return true
	}
	p.probedAt = now
	return false
}

func (p *Path) trialIsDue(now time.Duration) bool {
	return p.quick && !p.inTrial && now-p.quickSince >= quickTime+p.trialDelay
}

// expireTrial ends a trial whose record was given up before anything was known.
func (p *Path) expireTrial(now time.Duration) {
	if p.inTrial && now-p.trialStartedAt > p.HedgeDelay() {
		p.failTrial(now)
	}
}

// Appended records that the store acknowledged a direct append. Only times within the hedge
// delay count in the median. Otherwise a slow store would raise the delay that detects it.
func (p *Path) Appended(now, took time.Duration) {
	p.lastAppend = took
	if took > p.HedgeDelay() {
		p.failDirect(now, NoAnswer)
		return
	}
	p.samples = append(p.samples, took)
	p.samples = p.samples[max(0, len(p.samples)-maxSamples):]
	p.directFailing = false
	switch {
	case p.state == Direct:
	case p.inTrial:
		p.change(now, Direct, StoreAnswers)
	case p.handoverFails:
		p.change(now, Direct, NoAggregators)
	}
}

// Rejected records that the store rejected a direct append.
func (p *Path) Rejected(now time.Duration) {
	p.failDirect(now, StoreRejects)
}

// Overdue records that a direct write has had no answer within the hedge delay.
func (p *Path) Overdue(now time.Duration) {
	p.failDirect(now, NoAnswer)
}

func (p *Path) failDirect(now time.Duration, r Reason) {
	p.directFailing = true
	p.directFailedAt = now
	if p.state == Direct {
		if now-p.returnedAt < maxTrialDelay {
			p.backOff()
		} else {
			p.maxDelay = minTrialDelay
		}
		p.change(now, Diverted, r)
		return
	}
	if p.inTrial {
		p.failTrial(now)
	}
}

func (p *Path) failTrial(now time.Duration) {
	p.inTrial = false
	p.backOff()
	p.startDelay(now)
}

func (p *Path) backOff() {
	p.maxDelay = min(maxTrialDelay, 2*p.maxDelay)
}

// startDelay starts the wait for the next trial.
func (p *Path) startDelay(now time.Duration) {
	p.quickSince = now
	p.trialDelay = time.Duration(p.random() * float64(p.maxDelay))
}

// HandedOver records that an aggregator acknowledged records, and how long its append took.
func (p *Path) HandedOver(now, appendTime time.Duration) {
	p.lastAppend = appendTime
	p.handoverFails = false
	quick := appendTime < p.HedgeDelay()
	if quick && !p.quick {
		p.startDelay(now)
	}
	p.quick = quick
}

// HandoverFailed records that all candidates failed or refused.
func (p *Path) HandoverFailed(now time.Duration) {
	if !p.handoverFails {
		p.failingSince = now
	}
	p.handoverFails = true
	p.handoverFailedAt = now
}

func (p *Path) change(now time.Duration, s State, r Reason) {
	p.state = s
	p.inTrial = false
	p.quick = false
	if s == Direct {
		p.returnedAt = now
	}
	p.changed(Change{State: s, Reason: r, AppendTime: p.lastAppend})
}
