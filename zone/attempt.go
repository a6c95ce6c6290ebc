package zone

import (
	"cmp"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const (
	maxStreak = 3 // distinct tasks that a worker fails in a row before it is quarantined
	maxBlames = 3 // distinct sound workers that a task fails on before it is parked

	// maxFailures bounds the failed attempts of a task that finds no third
	// worker to fail on.
	maxFailures = 8
)

// current returns a task that hasn't ended, if a is its current attempt.
func (s *State) current(a record.Attempt) (*task, Reason) {
	t := s.tasks[a.Task]
	if t == nil {
		return nil, UnknownTask
	}
	if ended(t.state) {
		return nil, AlreadyEnded
	}
	if t.attempt != a.Number {
		return nil, OldAttempt
	}
	return t, None
}

// attempted returns the task whose current attempt the writer may end, and
// nil with the outcome void otherwise.
//
// What goes wrong: the end of an attempt is reported late, twice, or by an
// owner that has lost the task since. One would notice a second completion, or
// a task resumed twice from one eviction. Only the current attempt in the
// writer's own escrow can be ended, and ending it makes it stale.
func (s *State) attempted(by *run, a record.Attempt, o *Outcome) *task {
	t, reason := s.current(a)
	if reason == None {
		reason = s.heldBy(by, t)
	}
	if reason != None {
		o.void(reason, a.Task)
		return nil
	}
	return t
}

func (s *State) done(by *run, body *record.Done, o *Outcome) {
	t := s.attempted(by, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setNote(t, "")
	s.setNote(t, body.Result)
	next, _ := taskChart.Next(t.state, eventComplete) // every task in an escrow takes it
	s.move(t, next, nil)
	o.change(t)
	if w := s.workers[body.Worker]; w != nil {
		w.streak = nil
		s.release(w)
	}
}

func (s *State) evicted(by *run, body *record.Evicted, o *Outcome) {
	t := s.attempted(by, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setCheckpoint(t, body.Checkpoint)
	s.requeue(t, eventEvict, o)
}

func (s *State) failed(by *run, body *record.Failed, o *Outcome) {
	t := s.attempted(by, body.Attempt, o)
	if t == nil {
		return
	}
	s.setWorker(t, body.Worker)
	s.setNote(t, body.Reason)
	event := eventFail
	if s.blame(s.workers[body.Worker], t, o) {
		event = eventExhaust
	}
	s.requeue(t, event, o)
}

// requeue ends an attempt. The task goes on with the next one, or is
// cancelled when that was asked for.
func (s *State) requeue(t *task, event chart.Event, o *Outcome) {
	next, _ := taskChart.Next(t.state, event) // every task in an escrow takes it
	if event == eventFail || event == eventExhaust {
		t.group.Failed++
	} else {
		t.group.Evicted++
	}
	t.attempt++
	t.found = false
	s.move(t, next, nil)
	o.change(t)
}

// blame counts a failure on the worker and the task and reports whether the
// task has failed on enough workers. The worker is nil when it is unknown.
//
// What goes wrong: a worker that fails everything uses up the attempts of
// sound tasks, and a task that can't run uses up sound workers. One would
// notice tasks parked that run elsewhere, or the same task starting for ever.
// A worker that fails several tasks in a row takes the blame from all of them;
// a task that fails on several other workers is to blame itself. A task counts
// against the first worker that it fails on only: tasks that can't run would
// otherwise put one worker after the other out of service.
func (s *State) blame(w *worker, t *task, o *Outcome) bool {
	first := !t.suspect
	t.suspect = true
	if w == nil || w.quarantined() {
		return false
	}
	t.failures++
	if first && len(w.streak) < maxStreak {
		w.streak = append(w.streak, t.id)
	}
	if len(w.streak) >= maxStreak {
		s.isolate(w, o)
		return false
	}
	s.setBlame(w, t)
	return len(s.blames[t]) >= maxBlames || t.failures >= maxFailures
}

func (s *State) setBlame(w *worker, t *task) {
	if w.blamed[t] {
		return
	}
	if w.blamed == nil {
		w.blamed = map[*task]bool{}
	}
	w.blamed[t] = true
	s.blames[t] = append(s.blames[t], w)
}

// unblame drops the failures of an ended task.
func (s *State) unblame(t *task) {
	for _, w := range s.blames[t] {
		delete(w.blamed, t)
	}
	delete(s.blames, t)
}

// isolate quarantines a worker and takes its failures off the tasks. A task
// that was parked for its failures is queued again.
func (s *State) isolate(w *worker, o *Outcome) {
	w.until = s.now + s.settings.Quarantine.Microseconds()
	s.quarantine = append(s.quarantine, w)
	if w.owner != nil {
		w.owner.shape(w.capacity, -1)
	}
	blamed := make([]*task, 0, len(w.blamed))
	for t := range w.blamed {
		blamed = append(blamed, t)
	}
	slices.SortFunc(blamed, func(a, b *task) int { return cmp.Compare(a.serial, b.serial) })
	for _, t := range blamed {
		s.absolve(w, t, o)
	}
	w.blamed = nil
}

func (s *State) absolve(w *worker, t *task, o *Outcome) {
	exhausted := len(s.blames[t]) >= maxBlames || t.failures >= maxFailures
	t.failures = 0
	s.blames[t] = slices.DeleteFunc(s.blames[t], func(other *worker) bool { return other == w })
	if len(s.blames[t]) == 0 {
		delete(s.blames, t)
	}
	next, err := taskChart.Next(t.state, eventAbsolve)
	if !exhausted || err != nil {
		return
	}
	s.move(t, next, nil)
	o.change(t)
}

// release ends a worker's quarantine.
func (s *State) release(w *worker) {
	if !w.quarantined() {
		return
	}
	w.until = 0
	if w.owner != nil {
		w.owner.shape(w.capacity, 1)
	}
	s.quarantine = slices.DeleteFunc(s.quarantine, func(other *worker) bool { return other == w })
}
