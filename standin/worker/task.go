package worker

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const fullSpeed = 100 // percent

// task is one attempt that the worker holds. Its progress is counted in work
// at full speed and computed when asked for; nothing runs in between.
type task struct {
	spec       provider.TaskSpec
	program    program
	state      provider.TaskState
	checkpoint string
	result     string
	reason     string
	until      time.Time // end of a batch task's lease
	percent    int       // speed
	done       time.Duration
	measured   time.Time // when done was brought up to date
	traffic    traffic   // of a service replica
}

func newTask(spec provider.TaskSpec, p program, resumed time.Duration, now time.Time) *task {
	return &task{
		spec:       spec,
		program:    p,
		state:      provider.TaskRunning,
		checkpoint: spec.Checkpoint,
		percent:    fullSpeed,
		done:       resumed,
		measured:   now,
	}
}

func (t *task) isBatch() bool {
	return t.spec.Kind == provider.KindBatch
}

func (t *task) progress(now time.Time) time.Duration {
	return t.done + now.Sub(t.measured)*time.Duration(t.percent)/fullSpeed
}

func (t *task) throttle(percent int, now time.Time) {
	t.done = t.progress(now)
	t.measured = now
	t.percent = percent
}

// finish returns when the program ends at the present speed, if ever.
func (t *task) finish() (time.Time, bool) {
	if t.program.endless || t.percent == 0 {
		return time.Time{}, false
	}
	left := max(t.program.work-t.done, 0)
	return t.measured.Add(left * fullSpeed / time.Duration(t.percent)), true
}

// next returns when a batch task will end, and whether by itself rather than
// by its lease.
func (t *task) next() (at time.Time, finished bool) {
	finish, ok := t.finish()
	if ok && !finish.After(t.until) {
		return finish, true
	}
	return t.until, false
}

// lastCheckpoint returns the newest checkpoint taken every so much work.
func (t *task) lastCheckpoint(now time.Time, every time.Duration) string {
	taken := t.progress(now).Truncate(every)
	if taken <= 0 {
		return t.spec.Checkpoint
	}
	return max(taken, resumeAt(t.spec.Checkpoint)).String()
}

func (t *task) used() resource.Vector {
	if !t.isBatch() {
		return t.spec.Need
	}
	factor := t.program.use * float64(t.percent) / fullSpeed
	return resource.Vector{
		Processors:   int64(float64(t.spec.Need.Processors) * factor),
		Memory:       int64(float64(t.spec.Need.Memory) * t.program.use),
		Accelerators: t.spec.Need.Accelerators,
	}
}

func (t *task) running() provider.Running {
	return provider.Running{
		ID:         t.spec.ID,
		Kind:       t.spec.Kind,
		Group:      t.spec.Group,
		Attempt:    t.spec.Attempt,
		State:      t.state,
		Need:       t.spec.Need,
		Checkpoint: t.checkpoint,
		Result:     t.result,
		Reason:     t.reason,
	}
}

func resumeAt(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}
