package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/share"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	preemptInterval = 3 * time.Second // before tasks are preempted again for the same task
	maxPreemptions  = 16              // urgent tasks per selection for which others are preempted
)

// preempt evicts running tasks for urgent tasks that the selection found no
// capacity for. Otherwise an urgent task waits, when every worker is full of
// long tasks, for minutes until the first one ends. The tasks that lose the
// least work since their checkpoint are evicted; where the group's limit is
// exhausted, they are tasks of the same group.
func (c *Controller) preempt(now time.Time, free map[string]resource.Vector, queue []share.Task, choices []share.Choice) {
	chosen := make(map[string]bool)
	for _, choice := range choices {
		chosen[choice.Task] = true
	}
	count := 0
	for _, t := range queue {
		if !t.Urgent || chosen[t.ID] || count == maxPreemptions || !c.mayPreempt(now, t) {
			continue
		}
		if at, ok := c.proposedAt["preempt/"+t.ID]; ok && now.Sub(at) < preemptInterval {
			continue
		}
		if c.evictForUrgent(now, free, t) {
			c.proposedAt["preempt/"+t.ID] = now
			count++
		}
	}
}

// mayPreempt reports whether this instance should preempt for a task: the
// designated claimer does so at once, the others when the task has waited for
// foreignClaimAge.
func (c *Controller) mayPreempt(now time.Time, t share.Task) bool {
	claimer, _ := rendezvous.Pick(t.ID, c.members.Live(c.self.AvailabilityZone))
	return claimer == c.self.ID || now.Sub(t.Submitted) >= foreignClaimAge
}

// evictForUrgent evicts tasks from the one worker where starting t loses the
// least work, and reports whether there is such a worker.
func (c *Controller) evictForUrgent(now time.Time, free map[string]resource.Vector, t share.Task) bool {
	g := c.State().Group(t.Group)
	limit := g.Limit.Sub(g.Used)
	var bestVictims []victim
	var target *worker
	leastLost := time.Duration(-1)
	for _, id := range sortedKeys(free) {
		candidate := c.placementCandidate(now, c.workers[id], free[id])
		if !c.colocation.planner.AcceptsBatch(candidate) {
			continue
		}
		victims, sum, ok := c.selectVictims(now, c.workers[id], c.colocation.planner.BatchCapacity(candidate), limit, t)
		if ok && (leastLost < 0 || sum < leastLost) {
			bestVictims, target, leastLost = victims, c.workers[id], sum
		}
	}
	if target == nil {
		return false
	}
	for _, v := range bestVictims {
		v.assignment.stage = stopping
		c.enqueueCall(target, Call{Verb: Stop, Epoch: target.epoch, Task: v.assignment.id, Checkpoint: true})
	}
	delete(free, target.id)
	c.logEvent(Info, "preempted", "worker", target.id, "for", t.ID, "evicted", len(bestVictims), "lost", leastLost.String())
	return true
}

// victim is a running task that may be evicted.
type victim struct {
	assignment *assignment
	group      string
	lostWork   time.Duration // work since its last checkpoint
}

// selectVictims returns the tasks to evict from a worker so that t fits it and
// its group's limit, and the total work lost.
func (c *Controller) selectVictims(now time.Time, w *worker, free, limit resource.Vector, t share.Task) ([]victim, time.Duration, bool) {
	overLimit := !t.Need.Fits(limit)
	var taken []victim
	var sum time.Duration
	for _, v := range c.evictableTasks(now, w) {
		if t.Need.Fits(free) && t.Need.Fits(limit) {
			break
		}
		if overLimit && v.group != t.Group {
			continue
		}
		free = free.Add(v.assignment.need)
		if v.group == t.Group {
			limit = limit.Add(v.assignment.need)
		}
		taken = append(taken, v)
		sum += v.lostWork
	}
	return taken, sum, len(taken) > 0 && t.Need.Fits(free) && t.Need.Fits(limit)
}

// evictableTasks returns the tasks on a worker that aren't urgent, ordered by
// the work since their checkpoint, least first.
func (c *Controller) evictableTasks(now time.Time, w *worker) []victim {
	var all []victim
	for _, a := range sortedAssignments(w.tasks) {
		t, ok := c.State().Task(a.id)
		if !ok || a.stage != running || t.Urgent || t.State != zone.Escrowed {
			continue
		}
		lost := now.Sub(a.startedAt)
		if tracked := w.tracked[a.id]; tracked != nil {
			lost = now.Sub(tracked.checkpointAt)
		}
		all = append(all, victim{a, t.Group, lost})
	}
	slices.SortStableFunc(all, func(x, y victim) int { return cmp.Compare(x.lostWork, y.lostWork) })
	return all
}
