// Package budget limits retries and hedges to a fraction of the first attempts,
// with a small minimum rate so that a service with little traffic can retry.
//
// Usage:
//
//	b := budget.New(budget.WithRatio(0.1))
//	b.RecordFirstAttempt(now) // for each first attempt
//	if b.TakeRetry(now) {
//		// send one retry or hedge
//	}
//
// One Budget serves one service and holds a few numbers. It isn't safe for
// concurrent use.
package budget

import (
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a Budget.
const (
	DefaultRatio = 0.1
	DefaultFloor = 1.0
	DefaultBurst = 50
)

// tolerance absorbs the rounding errors of summed ratios.
const tolerance = 1e-9

// Budget limits the retries and hedges of one service.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	floor  *rate.Limiter
}

// Option configures a Budget.
type Option func(*Budget)

// WithRatio sets how many retries each first attempt allows, 0.1 by default.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithFloor sets how many retries per second are allowed regardless of the first
// attempts, 1 by default.
func WithFloor(perSecond float64) Option {
	return func(b *Budget) { b.floor = rate.NewLimiter(rate.Limit(perSecond), 1) }
}

// WithBurst sets how many unused retries may accumulate, 50 by default.
func WithBurst(n int) Option {
	return func(b *Budget) { b.burst = float64(n) }
}

// New returns a Budget that initially allows the minimum rate only.
func New(opts ...Option) *Budget {
	b := &Budget{
		ratio: DefaultRatio,
		burst: DefaultBurst,
		floor: rate.NewLimiter(DefaultFloor, 1),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// RecordFirstAttempt counts a first attempt. It must not be called for retries,
// hedges and requests forwarded by a peer, whose first attempt is counted
// elsewhere.
func (b *Budget) RecordFirstAttempt(_ time.Time) {
	// The burst bounds the tokens. Otherwise retries accumulated over hours
	// of normal operation could be spent in the first second of an outage, and
	// raise the load on the remaining servers by far more than the ratio.
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TakeRetry takes one retry or hedge from the budget, and reports whether it may
// be sent.
func (b *Budget) TakeRetry(now time.Time) bool {
	if b.tokens+tolerance >= 1 {
		b.tokens = max(b.tokens-1, 0)
		return true
	}
	return b.floor.AllowN(now, 1)
}
