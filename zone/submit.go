package zone

import (
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
)

func (s *State) submit(body *record.Submit, o *Outcome) {
	taken := 0
	for _, r := range body.Tasks {
		if reason := s.submittable(r); reason != None {
			o.refuse(r.ID, reason)
			continue
		}
		o.change(s.addAgain(r))
		taken++
	}
	o.voidIfRefused(taken)
}

// addAgain adds a task, in place of a known one that was released.
func (s *State) addAgain(r record.Task) *task {
	before := s.tasks[r.ID]
	if before == nil {
		return s.add(r)
	}
	s.drop(slices.Index(s.ended, before))
	t := s.add(r)
	t.attempt = before.attempt + 1
	return t
}

// released reports whether a known task may be declared anew.
func released(t *task, r record.Task) bool {
	return r.Declared && !t.declared && ended(t.state)
}

func (s *State) submittable(r record.Task) Reason {
	if !validTask(r) {
		return Malformed
	}
	if t := s.tasks[r.ID]; t != nil && !released(t, r) {
		return KnownTask
	}
	size := taskOverhead + len(r.ID) + len(r.Job) + len(r.Command) + len(r.Group)
	if s.live() >= s.settings.MaxTasks || s.bytes-s.endedBytes+size > s.settings.MaxBytes {
		return Full
	}
	return None
}

func (s *State) cancel(body *record.Cancel, o *Outcome) {
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
		for _, t := range s.ofJob(job) {
			s.cancelTask(t, o)
			taken++
		}
	}
	o.voidIfRefused(taken)
}

func (s *State) cancelTask(t *task, o *Outcome) Reason {
	next, err := taskChart.Next(t.state, eventCancel)
	if err != nil && !t.declared {
		return AlreadyEnded
	}
	t.declared = false
	if err != nil {
		o.change(t)
		return None
	}
	if next == t.state {
		return None
	}
	s.move(t, next, t.owner)
	o.change(t)
	return None
}

func (s *State) park(body *record.Park, o *Outcome) {
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
	s.setNote(t, body.Reason)
	s.move(t, next, nil)
	o.change(t)
}
