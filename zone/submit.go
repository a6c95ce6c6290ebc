package zone

import "github.com/dogwoodladder/dogwoodladder/record"

func (s *State) submit(body *record.Submit, o *Outcome) {
	taken := 0
	for _, r := range body.Tasks {
		if reason := s.submittable(r); reason != None {
			o.refuse(r.ID, reason)
			continue
		}
		o.change(s.add(r))
		taken++
	}
	o.voidIfRefused(taken)
}

func (s *State) submittable(r record.Task) Reason {
	if !validTask(r) {
		return Malformed
	}
	if s.tasks[r.ID] != nil {
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
	if err != nil {
		return AlreadyEnded
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
