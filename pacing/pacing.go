// Package pacing decides how much a reader of a shared store asks for, how long it waits
// for the answer, and when it asks again after a failure.
//
// Usage:
//
//	p := pacing.New(rand.Float64, pacing.WithReturnBound(2*time.Second))
//	limit := p.Limit()                 // of the next read
//	wait := p.MaxWait()                // for new records, in addition to limit.Timeout
//	p.Succeeded(took)                  // after an answer
//	delay := p.Failed(pacing.TimedOut) // after a failure: the time until the next read
//
// All readers of a store share its bandwidth. If an answer is given up when most of it has
// been sent, and asked for again at once, the store transmits nothing but abandoned
// answers: the congestion sustains itself after its cause has ended. So a read that
// timed out is followed, after a random delay, by one that asks for less and waits longer.
//
// A read that a silent store has taken is never answered, and the store's return goes
// unnoticed until the read times out and the delay is over. So the wait, the timeout and the
// delay of a read never add up to more than a bound, the longest time for which the return may
// go unnoticed.
package pacing

import "time"

// Bounds of a read.
const (
	// MaxBytes bounds an answer so that it arrives within MinTimeout: over a link of
	// 10 Mbit/s this much takes 0.2 s.
	MaxBytes = 256 << 10
	MinBytes = 16 << 10
	// MinTimeout is how long an answer may take, in addition to the wait for new
	// records. The store answers within milliseconds, and within a quarter of a second
	// when it is slow; a read that takes much longer has lost its connection.
	MinTimeout = 900 * time.Millisecond
	// MaxTimeout is the longest timeout, whatever the bound.
	MaxTimeout = 3 * time.Second
	// DefaultReturnBound is the bound without WithReturnBound.
	DefaultReturnBound = MaxTimeout + maxTimedOutDelay
)

// timeoutShare is the share of the bound that the longest timeout takes. The longest delay
// takes the rest.
const timeoutShare = 2.0 / 3

const (
	// slowAnswer is the time of an answer from which the next read asks for less. It is
	// above that of a slow store, which takes as long for a small answer.
	slowAnswer      = 450 * time.Millisecond
	shrinkFactor    = 0.5      // of the size, after a slow answer or a failure
	slowStartFactor = 2        // of the size, after an answer, below the size that was last too large
	growth          = 16 << 10 // bytes, after an answer from that size on
	timeoutIncrease = 1.5      // of the timeout, after a timeout
	timeoutDecrease = 0.9      // of the timeout, after an answer

	minDelay = 50 * time.Millisecond
	// maxRejectedDelay bounds the delay after a rejection, which costs the store little.
	maxRejectedDelay = 400 * time.Millisecond
	maxTimedOutDelay = 1600 * time.Millisecond
	maxLevel         = 6 // failures after which the delay grows no further
)

// Failure is the way in which a read failed.
type Failure uint8

// Failures of reads.
const (
	// Rejected means that the store or its network refused the read.
	Rejected Failure = iota
	// TimedOut means that the store took the read and didn't answer in time.
	TimedOut
)

// Limit bounds a read.
type Limit struct {
	Bytes   int
	Timeout time.Duration // in addition to the wait for new records
}

// Pacer paces the reads of one stream. It isn't safe for concurrent use.
type Pacer struct {
	random    func() float64
	bound     time.Duration // of a read's wait, timeout and delay together
	bytes     int
	threshold int // size from which on it grows slowly
	timeout   time.Duration
	level     int // failures not yet offset by answers
}

// Option configures a Pacer.
type Option func(*Pacer)

// WithReturnBound sets the longest time for which the store's return may go unnoticed.
func WithReturnBound(d time.Duration) Option {
	return func(p *Pacer) { p.bound = d }
}

// New returns a Pacer without failures. Random returns numbers from 0 to 1.
func New(random func() float64, opts ...Option) *Pacer {
	p := &Pacer{random: random, bound: DefaultReturnBound, bytes: MaxBytes, threshold: MaxBytes}
	for _, opt := range opts {
		opt(p)
	}
	p.timeout = p.minTimeout()
	return p
}

// LongestTimeout returns the longest timeout of a read, which is also that of one whose size
// can't be limited.
func (p *Pacer) LongestTimeout() time.Duration {
	return min(MaxTimeout, time.Duration(timeoutShare*float64(p.bound)))
}

func (p *Pacer) minTimeout() time.Duration {
	return min(MinTimeout, p.LongestTimeout())
}

// Limit returns the bounds of the next read.
func (p *Pacer) Limit() Limit {
	return Limit{Bytes: p.bytes, Timeout: p.timeout}
}

// MaxWait returns the longest time for which the next read may wait for new records.
func (p *Pacer) MaxWait() time.Duration {
	return max(0, p.bound-p.timeout-p.longestDelay(TimedOut, p.level+1))
}

// Succeeded records an answer and the time that it took, without the wait for new records.
// The bounds return to their defaults step by step, since the cause of a congestion may
// persist.
func (p *Pacer) Succeeded(took time.Duration) {
	switch {
	case took > slowAnswer:
		p.shrink()
		p.threshold = p.bytes
	case p.bytes < p.threshold:
		p.bytes = min(p.threshold, p.bytes*slowStartFactor)
	default:
		p.bytes = min(MaxBytes, p.bytes+growth)
	}
	p.timeout = max(p.minTimeout(), time.Duration(timeoutDecrease*float64(p.timeout)))
	p.level = max(0, p.level-1)
}

// Failed records a failure and returns the time until the next read. It is random, so that
// readers that failed at the same moment don't return at the same moment.
func (p *Pacer) Failed(f Failure) time.Duration {
	p.level = min(maxLevel, p.level+1)
	p.shrink()
	if f == TimedOut {
		p.threshold = p.bytes
		p.timeout = min(p.LongestTimeout(), time.Duration(timeoutIncrease*float64(p.timeout)))
	}
	delay := p.longestDelay(f, p.level)
	return delay/2 + time.Duration(p.random()*float64(delay/2))
}

// longestDelay returns the longest delay after a failure that is the last of a number of them.
func (p *Pacer) longestDelay(f Failure, level int) time.Duration {
	longest := maxRejectedDelay
	if f == TimedOut {
		longest = maxTimedOutDelay
	}
	return min(longest, p.bound-p.LongestTimeout(), minDelay<<min(maxLevel, level))
}

func (p *Pacer) shrink() {
	p.bytes = max(MinBytes, int(shrinkFactor*float64(p.bytes)))
}
