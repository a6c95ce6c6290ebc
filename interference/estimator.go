// Package interference estimates how much tasks on one worker slow each
// other down, from usage reports that arrive late.
//
// Usage:
//
//	e := interference.New(interference.WithLagBound(2 * time.Minute))
//	e.Placed(now, "w1", interference.Task{ID: "t1", Class: "press/rebuild", Kind: provider.KindBatch})
//	outcome := e.Observe(now, "w1", usage)
//	for _, v := range e.Pressure(now, "w1", candidate) {
//		worst = max(worst, v.Level)
//	}
//
// Tasks are told apart by class: the group and job of a batch task, the name
// of a service. The logarithm of a service's latency is modelled as a baseline
// that depends on the request rate, plus one coefficient for each class beside
// it, weighted by how long and how much a task of that class ran during the
// measured interval. Each coefficient has a mean and a variance and is updated
// by a Kalman step with a diagonal covariance and a clipped innovation. Unseen
// pairs take a prior pooled from the pairs of the same culprit and of the same
// victim. Without new evidence a coefficient returns to that prior.
//
// The caller tells the estimator when a task starts, changes its throttle and
// ends. A worker's history is kept for the lag bound, so that a report counts
// against the tasks that ran when it was measured.
//
// State is bounded: pairs by WithMaxPairs, services by WithMaxServices, and
// the history of each worker by WithMaxSpans and the lag bound. An Estimator isn't safe for concurrent use.
package interference

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Task is what the estimator needs to know of a task.
type Task struct {
	ID    string
	Class string // group and job of a batch task, name of a service
	Kind  provider.TaskKind
}

// Estimator learns pairwise slowdowns.
type Estimator struct {
	options
	workers  map[string]*worker
	victims  map[string]*victim
	culprits map[string]*culprit
	pairs    int
	counts   [outcomes]uint64
	swept    time.Time
}

// New returns an Estimator that knows nothing but its priors.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		options:  defaults(),
		workers:  map[string]*worker{},
		victims:  map[string]*victim{},
		culprits: map[string]*culprit{},
	}
	for _, opt := range opts {
		opt(&e.options)
	}
	return e
}

// Placed notes that a task started on a worker. A task that already runs
// there is left as it is.
func (e *Estimator) Placed(at time.Time, worker string, t Task) {
	e.sweep(at)
	w := e.worker(at, worker)
	w.place(at, t)
	w.prune(at.Add(-e.lagBound), e.maxSpans)
}

// Removed notes that a task ended on a worker.
func (e *Estimator) Removed(at time.Time, worker, task string) {
	w := e.workers[worker]
	if w == nil {
		return
	}
	w.remove(at, task)
	w.prune(at.Add(-e.lagBound), e.maxSpans)
}

// Throttled notes that a task runs at percent of its full speed from now on.
func (e *Estimator) Throttled(at time.Time, worker, task string, percent int) {
	w := e.workers[worker]
	if w == nil {
		return
	}
	w.throttle(at, task, float64(min(max(percent, 0), 100))/100)
	w.prune(at.Add(-e.lagBound), e.maxSpans)
}

// Slowdown returns by what factor a task of class culprit raises the latency
// of a task of class victim, and the confidence in it from 0 to 1.
func (e *Estimator) Slowdown(now time.Time, victim, culprit string) (ratio, confidence float64) {
	c := e.read(now, e.victims[victim], culprit, e.kindOf(culprit))
	return c.ratio(), c.confidence(e.deviation)
}

// Silent reports whether a worker that has tasks sent no report measured
// within the silence bound. Its figures are old then, and a caller should be
// careful with it: neither add work beside services nor act on old evidence.
func (e *Estimator) Silent(now time.Time, worker string) bool {
	w := e.workers[worker]
	if w == nil || !w.busy() {
		return false
	}
	return now.Sub(w.heard) > e.silence
}

func (e *Estimator) worker(at time.Time, name string) *worker {
	w := e.workers[name]
	if w == nil {
		w = &worker{heard: at}
		e.workers[name] = w
	}
	if !w.busy() && at.After(w.heard) {
		w.heard = at
	}
	return w
}

// sweep drops the history of workers that are no longer spoken of.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.swept) < e.lagBound {
		return
	}
	e.swept = now
	for name, w := range e.workers {
		w.prune(now.Add(-e.lagBound), e.maxSpans)
		if len(w.spans) == 0 {
			delete(e.workers, name)
		}
	}
}

func (e *Estimator) kindOf(class string) provider.TaskKind {
	if c := e.culprits[class]; c != nil {
		return c.kind
	}
	if _, ok := e.victims[class]; ok {
		return provider.KindService
	}
	return provider.KindBatch
}
