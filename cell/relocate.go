package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// A serving task that minds other filling images than those beside it keeps
// them off the whole worker. As lasting tasks come and go, such mixtures grow, and
// fewer and fewer workers bear the filling images that most serving ones mind. So
// tasks are moved back to their like.
const (
	// moveGain is the least gain of a move, in workers. A moved task is away
	// for a second or two, a hundredth of its life; a worker given back counts
	// for as long as the mixture would have lasted.
	moveGain = 0.3
	// movesAtOnce is how many workers there are to each move under way, so
	// that what serves users isn't shaken up all at once.
	movesAtOnce = 20
	// keptFor is how long room is kept for a task that is being moved. A stop
	// takes a second at most.
	keptFor = 3 * time.Second
)

// keep is room on a worker for a task that is stopped elsewhere to be started
// there, or whose start is being put on record.
type keep struct {
	worker *worker
	need   resource.Vector
	until  time.Duration
	trial  bool // starts of other jobs are kept off the worker as well
}

// relocate moves serving tasks away from workers on which they keep off
// filling tasks that are wanted.
func (c *Cell) relocate() {
	for _, w := range c.everyWorker() {
		if len(w.images) < 2 || w.misses > 0 || w.host.Draining {
			continue
		}
		gain, leave := c.imagesOf(w).Spoiled(w.images)
		if gain < moveGain {
			continue
		}
		for _, r := range inOrder(w.runs) {
			if len(c.kept)*movesAtOnce >= len(c.workers) {
				return
			}
			if r.serves() && slices.Contains(leave, r.task.step.spec.Image) {
				c.moveServing(r, gain)
			}
		}
	}
}

// moveServing stops a serving run to start it where it costs less, if there is
// room.
func (c *Cell) moveServing(r *run, gain float64) {
	t := r.task
	if r.state != runRunning || r.percent < wholePercent || t.step.job.final() || t.kept != nil || !t.step.mayMiss(r) {
		return
	}
	to := c.whereTo(r, gain-moveGain)
	if to == nil {
		return
	}
	c.keepRoom(t, to)
	c.stopRun(r, "keeps filling tasks off")
}

// keepRoom keeps room for a task on a worker.
func (c *Cell) keepRoom(t *task, w *worker) {
	w.used = w.used.Add(t.step.need)
	t.kept = &keep{worker: w, need: t.step.need, until: c.now + keptFor}
	c.kept = append(c.kept, t)
}

// whereTo returns the worker with room for a serving run on which it costs
// least, nil if that is no less than a bound.
func (c *Cell) whereTo(r *run, bound float64) *worker {
	s := r.task.step
	var best *worker
	for _, w := range c.usableIn(s.job.terms.Service) {
		if w == r.worker || !c.fits(s, w) || !r.task.mayRunOn(w, c.now) {
			continue
		}
		loss := c.imagesOf(w).Loss(s.spec.Image)
		if loss < bound || best != nil && loss == bound && w.used.Processors > best.used.Processors {
			best, bound = w, loss
		}
	}
	return best
}

// giveBack frees the room that is kept for a task. It returns the worker that
// it was kept on, nil if none was.
func (c *Cell) giveBack(t *task) *worker {
	k := t.kept
	if k == nil {
		return nil
	}
	t.kept = nil
	k.worker.used = k.worker.used.Sub(k.need)
	if k.trial {
		k.worker.endTrial()
	}
	c.touch(k.worker)
	c.kept = slices.DeleteFunc(c.kept, func(other *task) bool { return other == t })
	return k.worker
}

// dropKept gives room back that wasn't used in time.
func (c *Cell) dropKept() {
	for _, t := range slices.Clone(c.kept) {
		if c.now > t.kept.until || t.step.job.final() {
			c.giveBack(t)
		}
	}
}

// startKept starts a step's tasks for which room is kept, but for those whose start
// isn't on record yet.
func (c *Cell) startKept(s *stepState) {
	for _, t := range slices.Clone(s.ready) {
		if t.kept == nil {
			continue
		}
		if c.mustRecord(t) && !t.recorded() {
			if t.startChange == 0 {
				c.record(t, t.kept.worker.incarnation())
			}
			continue
		}
		w := c.giveBack(t)
		if !c.usable(w) || !c.fits(s, w) || !t.mayRunOn(w, c.now) {
			continue
		}
		c.unqueue(t)
		c.startRun(t, w, c.nextAttempt(t))
	}
}
