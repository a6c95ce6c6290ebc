package interference

//go:generate go tool stringer -type=Outcome -output=strings.go

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Outcome tells what became of a report.
type Outcome int

// Outcomes of a report. Only a Used one touches the estimate.
const (
	Used        Outcome = iota
	Future              // measured later than now
	Repeated            // measured at the same time as one used before
	OutOfOrder          // measured before one used already
	UnknownTask         // the task wasn't on the worker when it was measured
	Negative            // a negative amount, or an interval that isn't positive
	Stale               // older than the lag bound
	outcomes
)

// Observe takes one task's usage as reported by a worker. A bad report is
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
	if u.Measured.Sub(now) > e.skew {
		return Future
	}
	from := u.Measured.Add(-u.Interval)
	if from.Before(now.Add(-e.lagBound)) {
		return Stale
	}
	w := e.workers[worker]
	if w == nil {
		return UnknownTask
	}
	r := w.resident(u.Task, from, u.Measured)
	if r == nil {
		return UnknownTask
	}
	if u.Measured.Equal(r.measured) {
		return Repeated
	}
	if u.Measured.Before(r.measured) {
		return OutOfOrder
	}
	r.measured = u.Measured
	if u.Measured.After(w.heard) {
		w.heard = u.Measured
	}
	if r.Kind == provider.KindService && u.Latency > 0 && u.Requests >= minRequests {
		e.learn(now, w, r, u)
		e.shed(r.Class)
	}
	return Used
}

// minRequests is how many requests a report has to cover for its latency to
// teach anything.
//
// What goes wrong: the first few answers of a replica are slow, as its
// connections are new, and stand for its tail. One would notice batch work
// kept off a worker that hardly gets requests.
const minRequests = 5

// learn takes a step of the victim's filter.
//
// What goes wrong: one wild report drags every estimate of its class. One
// would notice throttles that follow single reports. The innovation is clipped
// at a few standard deviations, so one report moves a coefficient by a bounded
// amount.
func (e *Estimator) learn(now time.Time, w *worker, r *resident, u provider.Usage) {
	from := u.Measured.Add(-u.Interval)
	v := e.victim(now, r.Class)
	e.loosen(now, v)
	beside := w.beside(nil, r, from, u.Measured)
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
		e.pool(v, x.class)
	}
	v.noise = max(v.noise+noiseGain*(clipped*clipped-spread), minNoise)

	left := clipped * v.noise / spread
	r.residual += residualGain(v.noise) * (left - r.residual)
	r.learned = now
	r.read(from, math.Exp(innovation+pressure))
}

// residualGain is the steady gain of a filter that follows a replica's
// residual: the noisier the reports, the slower.
func residualGain(noise float64) float64 {
	variance := (residualDrift + math.Sqrt(residualDrift*residualDrift+4*residualDrift*noise)) / 2
	return variance / (variance + noise)
}

func rate(u provider.Usage) float64 {
	return float64(u.Requests) / u.Interval.Seconds()
}
