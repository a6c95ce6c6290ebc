package interference

import "time"

// Option sets one option of an Estimator.
type Option func(*options)

type options struct {
	lagBound  time.Duration
	skew      time.Duration
	silence   time.Duration
	memory    time.Duration
	prior     float64 // mean of an unseen coefficient of a batch culprit
	deviation float64 // standard deviation of an unseen coefficient
	clip      float64
	maxPairs  int
	maxSpans  int

	maxServices int
	maxCulprits int
}

func defaults() options {
	return options{
		lagBound:  2 * time.Minute,
		skew:      time.Second,
		silence:   90 * time.Second,
		memory:    time.Hour,
		prior:     0.01,
		deviation: 0.3,
		clip:      3,
		maxPairs:  20000,
		maxSpans:  512,

		maxServices: 4096,
		maxCulprits: 64,
	}
}

// WithLagBound sets how late a report may be and still count (default 2
// minutes). History is kept for as long.
func WithLagBound(d time.Duration) Option {
	return func(o *options) { o.lagBound = d }
}

// WithSkew sets how far ahead a worker's clock may be (default 1 s).
func WithSkew(d time.Duration) Option {
	return func(o *options) { o.skew = d }
}

// WithSilence sets after how long without a report a worker counts as silent
// (default 90 s).
func WithSilence(d time.Duration) Option {
	return func(o *options) { o.silence = d }
}

// WithMemory sets the time constant by which old evidence gives way to the
// prior (default 1 hour).
func WithMemory(d time.Duration) Option {
	return func(o *options) { o.memory = d }
}

// WithPrior sets the slowdown expected of an unseen batch class and the
// standard deviation of its logarithm (default 1.01 and 0.3).
func WithPrior(ratio, deviation float64) Option {
	return func(o *options) { o.prior, o.deviation = logRatio(ratio), deviation }
}

// WithClip sets at how many standard deviations a surprise is cut off
// (default 3).
func WithClip(deviations float64) Option {
	return func(o *options) { o.clip = deviations }
}

// WithMaxPairs bounds how many pairs of classes are kept (default 20000). The
// pairs without news for the longest go first.
func WithMaxPairs(n int) Option {
	return func(o *options) { o.maxPairs = n }
}

// WithMaxSpans bounds the history of one worker (default 512).
func WithMaxSpans(n int) Option {
	return func(o *options) { o.maxSpans = n }
}

// WithMaxServices bounds how many services are kept (default 4096). The ones
// without news for the longest go first.
func WithMaxServices(n int) Option {
	return func(o *options) { o.maxServices = n }
}

// WithMaxCulprits bounds how many pairs are kept for one service (default
// 64). Its memory and the work for each of its reports grow with the square.
func WithMaxCulprits(n int) Option {
	return func(o *options) { o.maxCulprits = n }
}
