package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Which workers went down at one moment tells whether what had just been started on one
// of them is to blame.
const (
	// rackFailures is how many workers with a label in common have to go down beside
	// one of them, and half of all that have it, for the cause to be one that they
	// share: a rack without power.
	rackFailures = 3
	// poolFailures is the same for half of a pool. It is larger, as a small pool has
	// that many tasks of the kind that crash their workers at a time.
	poolFailures = 6
	// downFor is how long a worker that was lost is compared with others. The loss
	// of those that went at the same moment is noticed within a hold's time-out.
	downFor = 4 * time.Second
)

// span is the time in which a worker that is silent may have crashed.
type span struct {
	from, to time.Duration
}

// overlaps reports whether two workers may have crashed at the same moment.
func (s span) overlaps(other span) bool {
	return s.from <= other.to && other.from <= s.to
}

// downSpan returns when a worker that is lost, or may be, has crashed.
func (c *Cell) downSpan(w *worker) span {
	if w.misses == 0 {
		return span{from: w.heard, to: c.now}
	}
	return span{from: w.heard, to: w.silent}
}

// failure is what is known of the moment at which a worker went down.
type failure struct {
	others     int  // workers that may have gone down at the same moment, without a trial
	correlated bool // their cause is one that they share
}

// failureOf returns what is known of the moment at which a worker went down.
func (c *Cell) failureOf(w *worker) failure {
	others := c.failedWith(w)
	return failure{others: len(others), correlated: c.correlated(w, others)}
}

// place returns what a worker is counted by: several of its incarnations are one worker.
func (w *worker) place() string {
	return cmp.Or(w.host.Machine, w.host.ID)
}

// failedWith returns the other workers that may have gone down at the same moment as
// this one, by place, leaving out those with a trial of their own.
func (c *Cell) failedWith(w *worker) map[string]*worker {
	span := c.downSpan(w)
	others := make(map[string]*worker)
	for other, at := range c.down {
		if at.overlaps(span) {
			others[other.place()] = other
		}
	}
	for _, other := range c.everyWorker() {
		if _, noted := c.down[other]; noted {
			continue
		}
		if other.mayExplain() && other.misses > 0 && c.downSpan(other).overlaps(span) {
			others[other.place()] = other
		}
	}
	delete(others, w.place())
	return others
}

// correlated reports whether what took a worker down took its like, too. Which label
// is that of a rack isn't said, so any may be: half of all workers of a kind don't go
// at one moment by chance either.
func (c *Cell) correlated(w *worker, others map[string]*worker) bool {
	if len(others) < rackFailures {
		return false
	}
	if len(others) >= poolFailures && 2*len(others) >= len(c.pools[w.host.Service]) {
		return true
	}
	for _, label := range w.host.Labels {
		down := 0
		for _, other := range others {
			if other.host.HasLabel(label) {
				down++
			}
		}
		if down >= rackFailures && down >= c.stillUp(w, label, others) {
			return true
		}
	}
	return false
}

// stillUp returns how many workers with a label go on, but for one and those that went
// down with it.
func (c *Cell) stillUp(w *worker, label string, others map[string]*worker) int {
	n := 0
	for _, other := range c.pools[w.host.Service] {
		if other.place() != w.place() && other.asked && others[other.place()] == nil && other.host.HasLabel(label) {
			n++
		}
	}
	return n
}

// mayExplain reports whether the end of a worker tells of a cause beside the tasks
// that are tried. One that never answered may have been over before, with its entry
// still on the list.
func (w *worker) mayExplain() bool {
	return w.asked && w.trial == nil
}

// noteDown remembers a worker that went down without a trial.
func (c *Cell) noteDown(w *worker, at span) {
	if w.mayExplain() {
		c.down[w] = at
	}
}

// forgetDown forgets those that went down long ago.
func (c *Cell) forgetDown() {
	for w, at := range c.down {
		if c.now-at.to > downFor {
			delete(c.down, w)
		}
	}
}

// noteMachinesDown remembers the workers that the list of machines says are down and that
// haven't been missed yet: they may have gone with those that were.
func (c *Cell) noteMachinesDown(in MachineList, by map[string]*provider.Machine) {
	for _, w := range c.everyWorker() {
		m := by[w.host.Machine]
		if w.misses == 0 && w.heard < in.Sent && m != nil && whyDown(w, m) != "" {
			c.noteDown(w, span{from: w.heard, to: in.Sent})
		}
	}
}
