package mitigation

import (
	"cmp"
	"slices"
)

// relieve throttles the largest batch tasks until the worker's processors
// hold what runs.
//
// What goes wrong: a service's load rises and it wants back processors that
// batch tasks were lent. All tasks then slow down together, so no pair explains
// it. One would notice high residuals at a load above 1. The sum of measured
// use shows it at once and without blame.
func (l *Ladder) relieve(in Worker) []Action {
	excess := in.Load - fullLoad
	if excess <= 0 || len(in.Victims) == 0 {
		return nil
	}
	tasks := slices.Clone(in.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.ID, b.ID))
	})
	var actions []Action
	for _, t := range tasks {
		percent := t.Percent
		for percent > l.floor && t.Share*float64(t.Percent-percent)/full < excess {
			percent = max(percent/2, l.floor)
		}
		if excess <= 0 || percent == t.Percent {
			continue
		}
		excess -= t.Share * float64(t.Percent-percent) / full
		actions = append(actions, Action{Throttle, t.ID, percent, "processors overcommitted"})
	}
	return actions
}
