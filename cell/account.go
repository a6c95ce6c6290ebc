package cell

import (
	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// noteEnd logs the end of a job with what held it up, for those who ask later
// why it was late.
func (c *Cell) noteEnd(j *jobState) {
	fields := []any{"job", j.job.ID, "state", j.progress.State.String(), "after", c.now - j.arrived, "kind", j.kind(), "objective", j.objective()}
	if j.old {
		fields = append(fields, "taken", true)
	}
	for _, cause := range delay.All() {
		if d := j.delays.Of(cause); d > 0 {
			fields = append(fields, cause.String(), d)
		}
	}
	c.note("job ended", fields...)
}

// kind tells what sort of work a job is.
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

// account puts down what a run that has ended cost its task.
func (c *Cell) account(r *run, how provider.End) {
	d := &r.task.delays
	ran := c.now - r.began
	switch how {
	case provider.EndDone:
		r.slowed += r.belowSpeed(c.now)
		d.Add(delay.Slowed, r.slowed)
		d.Add(delay.Longer, ran-r.slowed-r.task.step.spec.Estimate)
	case provider.EndFailed:
		d.Add(delay.Failed, ran)
	case provider.EndStopped:
		d.Add(delay.Moved, ran)
	default:
		d.Add(delay.Lost, ran)
	}
}
