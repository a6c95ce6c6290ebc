package worker

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

const fullSpeed = 100 // percent

// task is one attempt at a task, running or ended. Its progress is the work done,
// in time at full speed. It is computed on demand; no goroutine runs for a task.
type task struct {
	spec       provider.TaskSpec
	program    program
	state      provider.TaskState
	checkpoint string
	result     string
	reason     string
	leaseUntil time.Time // end of a batch task's lease
	percent    int       // speed
	workDone   time.Duration
	workDoneAt time.Time // when workDone was last updated
	traffic    traffic   // of a service replica
}

func newTask(spec provider.TaskSpec, p program, resumed time.Duration, now time.Time) *task {
	return &task{
		spec:       spec,
		program:    p,
		state:      provider.TaskRunning,
		checkpoint: spec.Checkpoint,
		percent:    fullSpeed,
		workDone:   resumed,
		workDoneAt: now,
	}
}

func (t *task) isBatch() bool {
	return t.spec.Kind == provider.KindBatch
}

func (t *task) progress(now time.Time) time.Duration {
	return t.workDone + now.Sub(t.workDoneAt)*time.Duration(t.percent)/fullSpeed
}

func (t *task) throttle(percent int, now time.Time) {
	t.workDone = t.progress(now)
	t.workDoneAt = now
	t.percent = percent
}

// finishTime returns when the program ends at the current speed, if ever.
func (t *task) finishTime() (time.Time, bool) {
	if t.program.endless || t.percent == 0 {
		return time.Time{}, false
	}
	left := max(t.program.workTime-t.workDone, 0)
	return t.workDoneAt.Add(left * fullSpeed / time.Duration(t.percent)), true
}

// nextEnd returns when a batch task ends, and whether its program finishes then;
// otherwise its lease ends.
func (t *task) nextEnd() (at time.Time, finished bool) {
	finish, ok := t.finishTime()
	if ok && !finish.After(t.leaseUntil) {
		return finish, true
	}
	return t.leaseUntil, false
}

// lastCheckpoint returns the newest checkpoint, with one taken after each amount
// every of work.
func (t *task) lastCheckpoint(now time.Time, every time.Duration) string {
	taken := t.progress(now).Truncate(every)
	if taken <= 0 {
		return t.spec.Checkpoint
	}
	return max(taken, checkpointProgress(t.spec.Checkpoint)).String()
}

func (t *task) used() resource.Vector {
	if !t.isBatch() {
		return t.spec.Need
	}
	factor := t.program.usageFactor * float64(t.percent) / fullSpeed
	return resource.Vector{
		Processors:   int64(float64(t.spec.Need.Processors) * factor),
		Memory:       int64(float64(t.spec.Need.Memory) * t.program.usageFactor),
		Accelerators: t.spec.Need.Accelerators,
	}
}

func (t *task) report() provider.TaskStatus {
	return provider.TaskStatus{
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

func checkpointProgress(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint)
	if err != nil {
		return 0
	}
	return d
}
