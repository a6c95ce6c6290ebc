package lease

import "time"

// Defaults of the options.
const (
	defaultTTL            = 6 * time.Second
	defaultMaxDrift       = 200 * time.Millisecond
	defaultTaskTTL        = 30 * time.Second
	defaultIsolationBound = 15 * time.Minute
	defaultMaxTickGap     = 2 * time.Second
	defaultMaxWorkers     = 4096
)

// Divisors and multiples of other settings.
const (
	renewalDivisor     = 3  // renewals are sent every TTL/3, so two may fail
	retryDivisor       = 4  // an unanswered renewal is repeated after 1/4 of the renewal interval
	lostDivisor        = 8  // a failed renewal is repeated after 1/8 of the renewal interval
	epochRetentionTTLs = 10 // the epoch of a released lease is remembered for this many TTLs
)

type options struct {
	holder          string
	ttl             time.Duration
	maxDrift        time.Duration
	renewalInterval time.Duration
	taskTTL         time.Duration
	isolationBound  time.Duration
	maxTickGap      time.Duration
	maxWorkers      int
}

// Option configures a Table.
type Option func(*options)

// WithHolder sets the ID under which leases are requested.
func WithHolder(id string) Option {
	return func(o *options) { o.holder = id }
}

// WithTTL sets the requested duration of worker leases.
func WithTTL(d time.Duration) Option {
	return func(o *options) { o.ttl = d }
}

// WithMaxDrift sets by how much a worker's clock may run ahead of the holder's
// during one TTL.
func WithMaxDrift(d time.Duration) Option {
	return func(o *options) { o.maxDrift = d }
}

// WithRenewalInterval sets the time between renewals; the default is a third
// of the TTL.
func WithRenewalInterval(d time.Duration) Option {
	return func(o *options) { o.renewalInterval = d }
}

// WithTaskTTL sets for how long a renewal extends the leases of batch tasks.
func WithTaskTTL(d time.Duration) Option {
	return func(o *options) { o.taskTTL = d }
}

// WithIsolationBound sets for how long after the last read of the log's tail
// the leases of batch tasks are extended.
func WithIsolationBound(d time.Duration) Option {
	return func(o *options) { o.isolationBound = d }
}

// WithMaxTickGap sets the time between two ticks above which the holder is
// considered to have been paused.
func WithMaxTickGap(d time.Duration) Option {
	return func(o *options) { o.maxTickGap = d }
}

// WithMaxWorkers bounds the number of workers in the table.
func WithMaxWorkers(n int) Option {
	return func(o *options) { o.maxWorkers = n }
}

func newOptions(opts []Option) options {
	o := options{
		ttl:            defaultTTL,
		maxDrift:       defaultMaxDrift,
		taskTTL:        defaultTaskTTL,
		isolationBound: defaultIsolationBound,
		maxTickGap:     defaultMaxTickGap,
		maxWorkers:     defaultMaxWorkers,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.renewalInterval <= 0 {
		o.renewalInterval = o.ttl / renewalDivisor
	}
	return o
}
