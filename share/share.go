// Package share orders the queue of one availability zone: which tasks to
// claim now, and on which worker to put each.
//
// Usage:
//
//	scheduler := share.New(share.WithAging(2 * time.Minute))
//	for _, choice := range scheduler.Select(now, input) {
//		claim(choice.Task, choice.Worker)
//	}
//
// The group with the least dominant share of its limit goes first. Within a
// group tasks go in the order of their submission, an urgent one as if it had
// been submitted earlier by the aging time. Pressing tasks, which are urgent
// or have waited for the aging time, go before all others in every group. So
// no task submitted more than the aging time after another of its group goes
// before it, unless it does the other no harm.
//
// A task that finds no room gets a reservation on the worker where it is
// expected to start first, at most one for each group. Others may use that
// worker only in ways that can't delay it, even when run times are wrong by
// the error factor; the same holds for the rest of its group's limit. It starts
// at the latest when all that ran on the worker at the time has ended. This
// bound holds for as many groups at once as there are reservations.
//
// Select depends on its input and on the reservations of earlier calls alone.
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
	Duration  time.Duration // expected run time; zero when not known
}

// Group is what a group may hold in the zone and what it holds, tasks that
// are claimed but not started among it.
type Group struct {
	Name  string
	Limit resource.Vector
	Used  resource.Vector
}

// Worker is a worker that tasks may be put on. Free is what neither services
// nor batch tasks hold.
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
	Duration time.Duration // expected run time; zero when not known
}

// Input is the state of a zone that Select decides on.
type Input struct {
	Queue   []Task
	Groups  []Group
	Workers []Worker
}

// Choice puts a task on a worker.
type Choice struct {
	Task   string
	Worker string
}

// Defaults of the options.
const (
	DefaultAging        = 2 * time.Minute
	DefaultErrorFactor  = 4
	DefaultReservations = 64
	DefaultDuration     = time.Hour
)

// Scheduler selects tasks. It holds as many names of tasks and workers as
// there are reservations. It isn't safe for concurrent use.
type Scheduler struct {
	aging        time.Duration
	errorFactor  int
	reservations int
	duration     time.Duration
	held         map[string]string // worker by task
}

// Option changes a Scheduler.
type Option func(*Scheduler)

// WithAging sets how long a task waits until it counts as urgent.
func WithAging(d time.Duration) Option {
	return func(s *Scheduler) { s.aging = d }
}

// WithErrorFactor sets how many times longer or shorter than expected a task
// may run.
func WithErrorFactor(n int) Option {
	return func(s *Scheduler) { s.errorFactor = max(n, 1) }
}

// WithReservations bounds the reservations. They never take more than a
// quarter of the workers, but for one.
func WithReservations(n int) Option {
	return func(s *Scheduler) { s.reservations = n }
}

// WithDuration sets the run time that is assumed of a running task whose run
// time isn't known, when a worker is chosen for a reservation.
func WithDuration(d time.Duration) Option {
	return func(s *Scheduler) { s.duration = d }
}

// New returns a new Scheduler that has no reservations.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		aging:        DefaultAging,
		errorFactor:  DefaultErrorFactor,
		reservations: DefaultReservations,
		duration:     DefaultDuration,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Select returns the tasks to claim now, first things first. Each choice
// fits its worker and its group's limit together with all before it.
func (s *Scheduler) Select(now time.Time, in Input) []Choice {
	sel := newSelection(s, now, in)
	sel.restore(func(t *task) bool { return t.pressing })
	sel.pass(func(t *task) bool { return t.pressing })
	sel.restore(func(t *task) bool { return !t.pressing })
	sel.pass(func(*task) bool { return true })
	s.held = sel.held
	return sel.choices
}
