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
	urgentInterval  = 400 * time.Millisecond // between selections while urgent tasks are queued
	normalInterval  = time.Second            // between other selections, each of which scans the whole queue
	reclaimInterval = 10 * time.Second       // before the same task is claimed again
	foreignClaimAge = 2 * time.Second        // age of a task at which instances other than its designated claimer claim it
	maxClaimTasks   = 256                    // tasks in one Claim record
)

// claimTasks claims queued tasks that fit the free capacity, in fair-share
// order.
//
// Rendezvous hashing designates one instance to claim each task, so that
// instances seldom claim the same task. A task for which that instance has no
// capacity is claimed by the others once it has waited for foreignClaimAge,
// after they have claimed all their own. Urgent tasks take part in every
// instance's selection, so that all instances keep the rest of the group's
// limit free for them.
func (c *Controller) claimTasks(now time.Time) {
	if c.leaving || !c.isFresh(now) || !c.appender.IsSettled(c.claimSequence) || now.Sub(c.lastSelection) < c.selectionInterval() {
		return
	}
	c.lastSelection = now
	free := c.freeCapacity(now)
	c.reserveForEscrowed(now, free)
	own, foreign := c.splitQueue(now, free)
	choices := c.selectTasks(now, free, own)
	if len(choices) == len(own) {
		choices = append(choices, c.selectTasks(now, free, foreign)...)
	}
	c.preempt(now, free, append(own, foreign...), choices)
	c.appendClaim(now, choices)
}

// selectionInterval returns the time between selections, which is shorter
// while urgent tasks wait.
func (c *Controller) selectionInterval() time.Duration {
	if c.urgentQueued {
		return urgentInterval
	}
	return normalInterval
}

// splitQueue returns the queued tasks that this instance should claim,
// including all urgent ones, and those that another instance should have
// claimed by now.
func (c *Controller) splitQueue(now time.Time, free map[string]resource.Vector) (own, foreign []share.Task) {
	live := c.members.Live(c.self.AvailabilityZone)
	c.urgentQueued = false
	for t := range c.State().QueuedTasks() {
		if at, ok := c.proposedAt["claim/"+t.ID]; ok && now.Sub(at) < reclaimInterval {
			continue
		}
		if c.avoidsAllWorkers(t, free) {
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
		case now.Sub(t.Submitted) >= foreignClaimAge:
			foreign = append(foreign, queued)
		}
	}
	return own, foreign
}

// avoidsAllWorkers reports whether a task failed on every worker with free
// capacity here, so that another instance should claim it.
func (c *Controller) avoidsAllWorkers(t zone.Task, free map[string]resource.Vector) bool {
	if len(t.FailedOn) == 0 {
		return false
	}
	for id := range free {
		if !c.shouldAvoid(t, id) {
			return false
		}
	}
	return true
}

// selectTasks selects tasks from a queue and deducts their needs from the free
// capacity.
func (c *Controller) selectTasks(now time.Time, free map[string]resource.Vector, queue []share.Task) []share.Choice {
	if len(queue) == 0 {
		return nil
	}
	in := share.Input{Queue: queue}
	for name, g := range c.State().Groups() {
		in.Groups = append(in.Groups, share.Group{Name: name, Limit: g.Limit, Used: g.Used})
	}
	for _, w := range c.sortedWorkers() {
		available, ok := free[w.id]
		if !ok {
			continue
		}
		offer := c.colocation.planner.BatchCapacity(c.placementCandidate(now, w, available))
		if !offer.IsNegative() && !offer.IsZero() {
			in.Workers = append(in.Workers, share.Worker{ID: w.id, Free: offer, Running: c.runningTasks(w)})
		}
	}
	choices := c.scheduler.Select(now, in)
	for _, choice := range choices {
		if t, ok := c.State().Task(choice.Task); ok {
			free[choice.Worker] = free[choice.Worker].Sub(t.Need)
		}
	}
	return choices
}

// runningTasks returns the batch tasks on a worker, which the scheduler needs
// to estimate when capacity becomes free.
func (c *Controller) runningTasks(w *worker) []share.Running {
	var all []share.Running
	for _, a := range sortedAssignments(w.tasks) {
		if a.stage == ended {
			continue
		}
		t, _ := c.State().Task(a.id)
		all = append(all, share.Running{Group: t.Group, Need: a.need, Started: a.startedAt, Duration: t.Duration})
	}
	return all
}

// appendClaim appends a Claim record for the selected tasks.
func (c *Controller) appendClaim(now time.Time, choices []share.Choice) {
	if len(choices) == 0 {
		return
	}
	var ids []string
	for _, choice := range choices[:min(len(choices), maxClaimTasks)] {
		c.proposedAt["claim/"+choice.Task] = now
		c.selectedWorkers[choice.Task] = choice.Worker
		ids = append(ids, choice.Task)
	}
	if sequence, ok := c.appendRecord(record.Record{Claim: &record.Claim{Tasks: ids}}); ok {
		c.claimSequence = sequence
	}
}

// reserveForEscrowed deducts the needs of escrowed tasks that aren't assigned
// to a worker yet.
func (c *Controller) reserveForEscrowed(now time.Time, free map[string]resource.Vector) {
	for t := range c.State().Escrow(c.self.ID) {
		if c.workerByAttempt[attemptOf(t)] != nil {
			continue
		}
		if w := c.chooseWorkerForEscrowed(now, free, t); w != nil {
			free[w.id] = free[w.id].Sub(t.Need)
		}
	}
}

// chooseWorkerForEscrowed returns the worker for an escrowed task, or nil when
// none has capacity without harm to its services. The selected worker is used
// directly only when it runs no replicas, since the selection considers only
// sizes.
func (c *Controller) chooseWorkerForEscrowed(now time.Time, free map[string]resource.Vector, t zone.Task) *worker {
	id, ok := c.selectedWorkers[t.ID]
	if !ok {
		return c.chooseWorker(now, free, t)
	}
	available, ok := free[id]
	w := c.workers[id]
	if ok && t.Need.Fits(available) && len(w.replicas) == 0 && !c.shouldAvoid(t, id) {
		return w
	}
	return c.chooseWorker(now, free, t)
}
