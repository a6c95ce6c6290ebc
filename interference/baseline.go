package interference

import "math"

const (
	numKnots       = 32  // knots of a baseline
	knotsPerDouble = 2   // for each doubling of the request rate
	knotDeviation  = 0.1 // prior standard deviation between adjacent knots
)

// baseline returns the terms of a victim's baseline at a request rate. It is
// linear between knots.
//
// The baseline depends on the rate because a service's latency rises with its own load.
// With a constant baseline that rise would be attributed to its neighbours, and the
// slowdowns of all classes would follow the time of day.
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

// knot returns the index of a knot's coefficient, which it creates when it is unseen.
// The first knot starts from the given latency, a later one from the nearest known knot.
//
// A new knot may differ only little from its neighbour, as a baseline is smooth in the
// rate. Otherwise, when the load moves to an unseen rate while the slowdown changes, the
// new knot would attribute all of the slowdown to the service itself, whose level
// would then stay near 1 although it is slow.
func (v *victim) knot(i int, latency float64) int {
	if v.knots[i] > 0 {
		return v.knots[i] - 1
	}
	if j, ok := v.nearest(i); ok {
		steps := math.Abs(float64(i - j))
		v.knots[i] = 1 + v.filter.addCorrelated(v.knots[j]-1, steps*knotDeviation*knotDeviation)
		return v.knots[i] - 1
	}
	v.knots[i] = 1 + v.filter.add(latency, baselineDeviation*baselineDeviation)
	return v.knots[i] - 1
}

// nearest returns the known knot nearest to another.
func (v *victim) nearest(i int) (int, bool) {
	for d := 1; d < numKnots; d++ {
		for _, j := range []int{i - d, i + d} {
			if j >= 0 && j < numKnots && v.knots[j] > 0 {
				return j, true
			}
		}
	}
	return 0, false
}

// knot returns the knot at or below a rate, and the position of the rate between it and
// the next one, from 0 to 1.
func knot(rate float64) (int, float64) {
	at := knotsPerDouble * math.Log2(1+rate)
	low := math.Floor(min(at, numKnots-2))
	return int(low), min(at-low, 1)
}
