package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Workers that went down at the same moment suggest a shared cause, such as a power
// failure of a rack, rather than a task that had just been started on one of them.
const (
	// minRackFailures is how many other workers that share a label with a failed one have
	// to go down with it for the failure to count as correlated, such as a rack without
	// power. They also have to be at least half of all workers with that label.
	minRackFailures = 3
	// minPoolFailures is the same for half of a pool. It is larger than minRackFailures,
	// because in a small pool that many tasks that crash their workers may run at the same
	// time.
	minPoolFailures = 6
	// correlationWindow is how long a lost worker is compared with others. The loss of
	// workers that went down at the same moment is noticed within the timeout of a hold.
	correlationWindow = 4 * time.Second
)

// crashSpan is the time span in which a silent worker may have crashed.
type crashSpan struct {
	from, to time.Duration
}

// overlaps reports whether two workers may have crashed at the same moment.
func (s crashSpan) overlaps(other crashSpan) bool {
	return s.from <= other.to && other.from <= s.to
}

// crashSpanOf returns the span in which a worker that is lost, or may be, crashed.
func (c *Cell) crashSpanOf(w *worker) crashSpan {
	if w.missedHolds == 0 {
		return crashSpan{from: w.lastContact, to: c.now}
	}
	return crashSpan{from: w.lastContact, to: w.silentSince}
}

// workerFailure describes how the failure of a worker relates to failures of others.
type workerFailure struct {
	simultaneous int  // other workers without a trial that may have gone down at the same moment
	correlated   bool // they share a cause
}

// classifyFailure relates the failure of a worker to those of others.
func (c *Cell) classifyFailure(w *worker) workerFailure {
	others := c.simultaneousFailures(w)
	return workerFailure{simultaneous: len(others), correlated: c.isCorrelated(w, others)}
}

// machineKey returns the key that a worker is counted by, so that several incarnations on
// one machine count as one worker.
func (w *worker) machineKey() string {
	return cmp.Or(w.host.Machine, w.host.ID)
}

// simultaneousFailures returns the other workers that may have gone down at the same
// moment, by machine key. Workers with a trial are left out, as the trial explains their
// failure.
func (c *Cell) simultaneousFailures(w *worker) map[string]*worker {
	span := c.crashSpanOf(w)
	others := make(map[string]*worker)
	for other, at := range c.recentlyDown {
		if at.overlaps(span) {
			others[other.machineKey()] = other
		}
	}
	for _, other := range c.everyWorker() {
		if _, recorded := c.recentlyDown[other]; recorded {
			continue
		}
		if other.isIndependent() && other.missedHolds > 0 && c.crashSpanOf(other).overlaps(span) {
			others[other.machineKey()] = other
		}
	}
	delete(others, w.machineKey())
	return others
}

// isCorrelated reports whether a worker went down together with others that share a label
// or its pool. Any label may stand for a rack, as the platform doesn't say which one does;
// half of all workers with some other label don't fail at one moment by chance either.
func (c *Cell) isCorrelated(w *worker, others map[string]*worker) bool {
	if len(others) < minRackFailures {
		return false
	}
	if len(others) >= minPoolFailures && 2*len(others) >= len(c.pools[w.host.Service]) {
		return true
	}
	for _, label := range w.host.Labels {
		down := 0
		for _, other := range others {
			if other.host.HasLabel(label) {
				down++
			}
		}
		if down >= minRackFailures && down >= c.countSurvivors(w, label, others) {
			return true
		}
	}
	return false
}

// countSurvivors returns how many workers with a label are still up, apart from the given
// one and those that went down with it.
func (c *Cell) countSurvivors(w *worker, label string, others map[string]*worker) int {
	n := 0
	for _, other := range c.pools[w.host.Service] {
		if other.machineKey() != w.machineKey() && other.answered && others[other.machineKey()] == nil && other.host.HasLabel(label) {
			n++
		}
	}
	return n
}

// isIndependent reports whether the failure of a worker is evidence of a cause other than
// a task on trial. A worker that never answered doesn't count: it may have been down
// already, with a stale entry on the list.
func (w *worker) isIndependent() bool {
	return w.answered && w.trialJob == nil
}

// recordDown remembers when a worker without a trial went down.
func (c *Cell) recordDown(w *worker, span crashSpan) {
	if w.isIndependent() {
		c.recentlyDown[w] = span
	}
}

// expireDown drops failures that are older than correlationWindow.
func (c *Cell) expireDown() {
	for w, at := range c.recentlyDown {
		if c.now-at.to > correlationWindow {
			delete(c.recentlyDown, w)
		}
	}
}

// recordMachinesDown records workers whose machines are listed as down although no hold to
// them has failed yet: they may have gone down together with workers that are silent.
func (c *Cell) recordMachinesDown(in ListMachinesReply, byMachine map[string]*provider.Machine) {
	for _, w := range c.everyWorker() {
		m := byMachine[w.host.Machine]
		if w.missedHolds == 0 && w.lastContact < in.Sent && m != nil && downReason(w, m) != "" {
			c.recordDown(w, crashSpan{from: w.lastContact, to: in.Sent})
		}
	}
}
