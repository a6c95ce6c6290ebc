package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// An entry on the list describes its worker as of when it was written. A worker that is cut
// off from the store, or any worker during an outage, can't report that its capacity has
// shrunk, and a worker that doesn't enforce its capacity accepts starts by the old one. So a
// worker gets no tasks unless it is known that its entry held a short time ago:
//
//   - The entry itself was written then, by the time of the read that first had it, or by the
//     worker's clock in the entry and in its answers.
//   - Where workers write an entry only if it changes, an entry on a list that was just read
//     held one EntryInterval ago, provided that the store has been available for so long that
//     the entry of a worker that can't reach it would have expired.

// Intervals between the writes of an entry.
const (
	expiryIntervals  = 3    // without a write until an entry expires
	expiryMargin     = 0.25 // workers write about as often as EntryInterval says
	renewalIntervals = 3    // for which one renewed entry shows that workers renew theirs
)

// recordWrites records when the entries of a list were written. Entries that are written
// again without a change show that workers renew their entries.
func (c *Cell) recordWrites(list provider.HostList, unchanged bool) {
	if len(list.Writes) != len(list.Hosts) {
		return
	}
	for i := range list.Hosts {
		w := c.workers[list.Hosts[i].ID]
		if w == nil {
			continue
		}
		next := list.Writes[i]
		if unchanged && (next.After > w.entry.After || w.entry.Clock != 0 && next.Clock != w.entry.Clock) {
			c.hosts.lastRenewal = c.now
		}
		w.entry = next
	}
}

// entriesAreRenewed reports whether workers renew their entries when nothing else changes.
func (c *Cell) entriesAreRenewed() bool {
	return c.hosts.lastRenewal > 0 && c.now-c.hosts.lastRenewal < renewalIntervals*c.timing.EntryInterval
}

// recordOutage records that the store may have been unavailable since the last list, if that
// is longer ago than a worker's next write could have been missed.
func (c *Cell) recordOutage(asOf time.Duration) {
	l := &c.hosts
	if l.received && asOf-l.latest.AsOf < c.timing.EntryInterval {
		return
	}
	if l.received || l.availableSince == never {
		l.lastVouched = c.unrenewedAsOf()
		l.availableSince = c.now
	}
}

// unrenewedAsOf returns as of when the entries held that workers write only if they change.
func (c *Cell) unrenewedAsOf() time.Duration {
	l := &c.hosts
	span := time.Duration((expiryIntervals + expiryMargin) * float64(c.timing.EntryInterval))
	if !l.received || l.latest.AsOf-l.availableSince < span {
		return l.lastVouched
	}
	return l.latest.AsOf - c.timing.EntryInterval
}

// never is before all times at which an entry can have been written. The owner's clock may
// have started with its process, so zero isn't.
const never = -time.Hour

// entryAsOf returns the latest time as of which a worker's entry is known to describe it.
func (c *Cell) entryAsOf(w *worker) time.Duration {
	asOf := cmp.Or(w.entry.After, never)
	if w.entry.Clock != 0 && w.answered && w.hasCurrentEntry() && w.entry.Clock <= c.estimateClock(w) {
		asOf = max(asOf, w.answeredAt-c.timing.slowest(w.clock-w.entry.Clock))
	}
	if !c.entriesAreRenewed() {
		asOf = max(asOf, c.unrenewedAsOf())
	}
	return asOf
}

// knowsCapacity reports whether a worker's entry held so recently that its capacity can't have
// changed unnoticed.
func (c *Cell) knowsCapacity(w *worker) bool {
	return c.now-c.entryAsOf(w) < c.timing.MaxCapacityAge+c.timing.EntryInterval
}
