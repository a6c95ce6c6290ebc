// Package interference estimates how much tasks on one worker slow down each
// other, from usage reports that may arrive late.
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
// Tasks are grouped by class: the group and job of a batch task, the name
// of a service. The logarithm of a service's latency is modelled as a baseline
// that depends on the request rate, plus one coefficient for each class beside
// it, weighted by how long and how fast tasks of that class ran during the
// measured interval. The coefficients of a service are updated by one Kalman filter
// with a full covariance and a clipped innovation. Unseen pairs take a prior pooled
// from the pairs of the same culprit and of the same victim. Without new reports a
// coefficient returns to that prior.
//
// The caller reports when a task starts, ends or is throttled. A worker's history is
// kept for the lag bound, so that a report is attributed to the tasks that ran when it
// was measured.
//
// State is bounded: pairs by WithMaxPairs, services by WithMaxServices, and
// the history of each worker by WithMaxSpans and the lag bound. An Estimator isn't safe
// for concurrent use.
package interference

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Task describes a task to the estimator.
type Task struct {
	ID    string
	Class string // group and job of a batch task, name of a service
	Kind  provider.TaskKind
}

// Estimator learns pairwise slowdowns.
type Estimator struct {
	options
	workers   map[string]*worker
	victims   map[string]*victim
	culprits  map[string]*culprit
	pairs     int
	counts    [outcomes]uint64
	lastSweep time.Time
}

// New returns an Estimator without reports.
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

// Placed records that a task started on a worker. It does nothing if the task runs there
// already.
func (e *Estimator) Placed(at time.Time, worker string, t Task) {
	e.sweep(at)
	w := e.worker(at, worker)
	w.place(at, t)
	w.prune(at.Add(-e.lagBound), e.maxSpans)
}

// Removed records that a task ended on a worker.
func (e *Estimator) Removed(at time.Time, worker, task string) {
	w := e.workers[worker]
	if w == nil {
		return
	}
	w.remove(at, task)
	w.prune(at.Add(-e.lagBound), e.maxSpans)
}

// Throttled records that a task runs at percent of its full speed from a time on.
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
	c := e.coefficient(now, e.victims[victim], culprit, e.kindOf(culprit))
	return c.ratio(), c.confidence(e.deviation)
}

// Silent reports whether a worker that has tasks sent no report measured
// within the silence timeout. Its figures are stale then: callers should neither add
// work beside its services nor act on its reports.
func (e *Estimator) Silent(now time.Time, worker string) bool {
	w := e.workers[worker]
	if w == nil || !w.busy() {
		return false
	}
	return now.Sub(w.lastMeasured) > e.silence
}

func (e *Estimator) worker(at time.Time, name string) *worker {
	w := e.workers[name]
	if w == nil {
		w = &worker{lastMeasured: at}
		e.workers[name] = w
	}
	if !w.busy() && at.After(w.lastMeasured) {
		w.lastMeasured = at
	}
	return w
}

// sweep prunes all histories once per lag bound and removes workers with an empty one.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.lastSweep) < e.lagBound {
		return
	}
	e.lastSweep = now
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
