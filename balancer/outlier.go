package balancer

import (
	"slices"
	"time"
)

// minSlowSamples is how many requests a replica must have answered before its
// latency is compared with that of its peers.
const minSlowSamples = 6

// updateState ejects r or returns it to the rotation after a result.
func (b *Balancer) updateState(now time.Time, r *replica, latency time.Duration, result Result) {
	switch r.state {
	case probing:
		b.handleProbeResult(now, r, latency, result)
	case rotating:
		if b.isOutlier(r) && b.canEject(r) {
			b.eject(now, r)
		}
	}
}

func (b *Balancer) isOutlier(r *replica) bool {
	return b.isRefusing(r) || r.failures >= b.maxFailures || b.isSlow(r)
}

func (b *Balancer) isRefusing(r *replica) bool {
	return r.refusals >= b.maxRefusals
}

func (b *Balancer) isSlow(r *replica) bool {
	if b.slowFactor <= 0 || r.samples < minSlowSamples {
		return false
	}
	peer := b.medianLatency(r)
	return peer > 0 && r.latency > b.slowFactor*peer
}

// canEject reports whether r may be ejected in addition to the replicas that
// are out of rotation already.
//
// Without this bound, a fault that all replicas share, such as a broken
// dependency, would eject one after the other until the last one collapses under
// the whole load. The replicas kept in rotation are still ranked by their score.
// A replica that refuses serves nothing anyway, so more of those may be ejected.
func (b *Balancer) canEject(r *replica) bool {
	maxFraction := b.maxEjectedPart
	if b.isRefusing(r) {
		maxFraction = b.maxRefusedPart
	}
	return float64(len(b.outOfRotation())+1) <= maxFraction*float64(len(b.order))
}

// outOfRotation returns the replicas that are ejected or being probed.
func (b *Balancer) outOfRotation() []*replica {
	var out []*replica
	for _, r := range b.order {
		if !r.isInRotation() {
			out = append(out, r)
		}
	}
	return out
}

// restoreExcess returns replicas to the rotation when a new table leaves too
// large a fraction of them out of it, those whose hold ends first.
//
// If the replicas in rotation leave the table and the remaining ones had been
// ejected, no request would be admitted that could probe them, and the service
// would refuse all requests although replicas are alive.
func (b *Balancer) restoreExcess() {
	out := b.outOfRotation()
	slices.SortStableFunc(out, func(x, y *replica) int { return x.holdUntil.Compare(y.holdUntil) })
	maxOut := int(max(b.maxRefusedPart, b.maxEjectedPart) * float64(len(b.order)))
	for _, r := range out[:max(len(out)-maxOut, 0)] {
		b.restore(r)
	}
}

func (b *Balancer) eject(now time.Time, r *replica) {
	r.hold = min(max(2*r.hold, b.hold), b.maxHold)
	r.state = ejected
	r.holdUntil = now.Add(r.hold)
}

// handleProbeResult ends the probing of r at the first bad result, or after
// enough good ones.
func (b *Balancer) handleProbeResult(now time.Time, r *replica, latency time.Duration, result Result) {
	if result != OK || b.isSlowProbe(r, latency) {
		b.eject(now, r)
		return
	}
	r.successfulProbes++
	if r.successfulProbes < b.probes {
		return
	}
	b.restore(r)
}

func (b *Balancer) isSlowProbe(r *replica, latency time.Duration) bool {
	peer := b.medianLatency(r)
	return b.slowFactor > 0 && peer > 0 && latency.Seconds() > b.slowFactor*peer
}

// restore returns r to the rotation and resets its statistics: the old averages
// would eject it again at once.
func (b *Balancer) restore(r *replica) {
	r.state = rotating
	r.hold = 0
	r.samples = 0
	r.latency = 0
	r.failureRate = 0
	r.failures = 0
	r.refusals = 0
}
