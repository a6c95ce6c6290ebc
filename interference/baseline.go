package interference

import "math"

const (
	knots          = 32 // of a baseline, two for each doubling of the rate
	knotsPerDouble = 2
	residualGain   = 0.3
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

// knot returns the index of a knot's coefficient. A new one starts from the
// nearest known one, and the first from the latency at hand.
func (v *victim) knot(i int, latency float64) int {
	if v.knots[i] == 0 {
		v.knots[i] = 1 + v.filter.add(v.nearest(i, latency), baseDeviation*baseDeviation)
	}
	return v.knots[i] - 1
}

func (v *victim) nearest(i int, latency float64) float64 {
	for d := 1; d < knots; d++ {
		for _, j := range []int{i - d, i + d} {
			if j >= 0 && j < knots && v.knots[j] > 0 {
				return v.filter.mean[v.knots[j]-1]
			}
		}
	}
	return latency
}

// knot returns the knot at or below a rate and how far the rate is to the
// next one.
func knot(rate float64) (int, float64) {
	at := knotsPerDouble * math.Log2(1+rate)
	low := math.Floor(min(at, knots-2))
	return int(low), min(at-low, 1)
}
