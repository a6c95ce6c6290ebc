package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/throttle"
)

// Bounds on the control of filling tasks beside serving ones.
const (
	// maxSlowTime is how long a filling task may run below minPace before it is moved.
	// While it stays where it is, it holds up the steps that depend on its own.
	maxSlowTime   = 800 * time.Millisecond
	minPace       = 20                      // percent of full speed below which a filling task counts as slow
	paceStep      = 10                      // granularity of speeds, in percent
	minPaceChange = 20                      // minimum change of a speed, in percent, which limits the number of orders
	fillPause     = 1500 * time.Millisecond // without new filling tasks, after all had to be paused
)

// reportServing passes a worker's report on its serving and filling tasks to the
// interference estimator, and throttles the filling tasks to what the serving ones
// tolerate.
func (c *Cell) reportServing(w *worker) {
	if w.servingCount == 0 && w.fillingProcessors == 0 {
		return
	}
	served, fills, expected := c.servingAndFilling(w)
	c.pressure.Observe(c.now, served, fills)
	w.slack = c.pressure.Headroom(served, expected)
	if c.isOverTargetTooLong(w) {
		c.pauseAll(w)
		return
	}
	c.throttle(w, served)
}

// servingAndFilling returns a worker's active serving tasks, and its filling tasks both
// with the processors that they use and with those that they may use.
func (c *Cell) servingAndFilling(w *worker) (served []pressure.Served, fills, expected []pressure.Fill) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil {
			continue
		}
		spec := r.task.step.spec
		switch {
		case spec.Serves() && r.percent >= fullPercent && r.tail > 0:
			served = append(served, pressure.Served{Job: r.task.id.Job, Image: spec.Image, Target: spec.Target, Tail: r.tail})
		case spec.Fills:
			fills = append(fills, c.fillOf(r))
			if !r.state.isEnding() {
				expected = append(expected, pressure.Fill{Image: spec.Image, Share: w.share(spec.Need.Processors)})
			}
		}
	}
	return served, append(fills, w.recentFills(c.now)...), expected
}

// throttle sets the speeds of a worker's filling tasks to what its serving tasks tolerate,
// and moves filling tasks that have been slow for a while.
func (c *Cell) throttle(w *worker, served []pressure.Served) {
	var runs []*run
	var tasks []throttle.Task
	tolerance := c.pressure.Tolerance(served)
	for _, r := range inOrder(w.runs) {
		if !r.isFilling() || r.state != runRunning {
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
	for i, speed := range throttle.Speeds(tolerance, tasks) {
		c.setSpeed(runs[i], speed)
	}
}

// setSpeed changes a run's speed if it differs enough from the current one, and stops a
// run that has been slow for longer than maxSlowTime.
func (c *Cell) setSpeed(r *run, speed float64) {
	percent := int(speed*fullPercent) / paceStep * paceStep
	switch {
	case r.pace == percent:
	case r.pace == unknownPace, percent == fullPercent, max(r.pace-percent, percent-r.pace) >= minPaceChange:
		c.setPace(r, percent)
	}
	if r.pace >= minPace {
		r.slowSince = 0
		return
	}
	if r.slowSince == 0 {
		r.slowSince = c.now
	}
	if c.now-r.slowSince > maxSlowTime {
		c.stopRun(r, "slows a serving task")
	}
}

// fullPercent is full speed, and the progress that a lasting task reports once it is
// active.
const fullPercent = 100

// unknownPace is the pace of a run whose speed an earlier owner may have set, or whose
// last order had no answer.
const unknownPace = -1

// share returns the fraction of the worker's capacity that a number of processors is.
func (w *worker) share(processors int64) float64 {
	return float64(processors) / float64(max(1, w.host.Capacity.Processors))
}

// toleratesFilling reports whether a worker's serving tasks tolerate another filling task
// of the step.
func (c *Cell) toleratesFilling(w *worker, s *stepState) bool {
	if w.servingCount == 0 {
		return true
	}
	share := w.share(s.spec.Need.Processors)
	if c.now < w.noFillUntil && c.pressure.MaxPressure(w.slack, s.spec.Image, share) > harmlessPressure {
		return false
	}
	return c.pressure.Tolerates(w.slack, s.spec.Image, share)
}

// consumeSlack subtracts the expected interference of a started filling task from the
// slack of the serving tasks beside it, until the worker's next report.
func (c *Cell) consumeSlack(w *worker, s *stepState) {
	c.pressure.Add(w.slack, s.spec.Image, w.share(s.spec.Need.Processors))
}

// isOverTargetTooLong reports whether a serving task has exceeded its target for so long
// that the estimated interference must be wrong.
func (c *Cell) isOverTargetTooLong(w *worker) bool {
	worst := w.worstServing()
	ratio := 0.0 // tail as a fraction of its target
	if worst != nil {
		ratio = float64(worst.tail) / float64(worst.task.step.spec.Target)
	}
	switch {
	case ratio <= recoveredRatio:
		w.overTargetSince = 0
	case ratio > 1 && w.overTargetSince == 0:
		w.overTargetSince = c.now
	}
	return w.overTargetSince > 0 && c.now-w.overTargetSince > maxOverTarget
}

// recoveredRatio is the fraction of its target below which a tail that exceeded it counts
// as recovered. Readings are off by a tenth and more.
const recoveredRatio = 0.9

// maxOverTarget is how long a serving task may exceed its target before all filling tasks
// beside it are paused, whichever of them is the cause. Otherwise a wrong estimate would
// leave the real cause running.
const maxOverTarget = 1500 * time.Millisecond

// pauseAll pauses all filling tasks of a worker, and moves those that stay paused.
func (c *Cell) pauseAll(w *worker) {
	w.noFillUntil = c.now + fillPause
	for _, r := range inOrder(w.runs) {
		if r.isFilling() && r.state == runRunning {
			c.setSpeed(r, 0)
		}
	}
}

// harmlessPressure is the pressure below which a filling task may be started even though
// all filling tasks were just paused. The tail is then due to the load of the serving
// tasks' users.
const harmlessPressure = 0.12

func (r *run) isFilling() bool {
	return r.task != nil && r.task.step.spec.Fills
}

func (r *run) isServing() bool {
	return r.task != nil && r.task.step.spec.Serves()
}

// worstServing returns the serving run with the highest ratio of tail to target, nil if
// there is none.
func (w *worker) worstServing() *run {
	var worst *run
	maxRatio := 0.0
	for _, r := range inOrder(w.runs) {
		if !r.isServing() || r.percent < fullPercent {
			continue
		}
		if ratio := float64(r.tail) / float64(r.task.step.spec.Target); ratio > maxRatio {
			worst, maxRatio = r, ratio
		}
	}
	return worst
}

func (c *Cell) setPace(r *run, percent int) {
	r.timeLost += r.timeLostSincePace(c.now)
	r.pace = percent
	r.paceSetAt = c.now
	r.exposure.recordChange(c.now, c.now+c.timing.PaceDelay, r.worker.share(r.processorsUsed))
	order := r.worker.runOrder(r)
	order.Percent = percent
	c.emit(Pace{Order: order})
	c.logEvent("pace", "task", r.name, "worker", r.worker.host.ID, "percent", percent)
}

// timeLostSincePace returns the time that the run has lost to throttling since its speed
// was last set.
func (r *run) timeLostSincePace(now time.Duration) time.Duration {
	if r.pace == unknownPace {
		return 0
	}
	return (now - r.paceSetAt) * time.Duration(fullPercent-r.pace) / fullPercent
}

// handlePaceReply handles the outcome of a pace order. An unanswered one is repeated at
// the worker's next report.
func (c *Cell) handlePaceReply(in PaceReply) {
	if in.Err == nil {
		return
	}
	w := c.workerByToken(in.Host, in.Token)
	if w == nil || classifyOrderError(in.Err) == orderFenced {
		c.handleFenced(in.Host, in.Token, in.Err)
		return
	}
	if r := w.runs[in.Task]; r != nil && r.attempt == in.Attempt && r.pace == in.Percent {
		r.pace = unknownPace
	}
}
