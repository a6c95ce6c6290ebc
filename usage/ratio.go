package usage

import "math"

// ratio is a moving mean and mean deviation of measured over declared.
type ratio struct {
	mean, deviation float64
	count           float64
}

// add takes one measurement: a plain mean at first, a moving one later.
func (r *ratio) add(q float64) {
	r.count++
	g := max(gain, 1/r.count)
	off := q - r.mean
	r.mean += g * off
	if r.count > 1 {
		r.deviation += g * (math.Abs(off) - r.deviation)
	}
}

// high returns the mean plus margin deviations, drawn towards 1 while there
// are few measurements.
func (r *ratio) high(prior, margin float64) float64 {
	return r.blend(prior, r.mean+margin*r.deviation)
}

func (r *ratio) blend(prior, value float64) float64 {
	return (prior + r.count*value) / (prior + r.count)
}
