package limit

import "math"

// Constants of Gradient and AIMD.
const (
	usualWeight  = 0.01 // of a window in the baseline
	decrease     = 0.9
	smallestStep = 0.5 // the gradient cuts at most by half
	smoothing    = 0.2
)

// compareWindow moves the bound by the ratio of a window's latency to the
// usual one.
func (l *Limit) compareWindow(saturated bool, median float64) {
	if l.baseline == 0 {
		l.baseline = median
	}
	l.baseline += usualWeight * (median - l.baseline)
	congestion := median / (l.tolerance * l.baseline)
	switch {
	case congestion > 1 && l.algorithm == AIMD:
		l.value = l.clamp(l.value * decrease)
	case congestion > 1:
		l.value = l.clamp(l.value * (1 - smoothing*(1-math.Max(1/congestion, smallestStep))))
	case saturated && l.algorithm == AIMD:
		l.value = l.clamp(l.value + 1)
	case saturated:
		l.value = l.clamp(l.value + smoothing*math.Sqrt(l.value))
	}
}
