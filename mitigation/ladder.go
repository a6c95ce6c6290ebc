// Package mitigation protects services on a worker from the batch tasks
// beside them.
//
// Usage:
//
//	l := mitigation.New(mitigation.WithEvictionCost(2 * time.Minute))
//	actions := l.Decide(now, mitigation.Worker{
//		ID:      "w1",
//		Silent:  estimator.Silent(now, "w1"),
//		Victims: estimator.Pressure(now, "w1"),
//		Tasks:   tasks,
//	})
//
// When the tasks on a worker use more processors than it has, the largest are
// throttled. When a service is above the limit, the tasks that explain it are throttled,
// as many at once as the excess asks for. When they are at the floor and the
// service still suffers, a task is evicted after a checkpoint, within a budget
// per job and group and only for a gain above the cost. When no batch task can help, the
// service itself is moved. Below the release limit throttles are taken back
// after a hold time, which doubles when a service rises again soon after.
//
// Each step waits for reports that were measured after the step before it,
// however late they come. A worker whose reports stopped is held at a
// conservative throttle, and nothing is evicted on old evidence.
//
// State is bounded: one record for each worker with an action in the last
// hour, and the evictions of the budget's window. A Ladder isn't safe for
// concurrent use.
package mitigation

//go:generate go tool stringer -type=Kind,Mode -output=strings.go

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Kind is a kind of action.
type Kind int

// Kinds of action, in the order in which they are tried.
const (
	Throttle   Kind = iota // run the task at Percent of its speed
	Unthrottle             // raise the task's speed to Percent
	Evict                  // checkpoint the task, stop it and queue it again
	Move                   // place the service replica on another worker
)

// Action is one thing to do on a worker.
type Action struct {
	Kind    Kind
	Task    string
	Percent int
	Reason  string
}

// Worker is what the ladder needs to know of a worker.
type Worker struct {
	ID     string
	Silent bool
	// Load is the sum of all tasks' shares of the processors as throttled now.
	// It must not wait for reports: a load that still shows what was before a
	// throttle makes the next call throttle again.
	Load    float64
	Victims []interference.Victim
	Tasks   []Task // batch tasks running there
}

// Task is a running batch task.
type Task struct {
	ID        string
	Job       string
	Group     string
	Percent   int           // its throttle, 100 for none
	Share     float64       // of the worker's processors by its measured size, at full speed
	Lost      time.Duration // work since its last checkpoint
	Remaining time.Duration // expected at full speed
}

// Ladder decides on throttles, evictions and moves.
type Ladder struct {
	options
	workers map[string]*record
	budget  budget
	swept   time.Time
}

// New returns a Ladder.
func New(opts ...Option) *Ladder {
	l := &Ladder{options: defaults(), workers: map[string]*record{}}
	for _, opt := range opts {
		opt(&l.options)
	}
	l.budget = budget{spent: map[string][]time.Time{}}
	return l
}

// Decide returns what to do on a worker now. The caller carries it out, or
// doesn't; the next call goes by the state it is given.
func (l *Ladder) Decide(now time.Time, in Worker) []Action {
	l.sweep(now)
	r := l.record(now, in.ID)
	actions := l.decide(now, r, in)
	if len(actions) > 0 {
		r.acted = now
	}
	return actions
}

func (l *Ladder) decide(now time.Time, r *record, in Worker) []Action {
	if in.Silent {
		r.mode = Conservative
		return l.hold(in)
	}
	if actions := l.relieve(in); len(actions) > 0 {
		return actions
	}
	if len(in.Victims) == 0 {
		r.mode = Watching
		return l.release(now, r, in, 1)
	}
	worst, all := worstOf(in.Victims, r.acted)
	if worst == nil {
		return nil
	}
	if suffers(worst, l.limit) {
		return l.protect(now, r, in, worst)
	}
	r.since = time.Time{}
	if !all || worst.Level > l.releaseLimit {
		return nil
	}
	r.mode = Watching
	return l.release(now, r, in, worst.Level)
}

// suffers reports whether both the estimate and the reports are above a
// limit. The reports alone are noisy and the estimate alone may be wrong.
func suffers(v *interference.Victim, limit float64) bool {
	return v.Level > limit && v.Observed > limit
}

// worstOf returns the worst service whose reports were measured after a
// time, and whether there are such reports of all services.
//
// What goes wrong: reports from before the last action go on coming for the
// lag, and are taken for its effect. One would notice a task throttled and
// evicted within the lag. A service counts only by what came after.
func worstOf(victims []interference.Victim, after time.Time) (worst *interference.Victim, all bool) {
	all = true
	for i := range victims {
		v := &victims[i]
		if !v.From.After(after) {
			all = false
			continue
		}
		if worst == nil || min(v.Level, v.Observed) > min(worst.Level, worst.Observed) {
			worst = v
		}
	}
	return worst, all
}

// hold throttles the batch tasks beside services to the silent percentage.
//
// What goes wrong: reports stop while a service suffers, and nothing protects
// it any more, or tasks are evicted on evidence that is long past. One would
// notice a worker in mode Conservative in the dump. A moderate throttle bounds
// the harm at a bounded cost, and is taken back in the usual way.
func (l *Ladder) hold(in Worker) []Action {
	if len(in.Victims) == 0 {
		return nil
	}
	var actions []Action
	for _, t := range in.Tasks {
		if t.Percent > l.silentPercent {
			actions = append(actions, Action{Throttle, t.ID, l.silentPercent, "no reports"})
		}
	}
	return actions
}

func (l *Ladder) protect(now time.Time, r *record, in Worker, worst *interference.Victim) []Action {
	r.mode = Protecting
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.released) < relapse*l.holdOf(r) && r.released.After(r.throttled) {
		r.backoff = min(r.backoff+1, maxBackoff)
	}
	suspects := suspectsOf(in.Tasks, worst)
	if actions := l.throttle(suspects, worst, l.floor); len(actions) > 0 {
		r.throttled = now
		return actions
	}
	if actions := l.evict(now, suspects, worst); len(actions) > 0 {
		return actions
	}
	if !suffers(worst, l.severe) {
		return nil
	}
	if actions := l.throttle(suspects, worst, l.lastFloor); len(actions) > 0 {
		r.throttled = now
		return actions
	}
	if action, ok := l.move(now, r, worst); ok {
		return []Action{action}
	}
	return nil
}

func (l *Ladder) move(now time.Time, r *record, worst *interference.Victim) (Action, bool) {
	if now.Sub(r.since) < l.moveAfter {
		return Action{}, false
	}
	if !l.budget.take(now, l.window, limitOf{"service " + worst.Class, 1}) {
		return Action{}, false
	}
	return Action{Move, worst.Task, 0, "no batch task left to restrain"}, true
}

// isBatch reports whether a culprit can be throttled.
func isBatch(c interference.Culprit) bool {
	return c.Kind == provider.KindBatch
}
