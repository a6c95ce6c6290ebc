package mixed

import (
	"slices"
	"time"
)

// Option sets one option of a Bench.
type Option func(*options)

type options struct {
	seeds     int
	firstSeed uint64
	duration  time.Duration
	threshold float64
	parallel  int
	sections  []string
	tuning    Tuning
}

func defaults() options {
	return options{seeds: 5, firstSeed: 1, duration: 80 * time.Minute, threshold: 1.25, parallel: 2}
}

// WithSeeds sets the number of seeds that each figure is averaged over
// (default 5).
func WithSeeds(n int) Option {
	return func(o *options) { o.seeds = n }
}

// WithFirstSeed sets the lowest seed (default 1).
func WithFirstSeed(seed uint64) Option {
	return func(o *options) { o.firstSeed = seed }
}

// WithDuration sets the virtual time of a run (default 80 minutes). The first
// 10 minutes are excluded from the results.
func WithDuration(d time.Duration) Option {
	return func(o *options) { o.duration = d }
}

// WithThreshold sets the limit of the threshold policies as a multiple of a
// service's latency without colocation (default 1.25).
func WithThreshold(ratio float64) Option {
	return func(o *options) { o.threshold = ratio }
}

// WithParallel sets how many runs execute concurrently (default 2).
func WithParallel(n int) Option {
	return func(o *options) { o.parallel = n }
}

// WithSections names the tables to print: policies, thresholds, parts,
// objectives, lag, noise, sizes, waves, silence (default all).
func WithSections(names ...string) Option {
	return func(o *options) { o.sections = names }
}

// WithTuning passes options to the packages under measurement.
func WithTuning(t Tuning) Option {
	return func(o *options) { o.tuning = t }
}

func (o *options) hasSection(section string) bool {
	return len(o.sections) == 0 || slices.Contains(o.sections, section)
}
