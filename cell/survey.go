package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
)

// survey tracks which workers a new owner still has to ask before it may start tasks that
// an earlier owner may have started. These are all workers that an earlier owner may have
// sent orders to.
type survey struct {
	term           uint64
	pending        map[*worker]struct{} // workers that haven't answered yet
	deadline       time.Duration        // when the leases of workers that don't answer have expired
	done           bool
	crashed        map[string]uint64 // incarnations that crashed, or may have, and the term of the owner that found out
	crashedUnsaved bool              // crashed has entries that aren't on record
}

// maxCrashAge is for how many owners a crashed worker is remembered. When owners follow
// each other quickly, none of them has the time to resolve the starts that may have
// crashed the worker.
const maxCrashAge = 8

// restoreCrashed restores the crashed workers that the last maxCrashAge owners found.
func (s *survey) restoreCrashed(term uint64, crashed map[string]uint64) {
	s.term = term
	s.crashed = make(map[string]uint64)
	for id, found := range crashed {
		if (term-found)/catalog.TermSpacing <= maxCrashAge {
			s.crashed[id] = found
		}
	}
}

// mayHaveCrashed reports whether an incarnation crashed, or may have. An empty name stands
// for any incarnation.
func (s *survey) mayHaveCrashed(incarnation string) bool {
	if incarnation == "" {
		return len(s.crashed) > 0
	}
	return s.crashed[incarnation] > 0
}

// recordCrash records, during the survey, that a worker crashed or may have.
func (s *survey) recordCrash(w *worker) {
	if s.done {
		return
	}
	s.crashed[w.incarnation()] = s.term
	s.crashedUnsaved = true
}

func (s *survey) add(w *worker) {
	if s.pending == nil {
		s.pending = make(map[*worker]struct{})
	}
	s.pending[w] = struct{}{}
}

// replace makes the survey wait for the next incarnation of a worker in its place: the
// next one may have carried out a delayed order of an earlier owner.
func (s *survey) replace(w, next *worker) {
	if _, ok := s.pending[w]; ok {
		delete(s.pending, w)
		s.add(next)
	}
}

// start sets the deadline of the survey. An earlier owner that is cut off from the store
// goes on giving orders for Timing.Isolation. The last one may reach another incarnation
// of its worker after maxOrderDelay, and gives it a lease of at most MaxLease on the
// worker's clock.
func (s *survey) start(now time.Duration, t *Timing) {
	s.deadline = now + t.Isolation + maxOrderDelay + t.stretch(t.MaxLease)
	s.done = len(s.pending) == 0
}

// mayReceiveStart reports whether an earlier owner's start may still reach another
// incarnation of a worker whose machine was down at a time, as far as the lists of
// machines tell that were requested since. The earlier owner gave it no more starts once
// it had been out of contact for Timing.IdleWait and Timing.MaxSilence.
func (c *Cell) mayReceiveStart(w *worker, downAt time.Duration) bool {
	if _, pending := c.survey.pending[w]; !pending || w.startedAt == 0 {
		return false
	}
	if w.downSince == 0 {
		w.downSince = downAt
		c.logEvent("machine down", "worker", w.host.ID, "machine", w.host.Machine)
	}
	return downAt < w.downSince+c.timing.IdleWait+c.timing.MaxSilence+maxOrderDelay
}

// markSurveyed removes a worker from the survey because its runs and ends are known, or it
// is lost.
func (c *Cell) markSurveyed(w *worker) {
	if _, ok := c.survey.pending[w]; !ok {
		return
	}
	delete(c.survey.pending, w)
	c.completeSurvey()
}

// expireSurvey gives up on workers that didn't answer once their leases have expired. A
// worker that has answered still has ends to list, or checkLease gives it up.
func (c *Cell) expireSurvey() {
	if c.survey.done || c.now < c.survey.deadline || c.writer.lastContact < c.survey.deadline {
		return
	}
	for w := range c.survey.pending {
		if !w.answered {
			c.logEvent("lease ended", "worker", w.host.ID, "silent", c.now-w.lastContact)
			c.abandonSurvey(w)
		}
	}
}

// abandonSurvey removes a worker from the survey whose lease has expired before it listed
// all of its ends.
func (c *Cell) abandonSurvey(w *worker) {
	if _, ok := c.survey.pending[w]; ok {
		c.survey.recordCrash(w)
		c.markSurveyed(w)
	}
}

// completeSurvey completes the survey if no worker is pending.
func (c *Cell) completeSurvey() {
	if c.survey.done || len(c.survey.pending) > 0 {
		return
	}
	c.survey.done = true
	c.needsDispatch = true
	c.recordsStarts = true
	c.requireRecordedStarts()
	c.saveAssumedStrays()
	c.logEvent("workers surveyed", "workers", len(c.workers), "stray_starts", len(c.strays.tasks))
}

// canStart reports whether a step's tasks may be started: an earlier owner can't have started
// any, or the survey has found all of them, or it is on record on which worker each of them was
// last started.
func (c *Cell) canStart(s *stepState) bool {
	return !s.job.inherited || c.survey.done || c.recordsStarts && s.recordsStarts()
}
