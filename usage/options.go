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

// WithPrior sets how many measurements a declaration counts as (default 3).
func WithPrior(measurements float64) Option {
	return func(o *options) { o.prior = measurements }
}

// WithMargin sets how many mean deviations a need lies above the mean
// (default 0.5).
func WithMargin(deviations float64) Option {
	return func(o *options) { o.margin = deviations }
}

// WithBound sets by what factor a need may differ from the declared one at
// most (default 8).
func WithBound(factor float64) Option {
	return func(o *options) { o.bound = factor }
}

// WithMaxClasses bounds how many classes are kept (default 10000).
func WithMaxClasses(n int) Option {
	return func(o *options) { o.maxClasses = n }
}
