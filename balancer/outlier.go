package balancer

import "time"

// slowSamples is how many requests a replica must have answered before its
// latency is compared.
const slowSamples = 6

// judge moves r out of the rotation or back into it after a result.
func (b *Balancer) judge(now time.Time, r *replica, latency time.Duration, result Result) {
	switch r.state {
	case probing:
		b.judgeProbe(now, r, latency, result)
	case rotating:
		if b.isOutlier(r) && b.mayEject() {
			b.eject(now, r)
		}
	}
}

func (b *Balancer) isOutlier(r *replica) bool {
	if r.failures >= b.failures || r.refusals >= b.refusals {
		return true
	}
	return b.isSlow(r)
}

func (b *Balancer) isSlow(r *replica) bool {
	if b.slowFactor <= 0 || r.samples < slowSamples {
		return false
	}
	peer := b.peerLatency(r)
	return peer > 0 && r.latency > b.slowFactor*peer
}

// mayEject reports whether one more replica may leave the rotation.
//
// What goes wrong: a fault that all replicas share, such as a broken
// dependency, makes each an outlier in turn until one is left with all the
// load, and it falls over too. One would see the healthy part of a service
// shrink while its load stays. The bound keeps the rest in rotation; the
// score still prefers the better ones.
func (b *Balancer) mayEject() bool {
	out := 0
	for _, r := range b.order {
		if !r.inRotation() {
			out++
		}
	}
	return float64(out+1) <= b.ejectedPart*float64(len(b.order))
}

func (b *Balancer) eject(now time.Time, r *replica) {
	r.hold = min(max(2*r.hold, b.hold), b.longestHold)
	r.state = ejected
	r.until = now.Add(r.hold)
}

// judgeProbe ends the probing of r at the first bad result, or after enough
// good ones.
func (b *Balancer) judgeProbe(now time.Time, r *replica, latency time.Duration, result Result) {
	if result != OK || b.isSlowProbe(r, latency) {
		b.eject(now, r)
		return
	}
	r.probed++
	if r.probed < b.probes {
		return
	}
	b.restore(r)
}

func (b *Balancer) isSlowProbe(r *replica, latency time.Duration) bool {
	peer := b.peerLatency(r)
	return b.slowFactor > 0 && peer > 0 && latency.Seconds() > b.slowFactor*peer
}

// restore returns r to the rotation with the statistics of a new replica:
// the old averages would eject it again at once.
func (b *Balancer) restore(r *replica) {
	r.state = rotating
	r.hold = 0
	r.samples = 0
	r.latency = 0
	r.failureRate = 0
}
