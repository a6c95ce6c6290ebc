package interference

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Victim is the slowdown of a service's task on a worker.
type Victim struct {
	Task  string
	Class string
	// Level is the expected slowdown beside the current tasks: the sum of the pairs plus
	// the residual of this task's reports. It doesn't depend on new reports, so it
	// reflects the effect of an action at once.
	Level         float64
	Predicted     float64   // from the pairs alone
	Confidence    float64   // lowest confidence of the pairs, from 0 to 1
	Observed      float64   // median latency of the newest reports, relative to the baseline
	ObservedSince time.Time // start of the interval in which most of those reports were measured; zero before there are enough
	Silent        bool      // the worker's reports stopped; Level includes a margin
	Culprits      []Culprit
}

// Culprit is a running task's contribution to a victim's slowdown.
type Culprit struct {
	Task       string
	Class      string
	Kind       provider.TaskKind
	Harm       float64 // logarithm of the slowdown at full speed
	Activity   float64 // 1 is full speed
	Confidence float64
}

// Pressure returns the expected slowdown of each service on a worker with the added
// tasks, which may be none. An added service comes last.
func (e *Estimator) Pressure(now time.Time, worker string, add ...Task) []Victim {
	var list []Victim
	w := e.workers[worker]
	if w == nil {
		w = &emptyWorker
	}
	silent := e.Silent(now, worker)
	for i := range w.spans {
		s := &w.spans[i]
		if s.to.IsZero() && s.run.Kind == provider.KindService {
			list = append(list, e.predictVictim(now, w, s.run, add, silent))
		}
	}
	for i, t := range add {
		if t.Kind == provider.KindService {
			others := append(append([]Task(nil), add[:i]...), add[i+1:]...)
			list = append(list, e.predictVictim(now, w, &taskRun{Task: t}, others, silent))
		}
	}
	return list
}

var emptyWorker worker

// Worst returns the highest level that any service on a worker would have
// with the added tasks, 1 when there is no service.
func (e *Estimator) Worst(now time.Time, worker string, add ...Task) float64 {
	worst := 1.0
	for _, v := range e.Pressure(now, worker, add...) {
		worst = max(worst, v.Level)
	}
	return worst
}

func (e *Estimator) predictVictim(now time.Time, w *worker, r *taskRun, add []Task, silent bool) Victim {
	v := e.victims[r.Class]
	out := Victim{Task: r.ID, Class: r.Class, Confidence: 1, Silent: silent}
	out.Observed, out.ObservedSince, _ = r.observed()
	out.Culprits = make([]Culprit, 0, len(w.spans)+len(add))
	sum, variance := 0.0, 0.0
	addCulprit := func(t Task, activity float64) {
		c := e.coefficient(now, v, t.Class, t.Kind)
		sum += activity * c.mean
		variance += activity * activity * c.variance
		confidence := c.confidence(e.deviation)
		out.Confidence = min(out.Confidence, confidence)
		out.Culprits = append(out.Culprits, Culprit{t.ID, t.Class, t.Kind, c.mean, activity, confidence})
	}
	for i := range w.spans {
		s := &w.spans[i]
		if s.run != r && s.to.IsZero() {
			addCulprit(s.run.Task, s.activity)
		}
	}
	for _, t := range add {
		addCulprit(t, 1)
	}
	out.Predicted = math.Exp(sum)
	residual := r.decayedResidual(now)
	level := sum + residual
	if silent {
		level = sum + max(residual, 0) + math.Sqrt(variance)
	}
	out.Level = math.Exp(max(level, 0))
	return out
}

// decayedResidual returns a replica's residual after its decay since the last report.
//
// Without the decay, a replica that was slow and then got no requests would keep batch
// work off an idle worker for ever.
func (r *taskRun) decayedResidual(now time.Time) float64 {
	idle := now.Sub(r.residualUpdated)
	if r.residualUpdated.IsZero() || idle <= 0 {
		return r.residual
	}
	return r.residual * math.Exp(-idle.Seconds()/residualMemory.Seconds())
}
