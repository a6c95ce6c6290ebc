package limit

import "math"

// Constants of Gradient and AIMD.
const (
	baselineWeight = 0.01 // of a window in the baseline
	decreaseFactor = 0.9
	minGradient    = 0.5 // bounds the cut of one window, before smoothing, to half
	smoothing      = 0.2
)

// compareWithBaseline adjusts the bound by the ratio of a window's latency to
// the baseline.
func (l *Limit) compareWithBaseline(saturated bool, median float64) {
	if l.baseline == 0 {
		l.baseline = median
	}
	l.baseline += baselineWeight * (median - l.baseline)
	congestion := median / (l.tolerance * l.baseline)
	switch {
	case congestion > 1 && l.algorithm == AIMD:
		l.value = l.clamp(l.value * decreaseFactor)
	case congestion > 1:
		l.value = l.clamp(l.value * (1 - smoothing*(1-math.Max(1/congestion, minGradient))))
	case saturated && l.algorithm == AIMD:
		l.value = l.clamp(l.value + 1)
	case saturated:
		l.value = l.clamp(l.value + smoothing*math.Sqrt(l.value))
	}
}
