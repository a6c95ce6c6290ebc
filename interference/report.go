package interference

//go:generate go tool stringer -type=Outcome -output=strings.go

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Outcome is the result of handling a report.
type Outcome int

// Outcomes of a report. Only a Used report changes the estimates.
const (
	Used        Outcome = iota
	Future              // measured later than now
	Repeated            // measured at the same time as the newest used one
	OutOfOrder          // measured before the newest used one
	UnknownTask         // the task wasn't on the worker in the measured interval
	Negative            // a negative amount, or an interval that isn't positive
	Stale               // older than the lag bound
	outcomes
)

// Observe handles a worker's report of one task's usage. A rejected report is
// counted and changes nothing else.
func (e *Estimator) Observe(now time.Time, worker string, u provider.Usage) Outcome {
	o := e.observe(now, worker, u)
	e.counts[o]++
	return o
}

func (e *Estimator) observe(now time.Time, worker string, u provider.Usage) Outcome {
	if u.Used.IsNegative() || u.Latency < 0 || u.Requests < 0 || u.Interval <= 0 {
		return Negative
	}
	if u.MeasuredAt.Sub(now) > e.skew {
		return Future
	}
	from := u.MeasuredAt.Add(-u.Interval)
	if from.Before(now.Add(-e.lagBound)) {
		return Stale
	}
	w := e.workers[worker]
	if w == nil {
		return UnknownTask
	}
	r := w.findRun(u.Task, from, u.MeasuredAt)
	if r == nil {
		return UnknownTask
	}
	if u.MeasuredAt.Equal(r.lastMeasured) {
		return Repeated
	}
	if u.MeasuredAt.Before(r.lastMeasured) {
		return OutOfOrder
	}
	r.lastMeasured = u.MeasuredAt
	if u.MeasuredAt.After(w.lastMeasured) {
		w.lastMeasured = u.MeasuredAt
	}
	if r.Kind == provider.KindService && u.Latency > 0 && u.Requests >= minRequests {
		e.learn(now, w, r, u)
		e.evictPairs(r.Class)
	}
	return Used
}

// minRequests is the number of requests that a report has to cover for its latency to be
// used. The first answers of a replica are slow, as its connections are new. Taken for its
// tail, they would keep batch work off a worker that hardly gets requests.
const minRequests = 5

// learn updates the victim's filter with a report.
//
// The innovation is clipped at a few standard deviations, so that an outlier changes a
// coefficient by a bounded amount. Otherwise a single report could throttle all tasks of
// a class.
func (e *Estimator) learn(now time.Time, w *worker, r *taskRun, u provider.Usage) {
	from := u.MeasuredAt.Add(-u.Interval)
	v := e.victim(now, r.Class)
	e.addDrift(now, v)
	beside := w.exposures(nil, r, from, u.MeasuredAt)
	latency := math.Log(u.Latency.Seconds())

	var terms []term
	pressure := 0.0
	for _, x := range beside {
		p := e.pair(now, v, x)
		terms = append(terms, term{p.index, x.amount})
		pressure += x.amount * v.filter.mean[p.index]
	}
	terms = append(terms, v.baseline(rate(u), latency-pressure)...)

	mean, variance, gains := v.filter.predict(terms)
	innovation := latency - mean
	spread := variance + v.noise
	limit := e.clip * math.Sqrt(spread)
	clipped := min(max(innovation, -limit), limit)
	v.filter.correct(gains, clipped, spread)
	for _, p := range v.pairs {
		v.filter.mean[p.index] = min(max(v.filter.mean[p.index], 0), maxMean)
	}
	for _, x := range beside {
		e.updatePooled(v, x.class)
	}
	v.noise = max(v.noise+noiseGain*(clipped*clipped-spread), minNoise)

	unexplained := clipped * v.noise / spread
	r.residual += residualGain(v.noise) * (unexplained - r.residual)
	r.residualUpdated = now
	r.addReading(from, math.Exp(innovation+pressure))
}

// residualGain returns the steady-state Kalman gain of a replica's residual. It falls
// with the noise of the reports.
func residualGain(noise float64) float64 {
	variance := (residualDrift + math.Sqrt(residualDrift*residualDrift+4*residualDrift*noise)) / 2
	return variance / (variance + noise)
}

func rate(u provider.Usage) float64 {
	return float64(u.Requests) / u.Interval.Seconds()
}
