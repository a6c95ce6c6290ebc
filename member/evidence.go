package member

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Listed takes the platform's instance list. The first list is believed until
// the list grace ends, so that a starting instance doesn't take itself for the
// only one. After that a listing only makes an instance known: it neither
// revives a dead one nor makes a new one own workers.
func (t *Table) Listed(now time.Time, list []provider.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		if instance.Role != provider.RoleEntry || instance.ID == t.self.ID || !validName(instance.ID) {
			continue
		}
		listed[instance.ID] = true
		t.list(now, instance)
	}
	for e := range t.others {
		if e.Listed && !listed[e.ID] {
			e.Listed = false
			e.delisted = true
			e.gone = now
		}
	}
	t.seeded = t.seeded || len(listed) > 0
}

func (t *Table) list(now time.Time, instance provider.Instance) {
	e, known := t.members[instance.ID]
	if !known {
		if e = t.add(now, instance.ID, instance.AvailabilityZone); e == nil {
			return
		}
		t.introduce(now, e)
	}
	e.Listed = true
	e.delisted = false
	// What goes wrong: the list still shows the address of a run that was
	// replaced, and links go to nobody. One would see a live member whose link
	// is never made. So an address that a heartbeat gave holds while it is heard.
	if e.Address == "" || !e.heard() {
		e.Address = instance.Address
	}
}

func (t *Table) introduce(now time.Time, e *entry) {
	if t.seeded {
		e.move(now, eventListed)
		return
	}
	e.move(now, eventSeeded)
	e.expires = now.Add(t.listGrace)
}

// Heard takes a heartbeat, which is direct evidence.
func (t *Table) Heard(now time.Time, h Heartbeat) Outcome {
	if h.ID == t.self.ID {
		return t.heardSelf(h)
	}
	if !validName(h.ID) || !validName(h.AvailabilityZone) || len(h.Address) > maxName || len(h.Free) > maxFree {
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
		return t.heardRun(now, e, h)
	case h.Sequence <= e.sequence:
		return Duplicate
	}
	t.keep(now, e, h)
	return Accepted
}

func (t *Table) heardSelf(h Heartbeat) Outcome {
	switch {
	case h.Incarnation > t.self.Incarnation:
		return Replaced
	case h.Incarnation < t.self.Incarnation:
		return Outdated
	}
	return Duplicate
}

// heardRun takes the first heartbeat of a run.
//
// What goes wrong: an instance is killed and comes back under its ID and
// address within the suspicion, and is taken for the one that held leases and
// escrow. One would see work waiting for an owner that knows nothing of it. A
// run with a larger incarnation therefore starts over as joining, and Tick
// reports the run it replaced.
func (t *Table) heardRun(now time.Time, e *entry, h Heartbeat) Outcome {
	first := e.Incarnation == 0
	e.Incarnation = h.Incarnation
	e.shownRevision = 0
	e.shownLeaving = false
	e.Revision = 0
	e.evidence = now
	if first {
		t.keep(now, e, h)
		return Accepted
	}
	if e.owns() {
		e.bury()
	}
	e.move(now, eventRestarted)
	t.keep(now, e, h)
	return Restarted
}

func (t *Table) keep(now time.Time, e *entry, h Heartbeat) {
	e.sequence = h.Sequence
	e.AvailabilityZone = h.AvailabilityZone
	if h.Address != "" {
		e.Address = h.Address
	}
	e.Digest = h.Digest
	e.Revision = max(e.Revision, h.Revision)
	e.Free = h.Free
	e.Heard = now
	e.evidence = now
	if h.Leaving {
		e.move(now, eventLeaving)
		return
	}
	e.move(now, eventHeard)
	t.me().move(now, eventHeard)
}

// Lost takes a refused connection: nobody listens at the member's address. It
// becomes a suspect at once, and is declared dead unless it is heard before
// the confirmation ends.
func (t *Table) Lost(now time.Time, id string) {
	e, known := t.members[id]
	if !known || id == t.self.ID {
		return
	}
	t.suspect(now, e, eventRefused)
	if e.State == Suspect {
		e.expires = earlier(e.expires, now.Add(t.scale(t.confirmation, t.remote(e))))
	}
}

func (t *Table) suspect(now time.Time, e *entry, ev event) {
	if !e.move(now, ev) {
		return
	}
	switch e.State {
	case Suspect:
		e.expires = now.Add(t.scale(t.confirmation, t.remote(e)))
	case Dead:
		e.bury()
	}
}

// bury counts a death of a member that was heard.
func (e *entry) bury() {
	if !e.Heard.IsZero() {
		e.Deaths++
	}
}

// heard reports whether the member's own word is the newest there is.
func (e *entry) heard() bool {
	switch e.State {
	case Live, Joining, Leaving:
		return !e.Heard.IsZero()
	}
	return false
}

// add makes room for a member, and returns nil when there is none.
func (t *Table) add(now time.Time, id, zone string) *entry {
	if len(t.members) >= t.limit && !t.evict() {
		return nil
	}
	e := &entry{Member: Member{ID: id, AvailabilityZone: zone, Since: now}, evidence: now, gone: now}
	t.members[id] = e
	return e
}

// evict forgets the unlisted dead or left member that was so for longest.
func (t *Table) evict() bool {
	var oldest *entry
	for e := range t.others {
		if e.forgettable() && (oldest == nil || e.Since.Before(oldest.Since)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.members, oldest.ID)
	return true
}

func (e *entry) forgettable() bool {
	return !e.Listed && (e.State == Dead || e.State == Left)
}

func validName(s string) bool {
	return s != "" && len(s) <= maxName
}
