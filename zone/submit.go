package zone

import (
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
)

func (s *State) applySubmit(body *record.Submit, o *Outcome) {
	taken := 0
	for _, r := range body.Tasks {
		if reason := s.checkSubmit(r); reason != None {
			o.refuse(r.ID, reason)
			continue
		}
		o.addChanged(s.addOrReplace(r))
		taken++
	}
	o.voidIfRefused(taken)
}

// addOrReplace adds a task. If it replaces an ended one, its attempt number
// continues from there.
func (s *State) addOrReplace(r record.Task) *task {
	previous := s.tasks[r.ID]
	if previous == nil {
		return s.addTask(r)
	}
	s.forgetEnded(slices.Index(s.ended, previous))
	t := s.addTask(r)
	t.attempt = previous.attempt + 1
	return t
}

// canRedeclare reports whether a known task may be submitted again as declared.
func canRedeclare(t *task, r record.Task) bool {
	return r.Declared && !t.declared && isEnded(t.state)
}

func (s *State) checkSubmit(r record.Task) Reason {
	if !isValidTask(r) {
		return Malformed
	}
	if t := s.tasks[r.ID]; t != nil && !canRedeclare(t, r) {
		return KnownTask
	}
	size := taskOverhead + len(r.ID) + len(r.Job) + len(r.Command) + len(r.Group)
	if s.liveCount() >= s.settings.MaxTasks || s.bytes-s.endedBytes+size > s.settings.MaxBytes {
		return Full
	}
	return None
}

func (s *State) applyCancel(body *record.Cancel, o *Outcome) {
	taken := 0
	for _, id := range body.Tasks {
		t := s.tasks[id]
		if t == nil {
			o.refuse(id, UnknownTask)
			continue
		}
		if reason := s.cancelTask(t, o); reason != None {
			o.refuse(id, reason)
			continue
		}
		taken++
	}
	for _, job := range body.Jobs {
		live := s.liveTasksOfJob(job)
		for _, t := range live {
			s.cancelTask(t, o)
			taken++
		}
		if len(live) == 0 && !s.hasEndedTask(job) {
			o.refuse(job, UnknownJob)
		}
	}
	o.voidIfRefused(taken)
}

// hasEndedTask reports whether any ended task of a job is remembered.
func (s *State) hasEndedTask(job string) bool {
	return slices.ContainsFunc(s.ended, func(t *task) bool { return t.job == job })
}

func (s *State) cancelTask(t *task, o *Outcome) Reason {
	next, err := taskChart.Next(t.state, eventCancel)
	if err != nil && !t.declared {
		return AlreadyEnded
	}
	t.declared = false
	if err != nil {
		o.addChanged(t)
		return None
	}
	if next == t.state {
		return None
	}
	s.transition(t, next, t.owner)
	o.addChanged(t)
	return None
}

func (s *State) applyPark(body *record.Park, o *Outcome) {
	t := s.tasks[body.Task]
	if t == nil {
		o.void(UnknownTask, body.Task)
		return
	}
	next, err := taskChart.Next(t.state, eventPark)
	if err != nil {
		o.void(NotQueued, body.Task)
		return
	}
	s.setMessage(t, body.Reason)
	s.transition(t, next, nil)
	o.addChanged(t)
}
