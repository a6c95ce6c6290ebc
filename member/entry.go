package member

import "time"

// entry is a Member with what the table keeps beside it.
type entry struct {
	Member
	sequence uint64    // of the newest heartbeat
	evidence time.Time // silence counts from here
	expires  time.Time // when a suspect is declared dead
	delisted bool      // was listed and is no more
	gone     time.Time // since when it is off the list, or never was on it

	reported    State // as last returned by Tick
	incarnation uint64

	due           time.Time // of the next heartbeat to it
	shownRevision uint64    // newest revision sent to it
	shownLeaving  bool
}

// move applies an event; one that the state has no use for changes nothing.
func (e *entry) move(now time.Time, ev event) bool {
	to, ok := next(e.State, ev)
	if !ok {
		return false
	}
	e.State = to
	e.Since = now
	return true
}

// owns reports whether the member counts among the owners of workers.
func (e *entry) owns() bool {
	return e.State == Live || e.State == Suspect || e.State == Isolated
}

// silent reports whether nothing spoke for the member for longer than d.
func (e *entry) silent(now time.Time, d time.Duration) bool {
	return now.Sub(e.evidence) > d
}
