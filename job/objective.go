package job

import (
	"slices"
	"time"
)

// ChainLengths returns the length of the longest chain of steps from each step on, given the
// length of each step.
func ChainLengths(steps []Step, length func(step int) time.Duration) []time.Duration {
	lengths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		lengths[i] += length(i)
		for _, a := range steps[i].After {
			lengths[a] = max(lengths[a], lengths[i])
		}
	}
	return lengths
}

// EstimateOf returns a function that returns the estimate of a step.
func EstimateOf(steps []Step) func(step int) time.Duration {
	return func(step int) time.Duration { return steps[step].Estimate }
}

// CriticalPath returns the estimated length of the longest chain of steps.
func CriticalPath(steps []Step) time.Duration {
	if len(steps) == 0 {
		return 0
	}
	return slices.Max(ChainLengths(steps, EstimateOf(steps)))
}

// StretchFactor returns the variable part of the objective, as a multiple of the critical path.
func (t *Terms) StretchFactor() float64 {
	return max(t.Stretch, 1)
}

// maxVariable bounds the variable part of an objective, so that multiples of the objective
// can't overflow.
const maxVariable = 10 * 365 * 24 * time.Hour

// ObjectiveFor returns how long a job with a critical path may take, based on rough
// estimates.
func (t *Terms) ObjectiveFor(criticalPath time.Duration) time.Duration {
	variable := min(t.StretchFactor()*float64(criticalPath), float64(maxVariable))
	return time.Duration(variable) + t.Objective
}
