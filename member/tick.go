package member

import "time"

// Tick applies all timeouts that are due and returns the changes since the last
// call, at most one Change for each member.
func (t *Table) Tick(now time.Time) []Change {
	t.compensatePause(now)
	for e := range t.others {
		t.applyTimeouts(now, e)
	}
	t.checkIsolation(now)
	return t.collectChanges()
}

// compensatePause moves all deadlines by the time for which the instance itself
// was paused.
//
// A process that was paused has received no heartbeats meanwhile. If that time
// counted as silence, all members would die at once after a pause, and workers
// would be taken from healthy owners. So time without a tick counts as nobody's
// silence.
func (t *Table) compensatePause(now time.Time) {
	previousTick := t.lastTick
	t.lastTick = now
	if previousTick.IsZero() {
		return
	}
	pause := now.Sub(previousTick)
	if pause <= t.suspicion {
		return
	}
	for e := range t.others {
		e.lastEvidence = earlier(now, e.lastEvidence.Add(pause))
		e.confirmDeadline = e.confirmDeadline.Add(pause)
		if e.State == Joining {
			e.Since = e.Since.Add(pause)
		}
	}
}

// applyTimeouts applies the timeouts of one member.
func (t *Table) applyTimeouts(now time.Time, e *entry) {
	remote := t.isRemote(e)
	switch e.State {
	case Joining:
		t.applyJoiningTimeouts(now, e)
	case Live:
		t.resetDeaths(now, e)
		if e.isSilent(now, t.scale(t.suspicion, remote)) {
			t.suspect(now, e, eventSilent)
		}
	case Suspect:
		// A suspect that was also removed from the list needs no further
		// confirmation: two kinds of evidence agree.
		if e.delisted || !now.Before(e.confirmDeadline) {
			e.transition(now, eventExpired)
			e.countDeath()
		}
	case Leaving:
		if e.isSilent(now, t.scale(t.suspicion, remote)) {
			e.transition(now, eventSilent)
		}
	case Dead, Left:
		if e.isForgettable() && now.Sub(later(e.Since, e.unlistedAt)) > t.retention {
			delete(t.members, e.ID)
		}
	}
}

func (t *Table) applyJoiningTimeouts(now time.Time, e *entry) {
	timeout := t.scale(t.suspicion, t.isRemote(e))
	if e.Heard.IsZero() {
		timeout = max(timeout, t.listGrace)
	}
	switch {
	case e.isSilent(now, timeout):
		t.suspect(now, e, eventSilent)
	case !e.Heard.IsZero() && e.Heard.Sub(e.Since) >= t.joinDelay(e):
		e.transition(now, eventSteady)
	}
}

// joinDelay returns how long a joining member must send heartbeats before it
// becomes live.
//
// A link that works for slightly longer than the join delay and then fails
// again would move the same workers in each cycle. So the join delay doubles
// with each death that soon follows another.
func (t *Table) joinDelay(e *entry) time.Duration {
	return t.baseJoinDelay << min(max(e.Deaths-1, 0), maxDoublings)
}

func (t *Table) resetDeaths(now time.Time, e *entry) {
	if now.Sub(e.Since) >= resetFactor*t.baseJoinDelay {
		e.Deaths = 0
	}
}

// checkIsolation marks the instance itself isolated if it receives no
// heartbeats although other members were heard before or are listed. An
// instance that is the only one on the list is alone, not isolated.
func (t *Table) checkIsolation(now time.Time) {
	missed := false
	for e := range t.others {
		if e.hasContact() {
			return
		}
		missed = missed || e.State == Suspect && !e.Heard.IsZero() || e.State == Dead && e.Listed
	}
	if missed {
		t.me().transition(now, eventAlone)
	}
}

// collectChanges returns the members whose state or incarnation differs from
// the last one returned.
func (t *Table) collectChanges() []Change {
	var changes []Change
	for _, id := range t.collect(func(e *entry) bool { return e.State != e.reportedState || e.Incarnation != e.reportedIncarnation }) {
		e := t.members[id]
		changes = append(changes, Change{
			ID:                  e.ID,
			AvailabilityZone:    e.AvailabilityZone,
			Incarnation:         e.Incarnation,
			PreviousIncarnation: e.reportedIncarnation,
			From:                e.reportedState,
			To:                  e.State,
		})
		e.reportedState = e.State
		e.reportedIncarnation = e.Incarnation
	}
	return changes
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
