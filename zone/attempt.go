package zone

import (
	"cmp"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const (
	maxFailureStreak = 3 // distinct tasks that a worker fails in a row before it is quarantined
	maxFailedWorkers = 3 // distinct workers, none quarantined, that a task fails on before it is parked

	// maxFailures parks a task that fails repeatedly but on fewer than
	// maxFailedWorkers distinct workers.
	maxFailures = 8
)

// currentAttempt returns the task of a if it hasn't ended and a is its
// current attempt, and otherwise the reason why a is refused.
func (s *State) currentAttempt(a record.Attempt) (*task, Reason) {
	t := s.tasks[a.Task]
	if t == nil {
		return nil, UnknownTask
	}
	if isEnded(t.state) {
		return nil, AlreadyEnded
	}
	if t.attempt != a.Number {
		return nil, OldAttempt
	}
	return t, None
}

// attemptToEnd returns the task whose current attempt the writer may end, or
// nil after marking the outcome void.
//
// The end of an attempt may be reported late, twice, or by an owner that has
// lost the task since. Accepting it would complete a task twice or resume it
// twice from one eviction. Only the current attempt in the writer's own escrow
// can be ended, and ending it makes the attempt number stale.
func (s *State) attemptToEnd(writer *incarnation, a record.Attempt, o *Outcome) *task {
	t, reason := s.currentAttempt(a)
	if reason == None {
		reason = s.checkOwner(writer, t)
	}
	if reason != None {
		o.void(reason, a.Task)
		return nil
	}
	return t
}

func (s *State) applyDone(writer *incarnation, body *record.Done, o *Outcome) {
	t := s.attemptToEnd(writer, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setMessage(t, "")
	s.setMessage(t, body.Result)
	next, _ := taskChart.Next(t.state, eventComplete) // valid in every escrow state
	s.transition(t, next, nil)
	o.addChanged(t)
	if w := s.workers[body.Worker]; w != nil {
		w.failureStreak = nil
		s.endQuarantine(w)
	}
}

func (s *State) applyEvicted(writer *incarnation, body *record.Evicted, o *Outcome) {
	t := s.attemptToEnd(writer, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setCheckpoint(t, body.Checkpoint)
	s.requeue(t, eventEvict, o)
}

func (s *State) applyFailed(writer *incarnation, body *record.Failed, o *Outcome) {
	t := s.attemptToEnd(writer, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setMessage(t, body.Reason)
	event := eventFail
	if s.recordFailure(s.workers[body.Worker], t, o) {
		event = eventExhaust
	}
	s.requeue(t, event, o)
}

// requeue ends the current attempt. The event decides whether the task is
// queued for its next attempt or parked; a task in cancelling is cancelled.
func (s *State) requeue(t *task, event chart.Event, o *Outcome) {
	next, _ := taskChart.Next(t.state, event) // valid in every escrow state
	if event == eventFail || event == eventExhaust {
		t.group.Failed++
	} else {
		t.group.Evicted++
	}
	t.attempt++
	t.foundOnWorker = false
	s.transition(t, next, nil)
	o.addChanged(t)
}

// recordFailure counts a failure for the worker and the task and reports
// whether the task must be parked. The worker is nil when it is unknown.
//
// It tells a defective worker from a defective task. Otherwise a worker that
// fails everything would get tasks parked that run elsewhere, and a task that
// can't run would be restarted forever. A worker that fails several distinct
// tasks in a row is quarantined and its failures are taken off those tasks; a
// task that fails on several other workers is parked. Only the first worker
// that a task fails on counts it in its streak: tasks that can't run would
// otherwise quarantine one worker after the other.
func (s *State) recordFailure(w *worker, t *task, o *Outcome) bool {
	first := !t.hasFailed
	t.hasFailed = true
	if w == nil || w.isQuarantined() {
		return false
	}
	t.failures++
	if first && len(w.failureStreak) < maxFailureStreak {
		w.failureStreak = append(w.failureStreak, t.id)
	}
	if len(w.failureStreak) >= maxFailureStreak {
		s.quarantineWorker(w, o)
		return false
	}
	s.addFailure(w, t)
	return len(s.failedOn[t]) >= maxFailedWorkers || t.failures >= maxFailures
}

func (s *State) addFailure(w *worker, t *task) {
	if w.failedTasks[t] {
		return
	}
	if w.failedTasks == nil {
		w.failedTasks = map[*task]bool{}
	}
	w.failedTasks[t] = true
	s.failedOn[t] = append(s.failedOn[t], w)
}

// clearFailures drops the failures of an ended task.
func (s *State) clearFailures(t *task) {
	for _, w := range s.failedOn[t] {
		delete(w.failedTasks, t)
	}
	delete(s.failedOn, t)
}

// quarantineWorker quarantines a worker and takes its failures off the tasks.
// A task that was parked for its failures is queued again.
func (s *State) quarantineWorker(w *worker, o *Outcome) {
	w.quarantinedUntil = s.now + s.settings.Quarantine.Microseconds()
	s.quarantined = append(s.quarantined, w)
	if w.owner != nil {
		w.owner.countCapacity(w.capacity, -1)
	}
	failedTasks := make([]*task, 0, len(w.failedTasks))
	for t := range w.failedTasks {
		failedTasks = append(failedTasks, t)
	}
	slices.SortFunc(failedTasks, func(a, b *task) int { return cmp.Compare(a.serial, b.serial) })
	for _, t := range failedTasks {
		s.removeFailure(w, t, o)
	}
	w.failedTasks = nil
}

// removeFailure takes the failure on w off t and queues t again if it was
// parked for its failures.
func (s *State) removeFailure(w *worker, t *task, o *Outcome) {
	exhausted := len(s.failedOn[t]) >= maxFailedWorkers || t.failures >= maxFailures
	t.failures = 0
	s.failedOn[t] = slices.DeleteFunc(s.failedOn[t], func(other *worker) bool { return other == w })
	if len(s.failedOn[t]) == 0 {
		delete(s.failedOn, t)
	}
	next, err := taskChart.Next(t.state, eventAbsolve)
	if !exhausted || err != nil {
		return
	}
	s.transition(t, next, nil)
	o.addChanged(t)
}

// endQuarantine puts a quarantined worker back into service.
func (s *State) endQuarantine(w *worker) {
	if !w.isQuarantined() {
		return
	}
	w.quarantinedUntil = 0
	if w.owner != nil {
		w.owner.countCapacity(w.capacity, 1)
	}
	s.quarantined = slices.DeleteFunc(s.quarantined, func(other *worker) bool { return other == w })
}
