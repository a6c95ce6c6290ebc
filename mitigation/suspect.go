package mitigation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
)

// suspect is a batch task with its contribution to a service's slowdown.
type suspect struct {
	Task
	harm       float64 // logarithm of the slowdown at full speed
	confidence float64
}

// relief returns by how much the logarithm of the slowdown falls when the
// task's speed changes from one percentage to another.
func (s suspect) relief(from, to int) float64 {
	return s.harm * float64(from-to) / fullSpeed
}

// suspectsFor returns the tasks that harm a service, ordered by their current
// harm, largest first.
func suspectsFor(tasks []Task, worst *interference.Victim) []suspect {
	var list []suspect
	for _, t := range tasks {
		i := slices.IndexFunc(worst.Culprits, func(c interference.Culprit) bool {
			return c.Task == t.ID && isBatch(c)
		})
		if i >= 0 {
			c := worst.Culprits[i]
			list = append(list, suspect{t, c.Harm, c.Confidence})
		}
	}
	slices.SortStableFunc(list, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(b.relief(b.Percent, 0), a.relief(a.Percent, 0)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}

// throttleSuspects halves the speed of suspects, down to a floor, until the
// expected relief covers the excess. Tasks without a noticeable relief are
// left alone.
func (l *Ladder) throttleSuspects(suspects []suspect, worst *interference.Victim, floor int) []Action {
	var actions []Action
	excess := math.Log(worst.Level / l.target())
	for _, s := range suspects {
		if excess <= 0 {
			break
		}
		percent := s.Percent
		for percent > floor && s.relief(s.Percent, percent) < excess {
			percent = max(percent/2, floor)
		}
		relief := s.relief(s.Percent, percent)
		if percent == s.Percent || relief < minRelief {
			continue
		}
		excess -= relief
		actions = append(actions, Action{Throttle, s.ID, percent, "slows " + worst.Class})
	}
	return actions
}

// target returns the level that throttles aim for, halfway between the two
// limits.
func (l *Ladder) target() float64 {
	return (l.limit + l.releaseLimit) / 2
}

// evictSuspects returns the evictions that cover the excess, preferring the
// least lost work among tasks with a similar relief. An eviction loses work
// without helping the service when another task was the cause or the evicted
// one was about to end; it shows as evictions without a fall of the tail
// latency. The gain, weighted by the estimate's confidence and the task's
// remaining time, must therefore exceed the cost.
func (l *Ladder) evictSuspects(now time.Time, suspects []suspect, worst *interference.Victim) []Action {
	candidates := slices.DeleteFunc(slices.Clone(suspects), func(s suspect) bool {
		return s.relief(s.Percent, 0) < minRelief || l.gain(s) <= l.cost(s)
	})
	slices.SortStableFunc(candidates, compareEvictions)
	excess := math.Log(worst.Level / l.target())
	var actions []Action
	for _, s := range candidates {
		if excess <= 0 {
			break
		}
		if !l.takeEvictionBudget(now, s.Task) {
			continue
		}
		excess -= s.relief(s.Percent, 0)
		actions = append(actions, Action{Evict, s.ID, 0, "slows " + worst.Class + " at the lowest speed"})
	}
	return actions
}

// compareEvictions orders suspects by class of harm, largest first, and within
// a class by lost work, least first. Harms within a factor of two form one
// class.
func compareEvictions(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(harmClass(b), harmClass(a)),
		cmp.Compare(a.LostWork, b.LostWork),
		cmp.Compare(a.ID, b.ID),
	)
}

func harmClass(s suspect) float64 {
	return math.Floor(math.Log2(s.relief(s.Percent, 0)))
}

// gain returns the value of an eviction in work time: the relief of the
// service and the speed that the task regains elsewhere.
func (l *Ladder) gain(s suspect) time.Duration {
	weight := l.tailWeight * s.confidence * s.relief(s.Percent, 0)
	weight += float64(fullSpeed-s.Percent) / fullSpeed
	return time.Duration(weight * float64(s.Remaining))
}

func (l *Ladder) cost(s suspect) time.Duration {
	return l.evictionCost + s.LostWork
}

func (l *Ladder) takeEvictionBudget(now time.Time, t Task) bool {
	return l.budget.take(now, l.budgetWindow,
		budgetLimit{"job " + t.Group + "/" + t.Job, l.jobBudget},
		budgetLimit{"group " + t.Group, l.groupBudget})
}
