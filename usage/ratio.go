package usage

import "math"

// ratio holds the moving mean and mean deviation of the quotients of measured and
// declared amounts.
type ratio struct {
	mean, deviation float64
	count           float64
}

// add adds one quotient. The first 1/smoothing quotients have equal weights; later the mean is
// an exponential moving average.
func (r *ratio) add(q float64) {
	r.count++
	g := max(smoothing, 1/r.count)
	off := q - r.mean
	r.mean += g * off
	if r.count > 1 {
		r.deviation += g * (math.Abs(off) - r.deviation)
	}
}

// upperEstimate returns the mean plus margin deviations, shrunk towards 1 while there are few
// measurements.
func (r *ratio) upperEstimate(prior, margin float64) float64 {
	return r.shrink(prior, r.mean+margin*r.deviation)
}

func (r *ratio) shrink(prior, value float64) float64 {
	return (prior + r.count*value) / (prior + r.count)
}
