package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// limitCheckInterval is the time between checks for groups above their limits.
const limitCheckInterval = time.Second

// enforceLimits evicts the tasks by which a group exceeds its limit. When a
// group's share is reduced while its tasks run, it would otherwise keep the
// capacity until they end, maybe for days, while other groups wait below their
// shares. Every instance finds the same tasks above the limit, the youngest
// ones, and evicts those that it runs.
func (c *Controller) enforceLimits(now time.Time) {
	if now.Sub(c.lastLimitCheck) < limitCheckInterval {
		return
	}
	c.lastLimitCheck = now
	for name, g := range c.State().Groups() {
		if g.Used.Fits(g.Limit) {
			continue
		}
		for _, t := range c.tasksOverLimit(name, g.Limit) {
			w := c.workerByAttempt[attemptOf(t)]
			if w == nil || w.phase != adopted || !c.isOwnEscrow(t) {
				continue
			}
			if a := w.tasks[t.ID]; a != nil && a.stage == running {
				a.stage = stopping
				c.logEvent(Info, "evicted above group limit", "worker", w.id, "task", t.ID, "group", name)
				c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: t.ID, Checkpoint: true})
			}
		}
	}
}

// tasksOverLimit returns the escrowed tasks of a group that don't fit its
// limit beside those submitted before them.
func (c *Controller) tasksOverLimit(group string, limit resource.Vector) []zone.Task {
	var all []zone.Task
	for t := range c.State().LiveTasks() {
		if t.Group == group && t.State == zone.Escrowed {
			all = append(all, t)
		}
	}
	slices.SortStableFunc(all, func(a, b zone.Task) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	var sum resource.Vector
	var over []zone.Task
	for _, t := range all {
		if next := sum.Add(t.Need); next.Fits(limit) {
			sum = next
			continue
		}
		over = append(over, t)
	}
	return over
}
