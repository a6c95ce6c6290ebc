package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// sendDueHolds sends a hold to each worker that is due for one.
func (c *Cell) sendDueHolds() {
	for _, w := range c.everyWorker() {
		if !w.holdInFlight && !w.lost && c.now >= w.nextHoldAt {
			c.sendHold(w)
		}
	}
}

// sendHold sends a hold to a worker: it asks for the worker's runs and ends, acknowledges
// recorded ends and renews the lease.
func (c *Cell) sendHold(w *worker) {
	order := provider.HoldOrder{Host: w.host, Token: w.token, AckedEnd: c.acknowledgeUpTo(w), AckedIncarnation: w.startedAt, Wait: c.timing.HoldWait}
	if len(w.runs) == 0 {
		order.Wait = c.timing.IdleWait
	}
	if w.servingCount > 0 && w.fillingProcessors > 0 {
		order.Wait = c.mixedWait()
	}
	if w.trialJob != nil || len(c.unresolvedStarts[w.host.ID]) > 0 {
		order.Wait = shortHoldWait
	}
	if !w.answered || w.missedHolds > 0 {
		order.Wait = 0
	}
	if from, awaited := c.strays.awaited[w.host.ID]; awaited {
		order.Wait = min(order.Wait, max(0, from-c.now))
	}
	// The lease of a worker that doesn't answer isn't renewed: the worker may carry out
	// the order all the same, and its tasks would never count as ended.
	if w.answered && w.missedHolds == 0 && c.canOrder() {
		order.Deadline = c.estimateClock(w) + c.timing.Lease.Milliseconds()
		w.leaseDeadline = max(w.leaseDeadline, order.Deadline)
		w.leaseSentAt = c.now
	}
	w.holdInFlight = true
	w.sentAck = order.AckedEnd
	c.emit(Hold{Order: order})
}

// mixedWait returns how long a worker with filling tasks beside serving ones may delay the
// answer to a hold. It grows with the size of the site, so that these holds take no more
// than a few hundred calls a second.
func (c *Cell) mixedWait() time.Duration {
	return min(c.timing.HoldWait, max(c.timing.MixedWait, time.Duration(len(c.workers))*mixedHoldInterval))
}

// mixedHoldInterval is the minimum time between two holds to workers with filling tasks
// beside serving ones, over all of these workers.
const mixedHoldInterval = 2 * time.Millisecond

// handleHoldReply handles a worker's answer to a hold.
func (c *Cell) handleHoldReply(in HoldReply) {
	w := c.workerByToken(in.Host, in.Token)
	if w == nil {
		c.handleFenced(in.Host, in.Token, in.Err)
		return
	}
	w.holdInFlight = false
	if in.Err != nil {
		c.handleMissedHold(w, in)
		return
	}
	if w.isReplacedBy(&in.Held) {
		c.handleRestart(w, &in.Held)
		return
	}
	first := !w.answered
	c.recordContact(w, in)
	c.outliveUpkeep(w)
	c.resolveStarts(w, &in.Held)
	if first {
		c.assumeLease(w)
	}
	c.handleEnds(w, in.Held.Ended)
	c.handleRuns(w, in.Held.Running)
	c.endMissingRuns(w, &in.Held)
	if first {
		c.register(w)
		c.evacuateIfLeaving(w)
	}
	if !w.moreEnded {
		c.markSurveyed(w)
	}
	c.handleAnswer(w)
	c.markChanged(w)
	c.scheduleHold(w)
}

// recordContact updates the worker's own state from an answer: the time of the last
// contact, its clock and its incarnation.
func (c *Cell) recordContact(w *worker, in HoldReply) {
	if w.missedHolds > 0 {
		c.logEvent("worker regained", "worker", w.host.ID, "after", c.now-w.lastContact, "runs", len(w.runs))
	}
	w.updateAnsweredAt(c.now, in)
	w.updateForgottenEnd(in.Held.Ended)
	if in.Held.MoreEnded && !w.moreEnded {
		c.logEvent("ends left out", "worker", w.host.ID, "listed", len(in.Held.Ended), "handled", w.handledEnd, "recorded", w.recordedEnd, "runs", len(w.runs))
	}
	w.moreEnded = in.Held.MoreEnded
	w.missedHolds = 0
	w.machineUp = false
	w.lastContact = c.now
	w.clock = in.Held.Clock
	w.clockReadAt = c.now
	w.answered = true
	w.startedAt = cmp.Or(in.Held.StartedAt, w.startedAt)
}

// scheduleHold sends the next hold, or delays it while ends that the worker lists aren't
// on record yet.
func (c *Cell) scheduleHold(w *worker) {
	w.nextHoldAt = c.now
	if w.handledEnd > w.recordedEnd {
		if c.writer.deferAck(w) {
			w.nextHoldAt = c.now + c.timing.UnrecordedWait
		} else {
			w.recordedEnd = w.handledEnd
		}
	}
	if c.now >= w.nextHoldAt {
		c.sendHold(w)
	}
}

// handleMissedHold handles a hold that failed.
func (c *Cell) handleMissedHold(w *worker, in HoldReply) {
	if c.handleOrderError(w, in.Err, in.Sent) {
		return
	}
	w.missedHolds++
	if w.missedHolds == 1 {
		w.silentSince = c.now
		c.logEvent("worker silent", "worker", w.host.ID, "runs", len(w.runs), "err", in.Err)
	}
	w.nextHoldAt = c.now + min(maxHoldPause, firstHoldPause<<min(w.missedHolds, 4))
	switch refused := fault.Is(in.Err, fault.Unavailable); {
	case w.missedHolds == 1 && !refused && c.isExposed(w.host.ID):
		c.sendHold(w) // a crash and a connection that is lost look the same
	case w.missedHolds == 1 && refused, w.missedHolds == 2:
		c.handleContactLost(w.host.ID)
	}
}

// Backoff after holds without an answer. It limits the calls to an unreachable worker,
// and the maximum limits how late its return is noticed.
const (
	firstHoldPause = 50 * time.Millisecond
	maxHoldPause   = 500 * time.Millisecond
)

// maxAckAge is the age of a worker's last answer up to which it is sent an
// acknowledgement. A restart takes longer than this, so the next incarnation isn't there
// yet when the acknowledgement is sent. That it doesn't arrive later, the executor ensures
// by AckedIncarnation, where the platform tells incarnations apart.
const maxAckAge = 300 * time.Millisecond

// updateAnsweredAt computes the earliest time at which the answer can have been made:
// after its hold was sent, and as long after the previous answer as the worker's clock
// says. The answer may have been delayed for a long time, for example while the owner was
// frozen.
func (w *worker) updateAnsweredAt(now time.Duration, in HoldReply) {
	answeredAt := w.answeredAt + time.Duration(in.Held.Clock-w.clock)*time.Millisecond
	if !w.answered {
		answeredAt = in.Sent
	}
	w.answeredAt = min(now, max(in.Sent, answeredAt))
}

// acknowledgeUpTo returns the highest end that the next hold acknowledges, so that the
// worker may forget its ends up to there; zero for none. An end that the worker has
// already forgotten isn't acknowledged again: the next incarnation would apply the number
// to its own ends, which haven't been read yet.
func (c *Cell) acknowledgeUpTo(w *worker) uint64 {
	if w.recordedEnd == w.forgottenEnd || w.missedHolds > 0 || c.now-w.answeredAt >= maxAckAge {
		return 0
	}
	return w.recordedEnd
}

// updateForgottenEnd derives the highest end that the worker has forgotten from the ends
// that it still lists.
func (w *worker) updateForgottenEnd(listed []provider.EndedRun) {
	w.forgottenEnd = max(w.forgottenEnd, w.sentAck)
	for i := range listed {
		w.forgottenEnd = min(w.forgottenEnd, listed[i].Number-1)
	}
}
