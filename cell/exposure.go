package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/pressure"
)

// tailWindow is how long a tail is measured over.
const tailWindow = 500 * time.Millisecond

// exposure follows what a filling task's share of its worker's processors was
// over the window that tails are measured over. A tail that is read just after
// a task has ended or slowed down still tells of it, and one read just after
// a start doesn't yet: taken for the state of the moment, the first makes the
// load of the users look higher than it is, the second the task harmless.
type exposure struct {
	before  float64       // mean share when it last changed
	changed time.Duration // when that was
}

// mean returns the mean share over the window, for the share in use now, and
// by how much the share changed within it.
func (e *exposure) mean(now time.Duration, share float64) (mean, moved float64) {
	part := float64(now-e.changed) / float64(tailWindow)
	if part >= 1 {
		return share, 0
	}
	part = max(0, part)
	mean = e.before + (share-e.before)*part
	return mean, max(share-e.before, e.before-share)
}

// change takes note that the share changes at a time.
func (e *exposure) change(now, at time.Duration, share float64) {
	e.before, _ = e.mean(now, share)
	e.changed = at
}

// gone is a filling task that ended a moment ago.
type gone struct {
	exposure
	image string
}

// fill returns what a filling run is to the estimator.
func (c *Cell) fill(r *run) pressure.Fill {
	share, moved := r.exposure.mean(c.now, r.worker.share(r.use))
	return pressure.Fill{Image: r.task.step.spec.Image, Share: share, Moved: moved}
}

// leave keeps what a filling run that ended has pressed.
func (w *worker) leave(now time.Duration, r *run) {
	e := r.exposure
	e.change(now, now, w.share(r.use))
	w.gone = append(w.gone, gone{exposure: e, image: r.task.step.spec.Image})
}

// lately returns the filling tasks that ended within the window.
func (w *worker) lately(now time.Duration) []pressure.Fill {
	var fills []pressure.Fill
	kept := w.gone[:0]
	for _, g := range w.gone {
		share, moved := g.mean(now, 0)
		if moved == 0 {
			continue
		}
		kept = append(kept, g)
		fills = append(fills, pressure.Fill{Image: g.image, Share: share, Moved: moved})
	}
	w.gone = kept
	return fills
}
