package cell

import (
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// takeEnds takes the list of runs that ended.
func (c *Cell) takeEnds(w *worker, ended []provider.Ended) {
	for i := range ended {
		e := &ended[i]
		if e.Number <= w.ended {
			continue
		}
		w.ended = e.Number
		c.takeEnd(w, e)
	}
}

func (c *Cell) takeEnd(w *worker, e *provider.Ended) {
	r := w.runs[e.Task]
	if r != nil && r.attempt == e.Attempt {
		c.endRun(r, e.How, e.Checkpoint)
		return
	}
	t := c.find(e.Task)
	if t == nil || t.step.job.final() {
		return
	}
	t.attempt = max(t.attempt, e.Attempt)
	c.seenAlive(t, e.Attempt)
	switch e.How {
	case provider.EndDone:
		if !t.step.spec.Lasting {
			c.endStale(t)
		}
	case provider.EndFailed:
		c.failTask(t, e.Attempt)
	default:
		c.keepCheckpoint(t, e.Checkpoint)
	}
}

// endStale takes the end of a run that this owner didn't follow: the task is
// done, and what was started of it since is stopped.
func (c *Cell) endStale(t *task) {
	c.unqueue(t)
	if t.run != nil {
		c.stopRun(t.run, "done elsewhere")
	}
	c.doneTask(t)
}

// endRun takes the end of a run.
func (c *Cell) endRun(r *run, how provider.End, checkpoint string) {
	c.removeRun(r)
	t := r.task
	if t == nil {
		return
	}
	w := r.worker
	c.note("end", "task", r.name, "attempt", r.attempt, "worker", w.host.ID, "how", how.String(), "ran", c.now-r.began)
	s := t.step
	if s.job.final() {
		return
	}
	c.account(r, how)
	if how != provider.EndLost && how != provider.EndLapsed {
		c.clear(t, r.attempt) // the worker lists the end, so it went on
	}
	c.keepCheckpoint(t, checkpoint)
	if how == provider.EndDone && !s.spec.Lasting {
		c.succeeded(w)
		c.endDone(t)
		return
	}
	switch how {
	case provider.EndFailed:
		c.shun(t, w)
		w.failures++
		c.judge(w)
		c.failTask(t, r.attempt)
	}
	if s.spec.Gang && how != provider.EndDone {
		c.breakGang(s)
	}
	c.requeue(t)
}

// endDone takes a run that completed. The members of a gang complete
// together, so the first such end stands for all.
func (c *Cell) endDone(t *task) {
	if !t.step.spec.Gang {
		c.doneTask(t)
		return
	}
	for _, m := range t.step.tasks {
		c.doneTask(m)
	}
}

// breakGang stops the members that still run: they can't end without the one
// that is gone.
func (c *Cell) breakGang(s *stepState) {
	for _, m := range s.tasks {
		if m.run != nil {
			c.stopRun(m.run, "gang broken")
		}
	}
}

// keepCheckpoint records where an interrupted task resumes.
func (c *Cell) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint != "" {
		t.saved = checkpoint
	}
	if t.saved != "" && t.step.job.progress.Save(t.id, t.saved) {
		c.saves.dirty(t.step.job)
	}
}
