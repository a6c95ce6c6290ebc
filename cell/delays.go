package cell

import (
	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// logJobEnd logs the end of a job with the causes of its delays, so that an operator can
// find out later why it was late.
func (c *Cell) logJobEnd(j *jobState) {
	fields := []any{"job", j.job.ID, "state", j.progress.State.String(), "after", c.now - j.acceptedAt, "kind", j.kind(), "objective", j.objective()}
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

// kind returns the job's kind of work, for the log.
func (j *jobState) kind() string {
	if j.job.Lasting() {
		return "lasting"
	}
	for i := range j.job.Steps {
		if j.job.Steps[i].Fills {
			return "filling"
		}
	}
	return "urgent"
}

// recordDelays adds the time that an ended run cost its task to the task's delays. While a
// task has two runs, the time counts once: as that of the run which completes the task,
// from the start of the earlier run on, or else as that of the run that continues.
func (c *Cell) recordDelays(r *run, end provider.End) {
	if r.task.done {
		return
	}
	d := &r.task.delays
	ran := c.now - r.orderedAt
	if other := r.task.run; other != nil {
		if end == provider.EndDone {
			ran = c.now - min(r.orderedAt, other.orderedAt)
		} else {
			ran = other.orderedAt - r.orderedAt
		}
	}
	switch end {
	case provider.EndDone:
		r.timeLost += r.timeLostSincePace(c.now)
		d.Add(delay.Slowed, r.timeLost)
		d.Add(delay.Longer, ran-r.timeLost-r.task.step.spec.Estimate)
	case provider.EndFailed:
		d.Add(delay.Failed, ran)
	case provider.EndStopped:
		d.Add(delay.Moved, ran)
	default:
		d.Add(delay.Lost, ran)
	}
}
