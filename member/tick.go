package member

import "time"

// Tick moves members by the time that passed, and returns what changed since
// the last call, at most one Change for each member.
func (t *Table) Tick(now time.Time) []Change {
	t.forgivePause(now)
	for e := range t.others {
		t.age(now, e)
	}
	t.judgeSelf(now)
	return t.report()
}

// forgivePause moves all deadlines by the time in which the instance itself
// stood still.
//
// What goes wrong: the process is paused, and on waking takes its own silence
// for everybody's. One would see all members die at once after a pause, and
// workers taken from healthy owners. Time in which no tick ran therefore
// counts for nobody's silence.
func (t *Table) forgivePause(now time.Time) {
	before := t.ticked
	t.ticked = now
	if before.IsZero() {
		return
	}
	pause := now.Sub(before)
	if pause <= t.suspicion {
		return
	}
	for e := range t.others {
		e.evidence = earlier(now, e.evidence.Add(pause))
		e.expires = e.expires.Add(pause)
		if e.State == Joining {
			e.Since = e.Since.Add(pause)
		}
	}
}

func (t *Table) age(now time.Time, e *entry) {
	remote := t.remote(e)
	switch e.State {
	case Joining:
		t.ageJoining(now, e)
	case Live:
		t.forgive(now, e)
		if e.silent(now, t.scale(t.suspicion, remote)) {
			t.suspect(now, e, eventSilent)
		}
	case Suspect:
		// A suspect that the list dropped after showing it needs no further
		// confirmation: two kinds of evidence agree.
		if e.delisted || !now.Before(e.expires) {
			e.move(now, eventExpired)
			e.bury()
		}
	case Leaving:
		if e.silent(now, t.scale(t.suspicion, remote)) {
			e.move(now, eventSilent)
		}
	case Dead, Left:
		if e.forgettable() && now.Sub(later(e.Since, e.gone)) > t.retention {
			delete(t.members, e.ID)
		}
	}
}

func (t *Table) ageJoining(now time.Time, e *entry) {
	patience := t.scale(t.suspicion, t.remote(e))
	if e.Heard.IsZero() {
		patience = max(patience, t.listGrace)
	}
	switch {
	case e.silent(now, patience):
		t.suspect(now, e, eventSilent)
	case !e.Heard.IsZero() && e.Heard.Sub(e.Since) >= t.steadiness(e):
		e.move(now, eventSteady)
	}
}

// steadiness returns how long a joining member must be heard.
//
// What goes wrong: a link that works for a little longer than the hysteresis
// and then fails again moves workers at each turn. One would see the same
// transfers in a rhythm. The hysteresis therefore doubles with each death
// that follows soon on another.
func (t *Table) steadiness(e *entry) time.Duration {
	return t.hysteresis << min(max(e.Deaths-1, 0), maxDoublings)
}

func (t *Table) forgive(now time.Time, e *entry) {
	if now.Sub(e.Since) >= forgiveFactor*t.hysteresis {
		e.Deaths = 0
	}
}

// judgeSelf marks the instance itself isolated when it hears nobody although
// it knows of others. An instance that nobody else is listed beside is alone,
// not isolated.
func (t *Table) judgeSelf(now time.Time) {
	missed := false
	for e := range t.others {
		if e.heard() {
			return
		}
		missed = missed || e.State == Suspect && !e.Heard.IsZero() || e.State == Dead && e.Listed
	}
	if missed {
		t.me().move(now, eventAlone)
	}
}

func (t *Table) report() []Change {
	var changes []Change
	for _, id := range t.collect(func(e *entry) bool { return e.State != e.reported || e.Incarnation != e.incarnation }) {
		e := t.members[id]
		changes = append(changes, Change{
			ID:               e.ID,
			AvailabilityZone: e.AvailabilityZone,
			Incarnation:      e.Incarnation,
			Before:           e.incarnation,
			From:             e.reported,
			To:               e.State,
		})
		e.reported = e.State
		e.incarnation = e.Incarnation
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
