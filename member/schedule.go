package member

import "time"

// Due returns the peers to send a heartbeat to now: each by the interval of
// its availability zone, and at once those that haven't been told that this
// instance holds the revision, or that it is leaving.
func (t *Table) Due(now time.Time, revision uint64) []string {
	var ids []string
	for e := range t.others {
		if e.State == Left || !t.due(now, e, revision) {
			continue
		}
		e.due = now.Add(t.interval(t.remote(e)))
		e.shownRevision = revision
		e.shownLeaving = t.me().State == Leaving
		ids = append(ids, e.ID)
	}
	return ids
}

func (t *Table) due(now time.Time, e *entry, revision uint64) bool {
	news := (e.heard() || e.owns()) && revision > e.shownRevision
	leaving := t.me().State == Leaving && !e.shownLeaving
	return news || leaving || !now.Before(e.due)
}

// Heartbeat returns the next heartbeat of the instance itself.
func (t *Table) Heartbeat(address string, revision uint64, digest string, free map[string]int) Heartbeat {
	t.sequence++
	return Heartbeat{
		ID:               t.self.ID,
		AvailabilityZone: t.self.AvailabilityZone,
		Address:          address,
		Incarnation:      t.self.Incarnation,
		Leaving:          t.me().State == Leaving,
		Revision:         revision,
		Digest:           digest,
		Free:             free,
		Sequence:         t.sequence,
	}
}
