package zone

import "github.com/dogwoodladder/dogwoodladder/record"

// applyClaim moves queued tasks into the writer's escrow.
//
// Two instances may claim the same task, or the last of a group's share, at
// the same time; accepting both would run a task twice or take the group above
// its limit. Claims are checked against the state at their own offset, so every
// instance accepts the claim with the lower offset.
func (s *State) applyClaim(writer *incarnation, body *record.Claim, o *Outcome) {
	taken := 0
	for _, id := range body.Tasks {
		t := s.tasks[id]
		if reason := s.checkClaim(writer, t); reason != None {
			o.refuse(id, reason)
			continue
		}
		next, _ := taskChart.Next(t.state, eventClaim) // checkClaim has tested the event
		s.transition(t, next, writer)
		o.addChanged(t)
		taken++
	}
	o.voidIfRefused(taken)
}

func (s *State) checkClaim(writer *incarnation, t *task) Reason {
	if t == nil {
		return UnknownTask
	}
	if _, err := taskChart.Next(t.state, eventClaim); err != nil {
		return NotQueued
	}
	if !t.group.Used.Add(t.need).Fits(t.group.Limit) {
		return OverShare
	}
	if !writer.fits(t.need) {
		return NoFittingWorker
	}
	if !writer.used.Add(t.need).Fits(writer.capacity) {
		return OverCapacity
	}
	return None
}

// applyReturn queues escrowed tasks that weren't started; their attempt
// number stays the same.
//
// An attempt that an Own record found on a worker was started, so returning it
// is refused. Otherwise a repeated Return could queue an attempt while it runs:
// another instance has claimed and started it since, and a takeover of its
// worker has brought it back to the first instance.
func (s *State) applyReturn(writer *incarnation, body *record.Return, o *Outcome) {
	taken := 0
	for _, id := range body.Tasks {
		t := s.tasks[id]
		reason := s.checkOwner(writer, t)
		if reason == None && t.foundOnWorker {
			reason = Started
		}
		if reason != None {
			o.refuse(id, reason)
			continue
		}
		next, _ := taskChart.Next(t.state, eventRestore) // valid in every escrow state
		s.transition(t, next, nil)
		o.addChanged(t)
		taken++
	}
	o.voidIfRefused(taken)
}

// checkOwner returns None if t is in the escrow of the given incarnation.
func (s *State) checkOwner(writer *incarnation, t *task) Reason {
	if t == nil {
		return UnknownTask
	}
	if isEnded(t.state) {
		return AlreadyEnded
	}
	if t.owner != writer {
		return NotOwner
	}
	return None
}
