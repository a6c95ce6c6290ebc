package worker

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Start starts a task. It is idempotent for an attempt that the worker holds
// already.
func (w *Worker) Start(epoch uint64, spec provider.TaskSpec) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	failing := w.Get().Fail
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch, now); err != nil {
		return err
	}
	if held, ok := w.tasks[spec.ID]; ok {
		return checkSameAttempt(held, spec)
	}
	if err := w.checkCapacity(spec); err != nil {
		return err
	}
	t := newTask(spec, w.programOf(spec, failing), checkpointProgress(spec.Checkpoint), now)
	t.leaseUntil = later(w.lease.tasksUntil, w.lease.until)
	w.tasks[spec.ID] = t
	w.ledger.recordStart(t, now)
	w.advance(now)
	return nil
}

// Stop ends a running task; its result is kept until it is acknowledged.
func (w *Worker) Stop(epoch uint64, id string, checkpoint bool) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(epoch, id, now)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	w.endTask(t, now, provider.TaskStopped, "stopped on request")
	if checkpoint && t.isBatch() {
		t.checkpoint = t.progress(now).String()
	}
	return nil
}

// Throttle sets a task's speed in percent; zero halts the task.
func (w *Worker) Throttle(epoch uint64, id string, percent int) error {
	if percent < 0 || percent > fullSpeed {
		return fault.New(fault.Invalid, "speed of %d percent outside 0 to %d", percent, fullSpeed)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.findTask(epoch, id, now)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	t.throttle(percent, now)
	return nil
}

// Acknowledge removes ended tasks with their results. It ignores unknown and
// running tasks.
func (w *Worker) Acknowledge(epoch uint64, ids []string) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch, now); err != nil {
		return err
	}
	for _, id := range ids {
		if t, ok := w.tasks[id]; ok && t.state != provider.TaskRunning {
			delete(w.tasks, id)
		}
	}
	return nil
}

// advance advances the worker's state to now: it ends tasks and measures usage in
// order of time.
func (w *Worker) advance(now time.Time) {
	w.skipOldSamples(now)
	for {
		t, at, finished := w.nextEnd()
		sampleAt := w.lastSampleAt.Add(w.interval)
		if !sampleAt.After(now) && (t == nil || !sampleAt.After(at)) {
			w.takeSample(sampleAt)
			continue
		}
		if t == nil || at.After(now) {
			break
		}
		w.endOnTime(t, at, finished)
	}
	for _, t := range w.tasks {
		if t.isBatch() && t.state == provider.TaskRunning {
			t.checkpoint = t.lastCheckpoint(now, w.checkpoint)
		}
	}
}

func (w *Worker) nextEnd() (next *task, at time.Time, finished bool) {
	for _, t := range w.tasks {
		if !t.isBatch() || t.state != provider.TaskRunning {
			continue
		}
		end, byItself := t.nextEnd()
		if next == nil || end.Before(at) {
			next, at, finished = t, end, byItself
		}
	}
	return next, at, finished
}

// endOnTime ends a task at its computed end. If its program finished, the task
// has failed or is done; otherwise it is stopped because its lease ended.
func (w *Worker) endOnTime(t *task, at time.Time, finished bool) {
	switch {
	case !finished:
		w.endTask(t, at, provider.TaskStopped, "task lease ended")
	case t.program.failure != "":
		w.endTask(t, at, provider.TaskFailed, t.program.failure)
	default:
		w.endTask(t, at, provider.TaskDone, "")
		t.result = "done on " + w.id
	}
}

func (w *Worker) endTask(t *task, at time.Time, state provider.TaskState, reason string) {
	if t.isBatch() {
		t.checkpoint = t.lastCheckpoint(at, w.checkpoint)
	}
	t.state = state
	t.reason = reason
	w.ledger.recordEnd(t, at)
}

func (w *Worker) findTask(epoch uint64, id string, now time.Time) (*task, error) {
	if err := w.checkEpoch(epoch, now); err != nil {
		return nil, err
	}
	t, ok := w.tasks[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "no task %q", id)
	}
	return t, nil
}

func (w *Worker) programOf(spec provider.TaskSpec, fails bool) program {
	if fails {
		return failingProgram("worker " + w.id + " fails everything")
	}
	return parseProgram(spec, w.id)
}

func (w *Worker) checkCapacity(spec provider.TaskSpec) error {
	if len(w.tasks) >= MaxTasks {
		return fault.New(fault.Overloaded, "more than %d tasks held", MaxTasks)
	}
	var sum resource.Vector
	for _, t := range w.tasks {
		if t.state == provider.TaskRunning {
			sum = sum.Add(t.spec.Need)
		}
	}
	if free := w.capacity.Sub(sum); !spec.Need.Fits(free) {
		return fault.New(fault.Overloaded, "need %v, free %v", spec.Need, free)
	}
	return nil
}

func (w *Worker) taskReports() []provider.TaskStatus {
	held := make([]provider.TaskStatus, 0, len(w.tasks))
	for _, t := range w.tasks {
		held = append(held, t.report())
	}
	slices.SortFunc(held, func(a, b provider.TaskStatus) int { return strings.Compare(a.ID, b.ID) })
	return held
}

func checkSameAttempt(held *task, spec provider.TaskSpec) error {
	if held.spec.Attempt == spec.Attempt {
		return nil
	}
	return fault.New(fault.Conflict, "worker holds task %q already, attempt %d, %s", spec.ID, held.spec.Attempt, held.state)
}

func checkSpec(spec provider.TaskSpec) error {
	switch {
	case spec.ID == "" || len(spec.ID) > maxID:
		return fault.New(fault.Invalid, "task ID %q, want 1 to %d bytes", spec.ID, maxID)
	case spec.Kind != provider.KindBatch && spec.Kind != provider.KindService:
		return fault.New(fault.Invalid, "task kind %q", spec.Kind)
	case spec.Need.IsNegative():
		return fault.New(fault.Invalid, "need %v is negative", spec.Need)
	case spec.Duration < 0 || spec.Duration > maxWork:
		return fault.New(fault.Invalid, "duration %v, want up to %v", spec.Duration, maxWork)
	case spec.Slots < 0:
		return fault.New(fault.Invalid, "slots %d are negative", spec.Slots)
	}
	if _, err := time.ParseDuration(spec.Checkpoint); spec.Checkpoint != "" && err != nil {
		return fault.New(fault.Invalid, "checkpoint %q isn't a duration", spec.Checkpoint)
	}
	return nil
}
