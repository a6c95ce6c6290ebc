package lease

import "time"

// detectPause requires a renewal of all leases before their next use when the
// holder was paused. After a pause of the process or its machine, decisions
// from before the pause would be carried out, and since the monotonic clock
// may stand still while a machine is suspended, an expired lease could look
// valid. The worker would refuse such uses; without its check there would be
// two owners at once.
func (t *Table) detectPause(now time.Time) {
	if t.wasPaused(now) {
		t.resumedAt = now
		for _, e := range t.entries {
			e.mustRevalidate = e.held
			e.nextRenewal = now
		}
	}
	t.lastTick = now
	t.lastWallTick = now.Round(0)
}

// wasPaused reports whether the time since the last tick exceeds the maximum
// tick gap by either clock.
func (t *Table) wasPaused(now time.Time) bool {
	if t.lastTick.IsZero() {
		return false
	}
	monotonic := now.Sub(t.lastTick)
	wall := now.Round(0).Sub(t.lastWallTick) // Round strips the monotonic reading
	return max(monotonic, wall) > t.maxTickGap
}
