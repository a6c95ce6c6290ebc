package mitigation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
)

// releaseDelay returns how long a worker must have had no action before a
// throttle is released: the hold time, doubled by each relapse. With a fixed
// delay a working throttle would be released and applied again forever, with
// the period of the lag.
func (l *Ladder) releaseDelay(r *workerRecord) time.Duration {
	return l.holdTime << r.backoff
}

// releaseThrottles raises the speed of throttled tasks, the least harmful
// first, as far as the model expects the worst service to stay below the
// target. A task that the model now considers harmless returns to full speed at
// once; the others wait for the release delay and double their speed.
func (l *Ladder) releaseThrottles(now time.Time, r *workerRecord, in Worker, worstLevel float64) []Action {
	tooSoon := now.Sub(r.lastAction) < l.releaseDelay(r)
	if !tooSoon && r.backoff > 0 && now.Sub(r.lastThrottle) > forgiveDelays*l.releaseDelay(r) {
		r.backoff--
	}
	headroom := math.Log(l.target() / worstLevel)
	spareLoad := maxReleaseLoad - in.Load
	var actions []Action
	for _, t := range throttledTasks(in) {
		harm := maxHarm(in.Victims, t)
		percent := fullSpeed
		if harm >= minRelief {
			percent = min(max(t.Percent, 1)*2, fullSpeed)
		}
		rise := harm * float64(percent-t.Percent) / fullSpeed
		addedLoad := t.ProcessorShare * float64(percent-t.Percent) / fullSpeed
		if rise > headroom || addedLoad > spareLoad || tooSoon && harm >= minRelief {
			break
		}
		headroom -= rise
		spareLoad -= addedLoad
		actions = append(actions, Action{Unthrottle, t.ID, percent, "services are below the limit"})
		if harm >= minRelief {
			r.lastRelease = now
		}
	}
	return actions
}

// throttledTasks returns the throttled tasks ordered by their harm, least
// first.
func throttledTasks(in Worker) []Task {
	list := slices.DeleteFunc(slices.Clone(in.Tasks), func(t Task) bool { return t.Percent >= fullSpeed })
	slices.SortStableFunc(list, func(a, b Task) int {
		return cmp.Or(cmp.Compare(maxHarm(in.Victims, a), maxHarm(in.Victims, b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// maxHarm returns the largest harm that a task does to any service.
func maxHarm(victims []interference.Victim, t Task) float64 {
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
