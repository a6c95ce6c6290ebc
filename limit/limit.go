// Package limit adapts a bound on concurrency to the latency that is
// measured, for servers that can't in truth serve as many requests at once
// as they declare.
//
// Usage:
//
//	l := limit.New(limit.WithMax(64))
//	if inFlight < l.Value() {
//		// start a request
//	}
//	l.Observe(now, inFlight, latency, ok)
//
// Latency is the time of service, without any wait in a queue. A window of
// requests is judged by its median, so that one slow server among several
// doesn't shrink the bound of all. A Limit holds at most one window of
// samples. It isn't safe for concurrent use.
package limit

import (
	"math"
	"slices"
	"time"
)

// Constants of the adaptation.
const (
	windowTime      = 100 * time.Millisecond
	windowSamples   = 50   // fewer say too little about a median
	windowBound     = 256  // samples kept of one window
	adopt           = 0.05 // of a window below the bound in the baseline
	adoptProbe      = 0.5  // of a probe in the baseline
	decrease        = 0.9
	smallestStep    = 0.5 // the gradient cuts at most by half
	smoothing       = 0.3
	growth          = 0.15
	utilized        = 0.7  // part of the bound in use from which growth makes sense
	judgeCut        = 0.75 // a cut this deep must have helped
	helped          = 0.92 // latency must have fallen to this part
	failureMajority = 0.5
	probeSoon       = 10  // windows at the bound before the first probe
	probeSeldom     = 160 // and at most, after probes that showed nothing
	probeWindows    = 2   // of which the first only lets old requests end
	probeStep       = 0.75
	probeShowed     = 0.9     // the baseline fell to this part or less
	smallestPart    = 1.0 / 8 // of the largest bound, which an outage can't undercut
)

// Defaults of a Limit.
const (
	DefaultMin       = 1
	DefaultMax       = 1024
	DefaultTolerance = 1.5
)

// Limit is an adaptive bound on concurrency.
type Limit struct {
	algorithm Algorithm
	min, max  float64
	tolerance float64

	value    float64
	baseline float64 // median latency in seconds without congestion
	cut      cut
	probe    probe
	window   window
}

// probe is a short reduction to learn the latency without congestion.
type probe struct {
	every     int // windows at the bound between probes
	saturated int // windows at the bound since the last probe
	left      int // windows of the current probe
	value     float64
}

// cut remembers where a series of reductions began.
type cut struct {
	value  float64
	median float64
}

type window struct {
	start    time.Time
	samples  []float64
	total    int
	failures int
	peak     int
}

// Option changes a Limit.
type Option func(*Limit)

// WithAlgorithm sets how the bound moves, Gradient by default.
func WithAlgorithm(a Algorithm) Option {
	return func(l *Limit) { l.algorithm = a }
}

// WithMin sets the smallest bound, 1 by default.
func WithMin(n int) Option {
	return func(l *Limit) { l.min = float64(n) }
}

// WithMax sets the largest bound, where the Limit also starts.
func WithMax(n int) Option {
	return func(l *Limit) { l.max = float64(n) }
}

// WithTolerance sets how many times its baseline the median latency may be
// before the bound shrinks, 1.5 by default.
func WithTolerance(factor float64) Option {
	return func(l *Limit) { l.tolerance = factor }
}

// New returns a Limit that starts at its largest bound.
func New(opts ...Option) *Limit {
	l := &Limit{min: DefaultMin, max: DefaultMax, tolerance: DefaultTolerance}
	for _, opt := range opts {
		opt(l)
	}
	l.value = l.max
	return l
}

// Value returns the bound.
func (l *Limit) Value() int {
	return int(l.value + 0.5)
}

// SetMax changes the largest bound; the bound keeps its proportion to it.
func (l *Limit) SetMax(n int) {
	largest := math.Max(float64(n), l.min)
	if largest == l.max {
		return
	}
	l.value *= largest / l.max
	l.max = largest
	l.value = l.clamp(l.value)
	l.cut = cut{}
	l.probe = probe{}
}

// Observe takes one finished request into account; inFlight counts it too.
func (l *Limit) Observe(now time.Time, inFlight int, latency time.Duration, ok bool) {
	if l.algorithm == Off {
		return
	}
	w := &l.window
	if w.total == 0 {
		w.start = now
	}
	w.add(inFlight, latency, ok)
	if w.total < windowSamples || now.Sub(w.start) < windowTime {
		return
	}
	l.judge(w)
	*w = window{samples: w.samples[:0]}
}

func (w *window) add(inFlight int, latency time.Duration, ok bool) {
	w.total++
	w.peak = max(w.peak, inFlight)
	if !ok {
		w.failures++
		return
	}
	if len(w.samples) < windowBound {
		w.samples = append(w.samples, latency.Seconds())
	}
}

func (l *Limit) judge(w *window) {
	if float64(w.failures) > failureMajority*float64(w.total) {
		l.value = l.clamp(l.value * decrease)
		return
	}
	median := medianOf(w.samples)
	if l.probing(w.peak, median) {
		return
	}
	l.learn(w.peak, median)
	if l.mistaken(median) {
		return
	}
	congestion := median / (l.tolerance * l.baseline)
	if congestion > 1 {
		l.shrink(median, congestion)
		return
	}
	l.cut = cut{}
	l.grow(w.peak)
}

// learn moves the baseline with the windows that stayed below the bound.
// Those at the bound may be congested.
func (l *Limit) learn(peak int, median float64) {
	switch {
	case l.baseline == 0:
		l.baseline = median
	case !l.saturated(peak):
		l.baseline += adopt * (median - l.baseline)
	}
}

func (l *Limit) saturated(peak int) bool {
	return float64(peak) >= utilized*l.value
}

// probing reports whether a probe is under way, and begins one when the bound
// was reached for a long time.
//
// What goes wrong: a service is at its bound since its start, so the
// baseline was learned from congested servers and the bound never shrinks.
// One would see throughput below what the servers do with fewer requests at
// once. A short reduction now and then shows the latency without congestion.
func (l *Limit) probing(peak int, median float64) bool {
	p := &l.probe
	if p.left > 0 {
		p.left--
		if p.left == 0 {
			l.endProbe(median)
		}
		return true
	}
	if !l.saturated(peak) || l.cut.value != 0 {
		p.saturated = 0
		return false
	}
	p.saturated++
	if p.saturated < max(p.every, probeSoon) || l.baseline == 0 {
		return false
	}
	p.left = probeWindows
	p.value = l.value
	l.value = l.clamp(l.value * probeStep)
	return true
}

// endProbe lowers the baseline when the probe was quicker. Probes
// become rare while they show nothing.
func (l *Limit) endProbe(median float64) {
	every := min(2*max(l.probe.every, probeSoon), probeSeldom)
	if median <= probeShowed*l.baseline {
		every = probeSoon
		l.baseline += adoptProbe * (median - l.baseline)
	}
	l.value = l.probe.value
	l.probe = probe{every: every}
}

// mistaken reports whether the bound was cut in vain, and takes the cut back.
//
// What goes wrong: the service itself becomes slower, by a new version or
// larger requests, and the bound shrinks to its minimum although no
// congestion is there. One would see refusals with idle workers. A cut that
// doesn't lower the latency proves that the baseline is out of date, so the
// measured latency becomes the baseline.
func (l *Limit) mistaken(median float64) bool {
	if l.cut.value == 0 || l.value > judgeCut*l.cut.value {
		return false
	}
	if median <= helped*l.cut.median {
		l.cut = cut{}
		return false
	}
	l.baseline = median
	l.value = l.cut.value
	l.cut = cut{}
	return true
}

func (l *Limit) shrink(median, congestion float64) {
	if l.cut.value == 0 {
		l.cut = cut{value: l.value, median: median}
	}
	step := decrease
	if l.algorithm == Gradient {
		step = 1 - smoothing*(1-math.Max(1/congestion, smallestStep))
	}
	l.value = l.clamp(l.value * step)
}

func (l *Limit) grow(peak int) {
	if !l.saturated(peak) {
		return
	}
	step := 1.0
	if l.algorithm == Gradient {
		step = growth * math.Sqrt(l.value)
	}
	l.value = l.clamp(l.value + math.Max(step, smallestStep))
}

func (l *Limit) clamp(v float64) float64 {
	return math.Min(math.Max(v, math.Max(l.min, smallestPart*l.max)), l.max)
}

func medianOf(samples []float64) float64 {
	slices.Sort(samples)
	return samples[len(samples)/2]
}
