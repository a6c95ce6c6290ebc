package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/pressure"
)

// Bounds of the care for serving tasks.
const (
	strained  = 0.95                   // part of the target from which filling tasks beside are slowed
	restored  = 1.25                   // slack that is to be given back to a serving task near its target
	relieved  = 0.8                    // part of it below which they may go on, if the estimate bears them
	patience  = 800 * time.Millisecond // a filling task that stands still for longer is moved
	pauseFill = 1500 * time.Millisecond
)

// reportServing hands what a worker reports of its serving and filling tasks
// to the estimator, and slows the filling ones down where a serving one is
// near its target.
func (c *Cell) reportServing(w *worker) {
	if w.serving == 0 {
		return
	}
	served, fills, expected := w.mixture()
	if len(served) == 0 {
		return
	}
	c.pressure.Observe(c.now, served, fills, c.now-w.fillChange > settled)
	w.room = c.pressure.Room(served, expected)
	c.relieve(w)
}

// mixture returns a worker's serving tasks that are at work, and its filling
// ones with what they use and with what they may use.
func (w *worker) mixture() (served []pressure.Served, fills, expected []pressure.Fill) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil {
			continue
		}
		spec := r.task.step.spec
		switch {
		case spec.Serves() && r.percent >= wholePercent && r.tail > 0:
			served = append(served, pressure.Served{Job: r.task.id.Job, Image: spec.Image, Target: spec.Target, Tail: r.tail})
		case spec.Fills:
			fills = append(fills, pressure.Fill{Image: spec.Image, Share: w.share(r.use)})
			if r.pace > 0 && r.state != runStopping {
				expected = append(expected, pressure.Fill{Image: spec.Image, Share: w.share(spec.Need.Processors)})
			}
		}
	}
	return served, fills, expected
}

// settled is how long filling tasks must have been as they are for a tail to
// tell of them. A tail is measured over half a second, and what has queued up
// takes some more to drain.
const settled = 700 * time.Millisecond

// wholePercent is what a lasting task reports once it is at work.
const wholePercent = 100

func (w *worker) share(processors int64) float64 {
	return float64(processors) / float64(max(1, w.host.Capacity.Processors))
}

// bears reports whether a worker's serving tasks bear another filling task.
func (c *Cell) bears(w *worker, s *stepState) bool {
	if w.serving == 0 {
		return true
	}
	share := w.share(s.spec.Need.Processors)
	if c.now < w.fillAfter && c.pressure.Most(w.room, s.spec.Image, share) > harmless {
		return false
	}
	return c.pressure.Bears(w.room, s.spec.Image, share)
}

// pressed takes a started filling task off the room of the serving ones beside
// it, until the worker's next report tells better.
func (c *Cell) pressed(w *worker, s *stepState) {
	c.pressure.Add(w.room, s.spec.Image, w.share(s.spec.Need.Processors))
}

// relieve stops or pauses the filling tasks that slow a serving task near its
// target. Otherwise its users would wait for as long as they last.
func (c *Cell) relieve(w *worker) {
	victim := w.worst()
	if victim == nil {
		return
	}
	strain := float64(victim.tail) / float64(victim.task.step.spec.Target)
	if strain <= 1 {
		w.overSince = 0
	} else if w.overSince == 0 {
		w.overSince = c.now
	}
	if w.overSince > 0 && c.now-w.overSince > enough {
		c.pauseAll(w)
		return
	}
	if strain > strained {
		c.pauseCulprits(w, victim, restored-1/strain)
		return
	}
	c.settlePaused(w, strain < relieved)
}

// pauseCulprits pauses the filling tasks that take most of a serving task's
// slack, as many as it takes to give it some, and moves those that have stood
// still for a while.
func (c *Cell) pauseCulprits(w *worker, victim *run, needed float64) {
	image := victim.task.step.spec.Image
	for _, r := range c.culprits(w, image) {
		p := c.pressureOf(r, image)
		if p < harmless && needed > 0 {
			continue
		}
		if needed > 0 && p > heavy && r.task.step.spec.Checkpoints {
			c.stopRun(r, "slows a serving task")
			w.fillAfter = c.now + pauseFill
			needed -= p
			continue
		}
		if r.pace > 0 && needed > 0 {
			c.setPace(r, 0)
			w.fillAfter = c.now + pauseFill
			needed -= p
			continue
		}
		if r.pace == 0 && c.now-r.pacedAt > patience {
			c.stopRun(r, "slows a serving task")
		}
	}
}

// culprits returns a worker's filling runs, those with the greatest pressure
// on a serving image first.
func (c *Cell) culprits(w *worker, image string) []*run {
	var fills []*run
	for _, r := range inOrder(w.runs) {
		if r.fills() && r.state == runRunning {
			fills = append(fills, r)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		return cmp.Or(cmp.Compare(c.pressureOf(b, image), c.pressureOf(a, image)), cmp.Compare(a.name, b.name))
	})
	return fills
}

// enough is how long a serving task may be over its target before all filling
// tasks beside it are stopped, whichever of them is the cause. A cause that the
// estimate gets wrong would otherwise last.
const enough = 1500 * time.Millisecond

// pauseAll pauses all filling tasks of a worker, and moves those that are.
func (c *Cell) pauseAll(w *worker) {
	w.fillAfter = c.now + pauseFill
	for _, r := range inOrder(w.runs) {
		if !r.fills() || r.state != runRunning {
			continue
		}
		if r.pace > 0 {
			c.setPace(r, 0)
		} else if c.now-r.pacedAt > patience {
			c.stopRun(r, "slows a serving task")
		}
	}
}

// harmless is the pressure below which a filling task isn't worth stopping:
// the tail would stay where the load of its users has put it.
const harmless = 0.12

// heavy is the pressure from which a filling task that keeps its progress is
// moved at once: it could go on only at the trough of the users' load.
const heavy = 0.6

func (r *run) fills() bool {
	return r.task != nil && r.task.step.spec.Fills
}

func (c *Cell) pressureOf(r *run, image string) float64 {
	spec := r.task.step.spec
	return c.pressure.Weight(image, spec.Image) * r.worker.share(spec.Need.Processors)
}

// settlePaused lets paused filling tasks go on where the serving ones have
// relief and bear them, and moves those that have stood still for a while. One
// that neither goes on nor is moved holds up all that comes after its step: on a
// calm day of 490 workers a quarter of all filling tasks stood still, and moving
// them took what that day's jobs were worth from 0.525 to 0.66 (two seeds).
func (c *Cell) settlePaused(w *worker, relief bool) {
	for _, r := range inOrder(w.runs) {
		if !r.fills() || r.state != runRunning || r.pace > 0 {
			continue
		}
		spec := r.task.step.spec
		switch {
		case relief && c.pressure.Bears(w.room, spec.Image, w.share(spec.Need.Processors)):
			c.setPace(r, wholePercent)
			c.pressed(w, r.task.step)
		case c.now-r.pacedAt > patience:
			c.stopRun(r, "slows a serving task")
		}
	}
}

// worst returns the serving run whose tail is the largest part of its target.
func (w *worker) worst() *run {
	var worst *run
	most := 0.0
	for _, r := range inOrder(w.runs) {
		if r.task == nil || !r.task.step.spec.Serves() || r.percent < wholePercent {
			continue
		}
		if part := float64(r.tail) / float64(r.task.step.spec.Target); part > most {
			worst, most = r, part
		}
	}
	return worst
}

func (c *Cell) setPace(r *run, percent int) {
	r.pace = percent
	r.pacedAt = c.now
	r.worker.fillChange = c.now
	order := r.worker.order(c.self.Term, r)
	order.Percent = percent
	c.do(Pace{Order: order})
	c.note("pace", "task", r.name, "worker", r.worker.host.ID, "percent", percent)
}

// paced takes the outcome of a pace. One without an answer is given again at
// the worker's next report.
func (c *Cell) paced(in PaceReply) {
	if in.Err == nil {
		return
	}
	if kindOf(in.Err) == orderFenced {
		c.beaten(in.Host)
		return
	}
	w := c.workers[in.Host]
	if w == nil {
		return
	}
	if r := w.runs[in.Task]; r != nil && r.attempt == in.Attempt && r.pace == in.Percent {
		r.pace = wholePercent - in.Percent
	}
}
