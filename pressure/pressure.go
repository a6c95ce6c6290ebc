// Package pressure estimates how much tasks that fill a worker's idle
// processors slow the tasks that serve users beside them, and how much more
// each worker can bear.
//
// Usage:
//
//	e := pressure.New()
//	e.Observe(now, served, fills)       // what one worker reports
//	room := e.Room(now, served, fills)  // of each served task
//	if e.Bears(room, "rebuild-image", 0.1) { ... }
//
// The tail of a serving task's response times behaves like a queue's: it is
// its idle tail divided by the share of time in which the task isn't held up.
// So the target divided by the tail, the slack, falls linearly with the load of
// its users and with what works beside it: slack = base - sum(weight * share),
// where share is the part of the worker's processors that a filling task
// uses, and the weight belongs to the pair of images. A slack of 1 is a tail at
// its target. Over 12,000 reports of a day with uncontrolled filling, tails of
// 13 to 31 ms without filling tasks and of up to 1.1 s with them fit this form;
// weights differ from none to above 30 between pairs of images.
//
// The base follows the users' load, which tasks of one job share. It is read
// off the task of the job with the least filling work beside it, and the weights are
// learned from the others: what isn't explained is put down to the pairs in
// proportion to what they are thought to take, so that an image that was seen
// to do no harm alone isn't blamed for its neighbours.
package pressure

import (
	"time"
)

// Bounds of the estimate. Slacks are 1.6 to 3.9 between the peak and the
// trough of the users' load. Weights are in slack per whole worker.
const (
	priorWeight = 6.0                     // of a pair that wasn't seen; a usual filling task then takes a fifth of a usual slack
	leastWeight = 1.0                     // of any pair: a harmless image still uses the worker
	mostWeight  = 60.0                    // a task that uses a tenth of the worker then takes any slack
	gain        = 0.6                     // of the difference that one report makes up for
	fresh       = 1500 * time.Millisecond // a base older than this says little of the load now
	drift       = 0.5                     // how far a base may fall while a filling task runs
	leastSlack  = 1.15                    // that must be left to a serving task while its load may rise by drift
	usualSlack  = 1.5                     // of a task at the peak of its load
	peakSlack   = 1.05                    // that must be left to it then
	leastBase   = 1.4                     // without filling tasks a tail stays below its target
	censored    = 0.3                     // slack at which a tail hardly grows any more
	mostSlack   = 5.0                     // above it a tail is too short to tell anything
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
		return mostSlack
	}
	return min(mostSlack, float64(s.Target)/float64(s.Tail))
}

// Fill is a filling task beside it.
type Fill struct {
	Image string
	Share float64 // of the worker's processors that it uses
}

// pair is the images of a serving and a filling task.
type pair struct {
	served, fill string
}

// base is the slack of a job's tasks without any pressure.
type base struct {
	value  float64
	shared float64 // by filling tasks beside the task that it was read off
	at     time.Duration
}

// weight is what a pair is thought to take, and on how many reports.
type weight struct {
	value float64
	seen  int
}

// Estimator learns weights and bases. It isn't safe for concurrent use.
type Estimator struct {
	weights map[pair]*weight
	bases   map[string]*base
}

// New returns an Estimator that knows only its prior.
func New() *Estimator {
	return &Estimator{weights: make(map[pair]*weight), bases: make(map[string]*base)}
}

// Weight returns the estimated weight of a pair of images.
func (e *Estimator) Weight(served, fill string) float64 {
	if w := e.weights[pair{served, fill}]; w != nil {
		return w.value
	}
	return priorWeight
}

// Known reports whether a pair of images was seen together.
func (e *Estimator) Known(served, fill string) bool {
	return e.weights[pair{served, fill}] != nil
}

// Sum returns how much slack filling tasks take from a serving one.
func (e *Estimator) Sum(served string, fills []Fill) float64 {
	total := 0.0
	for _, f := range fills {
		total += e.Weight(served, f.Image) * f.Share
	}
	return total
}

// Observe takes a worker's report. The filling tasks must have been as they
// are for as long as a tail is measured over.
func (e *Estimator) Observe(now time.Duration, served []Served, fills []Fill) {
	for i := range served {
		e.observe(now, &served[i], fills)
	}
}

func (e *Estimator) observe(now time.Duration, s *Served, fills []Fill) {
	p := e.Sum(s.Image, fills)
	slack := s.slack()
	shared := 0.0
	for _, f := range fills {
		shared += f.Share
	}
	b := e.bases[s.Job]
	if b == nil || now-b.at > fresh || shared <= b.shared {
		e.bases[s.Job] = &base{value: max(leastBase, min(mostSlack, slack+p)), shared: shared, at: now}
		if shared == 0 {
			return
		}
		b = e.bases[s.Job]
	}
	unexplained := b.value - slack - p
	if slack < censored && unexplained < 0 {
		return // the tail is at its longest; more pressure wouldn't show
	}
	e.learn(s.Image, fills, unexplained)
}

// learn puts an unexplained loss of slack down to the filling tasks.
func (e *Estimator) learn(served string, fills []Fill, unexplained float64) {
	total := 0.0
	for _, f := range fills {
		total += e.Weight(served, f.Image) * f.Share
	}
	if total <= 0 {
		return
	}
	for _, f := range fills {
		if f.Share <= 0 {
			continue
		}
		w := e.weights[pair{served, f.Image}]
		if w == nil {
			w = &weight{value: priorWeight}
			e.weights[pair{served, f.Image}] = w
		}
		part := w.value * f.Share / total
		w.value = max(leastWeight, min(mostWeight, w.value+gain*unexplained*part/f.Share))
		w.seen++
	}
}

// Room is what is left to a serving task beside a worker's filling tasks.
type Room struct {
	Image    string
	Slack    float64 // expected while a further filling task runs
	Pressure float64 // that the filling tasks put on it
}

// Room returns what is left to each serving task of a worker.
func (e *Estimator) Room(now time.Duration, served []Served, fills []Fill) []Room {
	room := make([]Room, len(served))
	for i := range served {
		s := &served[i]
		p := e.Sum(s.Image, fills)
		room[i] = Room{Image: s.Image, Slack: s.slack() - drift, Pressure: p}
		if b := e.bases[s.Job]; b != nil && now-b.at < 2*fresh {
			room[i].Slack = b.value - drift - p
		}
	}
	return room
}

// Bears reports whether a worker's serving tasks bear another filling task:
// they have room for it now, or all filling tasks together are so light that
// they bear them even at the peak of their load.
func (e *Estimator) Bears(room []Room, image string, share float64) bool {
	for _, r := range room {
		p := e.Weight(r.Image, image) * share
		if r.Slack-p < leastSlack && usualSlack-r.Pressure-p < peakSlack {
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
