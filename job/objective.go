package job

import (
	"slices"
	"time"
)

// ChainLengths returns the estimated length of the longest chain of steps from each step on.
func ChainLengths(steps []Step) []time.Duration {
	lengths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		lengths[i] += steps[i].Estimate
		for _, a := range steps[i].After {
			lengths[a] = max(lengths[a], lengths[i])
		}
	}
	return lengths
}

// CriticalPath returns the estimated length of the longest chain of steps.
func CriticalPath(steps []Step) time.Duration {
	if len(steps) == 0 {
		return 0
	}
	return slices.Max(ChainLengths(steps))
}

// ObjectiveFor returns how long a job with a critical path may take, based on rough
// estimates.
func (t *Terms) ObjectiveFor(criticalPath time.Duration) time.Duration {
	return time.Duration(max(t.Stretch, 1)*float64(criticalPath)) + t.Objective
}
