package balancer

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Weights of the statistics of a replica.
const (
	latencyWeight  = 0.1  // of the newest latency in the average
	failureWeight  = 0.1  // of the newest result in the failure rate
	failurePenalty = 10.0 // a replica that fails all counts as this much slower
)

// markTime is how long a replica without results keeps its bad mark.
const markTime = 3 * time.Second

// state tells whether a replica gets requests.
type state int

// States of a replica.
const (
	rotating state = iota // gets its part of the requests
	ejected               // gets none until its hold ends
	probing               // gets one request at a time
)

type replica struct {
	backend  route.Backend
	listed   bool
	inFlight int

	state    state
	until    time.Time // end of the hold
	hold     time.Duration
	probed   int // probes that went well
	failures int // in a row
	refusals int // in a row

	samples     int
	latency     float64 // moving average in seconds
	failureRate float64 // moving average
	measured    time.Time
}

// reset forgets what was measured at another address, but not the requests
// in flight.
func (r *replica) reset() {
	*r = replica{inFlight: r.inFlight}
}

// leased reports whether the lease is in force.
//
// What goes wrong: this instance was paused or cut off, its lease on the
// worker lapsed and another instance now fills the same slots. One would see
// two instances send to one worker. The lease is checked at each choice.
func (r *replica) leased(now time.Time) bool {
	return now.Before(r.backend.Until)
}

// advance moves a replica whose hold has ended on to probing.
func (r *replica) advance(now time.Time) {
	if r.state == ejected && !now.Before(r.until) {
		r.state = probing
		r.probed = 0
	}
}

// bound returns how many requests the replica may hold now.
func (r *replica) bound(now time.Time) int {
	r.advance(now)
	switch {
	case !r.leased(now) || r.state == ejected:
		return 0
	case r.state == probing:
		return min(1, r.backend.Slots)
	}
	return r.backend.Slots
}

func (r *replica) inRotation() bool {
	return r.state == rotating
}

func (r *replica) take() route.Backend {
	r.inFlight++
	return r.backend
}

// score is lower for a better replica. A replica without samples counts as
// one of its peers.
//
// What goes wrong: one slow or failed request marks a replica as bad, the
// choice avoids it, and without requests nothing corrects the mark. One would
// see a replica idle for good at low load. The mark fades with its age.
func (r *replica) score(now time.Time, peer float64) float64 {
	excess := failurePenalty * r.failureRate
	if r.samples > 0 && peer > 0 {
		excess += max(r.latency/peer, 1) - 1
	}
	fresh := max(1-now.Sub(r.measured).Seconds()/markTime.Seconds(), 0)
	used := float64(r.inFlight+1) / float64(r.backend.Slots)
	return used * (1 + fresh*excess)
}

// record takes a result into the statistics. A refusal says nothing about
// latency. A lost or failed request that was quick doesn't either.
func (r *replica) record(now time.Time, latency time.Duration, result Result) {
	if now.Sub(r.measured) >= markTime {
		r.samples, r.latency, r.failureRate = 0, 0, 0
	}
	r.measured = now
	seconds := latency.Seconds()
	failure := 1.0
	switch result {
	case OK:
		failure = 0
		r.failures, r.refusals = 0, 0
		r.measure(seconds)
	case Refused:
		r.failures++
		r.refusals++
	default:
		r.failures++
		if seconds > r.latency {
			r.measure(seconds)
		}
	}
	r.failureRate += failureWeight * (failure - r.failureRate)
}

func (r *replica) measure(seconds float64) {
	r.samples++
	weight := max(latencyWeight, 1/float64(r.samples))
	r.latency += weight * (seconds - r.latency)
}
