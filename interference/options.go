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

// WithLagBound sets the maximum lag of a report (default 2 minutes). Histories are kept
// for that time.
func WithLagBound(d time.Duration) Option {
	return func(o *options) { o.lagBound = d }
}

// WithSkew sets by how much a worker's clock may be ahead (default 1 s).
func WithSkew(d time.Duration) Option {
	return func(o *options) { o.skew = d }
}

// WithSilence sets the time without a report after which a worker counts as silent
// (default 90 s).
func WithSilence(d time.Duration) Option {
	return func(o *options) { o.silence = d }
}

// WithMemory sets the time constant by which a coefficient returns to its prior
// (default 1 hour).
func WithMemory(d time.Duration) Option {
	return func(o *options) { o.memory = d }
}

// WithPrior sets the expected slowdown by an unseen batch class and the
// standard deviation of its logarithm (default 1.01 and 0.3).
func WithPrior(ratio, deviation float64) Option {
	return func(o *options) { o.prior, o.deviation = logRatio(ratio), deviation }
}

// WithClip sets the bound of an innovation in standard deviations (default 3).
func WithClip(deviations float64) Option {
	return func(o *options) { o.clip = deviations }
}

// WithMaxPairs bounds the number of pairs of classes (default 20000). The least
// recently updated pairs are evicted first.
func WithMaxPairs(n int) Option {
	return func(o *options) { o.maxPairs = n }
}

// WithMaxSpans bounds the history of one worker (default 512).
func WithMaxSpans(n int) Option {
	return func(o *options) { o.maxSpans = n }
}

// WithMaxServices bounds the number of services (default 4096). The least recently
// updated ones are evicted first.
func WithMaxServices(n int) Option {
	return func(o *options) { o.maxServices = n }
}

// WithMaxCulprits bounds the number of pairs of one service (default 64). The memory of
// a service and the work for each of its reports grow with the square of it.
func WithMaxCulprits(n int) Option {
	return func(o *options) { o.maxCulprits = n }
}
