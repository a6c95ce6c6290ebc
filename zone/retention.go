package zone

import (
	"maps"
	"time"
)

// sweepInterval is how often, by the records' time, the state is searched
// for workers and instances to forget.
const sweepInterval = time.Hour

// advance moves the state's time on, which never goes back, and lets pass
// what it ends.
func (s *State) advance(at time.Time) {
	s.now = max(s.now, at.UnixMicro())
	for len(s.quarantine) > 0 && s.quarantine[0].until <= s.now {
		s.release(s.quarantine[0])
	}
	for len(s.ended) > 0 && s.ended[0].ended <= s.retained() {
		if s.ended[0].declared {
			s.keep()
			continue
		}
		s.forget()
	}
	if s.now >= s.sweepAt {
		s.sweep()
	}
}

// keep lets a declared task that has ended be known for another retention.
//
// What goes wrong: a declared job's tasks have ended and are forgotten, and
// whoever compares the declaration with the state submits them again. One
// would notice finished work running a second time a day later.
func (s *State) keep() {
	t := s.ended[0]
	t.ended = s.now
	s.ended = append(s.ended[1:], t)
}

// retained returns the time up to which things that ended are forgotten.
func (s *State) retained() int64 {
	return s.now - s.settings.Retention.Microseconds()
}

// trim forgets the oldest ended tasks while the state is above a bound.
func (s *State) trim() {
	for len(s.ended) > 0 && (len(s.ended) > s.settings.MaxEnded || s.bytes > s.settings.MaxBytes) {
		s.forget()
	}
}

// sweep forgets lapsed workers that no task blames and instances that have
// been silent, own no worker and have an empty escrow. Without their epoch
// and sequence a record appended so much later would be taken; it could claim
// nothing and end nothing, since its writer owns no worker and no task.
func (s *State) sweep() {
	s.sweepAt = s.now + sweepInterval.Microseconds()
	before := s.retained()
	maps.DeleteFunc(s.workers, func(_ string, w *worker) bool {
		return w.owner == nil && w.recorded <= before && len(w.blamed) == 0 && !w.quarantined()
	})
	maps.DeleteFunc(s.instances, func(_ string, i *instance) bool {
		r := i.newest()
		return len(i.runs) == 1 && r.seen <= before && r.escrow.length == 0 && len(r.workers) == 0
	})
}
