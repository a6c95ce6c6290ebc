// Package budget bounds retries and hedges to a part of the first tries, with
// a small floor so that a quiet service may retry at all.
//
// Usage:
//
//	b := budget.New(budget.WithRatio(0.1))
//	b.First(now) // for each first try
//	if b.Take(now) {
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

// tolerance absorbs the rounding of summed ratios.
const tolerance = 1e-9

// Budget bounds the retries and hedges of one service.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	floor  *rate.Limiter
}

// Option changes a Budget.
type Option func(*Budget)

// WithRatio sets how many retries each first try allows, 0.1 by default.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithFloor sets how many retries a second are allowed whatever the first
// tries, 1 by default.
func WithFloor(perSecond float64) Option {
	return func(b *Budget) { b.floor = rate.NewLimiter(rate.Limit(perSecond), 1) }
}

// WithBurst sets how many retries may be saved up, 50 by default.
func WithBurst(n int) Option {
	return func(b *Budget) { b.burst = float64(n) }
}

// New returns a Budget that starts with its floor only.
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

// First counts a first try. It is not called for retries, hedges and
// requests that a peer forwarded: their first try is counted elsewhere.
func (b *Budget) First(_ time.Time) {
	// What goes wrong: retries saved up over hours of calm are all spent in
	// the first second of an outage. One would see the load on the servers
	// that still answer jump by far more than the ratio. The bound on what
	// is saved keeps the jump small.
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take reports whether one retry or hedge may be sent now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens+tolerance >= 1 {
		b.tokens = max(b.tokens-1, 0)
		return true
	}
	return b.floor.AllowN(now, 1)
}
