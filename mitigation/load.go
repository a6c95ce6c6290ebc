package mitigation

import (
	"cmp"
	"slices"
)

// relieveOverload throttles the largest batch tasks until the rest fits the
// worker's processors. When a service's load rises and it needs processors
// that batch tasks had borrowed, all tasks slow down together, so that the
// estimator can't attribute the slowdown to any pair of tasks: it shows as high
// residuals at a load above 1. The sum of measured use shows the overload at
// once and needs no culprit.
func (l *Ladder) relieveOverload(in Worker) []Action {
	excess := in.Load - maxLoad
	if excess <= 0 || len(in.Victims) == 0 {
		return nil
	}
	tasks := slices.Clone(in.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.ProcessorShare, a.ProcessorShare), cmp.Compare(a.ID, b.ID))
	})
	var actions []Action
	for _, t := range tasks {
		percent := t.Percent
		for percent > l.floor && t.ProcessorShare*float64(t.Percent-percent)/fullSpeed < excess {
			percent = max(percent/2, l.floor)
		}
		if excess <= 0 || percent == t.Percent {
			continue
		}
		excess -= t.ProcessorShare * float64(t.Percent-percent) / fullSpeed
		actions = append(actions, Action{Throttle, t.ID, percent, "processors overcommitted"})
	}
	return actions
}
