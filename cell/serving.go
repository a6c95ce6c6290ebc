package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/throttle"
)

// Bounds of the care for serving tasks.
const (
	// patience is how long a filling task may hardly work before it is moved.
	// One that waits in its place holds up all that comes after its step.
	patience  = 800 * time.Millisecond
	slowest   = 20                      // percent of full speed below which a filling task hardly works
	paceStep  = 10                      // percent between two speeds
	paceGap   = 20                      // percent by which a speed differs at least before it is ordered, which bounds the orders
	pauseFill = 1500 * time.Millisecond // without new filling tasks, after all had to be paused
)

// reportServing hands what a worker reports of its serving and filling tasks
// to the estimator, and has the filling ones work as fast as the serving ones
// bear.
func (c *Cell) reportServing(w *worker) {
	if w.serving == 0 && w.filling == 0 {
		return
	}
	served, fills, expected := c.mixture(w)
	c.pressure.Observe(c.now, served, fills)
	w.room = c.pressure.Room(served, expected)
	if c.overTooLong(w) {
		c.pauseAll(w)
		return
	}
	c.throttle(w, served)
}

// mixture returns a worker's serving tasks that are at work, and its filling
// ones with what they use and with what they may use.
func (c *Cell) mixture(w *worker) (served []pressure.Served, fills, expected []pressure.Fill) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil {
			continue
		}
		spec := r.task.step.spec
		switch {
		case spec.Serves() && r.percent >= wholePercent && r.tail > 0:
			served = append(served, pressure.Served{Job: r.task.id.Job, Image: spec.Image, Target: spec.Target, Tail: r.tail})
		case spec.Fills:
			fills = append(fills, c.fill(r))
			if r.state != runStopping {
				expected = append(expected, pressure.Fill{Image: spec.Image, Share: w.share(spec.Need.Processors)})
			}
		}
	}
	return served, append(fills, w.lately(c.now)...), expected
}

// throttle has a worker's filling tasks work as fast as its serving ones bear,
// and moves those that have hardly worked for a while.
func (c *Cell) throttle(w *worker, served []pressure.Served) {
	var runs []*run
	var tasks []throttle.Task
	room := c.pressure.Spare(served)
	for _, r := range inOrder(w.runs) {
		if !r.fills() || r.state != runRunning {
			continue
		}
		share := w.share(r.task.step.spec.Need.Processors)
		t := throttle.Task{Share: share}
		for i := range served {
			t.Pressure = append(t.Pressure, share*c.pressure.Weight(served[i].Image, r.task.step.spec.Image))
		}
		runs = append(runs, r)
		tasks = append(tasks, t)
	}
	for i, speed := range throttle.Speeds(room, tasks) {
		c.setSpeed(runs[i], speed)
	}
}

// setSpeed orders a run's speed where it differs enough from the one in force.
func (c *Cell) setSpeed(r *run, speed float64) {
	percent := int(speed*wholePercent) / paceStep * paceStep
	switch {
	case r.pace == percent:
	case r.pace == unknownPace, percent == wholePercent, max(r.pace-percent, percent-r.pace) >= paceGap:
		c.setPace(r, percent)
	}
	if r.pace >= slowest {
		r.slowSince = 0
		return
	}
	if r.slowSince == 0 {
		r.slowSince = c.now
	}
	if c.now-r.slowSince > patience {
		c.stopRun(r, "slows a serving task")
	}
}

// wholePercent is what a lasting task reports once it is at work.
const wholePercent = 100

// unknownPace is the pace of a run that an earlier owner may have set, or whose
// last order had no answer.
const unknownPace = -1

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

// overTooLong reports whether a serving task has been over its target for so
// long that the estimate can't be right.
func (c *Cell) overTooLong(w *worker) bool {
	victim := w.worst()
	part := 0.0 // of its target
	if victim != nil {
		part = float64(victim.tail) / float64(victim.task.step.spec.Target)
	}
	switch {
	case part <= settled:
		w.overSince = 0
	case part > 1 && w.overSince == 0:
		w.overSince = c.now
	}
	return w.overSince > 0 && c.now-w.overSince > enough
}

// settled is the part of its target below which a tail that was above it is taken to be
// within it again. Readings are off by a tenth and more.
const settled = 0.9

// enough is how long a serving task may be over its target before all filling
// tasks beside it are stopped, whichever of them is the cause. A cause that the
// estimate gets wrong would otherwise last.
const enough = 1500 * time.Millisecond

// pauseAll pauses all filling tasks of a worker, and moves those that are.
func (c *Cell) pauseAll(w *worker) {
	w.fillAfter = c.now + pauseFill
	for _, r := range inOrder(w.runs) {
		if r.fills() && r.state == runRunning {
			c.setSpeed(r, 0)
		}
	}
}

// harmless is the pressure below which a filling task may be started though
// all were just paused: the tail stays where the load of its users has put it.
const harmless = 0.12

func (r *run) fills() bool {
	return r.task != nil && r.task.step.spec.Fills
}

func (r *run) serves() bool {
	return r.task != nil && r.task.step.spec.Serves()
}

// worst returns the serving run whose tail is the largest part of its target.
func (w *worker) worst() *run {
	var worst *run
	most := 0.0
	for _, r := range inOrder(w.runs) {
		if !r.serves() || r.percent < wholePercent {
			continue
		}
		if part := float64(r.tail) / float64(r.task.step.spec.Target); part > most {
			worst, most = r, part
		}
	}
	return worst
}

func (c *Cell) setPace(r *run, percent int) {
	r.slowed += r.belowSpeed(c.now)
	r.pace = percent
	r.paced = c.now
	r.exposure.change(c.now, c.now+c.timing.PaceDelay, r.worker.share(r.use))
	order := r.worker.order(r)
	order.Percent = percent
	c.do(Pace{Order: order})
	c.note("pace", "task", r.name, "worker", r.worker.host.ID, "percent", percent)
}

// belowSpeed returns what a run has lost since its speed was set.
func (r *run) belowSpeed(now time.Duration) time.Duration {
	if r.pace == unknownPace {
		return 0
	}
	return (now - r.paced) * time.Duration(wholePercent-r.pace) / wholePercent
}

// paced takes the outcome of a pace. One without an answer is given again at
// the worker's next report.
func (c *Cell) paced(in PaceReply) {
	if in.Err == nil {
		return
	}
	w := c.addressee(in.Host, in.Token)
	if w == nil || kindOf(in.Err) == orderFenced {
		c.fenced(in.Host, in.Token, in.Err)
		return
	}
	if r := w.runs[in.Task]; r != nil && r.attempt == in.Attempt && r.pace == in.Percent {
		r.pace = unknownPace
	}
}
