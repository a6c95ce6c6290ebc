package mitigation

import (
	"slices"
	"strings"
	"time"
)

// Mode is a worker's state of protection.
type Mode int

// Modes of a worker.
const (
	Watching     Mode = iota // all services are below the limit
	Protecting               // a service is above the limit
	Conservative             // reports stopped
)

// workerRecord is the state that a Ladder keeps of a worker.
type workerRecord struct {
	mode            Mode
	lastDecision    time.Time
	lastAction      time.Time
	lastThrottle    time.Time
	lastRelease     time.Time
	aboveLimitSince time.Time // zero while no service is above the limit
	backoff         int       // doublings of the release delay
}

// WorkerState describes a worker's record for dumps.
type WorkerState struct {
	Worker  string        `json:"worker"`
	Mode    string        `json:"mode"`
	Acted   time.Time     `json:"acted"`
	Hold    time.Duration `json:"hold"`
	Backoff int           `json:"backoff"`
}

// State returns the workers that are not merely watched, ordered by ID, for
// dumps.
func (l *Ladder) State() []WorkerState {
	list := []WorkerState{}
	for name, r := range l.workers {
		if r.mode != Watching || r.backoff > 0 {
			list = append(list, WorkerState{name, r.mode.String(), r.lastAction, l.releaseDelay(r), r.backoff})
		}
	}
	slices.SortFunc(list, func(a, b WorkerState) int { return strings.Compare(a.Worker, b.Worker) })
	return list
}

func (l *Ladder) recordFor(now time.Time, worker string) *workerRecord {
	r := l.workers[worker]
	if r == nil {
		r = &workerRecord{}
		l.workers[worker] = r
	}
	r.lastDecision = now
	return r
}

// prune drops workers without a decision for an hour, and uses of the budget
// older than its window.
func (l *Ladder) prune(now time.Time) {
	if now.Sub(l.lastPrune) < l.budgetWindow {
		return
	}
	l.lastPrune = now
	for name, r := range l.workers {
		if now.Sub(r.lastDecision) > forgetAfter {
			delete(l.workers, name)
		}
	}
	l.budget.prune(now.Add(-l.budgetWindow))
}

// budget bounds the evictions of jobs and groups, and the moves of services, in
// a sliding window.
type budget struct {
	uses map[string][]time.Time // times of use by name, oldest first
}

// budgetLimit bounds the uses within a window under the name of a job, group or
// service.
type budgetLimit struct {
	name string
	max  int
}

// take counts one use under each name, or none when any limit is reached.
func (b *budget) take(now time.Time, window time.Duration, limits ...budgetLimit) bool {
	for _, limit := range limits {
		b.trim(limit.name, now.Add(-window))
		if len(b.uses[limit.name]) >= limit.max {
			return false
		}
	}
	for _, limit := range limits {
		b.uses[limit.name] = append(b.uses[limit.name], now)
	}
	return true
}

func (b *budget) trim(name string, horizon time.Time) {
	kept := slices.DeleteFunc(b.uses[name], func(at time.Time) bool { return !at.After(horizon) })
	if len(kept) == 0 {
		delete(b.uses, name)
		return
	}
	b.uses[name] = kept
}

func (b *budget) prune(horizon time.Time) {
	for name := range b.uses {
		b.trim(name, horizon)
	}
}
