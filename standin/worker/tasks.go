package worker

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Start runs a task. To start an attempt that is held already changes
// nothing.
func (w *Worker) Start(epoch uint64, spec provider.TaskSpec) error {
	if err := checkSpec(spec); err != nil {
		return err
	}
	failing := w.Get().Fail
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch, now); err != nil {
		return err
	}
	if held, ok := w.tasks[spec.ID]; ok {
		return checkHeld(held, spec)
	}
	if err := w.checkRoom(spec); err != nil {
		return err
	}
	t := newTask(spec, w.program(spec, failing), resumeAt(spec.Checkpoint), now)
	t.until = later(w.lease.tasksUntil, w.lease.until)
	w.tasks[spec.ID] = t
	w.ledger.start(t, now)
	w.settle(now)
	return nil
}

// Stop ends a running task; its result is kept.
func (w *Worker) Stop(epoch uint64, id string, checkpoint bool) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.find(epoch, id, now)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	w.end(t, now, provider.TaskStopped, "stopped on request")
	if checkpoint && t.isBatch() {
		t.checkpoint = t.progress(now).String()
	}
	return nil
}

// Throttle sets a task's speed; zero halts it.
func (w *Worker) Throttle(epoch uint64, id string, percent int) error {
	if percent < 0 || percent > fullSpeed {
		return fault.New(fault.Invalid, "percent %d", percent)
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.find(epoch, id, now)
	if err != nil || t.state != provider.TaskRunning {
		return err
	}
	t.throttle(percent, now)
	return nil
}

// Acknowledge forgets results. Unknown and running tasks are left.
func (w *Worker) Acknowledge(epoch uint64, ids []string) error {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch, now); err != nil {
		return err
	}
	for _, id := range ids {
		if t, ok := w.tasks[id]; ok && t.state != provider.TaskRunning {
			delete(w.tasks, id)
		}
	}
	return nil
}

// settle brings the worker up to now: tasks end, and usage is measured, in
// the order of their times.
func (w *Worker) settle(now time.Time) {
	w.skipSamples(now)
	for {
		t, at, finished := w.nextEnd()
		sampleAt := w.sampled.Add(w.interval)
		if !sampleAt.After(now) && (t == nil || !sampleAt.After(at)) {
			w.sample(sampleAt)
			continue
		}
		if t == nil || at.After(now) {
			break
		}
		w.endByItself(t, at, finished)
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
		end, byItself := t.next()
		if next == nil || end.Before(at) {
			next, at, finished = t, end, byItself
		}
	}
	return next, at, finished
}

func (w *Worker) endByItself(t *task, at time.Time, finished bool) {
	switch {
	case !finished:
		w.end(t, at, provider.TaskStopped, "task lease ended")
	case t.program.failure != "":
		w.end(t, at, provider.TaskFailed, t.program.failure)
	default:
		w.end(t, at, provider.TaskDone, "")
		t.result = "done on " + w.id
	}
}

func (w *Worker) end(t *task, at time.Time, state provider.TaskState, reason string) {
	if t.isBatch() {
		t.checkpoint = t.lastCheckpoint(at, w.checkpoint)
	}
	t.state = state
	t.reason = reason
	w.ledger.end(t, at)
}

func (w *Worker) find(epoch uint64, id string, now time.Time) (*task, error) {
	if err := w.enter(epoch, now); err != nil {
		return nil, err
	}
	t, ok := w.tasks[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "no task %q", id)
	}
	return t, nil
}

func (w *Worker) program(spec provider.TaskSpec, fails bool) program {
	if fails {
		return failing("worker " + w.id + " fails everything")
	}
	return compile(spec, w.id)
}

func (w *Worker) checkRoom(spec provider.TaskSpec) error {
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

func (w *Worker) running() []provider.Running {
	held := make([]provider.Running, 0, len(w.tasks))
	for _, t := range w.tasks {
		held = append(held, t.running())
	}
	slices.SortFunc(held, func(a, b provider.Running) int { return strings.Compare(a.ID, b.ID) })
	return held
}

func checkHeld(held *task, spec provider.TaskSpec) error {
	if held.spec.Attempt == spec.Attempt {
		return nil
	}
	return fault.New(fault.Conflict, "task %q is held, attempt %d, %s", spec.ID, held.spec.Attempt, held.state)
}

func checkSpec(spec provider.TaskSpec) error {
	switch {
	case spec.ID == "" || len(spec.ID) > maxID:
		return fault.New(fault.Invalid, "task ID %q", spec.ID)
	case spec.Kind != provider.KindBatch && spec.Kind != provider.KindService:
		return fault.New(fault.Invalid, "task kind %q", spec.Kind)
	case spec.Need.IsNegative():
		return fault.New(fault.Invalid, "need %v", spec.Need)
	case spec.Duration < 0 || spec.Duration > maxWork:
		return fault.New(fault.Invalid, "duration %v, want up to %v", spec.Duration, maxWork)
	case spec.Slots < 0:
		return fault.New(fault.Invalid, "slots %d", spec.Slots)
	}
	if _, err := time.ParseDuration(spec.Checkpoint); spec.Checkpoint != "" && err != nil {
		return fault.New(fault.Invalid, "checkpoint %q", spec.Checkpoint)
	}
	return nil
}
