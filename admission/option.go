package admission

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
)

// Defaults of a Gate.
const (
	DefaultReserve      = 1.0
	DefaultHeadroom     = 0.03
	DefaultStandingWait = 20 * time.Millisecond
	DefaultStandingTime = 100 * time.Millisecond
)

// Discipline tells which waiting request of a service goes first.
type Discipline int

// Disciplines of a queue.
const (
	FIFO Discipline = iota // the oldest
	LIFO                   // the newest
)

type config struct {
	reserve      float64
	headroom     float64
	standingWait time.Duration
	standingTime time.Duration
	discipline   Discipline
	limit        []limit.Option
}

func defaults() config {
	return config{
		reserve:      DefaultReserve,
		headroom:     DefaultHeadroom,
		standingWait: DefaultStandingWait,
		standingTime: DefaultStandingTime,
	}
}

// Option changes a Gate.
type Option func(*config)

// WithReserve sets how many mean deviations beyond the mean time of service a
// request must have left until its deadline, 1 by default.
func WithReserve(deviations float64) Option {
	return func(c *config) { c.reserve = deviations }
}

// WithHeadroom sets the part of the slots that a group above its share
// leaves to other active groups, 0.03 by default.
func WithHeadroom(part float64) Option {
	return func(c *config) { c.headroom = part }
}

// WithStanding sets the longest wait that is accepted once a queue hasn't
// been empty for a time: 20 ms after 100 ms by default. A wait of an hour
// turns this off.
func WithStanding(wait, after time.Duration) Option {
	return func(c *config) { c.standingWait, c.standingTime = wait, after }
}

// WithDiscipline sets which waiting request goes first, FIFO by default.
func WithDiscipline(d Discipline) Option {
	return func(c *config) { c.discipline = d }
}

// WithLimit sets options of the adaptive limit of each service. Its largest
// bound is the gate's to set.
func WithLimit(opts ...limit.Option) Option {
	return func(c *config) { c.limit = opts }
}
