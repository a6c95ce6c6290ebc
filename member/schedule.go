package member

import "time"

// Due returns the peers to send a heartbeat to now: each at the interval of its
// availability zone, and immediately if it hasn't been told that this instance
// holds the revision or is leaving.
func (t *Table) Due(now time.Time, revision uint64) []string {
	var ids []string
	for e := range t.others {
		if e.State == Left || !t.isDue(now, e, revision) {
			continue
		}
		e.nextHeartbeatAt = now.Add(t.interval(t.isRemote(e)))
		e.sentRevision = revision
		e.sentLeaving = t.me().State == Leaving
		ids = append(ids, e.ID)
	}
	return ids
}

func (t *Table) isDue(now time.Time, e *entry, revision uint64) bool {
	revisionPending := (e.hasContact() || e.isOwner()) && revision > e.sentRevision
	leavingPending := t.me().State == Leaving && !e.sentLeaving
	return revisionPending || leavingPending || !now.Before(e.nextHeartbeatAt)
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
