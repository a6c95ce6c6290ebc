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
	preemptInterval = 3 * time.Second // before room is made again for the same task
	preemptMost     = 16              // urgent tasks that room is made for in one selection
)

// preempt makes room for urgent tasks that the selection found none for.
//
// What goes wrong: every worker is full of long tasks, and an urgent task
// waits for the first to end. One would notice it queued for minutes. The
// tasks that lose the least work since their checkpoint are evicted instead.
// Where the group's limit is what lacks, they are tasks of the same group.
func (c *Controller) preempt(now time.Time, room map[string]resource.Vector, queue []share.Task, choices []share.Choice) {
	chosen := make(map[string]bool)
	for _, choice := range choices {
		chosen[choice.Task] = true
	}
	made := 0
	for _, t := range queue {
		if !t.Urgent || chosen[t.ID] || made == preemptMost || !c.mayPreempt(now, t) {
			continue
		}
		if at, ok := c.proposed["preempt/"+t.ID]; ok && now.Sub(at) < preemptInterval {
			continue
		}
		if c.makeRoomFor(now, room, t) {
			c.proposed["preempt/"+t.ID] = now
			made++
		}
	}
}

// mayPreempt reports whether this instance should make room for a task: the
// one that should claim it at once, the others when it has waited.
func (c *Controller) mayPreempt(now time.Time, t share.Task) bool {
	claimer, _ := rendezvous.Pick(t.ID, c.members.Live(c.self.AvailabilityZone))
	return claimer == c.self.ID || now.Sub(t.Submitted) >= foreignAge
}

// makeRoomFor evicts the cheapest tasks on one worker that let t start there.
func (c *Controller) makeRoomFor(now time.Time, room map[string]resource.Vector, t share.Task) bool {
	g := c.State().Group(t.Group)
	limit := g.Limit.Sub(g.Used)
	var best []victim
	var on *holding
	lost := time.Duration(-1)
	for _, id := range sortedKeys(room) {
		candidate := c.candidate(now, c.holdings[id], room[id])
		if !c.neighbors.planner.Open(candidate) {
			continue
		}
		victims, sum, ok := c.victims(now, c.holdings[id], c.neighbors.planner.Offer(candidate), limit, t)
		if ok && (lost < 0 || sum < lost) {
			best, on, lost = victims, c.holdings[id], sum
		}
	}
	if on == nil {
		return false
	}
	for _, v := range best {
		v.a.stage = stopping
		c.call(on, Call{Verb: Stop, Epoch: on.epoch, Task: v.a.id, Checkpoint: true})
	}
	delete(room, on.id)
	c.log(Info, "preempted", "worker", on.id, "for", t.ID, "evicted", len(best), "lost", lost.String())
	return true
}

// victim is a running task that may be evicted.
type victim struct {
	a     *assignment
	group string
	lost  time.Duration // work since its checkpoint
}

// victims returns the tasks to evict from a worker so that t fits it and its
// group's limit, and the work that is lost.
func (c *Controller) victims(now time.Time, h *holding, free, limit resource.Vector, t share.Task) ([]victim, time.Duration, bool) {
	overLimit := !t.Need.Fits(limit)
	var taken []victim
	var sum time.Duration
	for _, v := range c.evictable(now, h) {
		if t.Need.Fits(free) && t.Need.Fits(limit) {
			break
		}
		if overLimit && v.group != t.Group {
			continue
		}
		free = free.Add(v.a.need)
		if v.group == t.Group {
			limit = limit.Add(v.a.need)
		}
		taken = append(taken, v)
		sum += v.lost
	}
	return taken, sum, len(taken) > 0 && t.Need.Fits(free) && t.Need.Fits(limit)
}

// evictable returns the tasks on a worker that aren't urgent, those with the
// least work since their checkpoint first.
func (c *Controller) evictable(now time.Time, h *holding) []victim {
	var all []victim
	for _, a := range sortedAssignments(h.tasks) {
		t, ok := c.State().Task(a.id)
		if !ok || a.stage != running || t.Urgent || t.State != zone.Escrowed {
			continue
		}
		lost := now.Sub(a.started)
		if n := h.noted[a.id]; n != nil {
			lost = now.Sub(n.since)
		}
		all = append(all, victim{a, t.Group, lost})
	}
	slices.SortStableFunc(all, func(x, y victim) int { return cmp.Compare(x.lost, y.lost) })
	return all
}
