package zone

import "github.com/dogwoodladder/dogwoodladder/record"

// claim moves queued tasks into the writer's escrow.
//
// What goes wrong: two instances claim the same task, or the last of a
// group's share, at the same time. One would notice a task run twice or a
// group above its limit. Only the state at the claim's own offset counts, so
// of two claims the one with the lower offset wins at every instance.
func (s *State) claim(by *run, body *record.Claim, o *Outcome) {
	taken := 0
	for _, id := range body.Tasks {
		t := s.tasks[id]
		if reason := s.claimable(by, t); reason != None {
			o.refuse(id, reason)
			continue
		}
		next, _ := taskChart.Next(t.state, eventClaim) // claimable looked
		s.move(t, next, by)
		o.change(t)
		taken++
	}
	o.voidIfRefused(taken)
}

func (s *State) claimable(by *run, t *task) Reason {
	if t == nil {
		return UnknownTask
	}
	if _, err := taskChart.Next(t.state, eventClaim); err != nil {
		return NotQueued
	}
	if !t.group.Used.Add(t.need).Fits(t.group.Limit) {
		return OverShare
	}
	if !by.fits(t.need) {
		return NoFittingWorker
	}
	if !by.used.Add(t.need).Fits(by.capacity) {
		return OverCapacity
	}
	return None
}

// giveBack queues escrowed tasks that weren't started; their attempt stays.
//
// What goes wrong: an instance gives a task back again after it was claimed
// by another, started, and came back with a worker that was taken over. One
// would notice the attempt queued while it runs. An attempt that was found on
// a worker was started, so giving it back is void.
func (s *State) giveBack(by *run, body *record.Return, o *Outcome) {
	taken := 0
	for _, id := range body.Tasks {
		t := s.tasks[id]
		reason := s.heldBy(by, t)
		if reason == None && t.found {
			reason = Started
		}
		if reason != None {
			o.refuse(id, reason)
			continue
		}
		next, _ := taskChart.Next(t.state, eventRestore) // every task in an escrow takes it
		s.move(t, next, nil)
		o.change(t)
		taken++
	}
	o.voidIfRefused(taken)
}

// heldBy returns None when t is in the escrow of by.
func (s *State) heldBy(by *run, t *task) Reason {
	if t == nil {
		return UnknownTask
	}
	if ended(t.state) {
		return AlreadyEnded
	}
	if t.owner != by {
		return NotOwner
	}
	return None
}
