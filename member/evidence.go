package member

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// HandleList handles the platform's instance list. The members of the first list
// count as owners until the list grace ends, so that a starting instance doesn't
// consider itself the only one. Later lists only add instances to the table:
// they neither revive a dead one nor make a new one own workers.
func (t *Table) HandleList(now time.Time, list []provider.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		if instance.Role != provider.RoleEntry || instance.ID == t.self.ID || !isValidName(instance.ID) {
			continue
		}
		listed[instance.ID] = true
		t.updateListed(now, instance)
	}
	for e := range t.others {
		if e.Listed && !listed[e.ID] {
			e.Listed = false
			e.delisted = true
			e.unlistedAt = now
		}
	}
	t.hasList = t.hasList || len(listed) > 0
}

func (t *Table) updateListed(now time.Time, instance provider.Instance) {
	e, known := t.members[instance.ID]
	if !known {
		if e = t.add(now, instance.ID, instance.AvailabilityZone); e == nil {
			return
		}
		t.enlist(now, e)
	}
	e.Listed = true
	e.delisted = false
	// The list may still show the address of an incarnation that was replaced,
	// and a link to it would never be established. So the address from a
	// heartbeat has priority while heartbeats arrive.
	if e.Address == "" || !e.hasContact() {
		e.Address = instance.Address
	}
}

// enlist sets the state of a new member from the list: suspect until the list
// grace ends if it is in the first list, and joining otherwise.
func (t *Table) enlist(now time.Time, e *entry) {
	if t.hasList {
		e.transition(now, eventListed)
		return
	}
	e.transition(now, eventSeeded)
	e.confirmDeadline = now.Add(t.listGrace)
}

// HandleHeartbeat handles a heartbeat.
func (t *Table) HandleHeartbeat(now time.Time, h Heartbeat) Outcome {
	if h.ID == t.self.ID {
		return t.handleOwn(h)
	}
	if !isValidName(h.ID) || !isValidName(h.AvailabilityZone) || len(h.Address) > maxName || len(h.Free) > maxFree {
		return Rejected
	}
	e, known := t.members[h.ID]
	if !known {
		if e = t.add(now, h.ID, h.AvailabilityZone); e == nil {
			return Rejected
		}
	}
	switch {
	case h.Incarnation < e.Incarnation:
		return Outdated
	case h.Incarnation > e.Incarnation:
		return t.handleNewIncarnation(now, e, h)
	case h.Sequence <= e.sequence:
		return Duplicate
	}
	t.update(now, e, h)
	return Accepted
}

func (t *Table) handleOwn(h Heartbeat) Outcome {
	switch {
	case h.Incarnation > t.self.Incarnation:
		return Replaced
	case h.Incarnation < t.self.Incarnation:
		return Outdated
	}
	return Duplicate
}

// handleNewIncarnation handles the first heartbeat of an incarnation.
//
// An instance may be killed and restart under its ID and address within the
// suspicion timeout. If it were taken for the incarnation that held leases and
// escrow, work would wait for an owner that doesn't know of it. So a newer
// incarnation starts again as joining, and Tick reports the one it replaced.
func (t *Table) handleNewIncarnation(now time.Time, e *entry, h Heartbeat) Outcome {
	first := e.Incarnation == 0
	e.Incarnation = h.Incarnation
	e.sentRevision = 0
	e.sentLeaving = false
	e.Revision = 0
	e.lastEvidence = now
	if first {
		t.update(now, e, h)
		return Accepted
	}
	if e.isOwner() {
		e.countDeath()
	}
	e.transition(now, eventRestarted)
	t.update(now, e, h)
	return Restarted
}

// update stores the content of a heartbeat and applies its event.
func (t *Table) update(now time.Time, e *entry, h Heartbeat) {
	e.sequence = h.Sequence
	e.AvailabilityZone = h.AvailabilityZone
	if h.Address != "" {
		e.Address = h.Address
	}
	e.Digest = h.Digest
	e.Revision = max(e.Revision, h.Revision)
	e.Free = h.Free
	e.Heard = now
	e.lastEvidence = now
	if h.Leaving {
		e.transition(now, eventLeaving)
		return
	}
	e.transition(now, eventHeard)
	t.me().transition(now, eventHeard)
}

// HandleRefused handles a refused connection: nobody listens at the member's
// address. The member becomes a suspect at once, and is declared dead unless a
// heartbeat arrives before the confirmation ends.
func (t *Table) HandleRefused(now time.Time, id string) {
	e, known := t.members[id]
	if !known || id == t.self.ID {
		return
	}
	t.suspect(now, e, eventRefused)
	if e.State == Suspect {
		e.confirmDeadline = earlier(e.confirmDeadline, now.Add(t.scale(t.confirmation, t.isRemote(e))))
	}
}

func (t *Table) suspect(now time.Time, e *entry, ev event) {
	if !e.transition(now, ev) {
		return
	}
	switch e.State {
	case Suspect:
		e.confirmDeadline = now.Add(t.scale(t.confirmation, t.isRemote(e)))
	case Dead:
		e.countDeath()
	}
}

// countDeath counts a death of a member that has sent a heartbeat.
func (e *entry) countDeath() {
	if !e.Heard.IsZero() {
		e.Deaths++
	}
}

// hasContact reports whether a heartbeat is the newest evidence of the member.
func (e *entry) hasContact() bool {
	switch e.State {
	case Live, Joining, Leaving:
		return !e.Heard.IsZero()
	}
	return false
}

// add adds a member, or returns nil if the table is full.
func (t *Table) add(now time.Time, id, zone string) *entry {
	if len(t.members) >= t.limit && !t.evictOldest() {
		return nil
	}
	e := &entry{Member: Member{ID: id, AvailabilityZone: zone, Since: now}, lastEvidence: now, unlistedAt: now}
	t.members[id] = e
	return e
}

// evictOldest forgets the unlisted member that has been dead or left for
// longest, and reports whether there was one.
func (t *Table) evictOldest() bool {
	var oldest *entry
	for e := range t.others {
		if e.isForgettable() && (oldest == nil || e.Since.Before(oldest.Since)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.members, oldest.ID)
	return true
}

func (e *entry) isForgettable() bool {
	return !e.Listed && (e.State == Dead || e.State == Left)
}

func isValidName(s string) bool {
	return s != "" && len(s) <= maxName
}
