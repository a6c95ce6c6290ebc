package admission

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/limit"
)

// Defaults of a Gate.
const (
	DefaultReserve       = 1.0
	DefaultHeadroom      = 0.03
	DefaultStandingWait  = 20 * time.Millisecond
	DefaultStandingAfter = 100 * time.Millisecond
)

// Discipline determines which waiting request of a service is admitted first.
type Discipline int

// Disciplines of a queue.
const (
	FIFO Discipline = iota // the oldest
	LIFO                   // the newest
)

type config struct {
	reserveDeviations float64
	headroom          float64
	maxStandingWait   time.Duration
	standingAfter     time.Duration
	discipline        Discipline
	limit             []limit.Option
}

func defaults() config {
	return config{
		reserveDeviations: DefaultReserve,
		headroom:          DefaultHeadroom,
		maxStandingWait:   DefaultStandingWait,
		standingAfter:     DefaultStandingAfter,
	}
}

// Option configures a Gate.
type Option func(*config)

// WithReserve sets the time that a waiting request must have left until its
// deadline: the mean service time plus this many mean deviations, 1 by default.
func WithReserve(deviations float64) Option {
	return func(c *config) { c.reserveDeviations = deviations }
}

// WithHeadroom sets the fraction of the slots that a group above its fair share
// must leave free for other active groups, 0.03 by default.
func WithHeadroom(part float64) Option {
	return func(c *config) { c.headroom = part }
}

// WithStandingQueue sets the maximum wait that is accepted while a queue has
// been non-empty for at least after: 20 ms after 100 ms by default. A wait of an
// hour disables the check.
func WithStandingQueue(wait, after time.Duration) Option {
	return func(c *config) { c.maxStandingWait, c.standingAfter = wait, after }
}

// WithDiscipline sets which waiting request is admitted first, FIFO by default.
func WithDiscipline(d Discipline) Option {
	return func(c *config) { c.discipline = d }
}

// WithLimit sets options of the adaptive limit of each service. The gate itself
// sets the maximum of the limit.
func WithLimit(opts ...limit.Option) Option {
	return func(c *config) { c.limit = opts }
}
