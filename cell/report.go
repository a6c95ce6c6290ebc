package cell

import (
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// handleRuns applies the list of runs in a worker's report.
func (c *Cell) handleRuns(w *worker, running []provider.Run) {
	for i := range running {
		c.handleRun(w, &running[i])
	}
	c.reportServing(w)
}

func (c *Cell) handleRun(w *worker, p *provider.Run) {
	r := w.runs[p.Task]
	if r == nil || r.attempt != p.Attempt {
		r = c.adopt(w, p)
	}
	if r.state == runStarting {
		r.state = runRunning
	}
	r.recordListed(w.clock)
	r.recordProgress(p.Percent, w.answeredAt)
	c.checkTrial(r)
	if p.Percent != r.percent {
		r.percent = p.Percent
		r.advancedAt = c.now
	}
	if r.task == nil {
		return
	}
	c.markRunning(r.task.step.job)
	c.recordBegun(r)
	c.recordCheckpoint(r, p.Checkpoint, p.Percent)
	r.tail = p.TailLatency
	r.processorsUsed = p.Processors
}

// adopt takes over a run that an earlier owner started. A run that no job needs, or whose
// task has been started elsewhere since, is stopped.
func (c *Cell) adopt(w *worker, p *provider.Run) *run {
	t := c.findTask(p.Task)
	if old := w.runs[p.Task]; old != nil {
		c.removeRun(old) // a worker runs only one attempt of a task
	}
	if t == nil || !c.wants(t) {
		return c.reject(w, p)
	}
	c.unqueue(t)
	c.releaseReservation(t)
	c.foundStart(t, w.host.ID, p.Attempt)
	r := c.addRun(t, p.Task, w, p.Attempt)
	r.state = runRunning
	t.attempt = max(t.attempt, p.Attempt)
	c.adoptTrial(r)
	if r.isFilling() {
		r.pace = unknownPace
	}
	c.logEvent("adopted", "task", p.Task, "attempt", p.Attempt, "worker", w.host.ID)
	return r
}

// reject stops a run that isn't needed. The capacity that it uses is taken from its job's
// spec, even if the job has ended; a run without a known job is assumed to use the whole
// worker.
func (c *Cell) reject(w *worker, p *provider.Run) *run {
	r := c.addRun(nil, p.Task, w, p.Attempt)
	r.state = runRunning
	r.need = w.host.Capacity
	if id, err := job.ParseTask(p.Task); err == nil && c.jobs[id.Job] != nil && id.Step < len(c.jobs[id.Job].job.Steps) {
		r.need = c.jobs[id.Job].job.Steps[id.Step].Reserved()
	}
	w.used = w.used.Add(r.need)
	c.stopRun(r, "run not needed")
	return r
}

// unqueue removes a task from its step's queue.
func (c *Cell) unqueue(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	for i, q := range t.step.ready {
		if q == t {
			t.step.ready = append(t.step.ready[:i], t.step.ready[i+1:]...)
			return
		}
	}
}

// endMissingRuns handles the runs that a worker's answer doesn't list. A start whose
// deadline had passed when the answer was made can't happen any more on this incarnation,
// nor on a later one if it was settled by then, and a run that was listed before has ended.
// If the answer lists all ends, neither will ever have one. Otherwise the run may have
// ended in any way, so it waits for the rest of the ends.
func (c *Cell) endMissingRuns(w *worker, held *provider.HoldResult) {
	if len(w.runs) <= len(held.Running) {
		return
	}
	listed := make(map[string]uint64, len(held.Running))
	for i := range held.Running {
		listed[held.Running[i].Task] = held.Running[i].Attempt
	}
	for name, r := range inOrder(w.runs) {
		if a, ok := listed[name]; ok && a == r.attempt {
			continue
		}
		if held.Clock <= r.deadline || c.mayRunOnNext(r) && w.answeredAt < r.settledAt {
			continue
		}
		if held.MoreEnded {
			r.state = runEnded
			continue
		}
		c.logEvent("not running", "task", name, "attempt", r.attempt, "worker", w.host.ID, "state", int(r.state),
			"born", held.StartedAt, "listed", len(held.Ended), "ended", w.handledEnd, "seen", w.recordedEnd)
		c.recordStray(r)
		c.endRun(r, provider.EndLapsed, "")
	}
}
