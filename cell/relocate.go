package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Serving images differ in which filling images interfere with them. A worker that runs
// several serving images has to keep off the filling images that interfere with any of
// them. As lasting tasks come and go, such mixed workers become more common, and fewer
// workers are left for filling tasks. So serving tasks are moved to workers with similar
// ones.
const (
	// minMoveGain is the minimum gain of a move, in workers. A moved task is away for a
	// second or two, a hundredth of its lifetime; the worker that is freed for filling
	// tasks counts for as long as the mixture would have lasted.
	minMoveGain = 0.3
	// workersPerMove is the number of workers per concurrent move, which limits the
	// disruption of serving tasks.
	workersPerMove = 20
	// reservationTimeout is how long capacity is reserved for a task that is being moved.
	// A stop takes at most a second.
	reservationTimeout = 3 * time.Second
)

// reservation is capacity on a worker for a task that is being stopped elsewhere to be
// started there, or whose start is being put on record.
type reservation struct {
	worker    *worker
	need      resource.Vector
	expiresAt time.Duration
	trial     bool // starts of other jobs are kept off the worker as well
	recorded  bool // the start on the worker was put on record with the job's change
	change    uint64
}

// relocate moves serving tasks off workers on which they keep filling tasks away that are
// in demand.
func (c *Cell) relocate() {
	for _, w := range c.everyWorker() {
		if len(w.images) < 2 || w.missedHolds > 0 || w.host.Draining {
			continue
		}
		gain, toMove := c.imageSet(w).BestMove(w.images)
		if gain < minMoveGain {
			continue
		}
		for _, r := range inOrder(w.runs) {
			if len(c.reservedTasks)*workersPerMove >= len(c.workers) {
				return
			}
			if r.isServing() && slices.Contains(toMove, r.task.step.spec.Image) {
				c.moveServing(r, gain)
			}
		}
	}
}

// moveServing stops a serving run to start it where it costs less, if there is capacity.
func (c *Cell) moveServing(r *run, gain float64) {
	t := r.task
	if r.state != runRunning || r.percent < fullPercent || t.step.job.final() || t.reservation != nil || !t.step.canMiss(r) {
		return
	}
	target := c.findMoveTarget(r, gain-minMoveGain)
	if target == nil {
		return
	}
	c.reserve(t, target)
	c.stopRun(r, "moved to free the worker for filling tasks")
}

// reserve reserves capacity for a task on a worker.
func (c *Cell) reserve(t *task, w *worker) {
	w.used = w.used.Add(t.step.need)
	t.step.runsByWorker[w]++
	if t.step.spec.Serves() {
		w.addImage(t.step.spec.Image)
	}
	t.reservation = &reservation{worker: w, need: t.step.need, expiresAt: c.now + reservationTimeout}
	c.reservedTasks = append(c.reservedTasks, t)
}

// findMoveTarget returns the worker with free capacity for a serving run on which its cost
// to filling tasks is lowest, nil if no cost is below the bound.
func (c *Cell) findMoveTarget(r *run, bound float64) *worker {
	s := r.task.step
	var best *worker
	for _, w := range c.usableWorkers(s.job.terms.Service) {
		if w == r.worker || !c.fits(s, w) || !c.mayRunOn(r.task, w) {
			continue
		}
		loss := c.imageSet(w).Loss(s.spec.Image)
		if loss < bound || best != nil && loss == bound && w.used.Processors > best.used.Processors {
			best, bound = w, loss
		}
	}
	return best
}

// releaseReservation releases the capacity reserved for a task. It returns the worker, nil
// if there was no reservation.
func (c *Cell) releaseReservation(t *task) *worker {
	res := t.reservation
	if res == nil {
		return nil
	}
	t.reservation = nil
	res.worker.used = res.worker.used.Sub(res.need)
	t.step.releasePlace(res.worker)
	if t.step.spec.Serves() {
		res.worker.dropImage(t.step.spec.Image)
	}
	if res.trial {
		res.worker.endTrial()
	}
	c.markChanged(res.worker)
	c.reservedTasks = slices.DeleteFunc(c.reservedTasks, func(other *task) bool { return other == t })
	return res.worker
}

// expireReservations releases reservations that weren't used in time.
func (c *Cell) expireReservations() {
	for _, t := range slices.Clone(c.reservedTasks) {
		isWriting := t.reservation.change > t.step.job.savedChanges
		if c.now > t.reservation.expiresAt && !isWriting || t.step.job.final() {
			c.releaseReservation(t)
		}
	}
}

// startReserved starts a step's tasks that have a reservation, except those whose start
// isn't on record yet.
func (c *Cell) startReserved(s *stepState) {
	for _, t := range slices.Clone(s.ready) {
		if t.reservation == nil {
			continue
		}
		if !c.isRecorded(t) {
			c.recordReserved(t)
			continue
		}
		if c.startLimiter.full() {
			c.needsDispatch = true
			return
		}
		w := c.releaseReservation(t)
		if !c.isUsable(w) || !c.fits(s, w) || !c.mayRunOn(t, w) {
			continue
		}
		c.unqueue(t)
		c.startRun(t, w, c.nextAttempt(t))
	}
}
