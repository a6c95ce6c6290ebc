// Package limit adapts a concurrency limit to the measured latency, for servers
// that can't serve as many concurrent requests as they declare.
//
// Usage:
//
//	l := limit.New(limit.WithMax(64))
//	if inFlight < l.Value() {
//		// start a request
//	}
//	l.Observe(now, inFlight, latency, ok)
//
// The latency is the service time without any queueing, except for Aim, which
// bounds the queueing delay. Each window of requests is represented by its
// median latency, so that one slow server among several doesn't shrink the bound
// for all. A Limit holds at most one window of samples. It isn't safe for
// concurrent use.
package limit

import (
	"math"
	"slices"
	"time"
)

// Constants of a window.
const (
	windowTime     = 100 * time.Millisecond
	maxSamples     = 512 // samples stored for one window
	DefaultSamples = 100 // for a window; the median of fewer is too noisy
)

// defaultMinFraction is the default minimum of the bound, as a fraction of its
// maximum.
const defaultMinFraction = 1.0 / 8

// Defaults of a Limit.
const (
	DefaultMax       = 1024
	DefaultTolerance = 1.5
)

// Limit is an adaptive concurrency limit.
type Limit struct {
	algorithm     Algorithm
	max           float64
	tolerance     float64
	targetLatency float64 // in seconds, for Aim
	minSamples    int     // required for a window
	min           float64 // zero for defaultMinFraction of max

	value    float64
	window   window
	climb    climb
	baseline float64   // moving median latency in seconds, for Gradient and AIMD
	shrunkAt time.Time // last decrease by Aim; requests sent earlier are ignored
}

// window holds the observations since the last adjustment.
type window struct {
	start   time.Time
	samples []float64
	total   int
	peak    int
}

// Option configures a Limit.
type Option func(*Limit)

// WithAlgorithm sets the algorithm, Climb by default.
func WithAlgorithm(a Algorithm) Option {
	return func(l *Limit) { l.algorithm = a }
}

// WithMax sets the maximum of the bound, which is also its initial value.
func WithMax(n int) Option {
	return func(l *Limit) { l.max = float64(n) }
}

// WithTolerance sets the ratio of the median latency to its baseline above which
// Gradient and AIMD shrink the bound, 1.5 by default.
func WithTolerance(factor float64) Option {
	return func(l *Limit) { l.tolerance = factor }
}

// WithTargetLatency selects the algorithm Aim with the given target latency.
func WithTargetLatency(latency time.Duration) Option {
	return func(l *Limit) {
		l.algorithm = Aim
		l.targetLatency = latency.Seconds()
	}
}

// WithInitial sets the initial value of the bound, the maximum by default.
func WithInitial(n int) Option {
	return func(l *Limit) { l.value = float64(n) }
}

// WithMin sets the minimum of the bound, an eighth of the maximum by default.
func WithMin(n int) Option {
	return func(l *Limit) { l.min = float64(n) }
}

// WithSamples sets how many samples a window needs, DefaultSamples by default.
func WithSamples(n int) Option {
	return func(l *Limit) { l.minSamples = n }
}

// New returns a Limit.
func New(opts ...Option) *Limit {
	l := &Limit{max: DefaultMax, tolerance: DefaultTolerance, minSamples: DefaultSamples}
	for _, opt := range opts {
		opt(l)
	}
	l.max = math.Max(l.max, 1)
	if l.value == 0 {
		l.value = l.max
	}
	l.value = l.clamp(l.value)
	return l
}

// Value returns the current bound.
func (l *Limit) Value() int {
	return int(l.value + 0.5)
}

// SetMax changes the maximum of the bound, and scales the bound in proportion.
func (l *Limit) SetMax(n int) {
	newMax := math.Max(float64(n), 1)
	if newMax == l.max {
		return
	}
	l.climb.scale(newMax / l.max)
	l.value *= newMax / l.max
	l.max = newMax
	l.value = l.clamp(l.value)
}

// Observe records one finished request; inFlight includes it. ok is false when
// no response arrived in time: its latency is then a sample only if it exceeds
// the moving median.
func (l *Limit) Observe(now time.Time, inFlight int, latency time.Duration, ok bool) {
	if l.algorithm == Off || now.Add(-latency).Before(l.shrunkAt) {
		return
	}
	w := &l.window
	if w.total == 0 {
		w.start = now
	}
	w.total++
	w.peak = max(w.peak, inFlight)
	if ok || latency.Seconds() > l.climb.median {
		w.add(latency)
	}
	if len(w.samples) < l.minSamples || now.Sub(w.start) < windowTime {
		return
	}
	l.adjust(now, w.peak, medianOf(w.samples))
	*w = window{samples: w.samples[:0]}
}

func (w *window) add(latency time.Duration) {
	if len(w.samples) < maxSamples {
		w.samples = append(w.samples, latency.Seconds())
	}
}

func (l *Limit) adjust(now time.Time, peak int, median float64) {
	saturated := peak >= l.Value()
	switch l.algorithm {
	case Climb:
		l.climbWindow(saturated, median)
	case Gradient, AIMD:
		l.compareWithBaseline(saturated, median)
	case Aim:
		l.adjustToTarget(now, saturated, median)
	}
}

func (l *Limit) clamp(v float64) float64 {
	minValue := l.min
	if minValue == 0 {
		minValue = defaultMinFraction * l.max
	}
	return math.Min(math.Max(v, math.Max(1, minValue)), l.max)
}

func medianOf(samples []float64) float64 {
	slices.Sort(samples)
	return samples[len(samples)/2]
}
