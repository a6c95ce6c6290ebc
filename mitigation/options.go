package mitigation

import "time"

const (
	full        = 100 // percent
	fullLoad    = 1.0
	releaseLoad = 0.97 // load up to which throttles are taken back
	minRelief   = 0.02 // logarithm of a slowdown that is worth an action
	relapse     = 2    // hold times within which a rise after a release counts as one
	forgive     = 8    // hold times without a throttle after which the hold time halves
	maxBackoff  = 5
	forgetAfter = time.Hour
)

// Option sets one option of a Ladder.
type Option func(*options)

type options struct {
	limit         float64
	releaseLimit  float64
	severe        float64
	floor         int
	lastFloor     int
	holdTime      time.Duration
	silentPercent int
	tailWeight    float64
	evictionCost  time.Duration
	window        time.Duration
	jobBudget     int
	groupBudget   int
	moveAfter     time.Duration
}

func defaults() options {
	return options{
		limit:         1.12,
		releaseLimit:  1.06,
		severe:        1.25,
		floor:         25,
		lastFloor:     5,
		holdTime:      time.Minute,
		silentPercent: 50,
		tailWeight:    5,
		evictionCost:  3 * time.Minute,
		window:        10 * time.Minute,
		jobBudget:     4,
		groupBudget:   16,
		moveAfter:     5 * time.Minute,
	}
}

// WithLimits sets the slowdown of a service above which it is protected and
// the one below which throttles are taken back (default 1.12 and 1.06).
func WithLimits(protect, release float64) Option {
	return func(o *options) { o.limit, o.releaseLimit = protect, release }
}

// WithSevere sets the slowdown of a service above which it is protected by all
// means (default 1.25): by the last floor, and by a move.
func WithSevere(ratio float64) Option {
	return func(o *options) { o.severe = ratio }
}

// WithFloors sets the lowest throttle in percent before evictions, and the one
// for tasks that may not be evicted (default 25 and 5).
func WithFloors(first, last int) Option {
	return func(o *options) { o.floor, o.lastFloor = first, last }
}

// WithHold sets how long services must stay low before a throttle is taken
// back (default 1 minute).
func WithHold(d time.Duration) Option {
	return func(o *options) { o.holdTime = d }
}

// WithSilentPercent sets the throttle of batch tasks beside services while a
// worker's reports are missing (default 50; 100 leaves them alone).
func WithSilentPercent(percent int) Option {
	return func(o *options) { o.silentPercent = percent }
}

// WithTailWeight sets what a service slowed to e times its latency for a
// while is worth, in units of batch work of the same while (default 5). Users
// who weigh tail latency most set it higher.
func WithTailWeight(weight float64) Option {
	return func(o *options) { o.tailWeight = weight }
}

// WithEvictionCost sets what an eviction costs beside the lost work, as batch
// work time (default 3 minutes). Users who count each eviction set it higher.
func WithEvictionCost(d time.Duration) Option {
	return func(o *options) { o.evictionCost = d }
}

// WithBudget sets how many evictions a job and a group may suffer within a
// window (default 4 and 16 within 10 minutes).
func WithBudget(job, group int, window time.Duration) Option {
	return func(o *options) { o.jobBudget, o.groupBudget, o.window = job, group, window }
}

// WithMoveAfter sets how long a service must suffer, with nothing else left
// to do, before it is moved (default 5 minutes).
func WithMoveAfter(d time.Duration) Option {
	return func(o *options) { o.moveAfter = d }
}
