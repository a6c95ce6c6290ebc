// Package pressure estimates how much tasks that fill a worker's idle
// processors slow the tasks that serve users beside them, and how much more
// each worker can bear.
//
// Usage:
//
//	e := pressure.New()
//	e.Observe(now, served, fills, true) // what one worker reports
//	room := e.Room(served, fills)       // of each served task
//	if e.Bears(room, "rebuild-image", 0.1) { ... }
//
// The tail of a serving task's response times behaves like a queue's: it is
// its idle tail divided by the share of time in which the task isn't held up.
// So the target divided by the tail, the slack, falls linearly with the load of
// its users and with what works beside it: slack = base - sum(weight * share),
// where share is the part of the worker's processors that a filling task
// uses, and the weight belongs to the pair of images. A slack of 1 is a tail at
// its target. Weights differ from none to above 30 between pairs of images.
//
// Both are followed by one Kalman filter: the base of each job with its slope,
// which its tasks share and which moves with the users' load, and the weight of
// each pair, which hardly moves. So a tail that isn't explained is put down to
// what is least certain, and an image that was often seen to do no harm isn't
// blamed for its neighbours. Tails are measured over a while, so what works
// beside is given as its mean over the same time. Against a least-squares fit over all
// reports of a day, weights learned by plain gradient steps were off by 10 and
// more for over a quarter of the pairs.
package pressure

import (
	"math"
	"time"
)

// Bounds of the estimate. Slacks are 1.6 to 3.9 between the peak and the
// trough of the users' load. Weights are in slack per whole worker.
const (
	priorWeight   = 4.0 // of a pair that wasn't seen
	priorVariance = 64.0
	leastVariance = 0.05 // so that a weight that changes is noticed
	leastWeight   = 0.5  // a harmless image still uses the worker
	mostWeight    = 40.0 // a task that uses a tenth of the worker then takes any slack

	// Noise of a reading, as fitted over 16,000 reports of a day: half of them
	// are within 0.11 of the form, nine of ten within 0.41. What lies further
	// off are moments of one serving task alone, which last 2 s.
	noise     = 0.03 // of any reading
	relative  = 0.06 // and in proportion to its slack
	unsettled = 0.4  // and to what filling tasks changed within its time
	surprise  = 2.0  // standard deviations that one reading is believed
	censored  = 0.3  // slack at which a tail hardly grows any more

	// aheadTime is how long an order that follows from a report takes to show
	// in a tail: the time to the next report, and half of what a tail is
	// measured over.
	aheadTime  = 700 * time.Millisecond
	ahead      = 0.25 // by which a base may fall while a filling task runs
	leastSlack = 1.1  // that must be left to a serving task
	// startSlack must be left to it beside a filling task that is to be
	// started. Above leastSlack, so that what works there isn't slowed by each
	// newcomer.
	startSlack = 1.4
	usualSlack = 1.5  // of a task at the peak of its load
	peakSlack  = 1.05 // that must be left to it then
)

// Served is a serving task as its worker reports it.
type Served struct {
	Job    string
	Image  string
	Target time.Duration
	Tail   time.Duration
}

// slack returns the target as a multiple of the tail.
func (s *Served) slack() float64 {
	if s.Tail <= 0 {
		return mostBase
	}
	return min(mostBase, float64(s.Target)/float64(s.Tail))
}

// Fill is a filling task beside it.
type Fill struct {
	Image string
	Share float64 // of the worker's processors that it uses, the mean over the time of a reading
	Moved float64 // by which the share changed within that time
}

// pair is the images of a serving and a filling task.
type pair struct {
	served, fill string
}

// estimate is a value with its variance.
type estimate struct {
	value    float64
	variance float64
}

// Estimator learns weights and bases. It isn't safe for concurrent use.
type Estimator struct {
	weights map[pair]*estimate
	bases   map[string]*trend
}

// New returns an Estimator that knows only its prior.
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

// Sum returns how much slack filling tasks take from a serving one.
func (e *Estimator) Sum(served string, fills []Fill) float64 {
	total := 0.0
	for _, f := range fills {
		total += e.Weight(served, f.Image) * f.Share
	}
	return total
}

// Observe takes a worker's report.
func (e *Estimator) Observe(now time.Duration, served []Served, fills []Fill) {
	for i := range served {
		e.observe(now, &served[i], fills)
	}
}

func (e *Estimator) observe(now time.Duration, s *Served, fills []Fill) {
	b := e.base(now, s.Job)
	slack := s.slack()
	sd := noise + relative*slack
	for _, f := range fills {
		sd += unsettled * f.Moved * e.Weight(s.Image, f.Image)
	}
	wrong := slack - (b.value - e.Sum(s.Image, fills))
	if slack < censored && wrong > 0 {
		return // the tail is at its longest; more pressure wouldn't show
	}
	total := sd*sd + b.vv
	for _, f := range fills {
		total += e.weight(s.Image, f.Image).variance * f.Share * f.Share
	}
	most := surprise * math.Sqrt(total)
	wrong = clamp(wrong, -most, most)
	b.correct(wrong, total)
	for _, f := range fills {
		w := e.weight(s.Image, f.Image)
		w.correct(-w.variance*f.Share/total, wrong, -f.Share)
		w.value = max(leastWeight, min(mostWeight, w.value))
		w.variance = max(leastVariance, w.variance)
	}
}

// base returns a job's base as expected now.
func (e *Estimator) base(now time.Duration, job string) *trend {
	b := e.bases[job]
	if b == nil {
		b = newTrend(now)
		e.bases[job] = b
	}
	b.advance(now)
	return b
}

// correct moves an estimate by a gain times an error. Slope is how the reading
// depends on the value.
func (e *estimate) correct(gain, wrong, slope float64) {
	e.value += gain * wrong
	e.variance *= 1 - gain*slope
}

// Room is what is left to a serving task beside a worker's filling tasks.
type Room struct {
	Image    string
	Slack    float64 // expected while a further filling task runs
	Pressure float64 // that the filling tasks put on it
}

// Room returns what is left to each serving task of a worker.
func (e *Estimator) Room(served []Served, fills []Fill) []Room {
	room := make([]Room, len(served))
	for i := range served {
		s := &served[i]
		p := e.Sum(s.Image, fills)
		room[i] = Room{Image: s.Image, Slack: s.slack() - ahead, Pressure: p}
		if b := e.bases[s.Job]; b != nil {
			room[i].Slack = b.after(aheadTime) - p
		}
	}
	return room
}

// Spare returns the pressure that each serving task of a worker bears at its
// target.
func (e *Estimator) Spare(served []Served) []float64 {
	spare := make([]float64, len(served))
	for i := range served {
		spare[i] = e.expected(&served[i]) - leastSlack
	}
	return spare
}

// expected returns the slack that a serving task is about to have without
// filling tasks.
func (e *Estimator) expected(s *Served) float64 {
	if b := e.bases[s.Job]; b != nil {
		return b.after(aheadTime)
	}
	return s.slack()
}

// Bears reports whether a worker's serving tasks bear another filling task:
// they have room for it now, or all filling tasks together are so light that
// they bear them even at the peak of their load.
func (e *Estimator) Bears(room []Room, image string, share float64) bool {
	for _, r := range room {
		p := e.Weight(r.Image, image) * share
		if r.Slack-p < startSlack && usualSlack-r.Pressure-p < peakSlack {
			return false
		}
	}
	return true
}

// Cost returns the largest part of its slack that a serving task of a worker
// would lose to another filling task.
func (e *Estimator) Cost(room []Room, image string, share float64) float64 {
	most := 0.0
	for _, r := range room {
		most = max(most, e.Weight(r.Image, image)*share/max(peakSlack, r.Slack))
	}
	return most
}

// Most returns the greatest slack that a serving task of a worker would lose
// to another filling task.
func (e *Estimator) Most(room []Room, image string, share float64) float64 {
	most := 0.0
	for _, r := range room {
		most = max(most, e.Weight(r.Image, image)*share)
	}
	return most
}

// Add counts a filling task that was just started.
func (e *Estimator) Add(room []Room, image string, share float64) {
	for i := range room {
		p := e.Weight(room[i].Image, image) * share
		room[i].Slack -= p
		room[i].Pressure += p
	}
}

// Forget drops what is known of a job's load.
func (e *Estimator) Forget(job string) {
	delete(e.bases, job)
}
