package cell

import (
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// takeRuns takes the list of what runs on a worker.
func (c *Cell) takeRuns(w *worker, running []provider.Run) {
	for i := range running {
		c.takeRun(w, &running[i])
	}
	c.reportServing(w)
}

func (c *Cell) takeRun(w *worker, p *provider.Run) {
	r := w.runs[p.Task]
	if r == nil || r.attempt != p.Attempt {
		r = c.adopt(w, p)
	}
	if r.state == runStarting {
		r.state = runRunning
	}
	r.listed(w.clock)
	c.checkTrial(r)
	if p.Percent != r.percent {
		r.percent = p.Percent
		r.advanced = c.now
	}
	if r.task == nil {
		return
	}
	if p.Checkpoint != "" {
		r.task.saved = p.Checkpoint
	}
	r.tail = p.Tail
	r.use = p.Processors
}

// adopt takes over a run that an earlier owner started. One that no job
// needs, or that has been started elsewhere since, is stopped.
func (c *Cell) adopt(w *worker, p *provider.Run) *run {
	t := c.find(p.Task)
	if old := w.runs[p.Task]; old != nil {
		c.removeRun(old) // a lower attempt than the one listed can't be there too
	}
	wanted := t != nil && !t.done && t.run == nil && !t.step.job.final()
	if !wanted {
		return c.reject(w, p)
	}
	c.unqueue(t)
	r := c.addRun(t, p.Task, w, p.Attempt)
	r.state = runRunning
	t.attempt = max(t.attempt, p.Attempt)
	c.begun(t.step.job)
	c.adoptTrial(r)
	if r.fills() {
		r.pace = unknownPace
	}
	c.note("adopted", "task", p.Task, "attempt", p.Attempt, "worker", w.host.ID)
	return r
}

// reject stops a run that nobody needs. What it takes of the worker is known
// from its job, also if that has ended; a run of no job known is taken for one
// that fills the worker.
func (c *Cell) reject(w *worker, p *provider.Run) *run {
	r := c.addRun(nil, p.Task, w, p.Attempt)
	r.state = runRunning
	r.need = w.host.Capacity
	if id, err := job.ParseTask(p.Task); err == nil && c.jobs[id.Job] != nil && id.Step < len(c.jobs[id.Job].job.Steps) {
		r.need = c.jobs[id.Job].job.Steps[id.Step].Reserved()
	}
	w.used = w.used.Add(r.need)
	c.stopRun(r, "not wanted")
	return r
}

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

// settleRuns looks for runs that a worker's answer doesn't list. A start whose
// deadline had passed when the answer was made can't happen any more. A run
// that was listed before and isn't now has ended without a word.
func (c *Cell) settleRuns(w *worker, held provider.Held) {
	if len(w.runs) <= len(held.Running) {
		return
	}
	there := make(map[string]uint64, len(held.Running))
	for i := range held.Running {
		there[held.Running[i].Task] = held.Running[i].Attempt
	}
	for name, r := range inOrder(w.runs) {
		if a, ok := there[name]; ok && a == r.attempt {
			continue
		}
		if held.Clock > r.deadline {
			c.note("not running", "task", name, "attempt", r.attempt, "worker", w.host.ID, "state", int(r.state),
				"born", held.Born, "ended", w.ended, "seen", w.seen)
			c.endRun(r, provider.EndLapsed, "")
		}
	}
}
