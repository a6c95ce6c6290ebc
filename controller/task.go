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

// holdFor is how long an escrowed task may wait for room before it is given
// back.
const holdFor = 2 * time.Second

// refusedPause is how long a worker that refused a start gets no other one.
const refusedPause = 10 * time.Second

// renewed takes the answer to a renewal, which lists what the worker holds.
func (c *Controller) renewed(now time.Time, h *holding, in Leased) {
	if in.Lease.Epoch != h.epoch || !c.book.Granted(in.Sent, h.id, in.Lease) {
		return
	}
	h.unanswered = 0
	c.dirty = true
	c.seeReplicas(h, in.Lease.Tasks)
	gone := c.see(now, h, in.Lease.Tasks)
	if c.State() == nil {
		return // until the lost state is recovered nobody knows what is stale
	}
	if !c.onRecord(h) {
		c.checkOwn(now, h, in.Lease.Tasks)
		return
	}
	if h.phase == granted {
		return
	}
	for _, p := range gone {
		c.vanished(now, h, p)
	}
	c.note(now, h)
	c.dropStale(h)
	c.confirm(h)
}

// onRecord reports whether the log names this holding's epoch, or its Own
// record is still under way.
func (c *Controller) onRecord(h *holding) bool {
	if !c.follow.Ready() || h.phase == granted && h.recorded != 0 {
		return true
	}
	w, ok := c.State().Worker(h.id)
	return h.phase == adopted && ok && w.Owner == c.self.ID && w.Incarnation == c.self.Incarnation && w.Epoch == h.epoch
}

// checkOwn writes the Own record when it was never written, and takes the
// lease again when it was written and isn't in force.
func (c *Controller) checkOwn(now time.Time, h *holding, tasks []provider.Running) {
	if h.phase == granted && !h.written {
		c.recordOwn(h, tasks)
		return
	}
	c.reacquire(now, h)
}

// see brings the placements in line with what the worker holds, and returns
// those it doesn't hold.
func (c *Controller) see(now time.Time, h *holding, tasks []provider.Running) []*assignment {
	held := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		if t.Kind != provider.KindBatch {
			continue
		}
		held[t.ID] = true
		p, ok := h.tasks[t.ID]
		if !ok || p.attempt != t.Attempt {
			c.unplace(h, t.ID)
			p = &assignment{id: t.ID, attempt: t.Attempt, need: t.Need, started: now}
			c.place(h, p)
		}
		p.spec.Checkpoint = t.Checkpoint
		p.stage = stageOf(t.State, p.stage)
		if h.phase == adopted {
			c.reportEnd(h, t)
		}
	}
	var gone []*assignment
	for _, p := range sortedAssignments(h.tasks) {
		if !held[p.id] {
			gone = append(gone, p)
		}
	}
	return gone
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

// reportEnd writes down how an attempt ended, once per attempt.
func (c *Controller) reportEnd(h *holding, t provider.Running) {
	a := record.Attempt{Task: t.ID, Number: t.Attempt}
	if t.State == provider.TaskRunning || !c.current(a) {
		return
	}
	switch t.State {
	case provider.TaskDone:
		c.endAttempt(a, record.Record{Done: &record.Done{Attempt: a, Worker: h.id, Result: t.Result}})
	case provider.TaskFailed:
		c.endAttempt(a, record.Record{Failed: &record.Failed{Attempt: a, Worker: h.id, Reason: t.Reason}})
	case provider.TaskStopped:
		c.endAttempt(a, record.Record{Evicted: &record.Evicted{Attempt: a, Worker: h.id, Checkpoint: t.Checkpoint}})
	}
}

// endAttempt writes a record that ends an attempt unless one is under way.
func (c *Controller) endAttempt(a record.Attempt, r record.Record) {
	if c.ending(a) {
		return
	}
	if sequence, ok := c.add(r); ok {
		c.reported[a.Task] = report{a.Number, sequence}
	}
}

// report is a record that ends an attempt and wasn't read back yet.
type report struct {
	attempt  uint32
	sequence uint64
}

// ending reports whether a record that ends an attempt is under way.
func (c *Controller) ending(a record.Attempt) bool {
	r, ok := c.reported[a.Task]
	return ok && r.attempt == a.Number
}

// current reports whether an attempt is the one that this instance's escrow
// holds on record.
func (c *Controller) current(a record.Attempt) bool {
	s := c.State()
	if s == nil {
		return false
	}
	t, ok := s.Task(a.Task)
	return ok && c.mine(t) && t.Attempt == a.Number
}

func (c *Controller) mine(t zone.Task) bool {
	return t.State == zone.Escrowed && t.Owner == c.self.ID && t.Incarnation == c.self.Incarnation
}

// dropStale stops what the worker runs of attempts that aren't current, and
// acknowledges results that are on record.
//
// What goes wrong: a task was queued again or cancelled while the worker
// kept running an old attempt. One would notice two runs of one task. It is
// stopped here before any task lease on the worker is extended.
func (c *Controller) dropStale(h *holding) {
	if h.phase != adopted {
		return
	}
	var acknowledge []string
	for _, p := range sortedAssignments(h.tasks) {
		a := record.Attempt{Task: p.id, Number: p.attempt}
		switch {
		case p.stage == ended && !c.ending(a) && !c.current(a):
			acknowledge = append(acknowledge, p.id)
		case p.stage == running && (!c.current(a) || c.cancelling(p.id)):
			p.stage = stopping
			c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: p.id})
		}
	}
	if len(acknowledge) > 0 {
		c.call(h, Call{Verb: Acknowledge, Epoch: h.epoch, Tasks: acknowledge})
	}
}

func (c *Controller) cancelling(id string) bool {
	t, ok := c.State().Task(id)
	return ok && t.Cancelling
}

// vanished settles a placement that the worker doesn't hold.
func (c *Controller) vanished(now time.Time, h *holding, p *assignment) {
	a := record.Attempt{Task: p.id, Number: p.attempt}
	if !c.current(a) {
		c.unplace(h, p.id)
		return
	}
	if p.stage == starting && h.inLine(Start, p.id) {
		return // not sent yet
	}
	if p.stage == starting && !c.fresh(now) {
		return // others may have given the task to another worker
	}
	if p.stage == starting {
		c.call(h, Call{Verb: Start, Epoch: h.epoch, Spec: p.spec}) // repeated: the first answer was lost
		return
	}
	c.endAttempt(a, record.Record{Evicted: &record.Evicted{Attempt: a, Worker: h.id, Checkpoint: p.spec.Checkpoint}})
}

// inLine reports whether a call about a task waits to be sent.
func (h *holding) inLine(v Verb, task string) bool {
	return slices.ContainsFunc(h.queue, func(q Call) bool { return q.Verb == v && (q.Task == task || q.Spec.ID == task) })
}

// place notes that an attempt was put on a worker.
func (c *Controller) place(h *holding, p *assignment) {
	h.tasks[p.id] = p
	c.placed[record.Attempt{Task: p.id, Number: p.attempt}] = h
}

func (c *Controller) unplace(h *holding, id string) {
	p, ok := h.tasks[id]
	if !ok {
		return
	}
	delete(h.tasks, id)
	a := record.Attempt{Task: id, Number: p.attempt}
	if c.placed[a] == h {
		delete(c.placed, a)
	}
}

func attemptOf(t zone.Task) record.Attempt {
	return record.Attempt{Task: t.ID, Number: t.Attempt}
}

// called takes the answer to a call about a task.
func (c *Controller) called(now time.Time, in Called) {
	h, ok := c.holdings[in.Worker]
	if !ok {
		return
	}
	h.busy = false
	switch {
	case in.Verb == Release:
		h.phase = unowned
		h.retryAt = now.Add(c.timing.Lease)
		c.book.Drop(h.id)
	case fault.Is(in.Err, fault.StaleEpoch):
		c.notRenewed(now, h, in.Err)
	case in.Verb == Start:
		c.started(now, h, in)
	case in.Verb == Stop && in.Err != nil:
		c.notStopped(h, in.Task)
	case in.Verb == Stop:
		c.renewNow(now, h) // tells how the task ended, so that its room is free at once
	case in.Verb == Acknowledge && in.Err == nil:
		c.acknowledged(h)
	}
	c.pump(h)
}

// started takes the answer to a start.
//
// What goes wrong: a start without an answer may arrive late. If a second one
// is refused and the task is put elsewhere, the late one starts it here too.
// One would notice two runs of one attempt. After an unsure start a refusal
// isn't believed: the lease is taken again, and its new epoch fences the late
// call before the attempt is given up.
func (c *Controller) started(now time.Time, h *holding, in Called) {
	c.startedReplica(h, in)
	p, ok := h.tasks[in.Task]
	if !ok || p.attempt != in.Attempt {
		return
	}
	h.extended = now
	switch {
	case in.Err == nil:
		p.stage = running
	case fault.KindOf(in.Err).Answer().Ran != fault.NotRun:
		p.unsure = true
	case p.unsure:
		c.reacquire(now, h)
	case !fault.Is(in.Err, fault.Unavailable):
		c.log(Info, "start refused", "worker", h.id, "task", in.Task, "error", in.Err.Error())
		c.unplace(h, in.Task)
		if !fault.Is(in.Err, fault.Conflict) { // the worker still keeps an earlier attempt's result
			h.startAt = now.Add(refusedPause)
		}
	}
}

// notStopped makes a stop that failed due again.
func (c *Controller) notStopped(h *holding, task string) {
	if p, ok := h.tasks[task]; ok && p.stage == stopping {
		p.stage = running
	}
	for _, p := range h.replicas {
		if p.id == task && p.stage == stopping {
			p.stage = running
		}
	}
}

// acknowledged forgets the placements that ended on record.
func (c *Controller) acknowledged(h *holding) {
	for _, p := range sortedAssignments(h.tasks) {
		if p.stage == ended && !c.current(record.Attempt{Task: p.id, Number: p.attempt}) {
			c.unplace(h, p.id)
		}
	}
}

// startEscrow starts the escrowed tasks that are on no worker yet, and gives
// back those that no worker here has room for.
func (c *Controller) startEscrow(now time.Time) {
	if c.leaving || !c.fresh(now) {
		return
	}
	room := c.room(now)
	for t := range c.State().Escrow(c.self.ID) {
		a := attemptOf(t)
		if c.placed[a] != nil || !c.mine(t) {
			continue
		}
		if c.ending(a) {
			continue
		}
		if t.Cancelling {
			c.endAttempt(a, record.Record{Evicted: &record.Evicted{Attempt: a, Checkpoint: t.Checkpoint}})
			continue
		}
		h := c.workerFor(now, room, t)
		if h == nil {
			c.giveBack(now, t)
			continue
		}
		if h.tasks[t.ID] != nil {
			continue // the worker still keeps an earlier attempt's result
		}
		room[h.id] = room[h.id].Sub(t.Need)
		c.start(now, h, t)
	}
}

func (c *Controller) start(now time.Time, h *holding, t zone.Task) {
	p := &assignment{
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
	p.started = now
	c.place(h, p)
	delete(c.chosen, t.ID)
	h.extended = now
	delete(c.proposed, "hold/"+t.ID)
	c.call(h, Call{Verb: Start, Epoch: h.epoch, Spec: p.spec})
}

// giveBack returns an escrowed task that found no room for a while.
//
// What goes wrong: room turns up while the Return is under way, and the task
// is started here; once the Return is read, another instance starts the same
// attempt. One would notice two runs of one attempt. A Return counts as the
// end of the attempt until it was read back, so nothing is started meanwhile.
func (c *Controller) giveBack(now time.Time, t zone.Task) {
	key := "hold/" + t.ID
	since, ok := c.proposed[key]
	if !ok {
		c.proposed[key] = now
		return
	}
	if now.Sub(since) > holdFor {
		c.endAttempt(attemptOf(t), record.Record{Return: &record.Return{Tasks: []string{t.ID}}})
	}
}

// room returns what is free for batch work on each adopted worker: its
// capacity less the planned replicas and the tasks that may be there.
func (c *Controller) room(now time.Time) map[string]resource.Vector {
	room := make(map[string]resource.Vector)
	for _, h := range c.holdings {
		if h.phase != adopted || h.leaving || now.Before(h.startAt) {
			continue
		}
		if w, ok := c.State().Worker(h.id); !ok || w.Quarantined {
			continue
		}
		if _, _, ok := c.book.Valid(now, h.id); !ok {
			continue
		}
		room[h.id] = h.capacity.Sub(c.reservedBeside(h)).Sub(h.used()).Sub(c.excess(h))
	}
	return room
}

// sweep forgets proposals that are long past.
func (c *Controller) sweep(now time.Time) {
	if c.State() == nil {
		return
	}
	const keep = time.Minute
	for key, at := range c.proposed {
		if now.Sub(at) > keep {
			delete(c.proposed, key)
		}
	}
	for id := range c.chosen {
		if t, ok := c.State().Task(id); !ok || t.State != zone.Queued && !c.mine(t) {
			delete(c.chosen, id)
		}
	}
}

// cancelUndeclared cancels the tasks of declared jobs that the manifest
// names no more, and lets the ended ones be forgotten.
func (c *Controller) cancelUndeclared(declared map[string]bool) {
	var gone []string
	for t := range c.State().Declared() {
		if !t.Cancelling && !declared[t.ID] {
			gone = append(gone, t.ID)
		}
	}
	if len(gone) > 0 {
		c.add(record.Record{Cancel: &record.Cancel{Tasks: gone}})
	}
}
