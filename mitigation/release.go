package mitigation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
)

// holdOf is how long a worker must have been quiet before a throttle is
// taken back.
//
// What goes wrong: a throttle works, so it is taken back, so the service
// rises, for ever. One would notice a task whose throttle changes with the
// period of the lag. Each relapse doubles the time before the next attempt.
func (l *Ladder) holdOf(r *record) time.Duration {
	return l.holdTime << r.backoff
}

// release raises throttled tasks, the least harmful first, as far as the
// model expects the service to stay below the target. A task that the model
// has cleared since gets its full speed back at once; the others wait for the
// hold time and rise by doubling. Level is that of the worst service.
func (l *Ladder) release(now time.Time, r *record, in Worker, level float64) []Action {
	held := now.Sub(r.acted) < l.holdOf(r)
	if !held && r.backoff > 0 && now.Sub(r.throttled) > forgive*l.holdOf(r) {
		r.backoff--
	}
	room := math.Log(l.target() / level)
	spare := releaseLoad - in.Load
	var actions []Action
	for _, t := range throttled(in) {
		harm := harmOf(in.Victims, t)
		percent := full
		if harm >= minRelief {
			percent = min(max(t.Percent, 1)*2, full)
		}
		rise := harm * float64(percent-t.Percent) / full
		claim := t.Share * float64(percent-t.Percent) / full
		if rise > room || claim > spare || held && harm >= minRelief {
			break
		}
		room -= rise
		spare -= claim
		actions = append(actions, Action{Unthrottle, t.ID, percent, "services are below the limit"})
		if harm >= minRelief {
			r.released = now
		}
	}
	return actions
}

// throttled returns the throttled tasks by their harm, the least first.
func throttled(in Worker) []Task {
	list := slices.DeleteFunc(slices.Clone(in.Tasks), func(t Task) bool { return t.Percent >= full })
	slices.SortStableFunc(list, func(a, b Task) int {
		return cmp.Or(cmp.Compare(harmOf(in.Victims, a), harmOf(in.Victims, b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// harmOf returns the most harm that a task does to any service.
func harmOf(victims []interference.Victim, t Task) float64 {
	harm := 0.0
	for _, v := range victims {
		for _, c := range v.Culprits {
			if c.Task == t.ID {
				harm = max(harm, c.Harm)
			}
		}
	}
	return harm
}
