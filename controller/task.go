package controller

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// returnAfter is how long an escrowed task may wait for capacity before it is
// returned to the queue.
const returnAfter = 2 * time.Second

// refusedStartPause is how long no task is started on a worker that refused a
// start.
const refusedStartPause = 10 * time.Second

// handleRenewed handles the answer to a renewal, which lists the worker's
// tasks.
func (c *Controller) handleRenewed(now time.Time, w *worker, in Leased) {
	if in.Lease.Epoch != w.epoch || !c.leases.RecordGrant(in.Sent, w.id, in.Lease) {
		return
	}
	w.unansweredRenewals = 0
	c.routesDirty = true
	c.syncReplicas(w, in.Lease.Tasks)
	missing := c.reconcileTasks(now, w, in.Lease.Tasks)
	if c.State() == nil {
		return // stale tasks can't be told apart until the lost state is recovered
	}
	if !c.isOwnershipRecorded(w) {
		c.restoreOwnership(now, w, in.Lease.Tasks)
		return
	}
	if w.phase == granted {
		return
	}
	for _, a := range missing {
		c.handleMissingTask(now, w, a)
	}
	c.updateEstimator(now, w)
	c.stopStaleTasks(w)
	c.confirmOwnership(w)
}

// isOwnershipRecorded reports whether the log has the worker's current epoch,
// or its Own record is still in flight.
func (c *Controller) isOwnershipRecorded(w *worker) bool {
	if !c.follower.Ready() || w.phase == granted && w.ownSequence != 0 {
		return true
	}
	recorded, ok := c.State().Worker(w.id)
	return w.phase == adopted && ok && recorded.Owner == c.self.ID && recorded.Incarnation == c.self.Incarnation && recorded.Epoch == w.epoch
}

// restoreOwnership appends the Own record if that was never done. If it was
// appended and isn't in force, the lease is acquired again.
func (c *Controller) restoreOwnership(now time.Time, w *worker, tasks []provider.TaskStatus) {
	if w.phase == granted && !w.ownAppended {
		c.appendOwn(w, tasks)
		return
	}
	c.reacquire(now, w)
}

// reconcileTasks updates the assignments from the list of tasks that the
// worker holds, and returns the assignments that the worker doesn't hold.
func (c *Controller) reconcileTasks(now time.Time, w *worker, tasks []provider.TaskStatus) []*assignment {
	held := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		if t.Kind != provider.KindBatch {
			continue
		}
		held[t.ID] = true
		a, ok := w.tasks[t.ID]
		if !ok || a.attempt != t.Attempt {
			c.unassign(w, t.ID)
			a = &assignment{id: t.ID, attempt: t.Attempt, need: t.Need, startedAt: now}
			c.assign(w, a)
		}
		a.spec.Checkpoint = t.Checkpoint
		a.stage = stageOf(t.State, a.stage)
		if w.phase == adopted {
			c.appendTaskEnd(w, t)
		}
	}
	var missing []*assignment
	for _, a := range sortedAssignments(w.tasks) {
		if !held[a.id] {
			missing = append(missing, a)
		}
	}
	return missing
}

func stageOf(s provider.TaskState, before stage) stage {
	if s != provider.TaskRunning {
		return ended
	}
	if before == stopping {
		return stopping
	}
	return running
}

// appendTaskEnd records how an attempt ended, once per attempt.
func (c *Controller) appendTaskEnd(w *worker, t provider.TaskStatus) {
	attempt := record.Attempt{Task: t.ID, Number: t.Attempt}
	if t.State == provider.TaskRunning || !c.isCurrent(attempt) {
		return
	}
	switch t.State {
	case provider.TaskDone:
		c.appendAttemptEnd(attempt, record.Record{Done: &record.Done{Attempt: attempt, Worker: w.id, Result: t.Result}})
	case provider.TaskFailed:
		c.appendAttemptEnd(attempt, record.Record{Failed: &record.Failed{Attempt: attempt, Worker: w.id, Reason: t.Reason}})
	case provider.TaskStopped:
		c.appendAttemptEnd(attempt, record.Record{Evicted: &record.Evicted{Attempt: attempt, Worker: w.id, Checkpoint: t.Checkpoint}})
	}
}

// appendAttemptEnd appends a record that ends an attempt unless one is in
// flight.
func (c *Controller) appendAttemptEnd(attempt record.Attempt, r record.Record) {
	if c.isEnding(attempt) {
		return
	}
	if sequence, ok := c.appendRecord(r); ok {
		c.pendingEnds[attempt.Task] = pendingEnd{attempt.Number, sequence}
	}
}

// pendingEnd is a record that ends an attempt and isn't read back yet.
type pendingEnd struct {
	attempt  uint32
	sequence uint64
}

// isEnding reports whether a record that ends an attempt is in flight.
func (c *Controller) isEnding(attempt record.Attempt) bool {
	r, ok := c.pendingEnds[attempt.Task]
	return ok && r.attempt == attempt.Number
}

// isCurrent reports whether an attempt is the recorded one in this instance's
// escrow.
func (c *Controller) isCurrent(attempt record.Attempt) bool {
	s := c.State()
	if s == nil {
		return false
	}
	t, ok := s.Task(attempt.Task)
	return ok && c.isOwnEscrow(t) && t.Attempt == attempt.Number
}

func (c *Controller) isOwnEscrow(t zone.Task) bool {
	return t.State == zone.Escrowed && t.Owner == c.self.ID && t.Incarnation == c.self.Incarnation
}

// stopStaleTasks stops attempts on a worker that aren't current, and
// acknowledges results that are recorded. A task may have been queued again or
// cancelled while the worker kept running an old attempt; stopping it here,
// before any task lease on the worker is extended, keeps the task from running
// twice.
func (c *Controller) stopStaleTasks(w *worker) {
	if w.phase != adopted {
		return
	}
	var acknowledge []string
	for _, a := range sortedAssignments(w.tasks) {
		attempt := record.Attempt{Task: a.id, Number: a.attempt}
		switch {
		case a.stage == ended && !c.isEnding(attempt) && !c.isCurrent(attempt):
			acknowledge = append(acknowledge, a.id)
		case a.stage == running && (!c.isCurrent(attempt) || c.isCancelling(a.id)):
			a.stage = stopping
			c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: a.id})
		}
	}
	if len(acknowledge) > 0 {
		c.enqueueCall(w, Call{Verb: Acknowledge, Epoch: w.epoch, Tasks: acknowledge})
	}
}

func (c *Controller) isCancelling(id string) bool {
	t, ok := c.State().Task(id)
	return ok && t.Cancelling
}

// handleMissingTask resolves an assignment that the worker doesn't hold.
func (c *Controller) handleMissingTask(now time.Time, w *worker, a *assignment) {
	attempt := record.Attempt{Task: a.id, Number: a.attempt}
	if !c.isCurrent(attempt) {
		c.unassign(w, a.id)
		return
	}
	if a.stage == starting && w.hasQueuedCall(Start, a.id) {
		return // not sent yet
	}
	if a.stage == starting && !c.isFresh(now) {
		return // another instance may have started the task on another worker
	}
	if a.stage == starting {
		c.enqueueCall(w, Call{Verb: Start, Epoch: w.epoch, Spec: a.spec}) // the answer to the first start was lost
		return
	}
	c.appendAttemptEnd(attempt, record.Record{Evicted: &record.Evicted{Attempt: attempt, Worker: w.id, Checkpoint: a.spec.Checkpoint}})
}

// hasQueuedCall reports whether a call for a task is queued.
func (w *worker) hasQueuedCall(v Verb, task string) bool {
	return slices.ContainsFunc(w.callQueue, func(q Call) bool { return q.Verb == v && (q.Task == task || q.Spec.ID == task) })
}

// assign records that an attempt is on a worker.
func (c *Controller) assign(w *worker, a *assignment) {
	w.tasks[a.id] = a
	c.workerByAttempt[record.Attempt{Task: a.id, Number: a.attempt}] = w
}

func (c *Controller) unassign(w *worker, id string) {
	a, ok := w.tasks[id]
	if !ok {
		return
	}
	delete(w.tasks, id)
	attempt := record.Attempt{Task: id, Number: a.attempt}
	if c.workerByAttempt[attempt] == w {
		delete(c.workerByAttempt, attempt)
	}
}

func attemptOf(t zone.Task) record.Attempt {
	return record.Attempt{Task: t.ID, Number: t.Attempt}
}

// handleCallAnswer handles the answer to any call that isn't about the lease
// itself, and to Release.
func (c *Controller) handleCallAnswer(now time.Time, in Called) {
	w, ok := c.workers[in.Worker]
	if !ok {
		return
	}
	w.callInFlight = false
	switch {
	case in.Verb == Release:
		w.phase = unowned
		w.retryAt = now.Add(c.timing.WorkerLease)
		c.leases.Drop(w.id)
	case fault.Is(in.Err, fault.StaleEpoch):
		c.handleLeaseFailure(now, w, in.Err)
	case in.Verb == Start:
		c.handleStartAnswer(now, w, in)
	case in.Verb == Stop && in.Err != nil:
		c.handleStopFailed(w, in.Task)
	case in.Verb == Stop:
		c.renewLease(now, w) // the answer shows how the task ended and frees its capacity at once
	case in.Verb == Acknowledge && in.Err == nil:
		c.handleAcknowledged(w)
	}
	c.sendNextCall(w)
}

// handleStartAnswer handles the answer to a start.
//
// A start without an answer may take effect late. If a repeated start is
// refused and the task is assigned elsewhere, the late one would run the same
// attempt a second time here. After an unanswered start a refusal is therefore
// not trusted: the lease is acquired again, and its new epoch fences the late
// call before the attempt is given up. The same goes for a repeated start that
// is accepted: the late one would run the attempt again once it has ended.
func (c *Controller) handleStartAnswer(now time.Time, w *worker, in Called) {
	c.handleReplicaStarted(w, in)
	a, ok := w.tasks[in.Task]
	if !ok || a.attempt != in.Attempt {
		return
	}
	w.lastExtension = now
	switch {
	case in.Err == nil && a.startUnanswered:
		a.stage = running
		c.reacquire(now, w)
	case in.Err == nil:
		a.stage = running
	case fault.KindOf(in.Err).Answer().Ran != fault.NotRun:
		a.startUnanswered = true
	case a.startUnanswered:
		c.reacquire(now, w)
	case !fault.Is(in.Err, fault.Unavailable):
		c.logEvent(Info, "start refused", "worker", w.id, "task", in.Task, "error", in.Err.Error())
		c.unassign(w, in.Task)
		if !fault.Is(in.Err, fault.Conflict) { // the worker still keeps an earlier attempt's result
			w.noStartUntil = now.Add(refusedStartPause)
		}
	}
}

// handleStopFailed marks a task as running again so that the stop is retried.
func (c *Controller) handleStopFailed(w *worker, task string) {
	if a, ok := w.tasks[task]; ok && a.stage == stopping {
		a.stage = running
	}
	for _, a := range w.replicas {
		if a.id == task && a.stage == stopping {
			a.stage = running
		}
	}
}

// handleAcknowledged removes the assignments whose end is recorded.
func (c *Controller) handleAcknowledged(w *worker) {
	for _, a := range sortedAssignments(w.tasks) {
		if a.stage == ended && !c.isCurrent(record.Attempt{Task: a.id, Number: a.attempt}) {
			c.unassign(w, a.id)
		}
	}
}

// startEscrowedTasks starts the escrowed tasks that are on no worker yet, and
// returns those that no worker here has capacity for.
func (c *Controller) startEscrowedTasks(now time.Time) {
	if c.leaving || !c.isFresh(now) {
		return
	}
	free := c.freeCapacity(now)
	for t := range c.State().Escrow(c.self.ID) {
		attempt := attemptOf(t)
		if c.workerByAttempt[attempt] != nil || !c.isOwnEscrow(t) {
			continue
		}
		if c.isEnding(attempt) {
			continue
		}
		if t.Cancelling {
			c.appendAttemptEnd(attempt, record.Record{Evicted: &record.Evicted{Attempt: attempt, Checkpoint: t.Checkpoint}})
			continue
		}
		w := c.chooseWorkerForEscrowed(now, free, t)
		if w == nil {
			c.returnWhenOverdue(now, t)
			continue
		}
		if w.tasks[t.ID] != nil {
			continue // the worker still keeps an earlier attempt's result
		}
		free[w.id] = free[w.id].Sub(t.Need)
		c.startTask(now, w, t)
	}
}

func (c *Controller) startTask(now time.Time, w *worker, t zone.Task) {
	a := &assignment{
		id:      t.ID,
		attempt: t.Attempt,
		need:    t.Need,
		spec: provider.TaskSpec{
			ID:         t.ID,
			Kind:       provider.KindBatch,
			Group:      t.Group,
			Attempt:    t.Attempt,
			Need:       t.Need,
			Command:    t.Command,
			Duration:   t.Duration,
			Checkpoint: t.Checkpoint,
		},
	}
	a.startedAt = now
	c.assign(w, a)
	delete(c.selectedWorkers, t.ID)
	w.lastExtension = now
	delete(c.proposedAt, "hold/"+t.ID)
	c.enqueueCall(w, Call{Verb: Start, Epoch: w.epoch, Spec: a.spec})
}

// returnWhenOverdue returns an escrowed task to the queue when it has waited
// longer than returnAfter for capacity. The Return counts as the end of the
// attempt until it is read back: if capacity became free meanwhile and the
// task were started here, another instance would start the same attempt once
// it reads the Return.
func (c *Controller) returnWhenOverdue(now time.Time, t zone.Task) {
	key := "hold/" + t.ID
	since, ok := c.proposedAt[key]
	if !ok {
		c.proposedAt[key] = now
		return
	}
	if now.Sub(since) > returnAfter {
		c.appendAttemptEnd(attemptOf(t), record.Record{Return: &record.Return{Tasks: []string{t.ID}}})
	}
}

// freeCapacity returns the capacity for batch tasks of each adopted worker:
// its total capacity less the planned replicas and the tasks that may be
// there.
func (c *Controller) freeCapacity(now time.Time) map[string]resource.Vector {
	free := make(map[string]resource.Vector)
	for _, w := range c.workers {
		if w.phase != adopted || w.leaving || now.Before(w.noStartUntil) {
			continue
		}
		if recorded, ok := c.State().Worker(w.id); !ok || recorded.Quarantined {
			continue
		}
		if _, _, ok := c.leases.Valid(now, w.id); !ok {
			continue
		}
		free[w.id] = w.capacity.Sub(c.pendingReplicaNeed(w)).Sub(w.used()).Sub(c.undeclaredNeed(w))
	}
	return free
}

// pruneProposals forgets proposals older than a minute and selections of tasks
// that this instance no longer claims.
func (c *Controller) pruneProposals(now time.Time) {
	if c.State() == nil {
		return
	}
	const keep = time.Minute
	for key, at := range c.proposedAt {
		if now.Sub(at) > keep {
			delete(c.proposedAt, key)
		}
	}
	for id := range c.selectedWorkers {
		if t, ok := c.State().Task(id); !ok || t.State != zone.Queued && !c.isOwnEscrow(t) {
			delete(c.selectedWorkers, id)
		}
	}
}

// cancelUndeclared cancels the tasks of declared jobs that the manifest no
// longer names.
func (c *Controller) cancelUndeclared(declared map[string]bool) {
	var undeclared []string
	for t := range c.State().DeclaredTasks() {
		if !t.Cancelling && !declared[t.ID] {
			undeclared = append(undeclared, t.ID)
		}
	}
	if len(undeclared) > 0 {
		c.appendRecord(record.Record{Cancel: &record.Cancel{Tasks: undeclared}})
	}
}
