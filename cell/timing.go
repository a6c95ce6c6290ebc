package cell

import "time"

// Timing holds the timeouts and intervals of a cell. They are on the clock that is passed
// to Step, unless noted otherwise.
type Timing struct {
	// Lease is how long a worker goes on without contact to an owner, on the worker's
	// clock. It outlasts a takeover, a freeze of the owner and most network partitions, so
	// that these cost no work. Takeovers don't depend on it for safety, as the fencing
	// token takes the workers over.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Isolation is how long an owner gives orders after its last write to the store. A
	// successor that can't reach a worker waits for Isolation and a lease before it treats
	// the worker's tasks as ended.
	Isolation time.Duration
	// StartWindow is how long a start order stays valid. A worker refuses one that is
	// delayed for longer, which resolves its outcome.
	StartWindow time.Duration
	// MaxOrderAge is how long after it was given an order without an answer may be carried out.
	MaxOrderAge time.Duration
	// HoldWait is how long a worker may delay the answer to a hold while it has nothing to
	// report. It limits the age of the progress known of running tasks.
	HoldWait time.Duration
	// IdleWait is the same for a worker that runs nothing.
	IdleWait time.Duration
	// MixedWait is the same for a worker that runs filling tasks beside serving ones. It
	// limits how long a serving task is slowed down before the owner notices.
	MixedWait time.Duration
	// UnrecordedWait is the time until the next hold to a worker with ends that aren't on
	// record yet. Such a worker answers a hold at once until its ends are acknowledged, so
	// a hold can't wait at the worker for the next end. Without the repeated holds, the
	// next end would be noticed a second late while the store is slow or unavailable.
	UnrecordedWait time.Duration
	// HeartbeatInterval is the maximum time between two writes of the owner, its heartbeats.
	HeartbeatInterval time.Duration
	// MinSaveInterval is the minimum time between two writes, which batches records.
	MinSaveInterval time.Duration
	// SaveRetryInterval is the pause before a failed write is retried.
	SaveRetryInterval time.Duration
	// StopRetryInterval is the pause before a stop without effect is repeated.
	StopRetryInterval time.Duration
	// HandoverDelay is how long a new owner gives no orders to machines, which don't check
	// whether an order comes from the latest owner.
	HandoverDelay time.Duration
	// MaxSilence is how long beyond IdleWait a worker may be out of contact before it gets
	// no new tasks.
	MaxSilence time.Duration
	// UnlistedGrace is how long a worker that disappeared from the list may be back. Entries
	// that expired in an outage of the store are back within two seconds.
	UnlistedGrace time.Duration
	// MaxListAge is how old the list of workers may be when a task is started, relative to
	// the last evidence that the store can be reached. It is less than the notice that
	// workers give before they leave; the difference covers the time between two writes of
	// the owner, which show that the store can be reached, and the delivery of an order.
	MaxListAge time.Duration
	// MaxCapacityAge is the maximum age of the list in any case. A list may announce that a
	// worker's capacity shrinks, and a worker that doesn't enforce its capacity accepts
	// excess starts. MaxCapacityAge is less than the time within which the change has to be
	// known everywhere; the difference covers the delivery of an order.
	MaxCapacityAge time.Duration
	// EntryInterval is the time between two writes of a worker's entry on the list, as far as
	// the store takes them.
	EntryInterval time.Duration
	// StallTimeout is how long a running task may show no progress before it counts as hanging.
	StallTimeout time.Duration
	// Quarantine is how long a worker on which tasks fail or hang gets no tasks.
	Quarantine time.Duration
	// PaceDelay is how long a worker takes to change a task's speed.
	PaceDelay time.Duration
	// JobRetention is how long a job is kept after its end.
	JobRetention time.Duration
	// CancellationRetention is how long the cancellation of a job that isn't on record is kept.
	// It outlasts writes of the job that callers and instances have given up.
	CancellationRetention time.Duration
	// Margin is added to each wait for the end of a lease, to cover the time that an
	// answer took.
	Margin time.Duration
	// MaxClockDrift is the maximum rate by which a worker's clock runs slower than the owner's.
	MaxClockDrift float64
}

// DefaultTiming returns the timing for workers that grant leases of at most 10 s.
func DefaultTiming() Timing {
	return Timing{
		Lease:             9 * time.Second,
		MaxLease:          10 * time.Second,
		Isolation:         8 * time.Second,
		StartWindow:       700 * time.Millisecond,
		MaxOrderAge:       12 * time.Second,
		HoldWait:          time.Second,
		IdleWait:          2 * time.Second,
		MixedWait:         400 * time.Millisecond,
		UnrecordedWait:    100 * time.Millisecond,
		HeartbeatInterval: 500 * time.Millisecond,
		MinSaveInterval:   15 * time.Millisecond,
		SaveRetryInterval: 100 * time.Millisecond,
		StopRetryInterval: 600 * time.Millisecond,
		HandoverDelay:     3500 * time.Millisecond,
		MaxSilence:        300 * time.Millisecond,
		UnlistedGrace:     3 * time.Second,
		MaxListAge:        1400 * time.Millisecond,
		MaxCapacityAge:    2300 * time.Millisecond,
		EntryInterval:     1100 * time.Millisecond,
		StallTimeout:      2500 * time.Millisecond,
		Quarantine:        2 * time.Second,
		PaceDelay:         100 * time.Millisecond,
		JobRetention:      10 * time.Minute,

		CancellationRetention: 2 * time.Minute,

		Margin:        150 * time.Millisecond,
		MaxClockDrift: 0.025,
	}
}

// slowest returns how long milliseconds on a worker's clock took at most on the owner's clock.
func (t *Timing) slowest(ms int64) time.Duration {
	span := time.Duration(ms) * time.Millisecond
	return span + time.Duration(max(0, float64(span))*t.MaxClockDrift)
}

// stretch returns how long a span on a worker's clock may take on the owner's clock.
func (t *Timing) stretch(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*t.MaxClockDrift) + t.Margin
}
