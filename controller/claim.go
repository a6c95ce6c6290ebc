package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/share"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	urgentInterval = 400 * time.Millisecond // between selections while urgent tasks are queued
	selectInterval = time.Second            // between selections, which look at the whole queue
	reclaim        = 10 * time.Second       // before a task is claimed again
	foreignAge     = 2 * time.Second        // before a task is claimed that another instance should claim
	claimMax       = 256                    // tasks in one Claim record
)

// claim asks for queued tasks that fit the free room, in fair order.
//
// Each queued task has one instance that should claim it, by rendezvous hash,
// so that instances seldom claim the same ones. What that instance has no
// room for is claimed by the others, when they have room left and the task
// has waited for a while. Urgent tasks are in everybody's selection, so that
// all keep the rest of the group's limit free for them.
func (c *Controller) claim(now time.Time) {
	if c.leaving || !c.fresh(now) || !c.out.Settled(c.claimed) || now.Sub(c.selectedAt) < c.selectEvery() {
		return
	}
	c.selectedAt = now
	room := c.room(now)
	c.takeEscrowed(now, room)
	own, foreign := c.queues(now, room)
	choices := c.pick(now, room, own)
	if len(choices) == len(own) {
		choices = append(choices, c.pick(now, room, foreign)...)
	}
	c.preempt(now, room, append(own, foreign...), choices)
	c.claimChosen(now, choices)
}

// selectEvery returns the time between selections, which is shorter while
// urgent tasks wait.
func (c *Controller) selectEvery() time.Duration {
	if c.urgentQueued {
		return urgentInterval
	}
	return selectInterval
}

// queues returns the queued tasks that this instance should claim, and those
// that another one should have claimed by now.
func (c *Controller) queues(now time.Time, room map[string]resource.Vector) (own, foreign []share.Task) {
	live := c.members.Live(c.self.AvailabilityZone)
	c.urgentQueued = false
	for t := range c.State().Queued() {
		if at, ok := c.proposed["claim/"+t.ID]; ok && now.Sub(at) < reclaim {
			continue
		}
		if c.avoidsAll(t, room) {
			continue
		}
		queued := share.Task{
			ID:        t.ID,
			Group:     t.Group,
			Need:      t.Need,
			Urgent:    t.Urgent,
			Submitted: t.Submitted,
			Duration:  t.Duration,
		}
		c.urgentQueued = c.urgentQueued || t.Urgent
		claimer, _ := rendezvous.Pick(t.ID, live)
		switch {
		case claimer == c.self.ID || t.Urgent:
			own = append(own, queued)
		case now.Sub(t.Submitted) >= foreignAge:
			foreign = append(foreign, queued)
		}
	}
	return own, foreign
}

// avoidsAll reports whether a task failed on every worker that has room here,
// so that another instance should claim it.
func (c *Controller) avoidsAll(t zone.Task, room map[string]resource.Vector) bool {
	if len(t.FailedOn) == 0 {
		return false
	}
	for id := range room {
		if !c.avoids(t, id) {
			return false
		}
	}
	return true
}

// pick selects from a queue and takes the room of what it selects.
func (c *Controller) pick(now time.Time, room map[string]resource.Vector, queue []share.Task) []share.Choice {
	if len(queue) == 0 {
		return nil
	}
	in := share.Input{Queue: queue}
	for name, g := range c.State().Groups() {
		in.Groups = append(in.Groups, share.Group{Name: name, Limit: g.Limit, Used: g.Used})
	}
	for _, h := range c.sorted() {
		free, ok := room[h.id]
		if !ok {
			continue
		}
		offer := c.neighbors.planner.Offer(c.candidate(now, h, free))
		if !offer.IsNegative() && !offer.IsZero() {
			in.Workers = append(in.Workers, share.Worker{ID: h.id, Free: offer, Running: c.running(h)})
		}
	}
	choices := c.scheduler.Select(now, in)
	for _, choice := range choices {
		if t, ok := c.State().Task(choice.Task); ok {
			room[choice.Worker] = room[choice.Worker].Sub(t.Need)
		}
	}
	return choices
}

// running returns the batch tasks on a worker, for estimates of when it gets
// free.
func (c *Controller) running(h *holding) []share.Running {
	var all []share.Running
	for _, p := range sortedAssignments(h.tasks) {
		if p.stage == ended {
			continue
		}
		t, _ := c.State().Task(p.id)
		all = append(all, share.Running{Group: t.Group, Need: p.need, Started: p.started, Duration: t.Duration})
	}
	return all
}

// claimChosen writes the Claim record of what was selected.
func (c *Controller) claimChosen(now time.Time, choices []share.Choice) {
	if len(choices) == 0 {
		return
	}
	var ids []string
	for _, choice := range choices[:min(len(choices), claimMax)] {
		c.proposed["claim/"+choice.Task] = now
		c.chosen[choice.Task] = choice.Worker
		ids = append(ids, choice.Task)
	}
	if sequence, ok := c.add(record.Record{Claim: &record.Claim{Tasks: ids}}); ok {
		c.claimed = sequence
	}
}

// takeEscrowed takes the room of escrowed tasks that aren't placed yet.
func (c *Controller) takeEscrowed(now time.Time, room map[string]resource.Vector) {
	for t := range c.State().Escrow(c.self.ID) {
		if c.placed[attemptOf(t)] != nil {
			continue
		}
		if h := c.workerFor(now, room, t); h != nil {
			room[h.id] = room[h.id].Sub(t.Need)
		}
	}
}

// workerFor returns the worker that suits a task, or nil when none has room
// without harm to a service there. The worker that the selection chose is
// taken only when a task fits no other way, since the selection knows of
// sizes alone.
func (c *Controller) workerFor(now time.Time, room map[string]resource.Vector, t zone.Task) *holding {
	id, ok := c.chosen[t.ID]
	if !ok {
		return c.choose(now, room, t)
	}
	free, ok := room[id]
	h := c.holdings[id]
	if ok && t.Need.Fits(free) && len(h.replicas) == 0 && !c.avoids(t, id) {
		return h
	}
	return c.choose(now, room, t)
}
