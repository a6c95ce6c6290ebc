package interference

import "math"

const (
	knots          = 32 // of a baseline, two for each doubling of the rate
	knotsPerDouble = 2
	knotDeviation  = 0.1 // between the baselines of two adjacent knots
)

// baseline returns the terms of a victim's baseline at a request rate. It is
// linear between knots.
//
// What goes wrong: a service's latency rises with its own load, and its
// neighbours are blamed. One would notice slowdowns of all classes rise and
// fall with the time of day. A baseline by rate takes up what the service
// does to itself.
func (v *victim) baseline(rate, latency float64) []term {
	low, fraction := knot(rate)
	list := make([]term, 0, 2)
	for i, factor := range []float64{1 - fraction, fraction} {
		if factor > 0 {
			list = append(list, term{v.knot(low+i, latency), factor})
		}
	}
	return list
}

// knot returns the index of a knot's coefficient. The first starts from the
// latency at hand, a later one from the nearest known.
//
// What goes wrong: load and slowdowns shift together, to a rate never seen
// before, and the new knot takes up all the harm as the service's own. One
// would notice a service that stays slow at a level near 1. A baseline is
// smooth in the rate, so a new knot may differ only a little from its
// neighbour.
func (v *victim) knot(i int, latency float64) int {
	if v.knots[i] > 0 {
		return v.knots[i] - 1
	}
	if j, ok := v.nearest(i); ok {
		steps := math.Abs(float64(i - j))
		v.knots[i] = 1 + v.filter.branch(v.knots[j]-1, steps*knotDeviation*knotDeviation)
		return v.knots[i] - 1
	}
	v.knots[i] = 1 + v.filter.add(latency, baseDeviation*baseDeviation)
	return v.knots[i] - 1
}

// nearest returns the known knot nearest to another.
func (v *victim) nearest(i int) (int, bool) {
	for d := 1; d < knots; d++ {
		for _, j := range []int{i - d, i + d} {
			if j >= 0 && j < knots && v.knots[j] > 0 {
				return j, true
			}
		}
	}
	return 0, false
}

// knot returns the knot at or below a rate and how far the rate is to the
// next one.
func knot(rate float64) (int, float64) {
	at := knotsPerDouble * math.Log2(1+rate)
	low := math.Floor(min(at, knots-2))
	return int(low), min(at-low, 1)
}
