package cell

import (
	"slices"
	"time"
)

// A dispatch pass goes over the waiting steps, the most urgent first, and starts the
// tasks that fit on a worker. The cost of a pass is bounded: an owner that is busy
// dispatching writes no heartbeat, so that another instance takes the cell, finds the
// same backlog and is overloaded as well. Checking all pairs of a step and a worker in
// each of 200 passes a second would take millions of checks (TestBacklogCostsLittle).
const (
	// minPassGap is the minimum time between two passes. Under load, each of thousands of
	// reports a second makes a start possible.
	minPassGap = 5 * time.Millisecond
	// maxChecksPerPass is how many pairs of a step and a worker one pass checks. Steps
	// that it doesn't reach wait for the next pass.
	maxChecksPerPass = 10_000
	// gapPerCheck is the pause after a pass for each pair that it checked. It is ten times
	// the duration of a check, so that passes take at most a tenth of the time.
	gapPerCheck = time.Microsecond
	// recheckInterval is how often a step that fits nowhere is checked against all workers
	// again, because some obstacles to a start end with time alone.
	recheckInterval = time.Second
)

// passState is the state of the dispatch passes.
type passState struct {
	current     uint64        // number of the current pass, from 1
	lastAt      time.Duration // when the current pass began
	minGap      time.Duration // minimum time until the next pass
	checks      int           // pairs checked in the current pass
	totalChecks uint64        // pairs checked in all passes
	pools       map[string]*pool
	buffer      []candidate // reused for candidates
}

// pool holds the workers of a service that may get tasks, for one pass.
type pool struct {
	usable  []*worker
	changed []*worker // those that have changed since the previous pass
}

// dispatch runs a dispatch pass. A step whose next task fits nowhere doesn't hold up the
// steps after it.
func (c *Cell) dispatch() {
	passes := &c.passes
	passes.lastAt = c.now
	passes.current++
	passes.checks = 0
	if !c.canOrder() || !c.checkListFresh() || c.writer.leaving {
		return
	}
	c.sortWaiting()
	c.refreshUsable()
	c.planColocation()
	isComplete := true
	for _, s := range c.waitingSteps {
		if passes.checks >= maxChecksPerPass || c.startLimiter.full() {
			c.needsDispatch = true
			isComplete = false
			break
		}
		c.dispatchStep(s)
	}
	c.overloadGauge.RecordPass(c.now, c.startLimiter.full())
	c.dropEmptySteps()
	if isComplete {
		c.startCopies()
	}
	passes.totalChecks += uint64(passes.checks)
	passes.minGap = max(minPassGap, time.Duration(passes.checks)*gapPerCheck)
}

// dropEmptySteps drops the steps without waiting tasks.
func (c *Cell) dropEmptySteps() {
	c.waitingSteps = slices.DeleteFunc(c.waitingSteps, func(s *stepState) bool {
		s.queued = len(s.ready) > 0
		return !s.queued
	})
}

// refreshUsable collects the workers that may get tasks in this pass.
func (c *Cell) refreshUsable() {
	for service, workers := range c.pools {
		p := c.passes.pools[service]
		if p == nil {
			p = &pool{}
			c.passes.pools[service] = p
		}
		p.usable = p.usable[:0]
		p.changed = p.changed[:0]
		for _, w := range workers {
			usable := c.isUsable(w)
			if w.changedSincePass || usable && !w.wasUsable {
				w.changedInPass = c.passes.current
			}
			w.changedSincePass = false
			w.wasUsable = usable
			if !usable {
				continue
			}
			p.usable = append(p.usable, w)
			if w.changedInPass == c.passes.current {
				p.changed = append(p.changed, w)
			}
		}
	}
}

// markChanged records that a worker may have free capacity that it didn't have before.
func (c *Cell) markChanged(w *worker) {
	w.changedSincePass = true
	c.needsDispatch = true
}

// dispatchStep starts a step's waiting tasks as long as workers are found for them.
func (c *Cell) dispatchStep(s *stepState) {
	j := s.job
	if len(s.ready) == 0 || j.final() || !c.canStart(s) || c.isClaimPending(j) {
		return
	}
	c.resolveInheritedStarts(s)
	if j.final() || s.spec.Gang && len(s.ready) < s.tasksLeft {
		return
	}
	c.startReserved(s)
	if !c.mayStartAny(s) {
		return
	}
	found := c.candidates(s)
	if len(found) == 0 {
		c.recordNoFit(s)
		return
	}
	if s.spec.Gang {
		c.dispatchGang(s)
		return
	}
	if !c.ensureClaimed(j) {
		return
	}
	if c.startReady(s, found) == 0 {
		c.recordNoFit(s)
	}
}

// mayStartAny reports whether a step has waiting tasks that may be started on some worker. The
// others would use up the checks of each pass.
func (c *Cell) mayStartAny(s *stepState) bool {
	if s.spec.Gang {
		return len(s.ready) > 0 && !slices.ContainsFunc(s.ready, c.isHeldBack)
	}
	return slices.ContainsFunc(s.ready, func(t *task) bool {
		return t.reservation == nil && (!c.isHeldBack(t) || c.strayWorker(t) != nil)
	})
}

// startReady starts waiting tasks on the candidates until it runs out of either. It
// returns the number of candidates that are left.
func (c *Cell) startReady(s *stepState, found []candidate) int {
	remaining := s.ready[:0]
	unrecorded := 0
	for i, t := range s.ready {
		if len(found) == 0 || c.startLimiter.full() || unrecorded >= maxUnrecordedStarts {
			remaining = append(remaining, s.ready[i:]...)
			break
		}
		k := -1
		if t.reservation == nil {
			k = c.bestCandidate(found, t)
		}
		if k < 0 {
			remaining = append(remaining, t) // it has a reservation, is held back, or can't run on any candidate
			continue
		}
		w := found[k].worker
		if c.needsRecord(t) {
			c.reserveAndRecord(t, w)
			unrecorded++
			remaining = append(remaining, t)
		} else {
			c.startRun(t, w, c.nextAttempt(t))
		}
		c.passes.checks++
		if c.fits(s, w) {
			found[k].score = c.placementScore(s, w)
		} else {
			found = slices.Delete(found, k, k+1)
		}
	}
	clear(s.ready[len(remaining):])
	s.ready = remaining
	return len(found)
}

// recordNoFit records that no worker in this pass can take another task of the step.
func (c *Cell) recordNoFit(s *stepState) {
	if s.lastFailedPass == 0 || c.now-s.lastFullCheckAt >= recheckInterval {
		s.lastFullCheckAt = c.now
	}
	s.lastFailedPass = c.passes.current
	c.requestAdvice(s)
}

// candidate is a worker that a step's tasks fit on.
type candidate struct {
	worker *worker
	score  float64
}

// candidates returns the workers that a step's tasks fit on. Workers that didn't fit in an
// earlier pass and haven't changed since are skipped.
func (c *Cell) candidates(s *stepState) []candidate {
	passes := &c.passes
	p := passes.pools[s.job.terms.Service]
	if p == nil {
		return nil
	}
	checkAll := s.lastFailedPass == 0 || c.now-s.lastFullCheckAt >= recheckInterval
	if s.spec.Gang && len(p.changed) > 0 {
		checkAll = true // any changed worker may complete the set for the gang
	}
	workers := p.usable
	if !checkAll && s.lastFailedPass == passes.current-1 {
		workers = p.changed
	}
	found := passes.buffer[:0]
	for _, w := range workers {
		if !checkAll && w.changedInPass <= s.lastFailedPass {
			continue
		}
		passes.checks++
		if c.fits(s, w) {
			found = append(found, candidate{worker: w, score: c.placementScore(s, w)})
		}
	}
	passes.buffer = found
	return found
}

// bestCandidate returns the index of the candidate with the lowest score that the task may
// be started on, -1 if there is none.
func (c *Cell) bestCandidate(found []candidate, t *task) int {
	if w := c.strayWorker(t); w != nil {
		k := slices.IndexFunc(found, func(f candidate) bool { return f.worker == w })
		if k >= 0 && c.mayRunOn(t, w) {
			return k
		}
	}
	if c.isHeldBack(t) {
		return -1
	}
	best := -1
	for i := range found {
		if best >= 0 && found[i].score >= found[best].score {
			continue
		}
		if c.mayRunOn(t, found[i].worker) {
			best = i
		}
	}
	return best
}

// mayRunOn reports whether the task itself may be started on the worker: it doesn't run
// there, no earlier start of it may be carried out elsewhere, it didn't fail there recently,
// and its trial, if it needs one, may take place.
func (c *Cell) mayRunOn(t *task, w *worker) bool {
	return w.runs[t.name] == nil && (!c.isHeldBack(t) || w == c.strayWorker(t)) && c.now >= t.avoidUntil[w] && (!t.suspect || w.canTakeTrial(t.step.job, c.now))
}

// fits reports whether a step's tasks may be started on a worker now.
func (c *Cell) fits(s *stepState, w *worker) bool {
	return c.fitsWithoutTicket(s, w) && c.hasTicket(s, w)
}

// fitsWithoutTicket is like fits, but needs no ticket of the adviser.
func (c *Cell) fitsWithoutTicket(s *stepState, w *worker) bool {
	if !c.admitsProbe(w, s) || w.trialJob != nil && w.trialJob != s.job || !w.used.Add(s.need).Fits(w.host.Capacity) {
		return false
	}
	if s.spec.Label != "" && !w.host.HasLabel(s.spec.Label) {
		return false
	}
	if s.spec.PerWorker > 0 && s.runsByWorker[w] >= s.spec.PerWorker {
		return false
	}
	return !s.spec.Fills || c.toleratesFilling(w, s)
}

// isClaimPending reports whether the job's claim is set but not yet on record.
func (c *Cell) isClaimPending(j *jobState) bool {
	return j.progress.Claimed && !j.claimRecorded
}

// ensureClaimed puts on record that a job's tasks may have been started, before the first
// of them is. It reports whether that is done. A successor may start the tasks of
// unclaimed jobs at once, without asking every worker first.
func (c *Cell) ensureClaimed(j *jobState) bool {
	if !j.progress.Claimed {
		j.progress.Claimed = true
		c.writer.markDirty(j)
	}
	return j.claimRecorded
}
