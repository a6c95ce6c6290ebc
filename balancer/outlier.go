package balancer

import (
	"slices"
	"time"
)

// slowSamples is how many requests a replica must have answered before its
// latency is compared.
const slowSamples = 6

// judge moves r out of the rotation or back into it after a result.
func (b *Balancer) judge(now time.Time, r *replica, latency time.Duration, result Result) {
	switch r.state {
	case probing:
		b.judgeProbe(now, r, latency, result)
	case rotating:
		if b.isOutlier(r) && b.mayEject(r) {
			b.eject(now, r)
		}
	}
}

func (b *Balancer) isOutlier(r *replica) bool {
	return b.isRefusing(r) || r.failures >= b.failures || b.isSlow(r)
}

func (b *Balancer) isRefusing(r *replica) bool {
	return r.refusals >= b.refusals
}

func (b *Balancer) isSlow(r *replica) bool {
	if b.slowFactor <= 0 || r.samples < slowSamples {
		return false
	}
	peer := b.peerLatency(r)
	return peer > 0 && r.latency > b.slowFactor*peer
}

// mayEject reports whether r may leave the rotation too.
//
// What goes wrong: a fault that all replicas share, such as a broken
// dependency, makes each an outlier in turn until one is left with all the
// load, and it falls over too. One would see the healthy part of a service
// shrink while its load stays. The bound keeps the rest in rotation; the
// score still prefers the better ones. A replica that refuses serves nothing
// anyway, so more of those may leave.
func (b *Balancer) mayEject(r *replica) bool {
	part := b.ejectedPart
	if b.isRefusing(r) {
		part = b.refusedPart
	}
	return float64(len(b.out())+1) <= part*float64(len(b.order))
}

// out returns the replicas out of rotation.
func (b *Balancer) out() []*replica {
	var out []*replica
	for _, r := range b.order {
		if !r.inRotation() {
			out = append(out, r)
		}
	}
	return out
}

// keepSome returns replicas to the rotation when too many of a new table are
// out of it.
//
// What goes wrong: the replicas in rotation leave the table, those that are
// left had been ejected, and no request is admitted that could probe them.
// One would see a service refuse everything beside live replicas. The bound
// holds for each table anew; the replica whose hold ends first returns.
func (b *Balancer) keepSome() {
	out := b.out()
	slices.SortStableFunc(out, func(x, y *replica) int { return x.until.Compare(y.until) })
	most := int(max(b.refusedPart, b.ejectedPart) * float64(len(b.order)))
	for _, r := range out[:max(len(out)-most, 0)] {
		b.restore(r)
	}
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
	r.failures = 0
	r.refusals = 0
}
