package cell

import (
	"strings"
	"time"
)

// soundAfter is how long a worker has to go on after a task began on it until the
// task counts as one that doesn't crash it. A task that does, crashes it within some
// tens of milliseconds, and a report tells of a moment that is as old as its way.
const soundAfter = 300 * time.Millisecond

// justStarted reports whether the worker hasn't been heard for so long since the run
// began that the run can't have crashed it. Both times are on the worker's clock: by
// ours an answer that was held up would make a run look older than it was.
func (r *run) justStarted() bool {
	return r.begunClock == 0 || r.worker.clock-r.begunClock < soundAfter.Milliseconds()
}

// seenBegun takes note that a run has begun by a time of its worker's clock.
func (r *run) seenBegun(clock int64) {
	if r.begunClock == 0 {
		r.begunClock = clock
	}
}

// fell is the span in which a worker that is silent may have crashed.
type fell struct {
	from, to time.Duration
}

func (w *worker) fell() fell {
	return fell{from: w.heard, to: w.silent}
}

// overlaps reports whether two workers may have crashed at the same moment.
func (f fell) overlaps(other fell) bool {
	return f.from <= other.to && other.from <= f.to
}

// alsoSilent returns how many other workers may have fallen silent at the same
// moment as this one.
func (c *Cell) alsoSilent(w *worker) int {
	n := 0
	for _, other := range c.everyWorker() {
		if other != w && other.misses > 0 && w.fell().overlaps(other.fell()) {
			n++
		}
	}
	return n
}

// noteLost logs the loss of a worker with what tells its cause: the tasks that had
// just been started on it, and whether others fell silent with it.
func (c *Cell) noteLost(w *worker, reason string) {
	var started []string
	for name, r := range inOrder(w.runs) {
		if r.justStarted() {
			started = append(started, name)
		}
	}
	c.note("worker lost", "worker", w.host.ID, "reason", reason, "runs", len(w.runs),
		"silent", c.now-w.heard, "just_started", strings.Join(started, ","), "also_silent", c.alsoSilent(w))
}
