package placement

const (
	harmlessFactor   = 1.005 // factor of additional slowdown that is ignored
	sameWorkerFactor = 4     // cost of a replica on the same worker, in replicas in the rack
	silentCost       = 1

	idleAcceleratorsCost = 0.5 // cost of a task without accelerators on a worker with free ones
)

// Option sets one option of a Planner.
type Option func(*options)

type options struct {
	tailLimit    float64
	tailWeight   float64
	spreadWeight float64
	fitWeight    float64
	headroom     float64
	moveGain     float64
}

func defaults() options {
	return options{
		tailLimit:    1.08,
		tailWeight:   10,
		spreadWeight: 0.5,
		fitWeight:    1,
		headroom:     0.05,
		moveGain:     0.2,
	}
}

// WithTailLimit sets the slowdown of a service above which a batch task
// waits (default 1.08).
func WithTailLimit(ratio float64) Option {
	return func(o *options) { o.tailLimit = ratio }
}

// WithTailWeight sets the cost of doubling a service's latency (default 10).
func WithTailWeight(cost float64) Option {
	return func(o *options) { o.tailWeight = cost }
}

// WithSpreadWeight sets the cost of each replica of the same service in the
// rack (default 0.5).
func WithSpreadWeight(cost float64) Option {
	return func(o *options) { o.spreadWeight = cost }
}

// WithFitWeight sets the cost of free capacity that is left (default 1).
func WithFitWeight(cost float64) Option {
	return func(o *options) { o.fitWeight = cost }
}

// WithHeadroom sets the share of a worker's processors that batch tasks leave
// free beside services (default 0.05).
func WithHeadroom(share float64) Option {
	return func(o *options) { o.headroom = share }
}

// WithMoveGain sets the minimum decrease of the cost for which a running task moves
// (default 0.2).
func WithMoveGain(cost float64) Option {
	return func(o *options) { o.moveGain = cost }
}
