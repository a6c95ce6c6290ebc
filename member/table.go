package member

import (
	"maps"
	"slices"
	"time"
)

// Table is one instance's view of all entry instances. It isn't safe for
// concurrent use.
type Table struct {
	settings
	self     Self
	members  map[string]*entry // the instance itself included
	sequence uint64            // of its own heartbeats
	hasList  bool              // a list with other instances was received
	lastTick time.Time
}

// New returns a new Table that holds only the instance itself.
func New(self Self, opts ...Option) *Table {
	t := &Table{settings: newSettings(opts), self: self, members: map[string]*entry{}}
	me := &entry{Member: Member{ID: self.ID, AvailabilityZone: self.AvailabilityZone, Incarnation: self.Incarnation}}
	me.transition(time.Time{}, eventStart)
	t.members[self.ID] = me
	return t
}

// Live returns the sorted IDs of the members of an availability zone that own
// workers: live ones, suspects, and the instance itself unless it is leaving.
func (t *Table) Live(zone string) []string {
	return t.collect(func(e *entry) bool {
		return e.AvailabilityZone == zone && e.isOwner()
	})
}

// Lowest returns the lowest ID of an availability zone that isn't suspected,
// and "" if there is none. It is a hint for who should propose: two instances
// may both consider themselves the lowest.
func (t *Table) Lowest(zone string) string {
	ids := t.collect(func(e *entry) bool {
		return e.AvailabilityZone == zone && e.isOwner() && e.State != Suspect
	})
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// MembersBehind returns the sorted IDs of members that haven't announced a
// configuration of at least revision. Members that left are omitted. A dead one
// is included as long as it is listed: it may only be unreachable.
func (t *Table) MembersBehind(revision uint64) []string {
	return t.collect(func(e *entry) bool {
		gone := e.State == Left || e.State == Dead && !e.Listed
		return e.ID != t.self.ID && !gone && e.Revision < revision
	})
}

// Members returns all members by ID, the instance itself included, for dumps.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, id := range t.collect(func(*entry) bool { return true }) {
		m := t.members[id].Member
		m.Free = maps.Clone(m.Free)
		members = append(members, m)
	}
	return members
}

// Isolated reports whether the instance receives no heartbeats although it
// knows of others. It stays among the owners.
func (t *Table) Isolated() bool {
	return t.me().State == Isolated
}

// BeginLeave marks the instance itself as leaving.
func (t *Table) BeginLeave() {
	t.me().transition(t.lastTick, eventLeaving)
}

func (t *Table) me() *entry {
	return t.members[t.self.ID]
}

func (t *Table) collect(match func(*entry) bool) []string {
	var ids []string
	for id, e := range t.members {
		if match(e) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isRemote reports whether a member is in another availability zone.
func (t *Table) isRemote(e *entry) bool {
	return e.AvailabilityZone != t.self.AvailabilityZone
}

// others yields all members but the instance itself by ID.
func (t *Table) others(yield func(*entry) bool) {
	for _, id := range t.collect(func(e *entry) bool { return e.ID != t.self.ID }) {
		if !yield(t.members[id]) {
			return
		}
	}
}
