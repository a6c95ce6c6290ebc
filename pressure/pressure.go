// Package pressure estimates how much the filling tasks on a worker's idle
// processors slow the serving tasks beside them, and how many more filling tasks
// each worker can take.
//
// Usage:
//
//	e := pressure.New()
//	e.Observe(now, served, fills) // a worker's report
//	headroom := e.Headroom(served, fills) // of each serving task
//	if e.Tolerates(headroom, "rebuild-image", 0.1) { ... }
//
// The tail of a serving task's response times behaves like that of a queue: it is
// the idle tail divided by the share of time in which the task isn't delayed.
// So the slack, which is the target divided by the tail, falls linearly with the load of
// the users and with the filling tasks: slack = base - sum(weight * share),
// where share is the part of the worker's processors that a filling task
// uses, and the weight belongs to the pair of images. At a slack of 1 the tail is at
// its target. Weights range from 0 to above 30 between pairs of images.
//
// One Kalman filter estimates both: the base of each job with its slope, which all
// tasks of the job share and which follows the users' load, and the weight of
// each pair, which hardly changes. So an unexplained tail is attributed to the least
// certain estimate, and an image that was often seen to be harmless isn't
// blamed for its neighbours. Tails are measured over a window, so shares of filling
// tasks are means over the same window. Weights learned by plain gradient steps
// differed by 10 and more from a least-squares fit over all reports of a day, for over
// a quarter of the pairs.
package pressure

import (
	"math"
	"time"
)

// Bounds of the estimate. Slacks are 1.6 to 3.9 between the peak and the
// trough of the users' load. Weights are in slack per whole worker.
const (
	priorWeight   = 4.0 // of a pair without readings
	priorVariance = 64.0
	minVariance   = 0.05 // keeps the filter able to follow a change of a weight
	minWeight     = 0.5  // a harmless image still uses the worker
	maxWeight     = 40.0 // a task with a tenth of the worker then takes any slack

	// Standard deviation of a reading. Of 16,000 reports half are within 0.11 of the
	// model and nine of ten within 0.41. The outliers affect a single serving task and
	// last 2 s.
	noiseFloor          = 0.03 // constant part
	relativeNoise       = 0.06 // part in proportion to the slack
	transientNoise      = 0.4  // part in proportion to the change of filling tasks within the window
	maxInnovationSigmas = 2.0  // bound of a reading's error, in standard deviations
	saturatedSlack      = 0.3  // slack below which a tail hardly grows with more pressure

	// predictionHorizon is how long an order that follows from a report takes to affect
	// a tail: the time to the next report, and half of the window over which a tail
	// is measured.
	predictionHorizon = 700 * time.Millisecond
	unknownBaseMargin = 0.25 // margin for the fall of an unknown base while a filling task runs
	minSlack          = 1.1  // that must be left to a serving task
	// minStartSlack must be left to a serving task when a filling task is started beside
	// it. It is above minSlack, so that running filling tasks aren't throttled after
	// each start.
	minStartSlack    = 1.4
	typicalPeakSlack = 1.5  // of a serving task at the peak of its load
	minPeakSlack     = 1.05 // that must be left to it at the peak
)

// Served is a serving task in a worker's report.
type Served struct {
	Job    string
	Image  string
	Target time.Duration
	Tail   time.Duration
}

// slack returns the target as a multiple of the tail.
func (s *Served) slack() float64 {
	if s.Tail <= 0 {
		return maxBase
	}
	return min(maxBase, float64(s.Target)/float64(s.Tail))
}

// Fill is a filling task in a worker's report.
type Fill struct {
	Image  string
	Share  float64 // used share of the worker's processors, the mean over the window of a reading
	Change float64 // change of the share within that window
}

// pair holds the images of a serving and a filling task.
type pair struct {
	served, fill string
}

// estimate is a value with its variance.
type estimate struct {
	value    float64
	variance float64
}

// Estimator learns weights and bases from reports. It isn't safe for concurrent use.
type Estimator struct {
	weights map[pair]*estimate
	bases   map[string]*trend
}

// New returns an Estimator without readings.
func New() *Estimator {
	return &Estimator{weights: make(map[pair]*estimate), bases: make(map[string]*trend)}
}

// Weight returns the estimated weight of a pair of images.
func (e *Estimator) Weight(served, fill string) float64 {
	if w := e.weights[pair{served, fill}]; w != nil {
		return w.value
	}
	return priorWeight
}

func (e *Estimator) weight(served, fill string) *estimate {
	k := pair{served, fill}
	w := e.weights[k]
	if w == nil {
		w = &estimate{value: priorWeight, variance: priorVariance}
		e.weights[k] = w
	}
	return w
}

// Pressure returns the slack that a serving image loses to filling tasks.
func (e *Estimator) Pressure(served string, fills []Fill) float64 {
	total := 0.0
	for _, f := range fills {
		total += e.Weight(served, f.Image) * f.Share
	}
	return total
}

// Slowdown returns the part of its time, from 0 to 1, that a run of an image loses to the
// filling tasks beside it. Only weights with readings count: it is zero for an image of which
// no task serves anywhere, as nothing is known of its interference.
//
// By the model of the tails, the part of the time in which a task is delayed is its pressure
// divided by its base. A task that doesn't serve has no base. It is given the highest one, so
// that the result is a lower bound.
func (e *Estimator) Slowdown(image string, fills []Fill) float64 {
	total := 0.0
	for _, f := range fills {
		if w := e.weights[pair{image, f.Image}]; w != nil {
			total += w.value * f.Share
		}
	}
	return min(1, total/maxBase)
}

// Observe updates the estimates with a worker's report.
func (e *Estimator) Observe(now time.Duration, served []Served, fills []Fill) {
	for i := range served {
		e.observe(now, &served[i], fills)
	}
}

func (e *Estimator) observe(now time.Duration, s *Served, fills []Fill) {
	b := e.base(now, s.Job)
	slack := s.slack()
	sd := noiseFloor + relativeNoise*slack
	for _, f := range fills {
		sd += transientNoise * f.Change * e.Weight(s.Image, f.Image)
	}
	innovation := slack - (b.value - e.Pressure(s.Image, fills))
	if slack < saturatedSlack && innovation > 0 {
		return // the tail is saturated and doesn't reflect the pressure
	}
	total := sd*sd + b.vv
	for _, f := range fills {
		total += e.weight(s.Image, f.Image).variance * f.Share * f.Share
	}
	limit := maxInnovationSigmas * math.Sqrt(total)
	innovation = clamp(innovation, -limit, limit)
	b.correct(innovation, total)
	for _, f := range fills {
		w := e.weight(s.Image, f.Image)
		w.correct(-w.variance*f.Share/total, innovation, -f.Share)
		w.value = max(minWeight, min(maxWeight, w.value))
		w.variance = max(minVariance, w.variance)
	}
}

// base returns a job's base, advanced to now.
func (e *Estimator) base(now time.Duration, job string) *trend {
	b := e.bases[job]
	if b == nil {
		b = newTrend(now)
		e.bases[job] = b
	}
	b.advance(now)
	return b
}

// correct applies a Kalman update with a gain and an innovation. Slope is the
// derivative of the reading by the value.
func (e *estimate) correct(gain, innovation, slope float64) {
	e.value += gain * innovation
	e.variance *= 1 - gain*slope
}

// Headroom is the slack that a serving task keeps beside the filling tasks of its worker.
type Headroom struct {
	Image    string
	Slack    float64 // expected after predictionHorizon
	Pressure float64 // slack lost to the filling tasks
}

// Headroom returns the remaining slack of each serving task of a worker.
func (e *Estimator) Headroom(served []Served, fills []Fill) []Headroom {
	headroom := make([]Headroom, len(served))
	for i := range served {
		s := &served[i]
		p := e.Pressure(s.Image, fills)
		headroom[i] = Headroom{Image: s.Image, Slack: s.slack() - unknownBaseMargin, Pressure: p}
		if b := e.bases[s.Job]; b != nil {
			headroom[i].Slack = b.predict(predictionHorizon) - p
		}
	}
	return headroom
}

// Tolerance returns the total pressure that each serving task of a worker tolerates.
func (e *Estimator) Tolerance(served []Served) []float64 {
	tolerance := make([]float64, len(served))
	for i := range served {
		tolerance[i] = e.expectedSlack(&served[i]) - minSlack
	}
	return tolerance
}

// expectedSlack returns the slack that a serving task is expected to have after
// predictionHorizon without filling tasks.
func (e *Estimator) expectedSlack(s *Served) float64 {
	if b := e.bases[s.Job]; b != nil {
		return b.predict(predictionHorizon)
	}
	return s.slack()
}

// Tolerates reports whether a worker's serving tasks tolerate another filling task:
// either their slack suffices now, or all filling tasks together are so light that
// it suffices even at the peak of their load.
func (e *Estimator) Tolerates(headroom []Headroom, image string, share float64) bool {
	for _, h := range headroom {
		p := e.Weight(h.Image, image) * share
		if h.Slack-p < minStartSlack && typicalPeakSlack-h.Pressure-p < minPeakSlack {
			return false
		}
	}
	return true
}

// Cost returns the slack that another filling task would take from a worker's serving
// tasks, as the largest fraction of a task's remaining slack.
func (e *Estimator) Cost(headroom []Headroom, image string, share float64) float64 {
	largest := 0.0
	for _, h := range headroom {
		largest = max(largest, e.Weight(h.Image, image)*share/max(minPeakSlack, h.Slack))
	}
	return largest
}

// MaxPressure returns the largest slack that another filling task would take from one of a
// worker's serving tasks.
func (e *Estimator) MaxPressure(headroom []Headroom, image string, share float64) float64 {
	largest := 0.0
	for _, h := range headroom {
		largest = max(largest, e.Weight(h.Image, image)*share)
	}
	return largest
}

// Add updates headroom for a filling task that was just started.
func (e *Estimator) Add(headroom []Headroom, image string, share float64) {
	for i := range headroom {
		p := e.Weight(headroom[i].Image, image) * share
		headroom[i].Slack -= p
		headroom[i].Pressure += p
	}
}

// Forget deletes the base of a job.
func (e *Estimator) Forget(job string) {
	delete(e.bases, job)
}
