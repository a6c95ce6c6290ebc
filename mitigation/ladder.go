// Package mitigation protects the services on a worker from interference by
// batch tasks on the same worker.
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
// When the tasks on a worker use more processors than it has, the largest ones
// are throttled. When a service is above the limit, the tasks that explain its
// slowdown are throttled, as many at once as the excess requires. When they
// are at the floor and the service is still above the limit, a task is evicted
// after a checkpoint, within a budget per job and group and only for a gain
// above the cost. When no batch task can help, the service itself is moved.
// Below the release limit, throttles are released after a release delay: the
// hold time, doubled each time a service rises again soon after a release.
//
// Each step waits for reports that were measured after the previous action,
// however late they arrive. A worker whose reports stopped is kept at a
// conservative throttle, and nothing is evicted on outdated measurements.
//
// State is bounded: one record for each worker with a decision in the last
// hour, and the evictions and moves within the budget's window. A Ladder isn't
// safe for concurrent use.
package mitigation

//go:generate go tool stringer -type=Kind,Mode -output=strings.go

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Kind is a kind of mitigating action.
type Kind int

// Kinds of action, in the order in which they are tried.
const (
	Throttle   Kind = iota // run the task at Percent of its speed
	Unthrottle             // raise the task's speed to Percent
	Evict                  // checkpoint the task, stop it and queue it again
	Move                   // place the service replica on another worker
)

// Action is one action on a worker.
type Action struct {
	Kind    Kind
	Task    string
	Percent int
	Reason  string
}

// Worker is the state of a worker on which a Ladder decides.
type Worker struct {
	ID     string
	Silent bool
	// Load is the sum of all tasks' shares of the processors at their current
	// throttles. It must not depend on reports: a load from before a throttle
	// would make the next call throttle again.
	Load    float64
	Victims []interference.Victim
	Tasks   []Task // batch tasks running there
}

// Task is a running batch task.
type Task struct {
	ID             string
	Job            string
	Group          string
	Percent        int           // its speed, 100 when not throttled
	ProcessorShare float64       // of the worker's processors, by its measured size at full speed
	LostWork       time.Duration // work since the last checkpoint
	Remaining      time.Duration // expected run time at full speed
}

// Ladder decides on throttles, evictions and moves, escalating from one to the
// next.
type Ladder struct {
	options
	workers   map[string]*workerRecord
	budget    budget
	lastPrune time.Time
}

// New returns a Ladder without any workers.
func New(opts ...Option) *Ladder {
	l := &Ladder{options: defaults(), workers: map[string]*workerRecord{}}
	for _, opt := range opts {
		opt(&l.options)
	}
	l.budget = budget{uses: map[string][]time.Time{}}
	return l
}

// Decide returns the actions for a worker. The caller need not carry them out:
// the next call depends on the state that it is given.
func (l *Ladder) Decide(now time.Time, in Worker) []Action {
	l.prune(now)
	r := l.recordFor(now, in.ID)
	actions := l.selectActions(now, r, in)
	if len(actions) > 0 {
		r.lastAction = now
	}
	return actions
}

func (l *Ladder) selectActions(now time.Time, r *workerRecord, in Worker) []Action {
	if in.Silent {
		r.mode = Conservative
		return l.throttleUnreported(in)
	}
	if actions := l.relieveOverload(in); len(actions) > 0 {
		return actions
	}
	if len(in.Victims) == 0 {
		r.mode = Watching
		return l.releaseThrottles(now, r, in, 1)
	}
	worst, allReported := worstVictim(in.Victims, r.lastAction)
	if worst == nil {
		return nil
	}
	if exceedsLimit(worst, l.limit) {
		return l.protect(now, r, in, worst)
	}
	r.aboveLimitSince = time.Time{}
	if !allReported || worst.Level > l.releaseLimit {
		return nil
	}
	r.mode = Watching
	return l.releaseThrottles(now, r, in, worst.Level)
}

// exceedsLimit reports whether both the estimate and the reports of a service
// are above a limit. The reports alone are noisy, and the estimate alone may
// be wrong.
func exceedsLimit(v *interference.Victim, limit float64) bool {
	return v.Level > limit && v.Observed > limit
}

// worstVictim returns the worst service among those with reports measured
// after a time, and whether all services have such reports. Reports from
// before the last action keep arriving for the length of the lag; taken for
// its effect, they would get a task throttled and evicted within one lag.
func worstVictim(victims []interference.Victim, after time.Time) (worst *interference.Victim, allReported bool) {
	allReported = true
	for i := range victims {
		v := &victims[i]
		if !v.ObservedSince.After(after) {
			allReported = false
			continue
		}
		if worst == nil || min(v.Level, v.Observed) > min(worst.Level, worst.Observed) {
			worst = v
		}
	}
	return worst, allReported
}

// throttleUnreported throttles the batch tasks beside services to the silent
// percentage, in mode Conservative. When reports stop while a service is slowed
// down, the tasks are neither left alone nor evicted on outdated measurements:
// a moderate throttle bounds the harm at a bounded cost, and is released in the
// usual way.
func (l *Ladder) throttleUnreported(in Worker) []Action {
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

func (l *Ladder) protect(now time.Time, r *workerRecord, in Worker, worst *interference.Victim) []Action {
	r.mode = Protecting
	if r.aboveLimitSince.IsZero() {
		r.aboveLimitSince = now
	}
	if now.Sub(r.lastRelease) < relapseDelays*l.releaseDelay(r) && r.lastRelease.After(r.lastThrottle) {
		r.backoff = min(r.backoff+1, maxBackoff)
	}
	suspects := suspectsFor(in.Tasks, worst)
	if actions := l.throttleSuspects(suspects, worst, l.floor); len(actions) > 0 {
		r.lastThrottle = now
		return actions
	}
	if actions := l.evictSuspects(now, suspects, worst); len(actions) > 0 {
		return actions
	}
	if !exceedsLimit(worst, l.severeLimit) {
		return nil
	}
	if actions := l.throttleSuspects(suspects, worst, l.lastFloor); len(actions) > 0 {
		r.lastThrottle = now
		return actions
	}
	if action, ok := l.moveService(now, r, worst); ok {
		return []Action{action}
	}
	return nil
}

func (l *Ladder) moveService(now time.Time, r *workerRecord, worst *interference.Victim) (Action, bool) {
	if now.Sub(r.aboveLimitSince) < l.moveAfter {
		return Action{}, false
	}
	if !l.budget.take(now, l.budgetWindow, budgetLimit{"service " + worst.Class, 1}) {
		return Action{}, false
	}
	return Action{Move, worst.Task, 0, "no batch task left to throttle or evict"}, true
}

// isBatch reports whether a culprit is a batch task, which can be throttled.
func isBatch(c interference.Culprit) bool {
	return c.Kind == provider.KindBatch
}
