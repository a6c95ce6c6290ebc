package member

import "time"

// entry is a Member with the internal state of the table.
type entry struct {
	Member
	sequence        uint64    // of the newest heartbeat
	lastEvidence    time.Time // start of the current silence
	confirmDeadline time.Time // when a suspect is declared dead
	delisted        bool      // was listed and no longer is
	unlistedAt      time.Time // when it was removed from the list, or added without being listed

	reportedState       State // as last returned by Tick
	reportedIncarnation uint64

	nextHeartbeatAt time.Time // of the next heartbeat to it
	sentRevision    uint64    // newest revision sent to the member
	sentLeaving     bool
}

// transition applies an event and reports whether the state has a transition
// for it; without one nothing changes.
func (e *entry) transition(now time.Time, ev event) bool {
	to, ok := next(e.State, ev)
	if !ok {
		return false
	}
	e.State = to
	e.Since = now
	return true
}

// isOwner reports whether the member counts among the owners of workers.
func (e *entry) isOwner() bool {
	return e.State == Live || e.State == Suspect || e.State == Isolated
}

// isSilent reports whether the last evidence for the member is older than d.
func (e *entry) isSilent(now time.Time, d time.Duration) bool {
	return now.Sub(e.lastEvidence) > d
}
