package usage

// Option sets one option of a Sizes.
type Option func(*options)

type options struct {
	prior      float64
	margin     float64
	bound      float64
	maxClasses int
}

func defaults() options {
	return options{prior: 3, margin: 0.5, bound: 8, maxClasses: 10000}
}

// WithPrior sets the weight of a declaration, in measurements (default 3).
func WithPrior(measurements float64) Option {
	return func(o *options) { o.prior = measurements }
}

// WithMargin sets the distance of a need above the mean, in mean deviations
// (default 0.5).
func WithMargin(deviations float64) Option {
	return func(o *options) { o.margin = deviations }
}

// WithBound sets the maximum factor by which a need differs from the declared one
// (default 8).
func WithBound(factor float64) Option {
	return func(o *options) { o.bound = factor }
}

// WithMaxClasses bounds the number of classes (default 10000). The least recently updated
// ones are evicted first.
func WithMaxClasses(n int) Option {
	return func(o *options) { o.maxClasses = n }
}
