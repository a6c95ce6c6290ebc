// Package share schedules the queue of one availability zone: it selects the
// tasks to claim now and the worker for each.
//
// Usage:
//
//	scheduler := share.New(share.WithAging(2 * time.Minute))
//	for _, choice := range scheduler.Select(now, input) {
//		claim(choice.Task, choice.Worker)
//	}
//
// The group with the lowest dominant share of its limit goes first. Within a
// group tasks are ordered by submission time, with urgent tasks moved ahead by
// the aging time. Pressing tasks, which are urgent or have waited for the
// aging time, go before all others in every group. A task submitted more than
// the aging time after another one of its group therefore only starts first
// when that doesn't delay the other one.
//
// A task that fits no worker gets a reservation on the worker where it is
// expected to start first, at most one per group. Other tasks may use that
// worker only in ways that can't delay the reserved task, even when run times
// are wrong by the error factor; the same holds for the rest of its group's
// limit. The task starts at the latest when everything that ran on the worker
// at the time of the reservation has ended. This bound holds for as many
// groups at once as there are reservations.
//
// Select depends only on its input and on the reservations of earlier calls.
package share

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Task is a queued task.
type Task struct {
	ID        string
	Group     string
	Need      resource.Vector
	Urgent    bool
	Submitted time.Time
	Duration  time.Duration // expected run time; zero when unknown
}

// Group is a group's limit in the zone and its use, including tasks that are
// claimed but not started.
type Group struct {
	Name  string
	Limit resource.Vector
	Used  resource.Vector
}

// Worker is a worker that tasks may be assigned to. Free is its capacity that
// neither services nor batch tasks use.
type Worker struct {
	ID      string
	Free    resource.Vector
	Running []Running
}

// Running is a batch task on a worker.
type Running struct {
	Group    string
	Need     resource.Vector
	Started  time.Time
	Duration time.Duration // expected run time; zero when unknown
}

// Input is the state of a zone on which Select decides.
type Input struct {
	Queue   []Task
	Groups  []Group
	Workers []Worker
}

// Choice assigns a task to a worker.
type Choice struct {
	Task   string
	Worker string
}

// Defaults of the options.
const (
	DefaultAging           = 2 * time.Minute
	DefaultErrorFactor     = 4
	DefaultReservations    = 64
	DefaultAssumedDuration = time.Hour
)

// Scheduler selects tasks. Its memory is bounded by the number of
// reservations. It isn't safe for concurrent use.
type Scheduler struct {
	aging           time.Duration
	errorFactor     int
	maxReservations int
	assumedDuration time.Duration
	reserved        map[string]string // worker by task
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithAging sets how long a task waits until it is treated as urgent.
func WithAging(d time.Duration) Option {
	return func(s *Scheduler) { s.aging = d }
}

// WithErrorFactor sets by which factor a run time may be longer or shorter
// than expected.
func WithErrorFactor(n int) Option {
	return func(s *Scheduler) { s.errorFactor = max(n, 1) }
}

// WithReservations bounds the number of reservations. They never take more
// than a quarter of the workers, except that one is always allowed.
func WithReservations(n int) Option {
	return func(s *Scheduler) { s.maxReservations = n }
}

// WithAssumedDuration sets the run time assumed for running tasks with an unknown
// one, when a worker is chosen for a reservation.
func WithAssumedDuration(d time.Duration) Option {
	return func(s *Scheduler) { s.assumedDuration = d }
}

// New returns a Scheduler without reservations.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		aging:           DefaultAging,
		errorFactor:     DefaultErrorFactor,
		maxReservations: DefaultReservations,
		assumedDuration: DefaultAssumedDuration,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Select returns the tasks to claim now, in the order of their selection. Each
// choice fits its worker and its group's limit together with all choices
// before it.
func (s *Scheduler) Select(now time.Time, in Input) []Choice {
	sel := newSelection(s, now, in)
	sel.restoreReservations(func(t *task) bool { return t.pressing })
	sel.startQualifying(func(t *task) bool { return t.pressing })
	sel.restoreReservations(func(t *task) bool { return !t.pressing })
	sel.startQualifying(func(*task) bool { return true })
	s.reserved = sel.reserved
	return sel.choices
}
