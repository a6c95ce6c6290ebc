package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// A start without an outcome is stray once its task may be started again: the incarnations
// that were asked since don't have the run and refuse the order, but a later incarnation of
// the worker would carry it out. Stray starts are on record before their tasks are started
// again. The starts that were under way when the earlier owner failed aren't: any task that it
// may have started and that no worker lists may have one, at any worker on record.
//
// A task with a stray start isn't started on another worker while one that the order may reach is
// awaited, that is, until an answer of the worker shows which incarnation there is and what it runs. If
// contact with the worker is lost while the task runs elsewhere, the run is stopped before
// the next incarnation can be up: a crash resets the worker's connections at once, and a
// restart takes half a second.
//
// Workers without a start time have a new ID after a restart, so that no other incarnation
// takes an order to them. They have no stray starts.

// strayStart is a start whose order a later incarnation of a worker may carry out.
type strayStart struct {
	host    string        // ID of the worker, anyHost for each worker that an earlier owner may have ordered
	attempt uint64        // zero if it isn't known
	until   time.Duration // the order can't arrive any more
	assumed bool          // the earlier owner may have given no such order
}

// anyHost stands for the workers that were on record when the owner took the cell.
const anyHost = ""

// strayState tracks the stray starts.
type strayState struct {
	tasks     map[*task]struct{}       // tasks with stray starts
	inherited map[string]struct{}      // IDs of the workers on record when the owner took the cell
	awaited   map[string]time.Duration // by worker ID, when the answer that is waited for is made at the earliest
	count     int                      // IDs that are both inherited and awaited
}

// awaitInherited awaits the workers on record until the orders of the earlier owner have
// arrived or were given up. An owner that left in order has waited for their outcomes.
func (c *Cell) awaitInherited(hosts map[string]provider.Host) {
	if c.self.Settled {
		return
	}
	for id, h := range hosts {
		if h.StartedAt != 0 {
			c.strays.inherited[id] = struct{}{}
			c.await(id, c.ownedSince+maxOrderDelay)
		}
	}
}

// inheritStart marks a task that becomes ready if an earlier owner may have started it: before
// the survey is complete, or with an occurrence that was due when the owner took the cell.
func (c *Cell) inheritStart(t *task) {
	s := t.step
	if !s.job.inherited || len(c.strays.inherited) == 0 || c.recordsStarts && s.recordsStarts() {
		return
	}
	wasDue := s.round.openedAt > c.ownedSince && len(s.spec.After) == 0 && t.attempt == 0
	if c.now < c.ownedSince+maxOrderDelay && (!c.survey.done || wasDue) {
		c.addStray(t, strayStart{host: anyHost, until: c.ownedSince + c.timing.MaxOrderAge, assumed: true})
	}
}

// foundStart drops the stray start that a worker lists. It is the one that was assumed, unless
// another one to that worker is on record.
func (c *Cell) foundStart(t *task, host string, attempt uint64) {
	recorded := slices.ContainsFunc(t.strays, func(s strayStart) bool { return !s.assumed && s.attempt == 0 && s.host == host })
	t.strays = slices.DeleteFunc(t.strays, func(s strayStart) bool {
		return s.attempt == attempt || s.assumed && !recorded && (s.host == host || s.host == anyHost)
	})
}

// restoreStrays restores the stray starts of a task from the record. Those of an owner that left
// with its starts settled are out of date.
func (c *Cell) restoreStrays(t *task) {
	if c.self.Settled {
		return
	}
	for _, host := range t.step.job.progress.Strays(t.id) {
		c.addStray(t, strayStart{host: host, until: c.ownedSince + c.timing.MaxOrderAge})
	}
}

// saveStrays puts the stray starts of a task on record.
func (c *Cell) saveStrays(t *task) {
	j := t.step.job
	for _, s := range t.strays {
		if j.progress.AddStray(t.id, s.host) {
			c.writer.markDirty(j)
			t.strayChange = j.changeCount
			j.lastStartChange = j.changeCount
		}
	}
}

// saveAssumedStrays puts the assumed stray starts on record once all workers were asked.
func (c *Cell) saveAssumedStrays() {
	for _, t := range c.sortedStrays() {
		c.saveStrays(t)
	}
}

// recordStray records that the start of a run without an outcome is stray.
func (c *Cell) recordStray(r *run) {
	if r.task == nil || r.listed || r.accepted || r.unsent || r.worker.startedAt == 0 {
		return
	}
	c.addStray(r.task, strayStart{host: r.worker.host.ID, attempt: r.attempt, until: r.orderedAt + c.timing.MaxOrderAge})
	c.saveStrays(r.task)
}

func (c *Cell) addStray(t *task, s strayStart) {
	if t.step.spec.AllowsCopies || t.done || slices.Contains(t.strays, s) {
		return
	}
	t.strays = append(t.strays, s)
	c.strays.tasks[t] = struct{}{}
}

// await awaits a worker's answer that was made at the given time or later.
func (c *Cell) await(id string, from time.Duration) {
	if _, awaited := c.strays.awaited[id]; !awaited && c.isInherited(id) {
		c.strays.count++
	}
	c.strays.awaited[id] = from
}

// awaitIfExposed awaits the next answer of a worker that may have restarted.
func (c *Cell) awaitIfExposed(id string) {
	if c.isExposed(id) {
		c.await(id, c.now)
	}
}

// endAwait ends the wait for a worker's answer, because it came or the ID is gone.
func (c *Cell) endAwait(id string) {
	if _, awaited := c.strays.awaited[id]; !awaited {
		return
	}
	delete(c.strays.awaited, id)
	if c.isInherited(id) {
		c.strays.count--
	}
	for t := range c.strays.tasks {
		t.step.lastFailedPass = 0
	}
	c.needsDispatch = true
}

func (c *Cell) isInherited(id string) bool {
	_, inherited := c.strays.inherited[id]
	return inherited
}

// mayReach reports whether the order of a stray start may still reach a worker.
func (c *Cell) mayReach(s strayStart, id string) bool {
	return c.now < s.until && (s.host == id || s.host == anyHost && c.isInherited(id))
}

// isExposed reports whether the order of any stray start may reach a worker.
func (c *Cell) isExposed(id string) bool {
	for t := range c.strays.tasks {
		if slices.ContainsFunc(t.strays, func(s strayStart) bool { return c.mayReach(s, id) }) {
			return true
		}
	}
	return false
}

// isHeldBack reports whether a task isn't started because a worker is awaited that may have
// carried out a stray start, or because its stray starts aren't on record yet.
func (c *Cell) isHeldBack(t *task) bool {
	return t.strayChange > t.step.job.savedChanges || slices.ContainsFunc(t.strays, c.isAwaited) || c.awaitsLastWorker(t)
}

// strayWorker returns the worker that all stray starts of a task went to, nil if there is none or it
// hasn't answered. The task may be started there at once: the incarnation that answered refuses the
// stray starts, and a later one only carries them out when the new run has ended with this one,
// unless the new start is late too and reaches that one.
func (c *Cell) strayWorker(t *task) *worker {
	if len(t.strays) == 0 || t.strayChange > t.step.job.savedChanges || c.awaitsLastWorker(t) {
		return nil
	}
	for _, s := range t.strays {
		if s.host == anyHost || s.host != t.strays[0].host {
			return nil
		}
	}
	if w := c.workers[t.strays[0].host]; w != nil && w.answered {
		return w
	}
	return nil
}

// isAwaited reports whether a worker is awaited that a stray start may have reached.
func (c *Cell) isAwaited(s strayStart) bool {
	if s.host == anyHost {
		return c.strays.count > 0
	}
	_, awaited := c.strays.awaited[s.host]
	return awaited
}

// handleContactLost stops the runs whose tasks the next incarnation of a worker may start, as
// the worker may be down, and awaits the worker.
func (c *Cell) handleContactLost(id string) {
	if !c.isExposed(id) {
		return
	}
	if _, awaited := c.strays.awaited[id]; !awaited {
		c.await(id, c.now)
	}
	stopped := 0
	for _, t := range c.sortedStrays() {
		if slices.ContainsFunc(t.strays, func(s strayStart) bool { return c.mayReach(s, id) }) && c.stopElsewhere(t, id) {
			stopped++
		}
	}
	c.logEvent("contact lost", "worker", id, "stray_starts", len(c.strays.tasks), "stopped", stopped)
}

// stopElsewhere stops a task's run on another worker than the given one. Lasting tasks that
// their step can't miss go on.
func (c *Cell) stopElsewhere(t *task, id string) bool {
	r := t.run
	if r == nil || r.worker.host.ID == id || r.state.isEnding() || t.step.spec.Lasting && !t.step.canMiss(r) {
		return false
	}
	c.stopRun(r, "an earlier start may be carried out elsewhere")
	return true
}

func (c *Cell) sortedStrays() []*task {
	return slices.SortedFunc(func(yield func(*task) bool) {
		for t := range c.strays.tasks {
			if !yield(t) {
				return
			}
		}
	}, func(a, b *task) int { return cmp.Compare(a.name, b.name) })
}

// handleAnswer ends the wait for a worker that has answered with all of its ends.
func (c *Cell) handleAnswer(w *worker) {
	if from, awaited := c.strays.awaited[w.host.ID]; awaited && !w.moreEnded && w.answeredAt >= from {
		c.endAwait(w.host.ID)
	}
}

// endUnlistedAwaits ends the wait for silent workers whose entries have expired.
func (c *Cell) endUnlistedAwaits() {
	for id, from := range inOrder(c.strays.awaited) {
		w := c.workers[id]
		if w != nil && (w.listed || w.missedHolds == 0) || c.hosts.has(id) {
			continue
		}
		if c.hosts.received && c.hosts.latest.AsOf >= from+c.timing.UnlistedGrace {
			c.endAwait(id)
		}
	}
}

// dropStrays drops a task's stray starts, also from the record: the next owner would take them
// for new ones.
func (c *Cell) dropStrays(t *task) {
	t.strays = nil
	t.step.lastFailedPass = 0
	delete(c.strays.tasks, t)
	if j := t.step.job; !j.final() && j.progress.DropStrays(t.id) {
		c.writer.markDirty(j)
	}
}

// expireStrays drops the stray starts whose orders can't arrive any more. An awaited worker
// may have carried them out under the longest lease.
func (c *Cell) expireStrays() {
	lease := c.timing.stretch(c.timing.MaxLease)
	for t := range c.strays.tasks {
		t.strays = slices.DeleteFunc(t.strays, func(s strayStart) bool {
			return c.hasPassed(s.until+lease) || c.now >= s.until && !c.isAwaited(s)
		})
		if len(t.strays) == 0 || t.done || t.step.job.final() {
			c.dropStrays(t)
		}
	}
}
