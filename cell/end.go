package cell

import (
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// handleEnds processes the ends of runs that a worker lists and that weren't handled yet.
func (c *Cell) handleEnds(w *worker, ended []provider.EndedRun) {
	for i := range ended {
		e := &ended[i]
		if e.Number <= w.handledEnd {
			continue
		}
		w.handledEnd = e.Number
		c.handleEnd(w, e)
	}
}

func (c *Cell) handleEnd(w *worker, e *provider.EndedRun) {
	r := w.runs[e.Task]
	if t := c.findTask(e.Task); t != nil {
		c.markRunning(t.step.job)
	}
	if r != nil && r.attempt == e.Attempt {
		c.endRun(r, e.End, e.Checkpoint)
		return
	}
	t := c.findTask(e.Task)
	if t == nil || t.step.job.final() {
		return
	}
	t.attempt = max(t.attempt, e.Attempt)
	c.foundStart(t, w.host.ID, e.Attempt)
	c.retractCrash(t, e.Attempt)
	switch e.End {
	case provider.EndDone:
		if !t.step.spec.Lasting {
			c.completeRun(t, e.Attempt)
		}
	case provider.EndFailed:
		c.failTask(t, e.Attempt)
	default:
		c.acceptCheckpoint(t, e.Checkpoint, t.untrackedPercent())
		c.saveCheckpoint(t)
	}
	c.requeue(t) // its start may have been tracked until the end was listed
}

// endRun removes a run that has ended, and completes, fails or requeues its task.
func (c *Cell) endRun(r *run, end provider.End, checkpoint string) {
	c.removeRun(r)
	t := r.task
	if t == nil {
		return
	}
	w := r.worker
	c.logEvent("end", "task", r.name, "attempt", r.attempt, "worker", w.host.ID, "how", end.String(), "ran", c.now-r.orderedAt)
	c.endPair(r, end)
	s := t.step
	if s.job.final() {
		return
	}
	c.dropLastStart(r)
	c.recordDelays(r, end)
	if end != provider.EndLost && end != provider.EndLapsed {
		c.clearSuspicion(t, r.attempt) // the worker lists the end, so it didn't crash
	}
	c.recordCheckpoint(r, checkpoint, r.percent)
	c.saveCheckpoint(t)
	if end == provider.EndDone && !s.spec.Lasting {
		c.recordSuccess(w)
		c.recordRunTime(r)
		c.completeRun(t, r.attempt)
		return
	}
	switch end {
	case provider.EndFailed:
		c.avoid(t, w)
		c.recordFailure(w, c.now-r.orderedAt)
		c.failTask(t, r.attempt)
	}
	if s.spec.Gang && end != provider.EndDone {
		c.abortGang(s)
	}
	c.requeue(t)
}

// completeRun completes the task of a successful run, which this owner needn't have tracked.
// The members of a gang complete together, so the first success completes all of them. Other
// runs of these tasks are stopped, except those of the gang that is just ending.
func (c *Cell) completeRun(t *task, attempt uint64) {
	if !t.step.spec.Gang {
		c.stopTask(t, "another run completed")
		c.completeTask(t)
		return
	}
	for _, m := range t.step.tasks {
		if m.run != nil && m.run.attempt != attempt {
			c.stopRun(m.run, "another run completed")
		}
		c.completeTask(m)
	}
}

// abortGang stops the remaining members of a gang, which can't complete without the one
// that ended.
func (c *Cell) abortGang(s *stepState) {
	for _, m := range s.tasks {
		if m.run != nil {
			c.stopRun(m.run, "another gang member ended")
		}
	}
}

// saveCheckpoint records the checkpoint that an interrupted task resumes from.
func (c *Cell) saveCheckpoint(t *task) {
	if t.checkpoint != "" && !t.done && t.step.job.progress.SetCheckpoint(t.id, t.checkpoint) {
		c.writer.markDirty(t.step.job)
	}
}
