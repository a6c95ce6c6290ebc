package zone

import (
	"maps"
	"time"
)

// sweepInterval is the interval, in the time of the records, between searches
// for workers and instances to forget.
const sweepInterval = time.Hour

// advanceTime moves the state's clock forward, never back. It ends quarantines
// and forgets ended tasks, workers and instances that are due.
func (s *State) advanceTime(at time.Time) {
	s.now = max(s.now, at.UnixMicro())
	for len(s.quarantined) > 0 && s.quarantined[0].quarantinedUntil <= s.now {
		s.endQuarantine(s.quarantined[0])
	}
	for len(s.ended) > 0 && s.ended[0].endedAt <= s.retentionCutoff() {
		if s.ended[0].declared {
			s.retainDeclared()
			continue
		}
		s.forgetOldestEnded()
	}
	if s.now >= s.sweepAt {
		s.sweep()
	}
}

// retainDeclared keeps the oldest ended task, which is declared, for another
// retention period. If it were forgotten, the comparison of the declared jobs
// with the state would submit it again, and finished work would run a second
// time after the retention period.
func (s *State) retainDeclared() {
	t := s.ended[0]
	t.endedAt = s.now
	s.ended = append(s.ended[1:], t)
}

// retentionCutoff returns the time at or before which a task must have ended,
// or a worker or instance been last recorded, to be forgotten.
func (s *State) retentionCutoff() int64 {
	return s.now - s.settings.Retention.Microseconds()
}

// trimEnded forgets the oldest ended tasks while the state is above a bound.
func (s *State) trimEnded() {
	for len(s.ended) > 0 && (len(s.ended) > s.settings.MaxEnded || s.bytes > s.settings.MaxBytes) {
		s.forgetOldestEnded()
	}
}

// sweep forgets lapsed workers on which no task has a counted failure, and
// instances without a recent record that own no worker and have an empty
// escrow. Once their epoch and sequence are forgotten, a record delayed for
// longer than the retention would be accepted. It could neither claim nor end
// a task, since its writer owns no worker and no task.
func (s *State) sweep() {
	s.sweepAt = s.now + sweepInterval.Microseconds()
	cutoff := s.retentionCutoff()
	maps.DeleteFunc(s.workers, func(_ string, w *worker) bool {
		return w.owner == nil && w.recordedAt <= cutoff && len(w.failedTasks) == 0 && !w.isQuarantined()
	})
	maps.DeleteFunc(s.instances, func(_ string, i *instance) bool {
		r := i.newest()
		return len(i.incarnations) == 1 && r.lastRecordAt <= cutoff && r.escrow.length == 0 && len(r.workers) == 0
	})
}
