package lease

import "time"

// Defaults.
const (
	defaultTTL       = 6 * time.Second
	defaultDrift     = 200 * time.Millisecond
	defaultTasks     = 30 * time.Second
	defaultIsolation = 15 * time.Minute
	defaultPause     = 2 * time.Second
	defaultLimit     = 4096
)

// Parts of other settings.
const (
	renewalPart = 3  // renewals come every TTL/3, so two may fail
	retryPart   = 4  // an unanswered renewal is sent again after a quarter of that
	lostPart    = 8  // one that failed, after an eighth
	floorTTLs   = 10 // a released lease's epoch is remembered for this many TTLs
)

type settings struct {
	holder    string
	ttl       time.Duration
	drift     time.Duration
	interval  time.Duration
	tasks     time.Duration
	isolation time.Duration
	pause     time.Duration
	limit     int
}

// Option sets up a Book.
type Option func(*settings)

// WithHolder sets the ID under which leases are asked for.
func WithHolder(id string) Option {
	return func(s *settings) { s.holder = id }
}

// WithTTL sets how long a worker's lease is asked for.
func WithTTL(d time.Duration) Option {
	return func(s *settings) { s.ttl = d }
}

// WithDrift sets by how much a worker's clock may run ahead of the holder's
// over one TTL.
func WithDrift(d time.Duration) Option {
	return func(s *settings) { s.drift = d }
}

// WithInterval sets the time between renewals; a third of the TTL if unset.
func WithInterval(d time.Duration) Option {
	return func(s *settings) { s.interval = d }
}

// WithTasks sets how long the leases of batch tasks are extended for.
func WithTasks(d time.Duration) Option {
	return func(s *settings) { s.tasks = d }
}

// WithIsolation sets for how long after the last read of the log's tail the
// leases of batch tasks go on being extended.
func WithIsolation(d time.Duration) Option {
	return func(s *settings) { s.isolation = d }
}

// WithPause sets the gap between two ticks above which the holder is taken to
// have been paused.
func WithPause(d time.Duration) Option {
	return func(s *settings) { s.pause = d }
}

// WithLimit bounds the number of workers in the book.
func WithLimit(n int) Option {
	return func(s *settings) { s.limit = n }
}

func newSettings(opts []Option) settings {
	s := settings{
		ttl:       defaultTTL,
		drift:     defaultDrift,
		tasks:     defaultTasks,
		isolation: defaultIsolation,
		pause:     defaultPause,
		limit:     defaultLimit,
	}
	for _, opt := range opts {
		opt(&s)
	}
	if s.interval <= 0 {
		s.interval = s.ttl / renewalPart
	}
	return s
}
