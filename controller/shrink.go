package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// shrinkInterval is the time between looks for groups above their limits.
const shrinkInterval = time.Second

// shrink evicts the tasks by which a group exceeds its limit.
//
// What goes wrong: a group's share is made smaller while its tasks run, and
// it keeps what it had until they end, which may be days. One would notice
// other groups waiting below their shares. Every instance finds the same tasks
// above the limit, the youngest ones, and evicts those that it runs.
func (c *Controller) shrink(now time.Time) {
	if now.Sub(c.shrunkAt) < shrinkInterval {
		return
	}
	c.shrunkAt = now
	for name, g := range c.State().Groups() {
		if g.Used.Fits(g.Limit) {
			continue
		}
		for _, t := range c.above(name, g.Limit) {
			h := c.placed[attemptOf(t)]
			if h == nil || h.phase != adopted || !c.mine(t) {
				continue
			}
			if p := h.tasks[t.ID]; p != nil && p.stage == running {
				p.stage = stopping
				c.log(Info, "evict above share", "worker", h.id, "task", t.ID, "group", name)
				c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: t.ID, Checkpoint: true})
			}
		}
	}
}

// above returns the escrowed tasks of a group that don't fit its limit beside
// those submitted before them.
func (c *Controller) above(group string, limit resource.Vector) []zone.Task {
	var all []zone.Task
	for t := range c.State().Active() {
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
