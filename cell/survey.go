package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
)

// survey is what a new owner has to find out before it may start tasks that
// an earlier owner may have started: what runs on each worker that it may
// have given orders to.
type survey struct {
	term    uint64
	open    map[*worker]struct{}
	until   time.Duration // when the leases of workers that don't answer have ended
	done    bool
	crashed map[string]uint64 // incarnations of workers that had crashed, or may have, and the term of the owner that found it
	untold  bool              // not all of them are on record
}

// crashedOwners is for how many owners a crashed worker is remembered. Those that are
// followed in haste don't come to deal with what may have crashed it.
const crashedOwners = 8

// remember takes over the crashed workers that owners not long before found.
func (s *survey) remember(term uint64, crashed map[string]uint64) {
	s.term = term
	s.crashed = make(map[string]uint64)
	for id, found := range crashed {
		if (term-found)/catalog.TermSpacing <= crashedOwners {
			s.crashed[id] = found
		}
	}
}

// mayHaveCrashed reports whether an incarnation had crashed, or may have; any for an
// empty name.
func (s *survey) mayHaveCrashed(incarnation string) bool {
	if incarnation == "" {
		return len(s.crashed) > 0
	}
	return s.crashed[incarnation] > 0
}

// noteCrash takes note that a worker had crashed, or may have.
func (s *survey) noteCrash(w *worker) {
	if s.done {
		return
	}
	s.crashed[w.incarnation()] = s.term
	s.untold = true
}

func (s *survey) add(w *worker) {
	if s.open == nil {
		s.open = make(map[*worker]struct{})
	}
	s.open[w] = struct{}{}
}

// replace has the next incarnation of a worker asked in its place: it may have carried out
// an order of an earlier owner that came late.
func (s *survey) replace(w, next *worker) {
	if _, ok := s.open[w]; ok {
		delete(s.open, w)
		s.add(next)
	}
}

// begin starts the wait. An earlier owner that is cut off from the store goes
// on extending leases for Timing.Isolation, and the last one runs for the
// longest lease of the worker's clock.
func (s *survey) begin(now time.Duration, t *Timing) {
	s.until = now + t.Isolation + t.stretched(t.MaxLease)
	s.done = len(s.open) == 0
}

// surveyed takes note that a worker's runs are known, or that it has none.
func (c *Cell) surveyed(w *worker) {
	if _, ok := c.survey.open[w]; !ok {
		return
	}
	delete(c.survey.open, w)
	c.endSurvey()
}

// checkSurvey gives up on workers that didn't answer once their leases have
// ended.
func (c *Cell) checkSurvey() {
	if c.survey.done || c.now < c.survey.until || c.saves.contact < c.survey.until {
		return
	}
	for w := range c.survey.open {
		c.note("lease ended", "worker", w.host.ID, "silent", c.now-w.heard)
		c.survey.noteCrash(w)
		delete(c.survey.open, w)
	}
	c.endSurvey()
}

func (c *Cell) endSurvey() {
	if c.survey.done || len(c.survey.open) > 0 {
		return
	}
	c.survey.done = true
	c.changed = true
	c.doubtOld()
	c.note("workers surveyed", "workers", len(c.workers))
}

// mayStart reports whether a job's tasks can't be running where this owner
// doesn't see them.
func (c *Cell) mayStart(j *jobState) bool {
	return !j.old || c.survey.done
}
