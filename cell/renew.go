package cell

import "github.com/dogwoodladder/dogwoodladder/provider"

// mostEnds is how many ends one answer of a worker lists. There may be more.
const mostEnds = 500

// renewed reports whether a worker that answers under its ID is another life than the
// one that answered before. What goes wrong otherwise: it numbers its ends from one
// again, so they look like those that are on record, are acknowledged unread, and
// their tasks run once more. One notices runs that are gone without an end, or a clock
// that went back.
func (w *worker) renewed(held *provider.Held) bool {
	if !w.asked {
		return false
	}
	if held.Clock < w.clock {
		return true
	}
	if len(w.runs) <= len(held.Running) || len(held.Ended) >= mostEnds {
		return false
	}
	known := attempts(held)
	for name, r := range w.runs {
		if r.begunClock != 0 && held.Clock > r.deadline && !known[attempt{name, r.attempt}] {
			return true
		}
	}
	return false
}

// attempt names a run.
type attempt struct {
	task   string
	number uint64
}

// attempts returns the runs that an answer tells of, running or ended.
func attempts(held *provider.Held) map[attempt]bool {
	known := make(map[attempt]bool, len(held.Running)+len(held.Ended))
	for i := range held.Running {
		known[attempt{held.Running[i].Task, held.Running[i].Attempt}] = true
	}
	for i := range held.Ended {
		known[attempt{held.Ended[i].Task, held.Ended[i].Attempt}] = true
	}
	return known
}

// renew begins another life of a worker under the same ID: what ran in the one before
// is gone with it. A start that wasn't answered may still be carried out.
func (c *Cell) renew(w *worker, held *provider.Held) {
	f := c.failureOf(w)
	c.note("worker renewed", "worker", w.host.ID, "born", held.Born, "runs", len(w.runs), "clock", held.Clock, "before", w.clock, "others", f.others)
	known := attempts(held)
	for name, r := range inOrder(w.runs) {
		if known[attempt{name, r.attempt}] {
			continue
		}
		if !f.correlated {
			c.crashed(r, f)
		}
		r.deadline = held.Clock + c.timing.StartWindow.Milliseconds()
		if r.begunClock != 0 {
			c.endRun(r, provider.EndLost, "")
		}
	}
	w.ended, w.seen = 0, 0
	w.deadline = 0
}
