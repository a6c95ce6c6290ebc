package mitigation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
)

// suspect is a batch task with its part in a service's slowdown.
type suspect struct {
	Task
	harm       float64 // logarithm of the slowdown at full speed
	confidence float64
}

// relief is how much the logarithm of the slowdown falls when the task goes
// from one percentage to another.
func (s suspect) relief(from, to int) float64 {
	return s.harm * float64(from-to) / full
}

// suspectsOf returns the tasks by the harm they do now, the largest first.
func suspectsOf(tasks []Task, worst *interference.Victim) []suspect {
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

// throttle halves the speed of suspects, down to a floor, until the expected
// relief covers the excess. A task that explains nothing is left alone.
func (l *Ladder) throttle(suspects []suspect, worst *interference.Victim, floor int) []Action {
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

// target is the level that throttles aim at: between the two limits.
func (l *Ladder) target() float64 {
	return (l.limit + l.releaseLimit) / 2
}

// evict returns the evictions that cover the excess, preferring the least
// lost work among tasks that relieve the service about as well.
//
// What goes wrong: an eviction throws work away and the service suffers on,
// since another task was to blame or the victim was about to end. One would
// notice evictions without a fall of the tail. The gain, as far as the estimate
// is sure of it and as long as the task would still run, must exceed the cost.
func (l *Ladder) evict(now time.Time, suspects []suspect, worst *interference.Victim) []Action {
	worth := slices.DeleteFunc(slices.Clone(suspects), func(s suspect) bool {
		return s.relief(s.Percent, 0) < minRelief || l.gain(s) <= l.cost(s)
	})
	slices.SortStableFunc(worth, byWorth)
	excess := math.Log(worst.Level / l.target())
	var actions []Action
	for _, s := range worth {
		if excess <= 0 {
			break
		}
		if !l.afford(now, s.Task) {
			continue
		}
		excess -= s.relief(s.Percent, 0)
		actions = append(actions, Action{Evict, s.ID, 0, "slows " + worst.Class + " at the lowest speed"})
	}
	return actions
}

// byWorth puts the larger class of harm first, and the least lost work first
// within a class. Harms within a factor of two are one class.
func byWorth(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(harmClass(b), harmClass(a)),
		cmp.Compare(a.Lost, b.Lost),
		cmp.Compare(a.ID, b.ID),
	)
}

func harmClass(s suspect) float64 {
	return math.Floor(math.Log2(s.relief(s.Percent, 0)))
}

// gain is what an eviction is worth in work time: the service's relief and
// the speed that the task gets back elsewhere.
func (l *Ladder) gain(s suspect) time.Duration {
	weight := l.tailWeight * s.confidence * s.relief(s.Percent, 0)
	weight += float64(full-s.Percent) / full
	return time.Duration(weight * float64(s.Remaining))
}

func (l *Ladder) cost(s suspect) time.Duration {
	return l.evictionCost + s.Lost
}

func (l *Ladder) afford(now time.Time, t Task) bool {
	return l.budget.take(now, l.window,
		limitOf{"job " + t.Group + "/" + t.Job, l.jobBudget},
		limitOf{"group " + t.Group, l.groupBudget})
}
