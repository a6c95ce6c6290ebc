package lease

import "time"

// Suspend simulates a suspended machine: since the last tick, the wall clock
// advanced by d more than the monotonic clock.
func (t *Table) Suspend(d time.Duration) {
	t.lastWallTick = t.lastWallTick.Add(-d)
}
