package cell

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// incarnation returns the name of the worker's incarnation on record, which distinguishes
// it from others with the same ID.
func (w *worker) incarnation() string {
	if w.startedAt == 0 {
		return w.host.ID
	}
	return w.host.ID + "@" + strconv.FormatUint(w.startedAt, 10)
}

// isReplacedBy reports whether an answer comes from another incarnation than the one that
// answered before, or that is on record.
func (w *worker) isReplacedBy(held *provider.HoldResult) bool {
	if w.startedAt != 0 && held.StartedAt != 0 {
		return w.startedAt != held.StartedAt
	}
	return w.answered && held.Clock < w.clock
}

// handleRestart replaces a worker by its next incarnation, which shares nothing with it
// but the ID.
func (c *Cell) handleRestart(w *worker, held *provider.HoldResult) {
	c.logEvent("worker restarted", "worker", w.host.ID, "born", held.StartedAt, "before", w.startedAt, "runs", len(w.runs))
	c.endIncarnation(w, "restarted", 0)
	next := c.workers[w.host.ID]
	if next == nil {
		next = c.addWorker(w.host)
		next.listed = w.listed
		next.listedUntil = w.listedUntil
	}
	c.survey.replace(w, next)
	c.awaitIfExposed(w.host.ID)
	c.sendHold(next)
}

// nextToken returns the fencing token for orders to the next incarnation of a worker. It
// is the owner's term unless this owner knows an earlier incarnation; each incarnation
// gets a higher token than those before it, so that it rejects delayed orders to them. An
// owner that has used up all tokens below the next term gives up the cell.
func (c *Cell) nextToken(id string) uint64 {
	token := max(c.self.Term, c.nextTokens[id])
	if token >= catalog.NextTerm(c.self.Term) {
		c.depose("worker " + id + " has restarted too often for one term")
	}
	return token
}

// workerByToken returns the worker that an order with the token was sent to, nil if it is
// lost or another incarnation may have replaced it since.
func (c *Cell) workerByToken(id string, token uint64) *worker {
	if w := c.workers[id]; w != nil && w.token == token {
		return w
	}
	return nil
}

// handleFenced handles an order that was rejected for a stale token. The cell is deposed
// if the token is the highest that this owner has used for the worker, as another owner
// must have used a higher one.
func (c *Cell) handleFenced(id string, token uint64, err error) {
	newest := c.nextTokens[id] - 1
	if w := c.workers[id]; w != nil {
		newest = w.token
	}
	if classifyOrderError(err) == orderFenced && token == newest {
		c.deposeFenced(id)
	}
}

// suspectRestart asks a worker at once whether it still is the incarnation that answered
// before. The hold has a higher token than all orders in flight to the worker, whose
// outcomes are ignored from now on.
func (c *Cell) suspectRestart(w *worker) {
	c.nextTokens[w.host.ID] = w.token + 1
	w.token = c.nextToken(w.host.ID)
	w.holdInFlight = false
	w.nextHoldAt = c.now
	c.awaitIfExposed(w.host.ID)
}

// assumeLease extends the known lease of a worker to the maximum that an order to an
// earlier incarnation may have granted it, by this owner or, if the worker was on record,
// an earlier one.
func (c *Cell) assumeLease(w *worker) {
	if w.token > c.self.Term || w.registered {
		w.leaseDeadline = max(w.leaseDeadline, w.clock+c.timing.MaxLease.Milliseconds())
	}
}

// maxOrderDelay is how long after it was given an order may still reach a worker: the
// timeout of the order, that of the instance that relays it, and a margin.
const maxOrderDelay = 2 * time.Second

// Neither a worker's ID nor its address tells which incarnation takes an order. A start
// that is accepted may run on the known incarnation or on a later one, and a start
// without an answer may reach either until it is settled. Only lists of runs name their
// incarnation: a run that the known one has listed is on it, and a start that is settled
// and missing from a list is on no incarnation up to that one.

// mayRunOnNext reports whether a later incarnation of the run's worker may have carried
// out its start, or may still do so.
func (c *Cell) mayRunOnNext(r *run) bool {
	return r.worker.startedAt != 0 && r.task != nil && !r.listed
}

// settle records that the start of a run has an outcome. Without an answer, the order ends
// with the attempt to send it, unless another instance may still pass it on.
func (c *Cell) settle(r *run, err error) {
	if !errors.Is(err, provider.ErrInTransit) {
		r.settledAt = min(r.settledAt, c.now)
	}
}

// deferStart keeps a start that a later incarnation may carry out although its worker is
// lost. Its task isn't started again until the start is resolved. The worker stays on
// record until then, so that a successor waits for the next incarnation as well.
func (c *Cell) deferStart(r *run) {
	id := r.worker.host.ID
	c.unresolvedStarts[id] = append(c.unresolvedStarts[id], r)
}

// resolveStarts resolves the starts in flight to earlier incarnations when a worker
// answers. A start whose run the answer lists is dropped, as the run is adopted; the others
// count as lost once they are settled and all ends are listed.
func (c *Cell) resolveStarts(w *worker, held *provider.HoldResult) {
	if len(c.unresolvedStarts[w.host.ID]) == 0 {
		return
	}
	reported := reportedRuns(held)
	c.filterUnresolved(w.host.ID, func(r *run) bool {
		switch {
		case reported[runID{r.name, r.attempt}]:
			c.removeRun(r)
			return false
		case held.MoreEnded || w.answeredAt < r.settledAt:
			return true
		}
		c.endCrashedRun(r, provider.EndLost)
		return false
	})
}

// filterUnresolved keeps the unresolved starts of a worker for which keep returns true.
func (c *Cell) filterUnresolved(id string, keep func(*run) bool) {
	if len(c.unresolvedStarts[id]) == 0 {
		return
	}
	var remaining []*run
	for _, r := range c.unresolvedStarts[id] {
		if keep(r) {
			remaining = append(remaining, r)
		}
	}
	c.unresolvedStarts[id] = remaining
	if len(remaining) > 0 {
		return
	}
	delete(c.unresolvedStarts, id)
	if w := c.workers[id]; w == nil || !w.answered {
		c.writer.unregister(id)
	}
}

// endCrashedRun ends a run whose worker may have crashed under it.
func (c *Cell) endCrashedRun(r *run, end provider.End) {
	c.recordStray(r)
	c.failIfCrashing(r.task)
	c.endRun(r, end, "")
}

// resolveStartReply handles the outcome of a start whose worker is lost. Only a refusal
// resolves the start: an accepted start may run on a later incarnation.
func (c *Cell) resolveStartReply(in StartReply) {
	refused := in.Err == nil && in.Refusal != provider.Accepted || fault.Is(in.Err, fault.Unavailable)
	c.filterUnresolved(in.Host, func(r *run) bool {
		if r.name != in.Task || r.attempt != in.Attempt {
			return true
		}
		c.settle(r, in.Err)
		if !refused {
			return true
		}
		c.dropRefused(r)
		return false
	})
}

// dropRefused drops a run whose start was refused by whichever incarnation it reached. The
// crash of another one wasn't its fault.
func (c *Cell) dropRefused(r *run) {
	c.logEvent("start refused", "task", r.name, "attempt", r.attempt, "worker", r.worker.host.ID, "reason", "another incarnation")
	c.removeRun(r)
	c.endPair(r, provider.EndStopped)
	c.retractCrash(r.task, r.attempt)
	c.requeue(r.task)
}

// expireStarts ends the unresolved starts that can't run any more, as the lease that they
// may have given a later incarnation has expired. A worker that may have carried them out
// and still has ends to list is waited for.
func (c *Cell) expireStarts() {
	for id := range inOrder(c.unresolvedStarts) {
		if w := c.workers[id]; w != nil && w.moreEnded {
			continue
		}
		c.filterUnresolved(id, func(r *run) bool {
			if !c.hasPassed(c.nextLeaseEndsAt(r.worker)) {
				return true
			}
			c.endCrashedRun(r, provider.EndLost)
			return false
		})
	}
}

// needsMachineOf reports whether a start is settled that only the machine of its worker
// can resolve, as no incarnation answers.
func (c *Cell) needsMachineOf(id string, starts []*run) bool {
	if w := c.workers[id]; w != nil && w.answered && w.missedHolds == 0 {
		return false
	}
	return slices.ContainsFunc(starts, func(r *run) bool { return c.now >= r.settledAt })
}

// resolveDownStarts ends the starts that were settled when the list of machines was
// requested, and whose worker is down by that list.
func (c *Cell) resolveDownStarts(in ListMachinesReply, find func(*worker) *provider.Machine) {
	for id := range inOrder(c.unresolvedStarts) {
		c.filterUnresolved(id, func(r *run) bool {
			w := r.worker
			if w.host.Machine == "" || r.settledAt > in.Sent || downReason(w, find(w)) == "" {
				return true
			}
			c.endCrashedRun(r, provider.EndLost)
			c.handleContactLost(id)
			return false
		})
	}
}

// runID identifies a run by its task and attempt.
type runID struct {
	task    string
	attempt uint64
}

// reportedRuns returns the runs that an answer lists as running or ended.
func reportedRuns(held *provider.HoldResult) map[runID]bool {
	reported := make(map[runID]bool, len(held.Running)+len(held.Ended))
	for i := range held.Running {
		reported[runID{held.Running[i].Task, held.Running[i].Attempt}] = true
	}
	for i := range held.Ended {
		reported[runID{held.Ended[i].Task, held.Ended[i].Attempt}] = true
	}
	return reported
}
