package balancer

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Weights of the statistics of a replica.
const (
	latencyWeight  = 0.1  // of the latest latency in the moving average
	failureWeight  = 0.1  // of the latest result in the failure rate
	failurePenalty = 10.0 // added to the relative slowness at a failure rate of 1
)

// statsTTL is the time in which the statistics of a replica without results
// lose their effect.
const statsTTL = 3 * time.Second

// state determines whether a replica gets requests.
type state int

// States of a replica.
const (
	rotating state = iota // gets its share of the requests
	ejected               // gets none until its hold ends
	probing               // gets one request at a time
)

type replica struct {
	backend  route.Backend
	isListed bool
	inFlight int

	state            state
	holdUntil        time.Time
	hold             time.Duration
	successfulProbes int // successful probes
	failures         int // in a row
	refusals         int // in a row

	samples      int
	latency      float64 // moving average in seconds
	failureRate  float64 // moving average
	lastResultAt time.Time
}

// reset clears the statistics measured at a former address, but keeps the
// requests in flight.
func (r *replica) reset() {
	*r = replica{inFlight: r.inFlight}
}

// isLeased reports whether the lease is in force.
//
// It is checked at each choice: if this instance was paused or partitioned, its
// lease may have lapsed and another instance may be using the same slots.
func (r *replica) isLeased(now time.Time) bool {
	return now.Before(r.backend.LeaseUntil)
}

// advance starts the probing of a replica whose hold has ended.
func (r *replica) advance(now time.Time) {
	if r.state == ejected && !now.Before(r.holdUntil) {
		r.state = probing
		r.successfulProbes = 0
	}
}

// usableSlots returns how many requests the replica may hold now.
func (r *replica) usableSlots(now time.Time) int {
	r.advance(now)
	switch {
	case !r.isLeased(now) || r.state == ejected:
		return 0
	case r.state == probing:
		return min(1, r.backend.Slots)
	}
	return r.backend.Slots
}

func (r *replica) isInRotation() bool {
	return r.state == rotating
}

func (r *replica) takeSlot() route.Backend {
	r.inFlight++
	return r.backend
}

// score is lower for a better replica. A replica without samples is assumed to
// be as fast as its peers.
//
// The effect of the statistics fades with their age. Otherwise a single slow or
// failed request could keep a replica idle for good at low load, since no
// request would be left to correct its statistics.
func (r *replica) score(now time.Time, median float64) float64 {
	excess := failurePenalty * r.failureRate
	if r.samples > 0 && median > 0 {
		excess += max(r.latency/median, 1) - 1
	}
	fresh := max(1-now.Sub(r.lastResultAt).Seconds()/statsTTL.Seconds(), 0)
	used := float64(r.inFlight+1) / float64(r.backend.Slots)
	return used * (1 + fresh*excess)
}

// record updates the statistics with a result. The latency of a refusal is
// ignored, and so is that of a lost or failed request below the average.
func (r *replica) record(now time.Time, latency time.Duration, result Result) {
	if now.Sub(r.lastResultAt) >= statsTTL {
		r.samples, r.latency, r.failureRate = 0, 0, 0
	}
	r.lastResultAt = now
	seconds := latency.Seconds()
	failure := 1.0
	switch result {
	case OK:
		failure = 0
		r.failures, r.refusals = 0, 0
		r.addLatency(seconds)
	case Refused:
		r.failures++
		r.refusals++
	default:
		r.failures++
		if seconds > r.latency {
			r.addLatency(seconds)
		}
	}
	r.failureRate += failureWeight * (failure - r.failureRate)
}

func (r *replica) addLatency(seconds float64) {
	r.samples++
	weight := max(latencyWeight, 1/float64(r.samples))
	r.latency += weight * (seconds - r.latency)
}
