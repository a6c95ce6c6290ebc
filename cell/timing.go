package cell

import "time"

// Timing holds the cell's bounds. Durations are on the clock that Step is
// given, unless a comment says otherwise.
type Timing struct {
	// Lease is how long a worker goes on without hearing from an owner, on
	// the worker's clock. It outlives a takeover, a freeze of the owner and
	// most cuts, so that they cost no work; it isn't needed for safety in a
	// takeover, where the token does the taking.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Isolation is how long an owner gives orders since it last wrote to the
	// store. A successor that can't reach a worker waits for Isolation and a
	// lease before it takes the worker's tasks as ended.
	Isolation time.Duration
	// StartWindow is how long a start order stays good. One that is held up
	// for longer is refused, which settles what became of it.
	StartWindow time.Duration
	// HoldWait is how long a worker may keep a hold unanswered for want of
	// news. It bounds the age of what is known of running tasks.
	HoldWait time.Duration
	// IdleWait is the same for a worker that runs nothing.
	IdleWait time.Duration
	// MixedWait is the same for one that runs filling tasks beside serving
	// ones. It bounds how long a serving task is slowed before that is seen.
	MixedWait time.Duration
	// UnseenWait is the time until a worker with ends that aren't on record
	// yet is looked at again. It answers at once until they are, so that a
	// look can't wait there for the next end. While the store is slow or away
	// that end would otherwise be seen a second late.
	UnseenWait time.Duration
	// Beat is the longest time between two writes of the owner.
	Beat time.Duration
	// SaveGap is the least time between two writes; it batches them.
	SaveGap time.Duration
	// SaveRetry is the pause before a write without an answer is repeated.
	SaveRetry time.Duration
	// StopRetry is the pause before a stop without effect is repeated.
	StopRetry time.Duration
	// Handover is how long a new owner gives no orders for machines, which
	// don't check whose order is newer.
	Handover time.Duration
	// Silence is how long a worker may be out of reach before it gets no new
	// tasks.
	Silence time.Duration
	// Unlisted is how long a worker that answers gets tasks after it went off
	// the list. Entries that lapsed in an outage of the store are back within
	// two seconds.
	Unlisted time.Duration
	// ListAge is how old the list of workers may be when a task is started. It
	// is below the notice that workers give before they leave, by the time
	// between two writes of the owner, which say that the store can be reached,
	// and that of an order on its way.
	ListAge time.Duration
	// RoomAge is how old the list may be in any case. A worker may say in it that
	// it has less room, and one that doesn't guard its capacity takes what is
	// started all the same. It is below the time that is left for that to be known
	// everywhere, by that of an order on its way.
	RoomAge time.Duration
	// Stall is how long a running task may show no advance before it counts
	// as hanging.
	Stall time.Duration
	// Quarantine is how long a worker that fails or hangs gets no tasks.
	Quarantine time.Duration
	// PaceDelay is how long a worker takes to let a task work at another speed.
	PaceDelay time.Duration
	// Keep is how long a job is known after its end.
	Keep time.Duration
	// Margin is added to every wait for a lease's end, for the time that an
	// answer took.
	Margin time.Duration
	// Drift is how much slower than ours a worker's clock may run.
	Drift float64
}

// DefaultTiming returns bounds for workers that grant at most 10 s.
func DefaultTiming() Timing {
	return Timing{
		Lease:       9 * time.Second,
		MaxLease:    10 * time.Second,
		Isolation:   8 * time.Second,
		StartWindow: 700 * time.Millisecond,
		HoldWait:    time.Second,
		IdleWait:    2 * time.Second,
		MixedWait:   400 * time.Millisecond,
		UnseenWait:  100 * time.Millisecond,
		Beat:        500 * time.Millisecond,
		SaveGap:     15 * time.Millisecond,
		SaveRetry:   100 * time.Millisecond,
		StopRetry:   600 * time.Millisecond,
		Handover:    3500 * time.Millisecond,
		Silence:     300 * time.Millisecond,
		Unlisted:    3 * time.Second,
		ListAge:     1400 * time.Millisecond,
		RoomAge:     2300 * time.Millisecond,
		Stall:       2500 * time.Millisecond,
		Quarantine:  2 * time.Second,
		PaceDelay:   100 * time.Millisecond,
		Keep:        10 * time.Minute,
		Margin:      150 * time.Millisecond,
		Drift:       0.025,
	}
}

// stretched returns how long a span of a worker's clock may take on ours.
func (t *Timing) stretched(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*t.Drift) + t.Margin
}
