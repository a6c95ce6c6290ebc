package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// orderOutcome is what became of an order that had no good answer.
type orderOutcome uint8

const (
	orderUnknown   orderOutcome = iota // it may be carried out, now or later
	orderFenced                        // a higher token was seen
	orderElsewhere                     // a worker with another ID answered
)

func kindOf(err error) orderOutcome {
	switch fault.KindOf(err) {
	case fault.StaleEpoch:
		return orderFenced
	case fault.NotFound:
		return orderElsewhere
	}
	return orderUnknown
}

// failedOrder takes what a failed order says of the owner or of the worker. It
// reports whether it says anything.
func (c *Cell) failedOrder(w *worker, err error) bool {
	switch kindOf(err) {
	case orderFenced:
		c.beaten(w.host.ID)
		return true
	case orderElsewhere:
		c.lose(w, "another worker answers")
		return true
	}
	return false
}

// beaten ends the ownership: a worker follows a later owner.
func (c *Cell) beaten(host string) {
	c.depose("worker " + host + " has seen a higher term")
}

// startRun orders a worker to start a task.
func (c *Cell) startRun(t *task, w *worker, attempt uint64) {
	r := c.addRun(t, t.name, w, attempt)
	r.deadline = c.clockNow(w) + c.timing.StartWindow.Milliseconds()
	w.startedAt, w.startedJob = c.now, t.step.job
	if t.suspect {
		r.try()
	}
	t.attempt = max(t.attempt, attempt)
	t.delays.Add(delay.Room, c.now-t.waits)
	c.begun(t.step.job)
	w.deadline = max(w.deadline, r.deadline)
	c.flow.sent()
	c.gauge.Started()
	c.do(Start{Order: provider.StartOrder{
		Host:       w.host,
		Token:      w.token,
		Task:       t.name,
		Attempt:    attempt,
		Spec:       t.step.job.job.Spec,
		Deadline:   r.deadline,
		Checkpoint: t.saved,
		Ticket:     c.ticket(t.step, w),
	}})
	c.note("start", "task", t.name, "attempt", attempt, "worker", w.host.ID, "term", c.self.Term, "token", w.token,
		"waited", c.now-t.step.job.arrived, "resumes", t.saved != "", "list_age", c.now-c.list.newest.AsOf)
}

// begun has a job's first start recorded with whatever is written next.
func (c *Cell) begun(j *jobState) {
	if j.progress.State == progress.Queued {
		j.progress.State = progress.Running
		c.saves.dirty(j)
	}
}

// nextAttempt returns an attempt number above all that earlier owners gave.
func (c *Cell) nextAttempt(t *task) uint64 {
	t.starts++
	return max(c.firstAttempt()+t.starts, t.attempt+1)
}

// firstAttempt returns the least attempt number of this owner.
func (c *Cell) firstAttempt() uint64 {
	return c.self.Term * attemptsPerTerm
}

func (c *Cell) addRun(t *task, name string, w *worker, attempt uint64) *run {
	r := &run{task: t, name: name, worker: w, attempt: attempt, began: c.now, advanced: c.now, pace: 100}
	r.exposure.changed = c.now
	if t != nil {
		r.need = t.step.need
		t.run = r
		t.queued = false
		t.step.onHost[w]++
		if t.step.spec.Fills {
			w.filling += t.step.spec.Need.Processors
			c.pressed(w, t.step)
		}
		if t.step.spec.Serves() {
			w.serving++
			w.images[t.step.spec.Image]++
			w.set = nil
		}
	}
	if w.suspect {
		w.probes++
		r.probe = true
	}
	w.used = w.used.Add(r.need)
	w.runs[name] = r
	return r
}

// removeRun frees what a run held.
func (c *Cell) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.name)
	w.used = w.used.Sub(r.need)
	if r.probe {
		w.probes--
	}
	r.settle()
	c.touch(w)
	t := r.task
	if t == nil {
		return
	}
	if t.run == r {
		t.run = nil
	}
	if t.step.onHost[w]--; t.step.onHost[w] <= 0 {
		delete(t.step.onHost, w)
	}
	if t.step.spec.Fills {
		w.filling -= t.step.spec.Need.Processors
		w.leave(c.now, r)
	}
	if t.step.spec.Serves() {
		w.serving--
		if w.images[t.step.spec.Image]--; w.images[t.step.spec.Image] == 0 {
			delete(w.images, t.step.spec.Image)
		}
		w.set = nil
	}
}

// started takes the outcome of a start. Without an answer the run counts as
// there until a list shows it, or its deadline has passed without.
func (c *Cell) started(in StartReply) {
	c.flow.answered(c.now, in)
	c.changed = true
	w := c.addressee(in.Host, in.Token)
	if w == nil {
		c.settleStart(in)
		return
	}
	r := w.runs[in.Task]
	if r == nil || r.attempt != in.Attempt {
		return
	}
	if in.Err != nil {
		c.note("start unanswered", "task", in.Task, "attempt", in.Attempt, "worker", in.Host, "err", in.Err)
		c.failedOrder(w, in.Err)
		return
	}
	switch in.Refusal {
	case provider.Accepted:
		if r.state == runStarting {
			r.state = runRunning
			r.advanced = c.now
		}
		r.seenBegun(c.clockNow(w))
	case provider.RefusedToken:
		c.beaten(in.Host)
	default:
		c.refused(r, in.Refusal)
	}
}

// refused takes a start that the worker provably didn't carry out.
func (c *Cell) refused(r *run, why provider.Refusal) {
	c.note("start refused", "task", r.name, "attempt", r.attempt, "worker", r.worker.host.ID, "reason", why.String())
	w := r.worker
	t := r.task
	if r.state != runStarting {
		return
	}
	c.removeRun(r)
	switch why {
	case provider.RefusedTicket:
		c.dropTicket(t.step, w)
	case provider.RefusedLate:
		w.holdAt = c.now // its clock is ahead of the estimate
	default:
		w.resting = c.now + refusedPause
	}
	c.requeue(t)
}

// refusedPause is how long a worker that refused a start gets no other one.
const refusedPause = 500 * time.Millisecond

// requeue makes a task wait for another start. Members of a gang wait until
// all of them have ended.
func (c *Cell) requeue(t *task) {
	s := t.step
	if !s.spec.Gang {
		c.enqueue(t)
		return
	}
	for _, m := range s.tasks {
		if m.run != nil {
			return
		}
	}
	for _, m := range s.tasks {
		c.enqueue(m)
	}
}

// stopRun orders a run to stop. Its capacity stays taken until its end is
// listed.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state == runStopping || r.worker.lost {
		return
	}
	c.note("stop", "task", r.name, "attempt", r.attempt, "worker", r.worker.host.ID, "reason", reason)
	r.state = runStopping
	c.sendStop(r)
}

func (c *Cell) sendStop(r *run) {
	r.stopSent = c.now
	c.do(Stop{Order: r.worker.order(r)})
}

func (c *Cell) stopped(in StopReply) {
	if in.Err == nil {
		return
	}
	if w := c.addressee(in.Host, in.Token); w != nil {
		c.failedOrder(w, in.Err)
		return
	}
	c.fenced(in.Host, in.Token, in.Err)
}

// overdue reports whether a run has to be dealt with: a stop had no effect, or it
// hangs.
func (c *Cell) overdue(r *run) bool {
	w := r.worker
	if w.misses > 0 {
		return false
	}
	if r.state == runStopping {
		return c.now-r.stopSent > c.timing.StopRetry && c.mayOrder()
	}
	if r.task == nil || r.state != runRunning || r.task.step.spec.Gang {
		return false
	}
	return r.percent < 100 && r.pace >= 100 && w.heard-r.advanced >= c.stallOf(r)
}

// checkRun deals with a run that is overdue: it repeats a stop without effect, and
// stops a run that hangs.
func (c *Cell) checkRun(r *run) {
	if r.state == runStopping {
		c.sendStop(r)
		return
	}
	w := r.worker
	c.shun(r.task, w)
	if !r.fills() {
		w.failures++ // a filling task may merely find no idle processors
		c.judge(w)
	}
	c.stopRun(r, "no advance")
}

// stallOf returns how long a run may show no advance. Percents are whole, so
// a long task may take a while for each.
func (c *Cell) stallOf(r *run) time.Duration {
	return c.timing.Stall + r.task.step.spec.Estimate/5
}

// shunFor is how long a task isn't started again on a worker that it failed or
// hung on, if there is another one. After it the worker is taken again, as it
// may be the only one that fits.
const shunFor = 4 * time.Second

func (c *Cell) shun(t *task, w *worker) {
	if t.shunned == nil {
		t.shunned = make(map[*worker]time.Duration)
	}
	t.shunned[w] = c.now + shunFor
}

// judge puts a worker that failed several tasks in a row into quarantine. After
// it, one task at a time shows whether the worker is healthy again.
func (c *Cell) judge(w *worker) {
	if w.failures < failuresToRest {
		return
	}
	w.resting = c.now + c.timing.Quarantine
	w.suspect = true
	w.failures = failuresToRest - 1 // the next failure after it is judged at once
	c.note("quarantine", "worker", w.host.ID, "for", c.timing.Quarantine)
}

// failuresToRest is how many tasks in a row have to fail on a worker before it
// gets no more. One failure is usually the task's own.
const failuresToRest = 2

// succeeded takes a task that completed on a worker for a sign that it is
// healthy: an unhealthy one completes nothing, and one of a healthy worker's
// tasks in twenty fails by its own fault, so that two in a row come by chance as
// well.
func (c *Cell) succeeded(w *worker) {
	w.failures = 0
	if w.suspect {
		w.suspect = false
		w.resting = 0
		c.note("quarantine ended", "worker", w.host.ID)
	}
}

// admits reports whether a suspect worker may get a task of a step, like a
// half-open circuit breaker: one at a time, and none that lasts, as its end
// would tell nothing.
func (w *worker) admits(s *stepState) bool {
	return !w.suspect || w.probes == 0 && !s.spec.Lasting && !s.spec.Gang
}
