package interference

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Victim is what a service on a worker suffers.
type Victim struct {
	Task  string
	Class string
	// Level is the slowdown expected with the tasks that run now: the sum
	// of the pairs plus what this task's reports showed beyond it. It doesn't
	// wait for reports, so it shows an action's effect at once.
	Level      float64
	Predicted  float64   // the pairs alone
	Confidence float64   // of the pairs, from 0 to 1
	Observed   float64   // median of the newest reports over the baseline
	From       time.Time // since when most of those reports measured; zero before there are enough
	Silent     bool      // the worker's reports stopped; Level has a margin added
	Culprits   []Culprit
}

// Culprit is a running task's part in a victim's slowdown.
type Culprit struct {
	Task       string
	Class      string
	Kind       provider.TaskKind
	Harm       float64 // logarithm of the slowdown at full speed
	Activity   float64 // 1 is full speed
	Confidence float64
}

// Pressure returns the slowdown of each service on a worker as it would be
// with the added tasks, which may be none. An added service comes last.
func (e *Estimator) Pressure(now time.Time, worker string, add ...Task) []Victim {
	var list []Victim
	w := e.workers[worker]
	if w == nil {
		w = &noWorker
	}
	silent := e.Silent(now, worker)
	for i := range w.spans {
		s := &w.spans[i]
		if s.to.IsZero() && s.resident.Kind == provider.KindService {
			list = append(list, e.suffer(now, w, s.resident, add, silent))
		}
	}
	for i, t := range add {
		if t.Kind == provider.KindService {
			others := append(append([]Task(nil), add[:i]...), add[i+1:]...)
			list = append(list, e.suffer(now, w, &resident{Task: t}, others, silent))
		}
	}
	return list
}

var noWorker worker

// Worst returns the highest level that any service on a worker would have
// with the added tasks, 1 when there is no service.
func (e *Estimator) Worst(now time.Time, worker string, add ...Task) float64 {
	worst := 1.0
	for _, v := range e.Pressure(now, worker, add...) {
		worst = max(worst, v.Level)
	}
	return worst
}

func (e *Estimator) suffer(now time.Time, w *worker, r *resident, add []Task, silent bool) Victim {
	v := e.victims[r.Class]
	out := Victim{Task: r.ID, Class: r.Class, Confidence: 1, Silent: silent}
	out.Observed, out.From, _ = r.observed()
	out.Culprits = make([]Culprit, 0, len(w.spans)+len(add))
	sum, variance := 0.0, 0.0
	take := func(t Task, activity float64) {
		c := e.read(now, v, t.Class, t.Kind)
		sum += activity * c.mean
		variance += activity * activity * c.variance
		confidence := c.confidence(e.deviation)
		out.Confidence = min(out.Confidence, confidence)
		out.Culprits = append(out.Culprits, Culprit{t.ID, t.Class, t.Kind, c.mean, activity, confidence})
	}
	for i := range w.spans {
		s := &w.spans[i]
		if s.resident != r && s.to.IsZero() {
			take(s.resident.Task, s.activity)
		}
	}
	for _, t := range add {
		take(t, 1)
	}
	out.Predicted = math.Exp(sum)
	residual := r.remaining(now)
	level := sum + residual
	if silent {
		level = sum + max(residual, 0) + math.Sqrt(variance)
	}
	out.Level = math.Exp(max(level, 0))
	return out
}

// remaining returns what is left of a replica's residual.
//
// What goes wrong: a replica had slow answers, then no requests at all, so
// that nothing corrects what was learnt from them. One would notice batch work
// kept off an idle worker for ever. A residual without news fades.
func (r *resident) remaining(now time.Time) float64 {
	idle := now.Sub(r.learned)
	if r.learned.IsZero() || idle <= 0 {
		return r.residual
	}
	return r.residual * math.Exp(-idle.Seconds()/residualMemory.Seconds())
}
