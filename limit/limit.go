// Package limit adapts a bound on concurrency to measured latency, for
// servers that can't in truth serve as many requests at once as they declare.
//
// Usage:
//
//	l := limit.New(limit.WithMax(64))
//	if inFlight < l.Value() {
//		// start a request
//	}
//	l.Observe(now, inFlight, latency, ok)
//
// Latency is the time of service, without any wait in a queue, but for Aim, which
// bounds just that wait. A window of
// requests is judged by its median, so that one slow server among several
// doesn't shrink the bound of all. A Limit holds at most one window of
// samples. It isn't safe for concurrent use.
package limit

import (
	"math"
	"slices"
	"time"
)

// Constants of a window.
const (
	windowTime     = 100 * time.Millisecond
	windowBound    = 512 // samples kept of one window
	DefaultSamples = 100 // of a window; fewer say too little about a median
)

// smallestPart is the part of the largest bound that is always left.
const smallestPart = 1.0 / 8

// Defaults of a Limit.
const (
	DefaultMax       = 1024
	DefaultTolerance = 1.5
)

// Limit is an adaptive bound on concurrency.
type Limit struct {
	algorithm Algorithm
	max       float64
	tolerance float64
	aim       float64 // of Aim, in seconds
	samples   int     // that a window needs
	min       float64 // zero for smallestPart of the largest bound

	value    float64
	window   window
	climb    climb
	baseline float64   // of Gradient and AIMD: usual median latency in seconds
	cutAt    time.Time // of Aim: requests that were sent before tell of a larger bound
}

// window is what was observed since the last judgement.
type window struct {
	start   time.Time
	samples []float64
	total   int
	peak    int
}

// Option changes a Limit.
type Option func(*Limit)

// WithAlgorithm sets how the bound moves, Climb by default.
func WithAlgorithm(a Algorithm) Option {
	return func(l *Limit) { l.algorithm = a }
}

// WithMax sets the largest bound, where the Limit also starts.
func WithMax(n int) Option {
	return func(l *Limit) { l.max = float64(n) }
}

// WithTolerance sets how many times its baseline the median latency may be
// before Gradient and AIMD shrink the bound, 1.5 by default.
func WithTolerance(factor float64) Option {
	return func(l *Limit) { l.tolerance = factor }
}

// WithAim has the bound follow the latency that is aimed at; it sets the
// algorithm Aim.
func WithAim(latency time.Duration) Option {
	return func(l *Limit) {
		l.algorithm = Aim
		l.aim = latency.Seconds()
	}
}

// WithStart sets the bound at the start, the largest one by default.
func WithStart(n int) Option {
	return func(l *Limit) { l.value = float64(n) }
}

// WithMin sets the smallest bound, an eighth of the largest one by default.
func WithMin(n int) Option {
	return func(l *Limit) { l.min = float64(n) }
}

// WithSamples sets how many requests a window needs, DefaultSamples by default.
func WithSamples(n int) Option {
	return func(l *Limit) { l.samples = n }
}

// New returns a Limit.
func New(opts ...Option) *Limit {
	l := &Limit{max: DefaultMax, tolerance: DefaultTolerance, samples: DefaultSamples}
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

// Value returns the bound.
func (l *Limit) Value() int {
	return int(l.value + 0.5)
}

// SetMax changes the largest bound; the bound keeps its proportion to it.
func (l *Limit) SetMax(n int) {
	largest := math.Max(float64(n), 1)
	if largest == l.max {
		return
	}
	l.climb.scale(largest / l.max)
	l.value *= largest / l.max
	l.max = largest
	l.value = l.clamp(l.value)
}

// Observe takes one finished request into account; inFlight counts it too.
// ok is false when no answer came in time: its latency counts where it is
// longer than usual.
func (l *Limit) Observe(now time.Time, inFlight int, latency time.Duration, ok bool) {
	if l.algorithm == Off || now.Add(-latency).Before(l.cutAt) {
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
	if len(w.samples) < l.samples || now.Sub(w.start) < windowTime {
		return
	}
	l.judge(now, w.peak, medianOf(w.samples))
	*w = window{samples: w.samples[:0]}
}

func (w *window) add(latency time.Duration) {
	if len(w.samples) < windowBound {
		w.samples = append(w.samples, latency.Seconds())
	}
}

func (l *Limit) judge(now time.Time, peak int, median float64) {
	saturated := peak >= l.Value()
	switch l.algorithm {
	case Climb:
		l.climbWindow(saturated, median)
	case Gradient, AIMD:
		l.compareWindow(saturated, median)
	case Aim:
		l.aimWindow(now, saturated, median)
	}
}

func (l *Limit) clamp(v float64) float64 {
	least := l.min
	if least == 0 {
		least = smallestPart * l.max
	}
	return math.Min(math.Max(v, math.Max(1, least)), l.max)
}

func medianOf(samples []float64) float64 {
	slices.Sort(samples)
	return samples[len(samples)/2]
}
