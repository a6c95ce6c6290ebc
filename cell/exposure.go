package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/pressure"
)

// tailWindow is the length of the window that tail latencies are measured over.
const tailWindow = 500 * time.Millisecond

// exposure tracks a filling task's mean share of its worker's processors over the window
// that tail latencies are measured over. A tail read just after a task ended or slowed
// down still includes its effect, and one read just after a start doesn't include it yet.
// Using the current share instead would overestimate the load of the serving tasks' users
// in the first case, and make the task look harmless in the second.
type exposure struct {
	previous  float64 // mean share at the last change
	changedAt time.Duration
}

// mean returns the mean share over the window, given the current share, and by how much
// the share changed within it.
func (e *exposure) mean(now time.Duration, share float64) (mean, shift float64) {
	elapsed := float64(now-e.changedAt) / float64(tailWindow)
	if elapsed >= 1 {
		return share, 0
	}
	elapsed = max(0, elapsed)
	mean = e.previous + (share-e.previous)*elapsed
	return mean, max(share-e.previous, e.previous-share)
}

// recordChange records that the share changes at the given time, which may be in the
// future. share is the value until then.
func (e *exposure) recordChange(now, at time.Duration, share float64) {
	e.previous, _ = e.mean(now, share)
	e.changedAt = at
}

// endedFill is a filling task that ended within the window.
type endedFill struct {
	exposure
	image string
}

// fillOf describes a filling run to the estimator.
func (c *Cell) fillOf(r *run) pressure.Fill {
	share, shift := r.exposure.mean(c.now, r.worker.share(r.processorsUsed))
	return pressure.Fill{Image: r.task.step.spec.Image, Share: share, Change: shift}
}

// recordEndedFill keeps the exposure of a filling run that ended.
func (w *worker) recordEndedFill(now time.Duration, r *run) {
	e := r.exposure
	e.recordChange(now, now, w.share(r.processorsUsed))
	w.endedFills = append(w.endedFills, endedFill{exposure: e, image: r.task.step.spec.Image})
}

// recentFills returns the filling tasks that ended within the window.
func (w *worker) recentFills(now time.Duration) []pressure.Fill {
	var fills []pressure.Fill
	kept := w.endedFills[:0]
	for _, f := range w.endedFills {
		share, shift := f.mean(now, 0)
		if shift == 0 {
			continue
		}
		kept = append(kept, f)
		fills = append(fills, pressure.Fill{Image: f.image, Share: share, Change: shift})
	}
	w.endedFills = kept
	return fills
}
