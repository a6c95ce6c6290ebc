package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/excess"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// logJobEnd logs the end of a job with the causes of its delays, so that an operator can
// find out later why it was late.
func (c *Cell) logJobEnd(j *jobState) {
	after := c.now - j.acceptedAt
	if j.job.Scheduled() {
		after = j.longestRound // the objective is that of an occurrence
	}
	fields := []any{"job", j.job.ID, "state", j.progress.State.String(), "after", after, "kind", kindOf(j.job),
		"objective", j.objective(), "stretch", j.terms.StretchFactor(), "fixed", j.terms.Objective}
	if j.progress.State == progress.Completed && j.workChain > 0 && !j.inherited {
		fields = append(fields, "chain", j.workChain)
	}
	if j.inherited {
		fields = append(fields, "taken", true)
	}
	for _, cause := range delay.All() {
		if d := j.delays.Of(cause); d > 0 {
			fields = append(fields, cause.String(), d)
		}
	}
	c.logEvent("job ended", fields...)
}

// kindOf returns a job's kind of work, for the log.
func kindOf(j *job.Job) string {
	if j.Lasting() {
		return "lasting"
	}
	for i := range j.Steps {
		if j.Steps[i].Fills {
			return "filling"
		}
	}
	return "urgent"
}

// specOf returns the job and the step of a run, nil if they aren't known. A run that isn't
// needed has no task, but its job may be known.
func (c *Cell) specOf(r *run) (*job.Job, *job.Step) {
	if r.task != nil {
		return r.task.step.job.job, r.task.step.spec
	}
	id, err := job.ParseTask(r.name)
	if err != nil || c.jobs[id.Job] == nil || id.Step >= len(c.jobs[id.Job].job.Steps) {
		return nil, nil
	}
	j := c.jobs[id.Job].job
	return j, &j.Steps[id.Step]
}

// kindOfRun returns the kind of work of a run's job, for the log.
func (c *Cell) kindOfRun(r *run) string {
	if j, _ := c.specOf(r); j != nil {
		return kindOf(j)
	}
	return "unknown"
}

// coresOf returns how many cores a run uses according to its job, for the log.
func (c *Cell) coresOf(r *run) float64 {
	processors := r.need.Processors
	if _, s := c.specOf(r); s != nil {
		processors = s.Need.Processors // a filling task reserves none
	}
	return float64(processors) / millicoresPerCore
}

// recordDelays adds the time that an ended run cost its task to the task's delays. While a
// task has two runs, the time counts once: what passed before the copy that completes the task
// was started counts as that of a run that was moved.
func (c *Cell) recordDelays(r *run, end provider.End) {
	if r.task.done {
		return
	}
	d := &r.task.delays
	ran := c.now - r.orderedAt
	if other := r.task.run; other != nil {
		if end == provider.EndDone {
			d.Add(delay.Moved, r.orderedAt-other.orderedAt)
		} else {
			ran = other.orderedAt - r.orderedAt
		}
	}
	switch end {
	case provider.EndDone:
		r.timeLost += r.timeLostSincePace(c.now)
		d.Add(delay.Slowed, r.timeLost)
		c.recordWork(r, ran-r.timeLost)
	case provider.EndFailed:
		d.Add(delay.Failed, ran)
	case provider.EndStopped:
		d.Add(delay.Moved, ran)
	default:
		d.Add(delay.Lost, ran)
	}
}

// recordWork splits the time that a completed run took at full speed into its parts. The time
// of a run that an earlier owner started isn't known.
func (c *Cell) recordWork(r *run, took time.Duration) {
	t, s := r.task, r.task.step
	parts := excess.Parts{Work: took}
	if r.attempt >= c.firstAttempt() && !s.spec.Lasting && !t.done {
		parts = c.excess.Split(excess.Run{
			Step:     excess.Step{Job: s.job.job.ID, Occurrence: s.round.number, Number: s.number},
			Class:    excess.Class{Queue: s.job.job.Queue, Image: s.spec.Image},
			Worker:   r.worker.host.ID,
			Took:     took,
			Slowdown: c.slowdownOf(r),
			Last:     s.tasksLeft == 1 || s.spec.Gang,
			Partial:  !r.complete,
		})
		s.longestWork = max(s.longestWork, r.wholeWork(parts.Work))
	}
	beyond := parts.Beyond(s.spec.Estimate)
	t.delays.Add(delay.Interference, beyond.Interference)
	t.delays.Add(delay.Slow, beyond.Slow)
	t.delays.Add(delay.Work, beyond.Work)
}

// wholeWork returns the work of a run's task, given that of the run: one that resumed from a
// checkpoint did a part of it. It is zero if that part isn't known.
func (r *run) wholeWork(work time.Duration) time.Duration {
	switch {
	case r.complete:
		return work
	case !r.fromKnown || r.from >= 100:
		return 0
	}
	return work * 100 / time.Duration(100-r.from)
}

// slowdownOf returns the part of a run's time that the filling tasks beside it cost it, by
// what runs there at its end. A filling run's own share of the idle processors isn't
// interference.
func (c *Cell) slowdownOf(r *run) float64 {
	w := r.worker
	if r.isFilling() || w.fillingProcessors == 0 && len(w.endedFills) == 0 {
		return 0
	}
	var fills []pressure.Fill
	for _, other := range inOrder(w.runs) {
		if other.isFilling() {
			fills = append(fills, c.fillOf(other))
		}
	}
	return c.pressure.Slowdown(r.task.step.spec.Image, append(fills, w.recentFills(c.now)...))
}

// workChain returns the longest chain of work that an occurrence took, zero if the work of a
// step isn't known.
func (r *round) workChain() time.Duration {
	for _, s := range r.steps {
		if s.longestWork == 0 {
			return 0
		}
	}
	steps := r.steps[0].job.job.Steps
	return slices.Max(job.ChainLengths(steps, func(step int) time.Duration { return r.steps[step].longestWork }))
}
