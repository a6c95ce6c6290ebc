package cell

import "github.com/dogwoodladder/dogwoodladder/progress"

// The start of a lasting task is on record, with its worker, before it is ordered. So a new
// owner knows the only worker that may run the task, or carry out its start late: the task
// waits for that worker alone. Other tasks wait for all workers on record; writing each of
// their starts would delay short tasks by much of their duration. A gang's members may change
// their workers until all of them are started together, so its starts aren't on record either.

// recordsStarts reports whether the starts of a step's tasks are on record before they are ordered.
func (s *stepState) recordsStarts() bool {
	return s.spec.Lasting && !s.spec.Gang
}

// recordLastStart puts a task's next start on a worker on record.
func (c *Cell) recordLastStart(t *task, w *worker) {
	j := t.step.job
	c.saveStrays(t) // the record of the last start doesn't name their workers any more
	if j.progress.RecordStart(t.id, progress.Start{Host: w.host.ID}) {
		c.writer.markDirty(j)
	}
	t.reservation.recorded = true
	t.reservation.change = j.changeCount
	j.lastStartChange = j.changeCount
}

// recordBegun puts on record that a worker has listed a run.
func (c *Cell) recordBegun(r *run) {
	if r.begunRecorded {
		return
	}
	r.begunRecorded = true
	t := r.task
	if t.step.recordsStarts() && t.run == r && t.step.job.progress.RecordStart(t.id, progress.Start{Host: r.worker.host.ID, Begun: true}) {
		c.writer.markDirty(t.step.job)
	}
}

// dropLastStart removes the start of a run that has ended from the record.
func (c *Cell) dropLastStart(r *run) {
	t := r.task
	j := t.step.job
	if j.progress.LastStart(t.id).Host == r.worker.host.ID && j.progress.DropStart(t.id) {
		c.writer.markDirty(j)
	}
}

// restoreLastStart restores the worker on which an earlier owner last started a task. Unless the
// worker had listed the run, a later incarnation may carry the start out.
func (c *Cell) restoreLastStart(t *task) {
	if !c.recordsStarts || !t.step.recordsStarts() {
		return
	}
	t.lastStart = t.step.job.progress.LastStart(t.id)
	if t.lastStart != (progress.Start{}) && !t.lastStart.Begun && !c.self.Settled && c.isInherited(t.lastStart.Host) {
		c.addStray(t, strayStart{host: t.lastStart.Host, until: c.ownedSince + c.timing.MaxOrderAge, assumed: true})
	}
}

// awaitsLastWorker reports whether the worker on which an earlier owner last started a task may
// still run it, and hasn't answered yet. A run that it had listed ended with its machine. If the
// start may have crashed the worker, its answer tells.
func (c *Cell) awaitsLastWorker(t *task) bool {
	if c.survey.done {
		return false
	}
	mayCrash := t.startChange == 0 && t.step.job.progress.Crashes(t.id).StartPending
	if t.lastStart == (progress.Start{}) {
		return mayCrash // its worker isn't known
	}
	w := c.workers[t.lastStart.Host]
	if _, pending := c.survey.pending[w]; !pending {
		return false
	}
	return mayCrash || !t.lastStart.Begun || w.downSince == 0
}
