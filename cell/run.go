package cell

import (
	"math/bits"
	"time"

	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// orderOutcome classifies the error of an order.
type orderOutcome uint8

const (
	orderUnknown   orderOutcome = iota // the order may be carried out, now or later
	orderFenced                        // the worker has seen a higher token
	orderElsewhere                     // a worker with another ID answered
)

func classifyOrderError(err error) orderOutcome {
	switch fault.KindOf(err) {
	case fault.StaleEpoch:
		return orderFenced
	case fault.NotFound:
		return orderElsewhere
	}
	return orderUnknown
}

// handleOrderError deposes the cell or gives up the worker if the error of an order, which
// was sent at the given time, calls for it. It reports whether it did either.
func (c *Cell) handleOrderError(w *worker, err error, sent time.Duration) bool {
	switch classifyOrderError(err) {
	case orderFenced:
		c.deposeFenced(w.host.ID)
		return true
	case orderElsewhere:
		c.loseWorker(w, "another worker answers", sent)
		return true
	}
	return false
}

// deposeFenced deposes the cell because a worker follows a later owner.
func (c *Cell) deposeFenced(host string) {
	c.depose("worker " + host + " has seen a higher term")
}

// startRun orders a worker to start a waiting task.
func (c *Cell) startRun(t *task, w *worker, attempt uint64) {
	t.delays.Add(delay.Room, c.now-t.waitingSince)
	c.orderRun(t, w, attempt)
}

// orderRun orders a worker to start a run of a task.
func (c *Cell) orderRun(t *task, w *worker, attempt uint64) *run {
	r := c.addRun(t, t.name, w, attempt)
	r.deadline = c.estimateClock(w) + c.timing.StartWindow.Milliseconds()
	r.complete = t.checkpoint == ""
	r.fromAt, r.fromKnown = c.now, r.complete
	w.lastStartAt, w.lastStartJob = c.now, t.step.job
	if t.suspect {
		r.beginTrial()
	}
	t.attempt = max(t.attempt, attempt)
	r.settledAt = c.now + maxOrderDelay
	w.leaseDeadline = max(w.leaseDeadline, r.deadline)
	w.leaseSentAt = c.now
	c.startLimiter.recordStart()
	c.overloadGauge.RecordStart()
	c.recordFlow(r)
	c.emit(Start{Order: provider.StartOrder{
		Host:       w.host,
		Token:      w.token,
		Task:       t.name,
		Attempt:    attempt,
		Spec:       t.step.job.job.Spec,
		Deadline:   r.deadline,
		Checkpoint: t.checkpoint,
		Ticket:     c.ticket(t.step, w),
	}, Copy: t.copy == r})
	c.logEvent("start", "task", t.name, "attempt", attempt, "worker", w.host.ID, "term", c.self.Term, "token", w.token,
		"waited", c.now-t.step.job.acceptedAt, "resumes", t.checkpoint != "", "list_age", c.now-c.hosts.latest.AsOf)
	return r
}

// markRunning sets a queued job's state to running, to be recorded with the next write. A job
// is queued until a worker has begun one of its tasks: a start without an answer may never be
// carried out.
func (c *Cell) markRunning(j *jobState) {
	if j.progress.State == progress.Queued {
		j.progress.State = progress.Running
		c.writer.markDirty(j)
	}
}

// nextAttempt returns an attempt number above all that earlier owners gave out.
func (c *Cell) nextAttempt(t *task) uint64 {
	t.startCount++
	return max(c.firstAttempt()+t.startCount, t.attempt+1)
}

// firstAttempt returns the lower bound of this owner's attempt numbers.
func (c *Cell) firstAttempt() uint64 {
	return c.self.Term * attemptsPerTerm
}

func (c *Cell) addRun(t *task, name string, w *worker, attempt uint64) *run {
	r := &run{task: t, name: name, worker: w, attempt: attempt, orderedAt: c.now, advancedAt: c.now, pace: 100}
	r.exposure.changedAt = c.now
	if t != nil {
		r.need = t.step.need
		t.attach(r)
		t.queued = false
		t.step.runsByWorker[w]++
		if t.step.spec.Fills {
			w.fillingProcessors += t.step.spec.Need.Processors
			c.consumeSlack(w, t.step)
		}
		if t.step.spec.Serves() {
			w.addImage(t.step.spec.Image)
		}
	}
	if w.onProbation {
		w.nextProbeAt = c.now + probeInterval
		r.probe = true
	}
	w.used = w.used.Add(r.need)
	w.runs[name] = r
	return r
}

// removeRun removes a run and frees its capacity.
func (c *Cell) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.name)
	w.used = w.used.Sub(r.need)
	r.endTrial()
	c.markChanged(w)
	t := r.task
	if t == nil {
		return
	}
	t.detach(r)
	t.step.releasePlace(w)
	if t.step.spec.Fills {
		w.fillingProcessors -= t.step.spec.Need.Processors
		w.recordEndedFill(c.now, r)
	}
	if t.step.spec.Serves() {
		w.dropImage(t.step.spec.Image)
	}
}

// handleStartReply handles the outcome of a start. Without an answer, the run counts as
// present until a report lists it, or its deadline has passed without one.
func (c *Cell) handleStartReply(in StartReply) {
	c.startLimiter.recordReply(c.now, in)
	c.needsDispatch = true
	r := c.runOf(in)
	if r == nil {
		c.resolveStartReply(in)
		return
	}
	c.settle(r, in.Err)
	r.unsent = fault.Is(in.Err, fault.Unavailable)
	w := c.workerByToken(in.Host, in.Token)
	if w == nil { // another incarnation may have answered
		if in.Err == nil && in.Refusal != provider.Accepted && r.state == runStarting {
			c.dropRefused(r)
		}
		return
	}
	if in.Err == nil && in.Refusal == provider.Accepted && r.task != nil {
		c.markRunning(r.task.step.job)
	}
	if in.Err != nil {
		c.logEvent("start unanswered", "task", in.Task, "attempt", in.Attempt, "worker", in.Host, "err", in.Err)
		c.handleOrderError(w, in.Err, in.Sent)
		return
	}
	switch in.Refusal {
	case provider.Accepted:
		r.accepted = true
		if r.state == runStarting {
			r.state = runRunning
			r.advancedAt = c.now
		}
		r.recordStarted(c.estimateClock(w))
	case provider.RefusedToken:
		c.deposeFenced(in.Host)
	default:
		c.handleRefusal(r, in.Refusal)
	}
}

// runOf returns the run that a start was to begin, nil if its worker is lost or the run has
// ended.
func (c *Cell) runOf(in StartReply) *run {
	w := c.workers[in.Host]
	if w == nil || w.runs[in.Task] == nil || w.runs[in.Task].attempt != in.Attempt {
		return nil
	}
	return w.runs[in.Task]
}

// handleRefusal handles a start that the worker definitely didn't carry out.
func (c *Cell) handleRefusal(r *run, reason provider.Refusal) {
	c.logEvent("start refused", "task", r.name, "attempt", r.attempt, "worker", r.worker.host.ID, "reason", reason.String())
	w := r.worker
	t := r.task
	if r.state != runStarting {
		return
	}
	c.removeRun(r)
	c.endPair(r, provider.EndStopped)
	switch reason {
	case provider.RefusedTicket:
		c.dropTicket(t.step, w)
	case provider.RefusedLate:
		w.nextHoldAt = c.now // read its clock, which is ahead of the estimate
	default:
		w.noStartsUntil = c.now + refusalPause
	}
	c.requeue(t)
}

// refusalPause is how long a worker that refused a start gets no other one.
const refusalPause = 500 * time.Millisecond

// requeue queues a task for another start. Members of a gang are queued once all of them
// have ended.
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

// stopRun orders a run to stop. Its capacity stays in use until its end is listed.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state.isEnding() || r.worker.lost {
		return
	}
	c.logEvent("stop", "task", r.name, "attempt", r.attempt, "worker", r.worker.host.ID, "reason", reason,
		"kind", c.kindOfRun(r), "ran", c.now-r.orderedAt, "cores", c.coresOf(r))
	r.state = runStopping
	c.sendStop(r)
}

func (c *Cell) sendStop(r *run) {
	r.stopSentAt = c.now
	c.emit(Stop{Order: r.worker.runOrder(r)})
}

func (c *Cell) handleStopReply(in StopReply) {
	if in.Err == nil {
		return
	}
	if w := c.workerByToken(in.Host, in.Token); w != nil {
		c.handleOrderError(w, in.Err, in.Sent)
		return
	}
	c.handleFenced(in.Host, in.Token, in.Err)
}

// isOverdue reports whether a stop of the run had no effect in time, or the run hangs.
func (c *Cell) isOverdue(r *run) bool {
	w := r.worker
	if w.missedHolds > 0 {
		return false
	}
	if r.state == runStopping {
		return c.now-r.stopSentAt > c.timing.StopRetryInterval && c.canOrder()
	}
	if r.task == nil || r.state != runRunning || r.task.step.spec.Gang {
		return false
	}
	return r.percent < 100 && r.pace >= 100 && w.lastContact-r.advancedAt >= c.stallTimeout(r)
}

// checkRun handles an overdue run: it repeats the stop, or stops the run if it hangs.
func (c *Cell) checkRun(r *run) {
	if r.state == runStopping {
		c.sendStop(r)
		return
	}
	w := r.worker
	c.avoid(r.task, w)
	r.task.stalls++
	if !r.isFilling() {
		c.recordFailure(w, c.now-r.orderedAt) // a filling task may just find no idle processors
	}
	c.stopRun(r, "no progress")
}

// stallTimeout returns how long a run may show no progress. Progress is reported in whole
// percent, so a long task may take a while for each. A task that was stopped before may hang
// again, or take far longer than estimated, so the times follow the ruler sequence: 1, 2, 1,
// 4, 1, 2, 1, 8 and so on. Whichever it is, hardly any time is lost.
func (c *Cell) stallTimeout(r *run) time.Duration {
	timeout := c.timing.StallTimeout + r.task.step.spec.Estimate/5
	return timeout << min(bits.TrailingZeros(uint(r.task.stalls+1)), maxStallDoublings)
}

// maxStallDoublings bounds the stall timeout to about a thousand times the shortest one.
const maxStallDoublings = 10

// avoidDuration is how long a task isn't started again on a worker that it failed or hung
// on. Afterwards the worker is allowed again, as it may be the only one that fits.
const avoidDuration = 2 * time.Second

func (c *Cell) avoid(t *task, w *worker) {
	if t.avoidUntil == nil {
		t.avoidUntil = make(map[*worker]time.Duration)
	}
	t.avoidUntil[w] = c.now + avoidDuration
	w.avoidedUntil = t.avoidUntil[w]
}
