package cell

import (
	"fmt"
	"strings"
	"time"
)

//go:generate go tool stringer -type=hold,refusal -linecomment -output=strings.go

// hold is what keeps a waiting task from being started on any worker.
type hold uint8

const (
	holdNone     hold = iota // none
	holdLeaving              // leaving
	holdStore                // store
	holdList                 // list
	holdSurvey               // survey
	holdClaim                // claim
	holdMembers              // members
	holdRecord               // record
	holdStray                // stray
	holdLimit                // limit
	holdReserved             // reserved
)

// refusal is why a worker with room for a task doesn't get it.
type refusal uint8

const (
	refusalNone       refusal = iota // none
	refusalRecord                    // record
	refusalUnlisted                  // unlisted
	refusalEntry                     // entry
	refusalSilent                    // silent
	refusalLeaving                   // leaving
	refusalQuarantine                // quarantine
	refusalProbation                 // probation
	refusalTrial                     // trial
	refusalAvoided                   // avoided
	refusalOther                     // other
	refusalCount
)

// Limits of the lines that tell why tasks wait.
const (
	waitLogInterval = time.Second
	minLoggedWait   = 1500 * time.Millisecond
	maxLoggedWaits  = 4 // steps each interval, lasting ones and others apart
)

// logWaits logs why tasks wait although there are workers with room for them: the longest
// waiting task of each step, lasting ones first.
func (c *Cell) logWaits() {
	if c.now-c.lastWaitLogAt < waitLogInterval {
		return
	}
	c.lastWaitLogAt = c.now
	for _, lasting := range []bool{true, false} {
		logged := 0
		for _, s := range c.waitingSteps {
			if logged < maxLoggedWaits && s.spec.Lasting == lasting && c.logWait(s) {
				logged++
			}
		}
	}
}

// logWait logs why a step's longest waiting task waits. It reports whether it did.
func (c *Cell) logWait(s *stepState) bool {
	var t *task
	for _, other := range s.ready {
		if t == nil || other.waitingSince < t.waitingSince {
			t = other
		}
	}
	if t == nil || c.now-t.waitingSince < minLoggedWait || s.job.final() {
		return false
	}
	var refused [refusalCount]int
	room := 0
	for _, w := range c.pools[s.job.terms.Service] {
		if c.hasRoom(t, w) {
			room++
			refused[c.refusalOf(t, w)]++
		}
	}
	if room == 0 {
		return false
	}
	var refusals []string
	for r := refusalNone + 1; r < refusalCount; r++ {
		if refused[r] > 0 {
			refusals = append(refusals, fmt.Sprintf("%v:%d", r, refused[r]))
		}
	}
	c.logEvent("task waits", "task", t.name, "kind", kindOf(s.job.job), "waited", c.now-t.waitingSince, "hold", c.holdOf(t).String(),
		"room", room, "allowed", refused[refusalNone], "refused", strings.Join(refusals, ","),
		"survey", len(c.survey.pending), "awaited", len(c.strays.awaited), "strays", len(t.strays))
	return true
}

// hasRoom reports whether a worker that has answered has the capacity and the label that a task needs.
func (c *Cell) hasRoom(t *task, w *worker) bool {
	s := t.step
	return w.answered && !w.lost && w.used.Add(s.need).Fits(w.host.Capacity) && (s.spec.Label == "" || w.host.HasLabel(s.spec.Label)) &&
		(s.spec.PerWorker == 0 || s.runsByWorker[w] < s.spec.PerWorker)
}

// holdOf returns what keeps a task from being started on any worker.
func (c *Cell) holdOf(t *task) hold {
	s := t.step
	switch {
	case c.writer.leaving:
		return holdLeaving
	case !c.canOrder():
		return holdStore
	case c.hosts.stale:
		return holdList
	case !c.canStart(s):
		return holdSurvey
	case c.isClaimPending(s.job):
		return holdClaim
	case s.spec.Gang && len(s.ready) < s.tasksLeft:
		return holdMembers
	case t.strayChange > s.job.savedChanges || t.reservation != nil && !c.isRecorded(t):
		return holdRecord
	case c.awaitsLastWorker(t):
		return holdSurvey
	case c.isHeldBack(t):
		return holdStray
	case t.reservation != nil:
		return holdReserved
	case c.startLimiter.full():
		return holdLimit
	}
	return holdNone
}

// refusalOf returns why a worker with room doesn't get a task, apart from what holds it on all workers.
func (c *Cell) refusalOf(t *task, w *worker) refusal {
	s := t.step
	switch {
	case !w.registered:
		return refusalRecord
	case !w.listed:
		return refusalUnlisted
	case !w.hasCurrentEntry() || !c.knowsCapacity(w):
		return refusalEntry
	case w.missedHolds > 0 || c.now-w.lastContact >= c.timing.IdleWait+c.timing.MaxSilence:
		return refusalSilent
	case w.leaving || w.host.Draining || c.cordonedZones[w.host.AvailabilityZone]:
		return refusalLeaving
	case c.now < w.noStartsUntil:
		return refusalQuarantine
	case !c.admitsProbe(w, s):
		return refusalProbation
	case w.trialJob != nil && w.trialJob != s.job || t.suspect && !w.canTakeTrial(s.job, c.now):
		return refusalTrial
	case w.runs[t.name] != nil || c.now < t.avoidUntil[w]:
		return refusalAvoided
	case !c.fits(s, w):
		return refusalOther
	}
	return refusalNone
}
