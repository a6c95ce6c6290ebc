package lease

import "time"

// notePause marks all leases for a renewal before use when the holder was
// paused.
//
// What goes wrong: the process or its machine stands still, and on waking
// works through what it had decided before. While a machine is suspended its
// monotonic clock may stand still as well, so that a lapsed lease looks valid.
// One would see starts that the worker refuses, or, were the worker's check
// missing, two owners at once. After a pause no lease is therefore used until
// its worker has renewed it.
func (b *Book) notePause(now time.Time) {
	if b.paused(now) {
		b.resumed = now
		for _, e := range b.entries {
			e.revalidate = e.held
			e.renew = now
		}
	}
	b.ticked = now
	b.wall = now.Round(0)
}

// paused reports whether the time since the last tick is above the bound by
// either clock.
func (b *Book) paused(now time.Time) bool {
	if b.ticked.IsZero() {
		return false
	}
	monotonic := now.Sub(b.ticked)
	wall := now.Round(0).Sub(b.wall) // Round strips the monotonic reading
	return max(monotonic, wall) > b.pause
}
