package mitigation

import "time"

const (
	fullSpeed      = 100       // percent
	maxLoad        = 1.0       // of the processors, above which batch tasks are throttled
	maxReleaseLoad = 0.97      // load up to which throttles are released
	minRelief      = 0.02      // logarithm of the smallest slowdown worth an action
	relapseDelays  = 2         // a rise within this many release delays after a release is a relapse
	forgiveDelays  = 8         // the release delay halves after this many release delays without a throttle
	maxBackoff     = 5         // doublings of the release delay
	forgetAfter    = time.Hour // idle time after which a worker's record is dropped
)

// Option configures a Ladder.
type Option func(*options)

type options struct {
	limit         float64
	releaseLimit  float64
	severeLimit   float64
	floor         int
	lastFloor     int
	holdTime      time.Duration
	silentPercent int
	tailWeight    float64
	evictionCost  time.Duration
	budgetWindow  time.Duration
	jobBudget     int
	groupBudget   int
	moveAfter     time.Duration
}

func defaults() options {
	return options{
		limit:         1.12,
		releaseLimit:  1.06,
		severeLimit:   1.25,
		floor:         25,
		lastFloor:     5,
		holdTime:      time.Minute,
		silentPercent: 50,
		tailWeight:    5,
		evictionCost:  3 * time.Minute,
		budgetWindow:  10 * time.Minute,
		jobBudget:     4,
		groupBudget:   16,
		moveAfter:     5 * time.Minute,
	}
}

// WithLimits sets the slowdown of a service above which it is protected and
// the one below which throttles are released (default 1.12 and 1.06).
func WithLimits(protect, release float64) Option {
	return func(o *options) { o.limit, o.releaseLimit = protect, release }
}

// WithSevere sets the slowdown of a service above which the last floor and a
// move are used too (default 1.25).
func WithSevere(ratio float64) Option {
	return func(o *options) { o.severeLimit = ratio }
}

// WithFloors sets the lowest speed in percent before evictions, and the one
// for tasks that may not be evicted (default 25 and 5).
func WithFloors(first, last int) Option {
	return func(o *options) { o.floor, o.lastFloor = first, last }
}

// WithHold sets how long a worker must have had no action before a throttle is
// released, as long as no relapse has doubled it (default 1 minute).
func WithHold(d time.Duration) Option {
	return func(o *options) { o.holdTime = d }
}

// WithSilentPercent sets the speed of batch tasks beside services while a
// worker's reports are missing (default 50; 100 disables the throttle).
func WithSilentPercent(percent int) Option {
	return func(o *options) { o.silentPercent = percent }
}

// WithTailWeight sets the cost of a service slowed down by a factor of e, in
// units of batch work of the same duration (default 5). Increase it where tail
// latency matters most.
func WithTailWeight(weight float64) Option {
	return func(o *options) { o.tailWeight = weight }
}

// WithEvictionCost sets the cost of an eviction in addition to the lost work,
// as batch work time (default 3 minutes). Increase it where every eviction
// matters.
func WithEvictionCost(d time.Duration) Option {
	return func(o *options) { o.evictionCost = d }
}

// WithBudget sets how many evictions a job and a group may have within a
// window (default 4 and 16 within 10 minutes).
func WithBudget(job, group int, window time.Duration) Option {
	return func(o *options) { o.jobBudget, o.groupBudget, o.budgetWindow = job, group, window }
}

// WithMoveAfter sets how long a service must be above the limit, with no other
// action left, before it is moved (default 5 minutes).
func WithMoveAfter(d time.Duration) Option {
	return func(o *options) { o.moveAfter = d }
}
