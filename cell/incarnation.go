package cell

import (
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
	c.endIncarnation(w, "restarted")
	next := c.workers[w.host.ID]
	if next == nil {
		next = c.addWorker(w.host)
		next.listed = w.listed
		next.listedUntil = w.listedUntil
	}
	c.survey.replace(w, next)
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
}

// assumeLease extends the known lease of a restarted worker to the maximum that an order
// to an earlier incarnation may have granted it.
func (c *Cell) assumeLease(w *worker) {
	if w.token > c.self.Term {
		w.leaseDeadline = max(w.leaseDeadline, w.clock+c.timing.MaxLease.Milliseconds())
	}
}

// maxOrderDelay is how long after it was given an order may still reach a worker: the
// timeout of the order, that of the instance that relays it, and a margin.
const maxOrderDelay = 2 * time.Second

// mayStillStart reports whether the next incarnation of the run's worker may still carry
// out the start.
func (c *Cell) mayStillStart(r *run) bool {
	return r.worker.startedAt != 0 && r.task != nil && r.startedClock == 0 && c.now < r.orderedAt+maxOrderDelay
}

// deferStart keeps a start that may still be carried out although its worker is lost. Its
// task isn't started again until the start is resolved.
func (c *Cell) deferStart(r *run) {
	id := r.worker.host.ID
	c.unresolvedStarts[id] = append(c.unresolvedStarts[id], r)
}

// resolveStarts resolves the starts in flight to earlier incarnations when a worker
// answers. A start whose run the answer lists is dropped, as the run is adopted; the others
// count as lost once all ends are listed.
func (c *Cell) resolveStarts(w *worker, held *provider.HoldResult) {
	starts := c.unresolvedStarts[w.host.ID]
	if len(starts) == 0 {
		return
	}
	reported := reportedRuns(held)
	var remaining []*run
	for _, r := range starts {
		switch {
		case reported[runID{r.name, r.attempt}]:
			c.removeRun(r)
		case held.MoreEnded:
			remaining = append(remaining, r)
		default:
			c.endRun(r, provider.EndLost, "")
		}
	}
	c.setUnresolvedStarts(w.host.ID, remaining)
}

func (c *Cell) setUnresolvedStarts(id string, starts []*run) {
	c.unresolvedStarts[id] = starts
	if len(starts) == 0 {
		delete(c.unresolvedStarts, id)
	}
}

// resolveRefusedStart handles the outcome of a start whose worker is lost. Only a refusal
// resolves the start: an accepted start may run on the next incarnation.
func (c *Cell) resolveRefusedStart(in StartReply) {
	refused := in.Err == nil && in.Refusal != provider.Accepted || fault.Is(in.Err, fault.Unavailable)
	for i, r := range c.unresolvedStarts[in.Host] {
		if refused && r.name == in.Task && r.attempt == in.Attempt {
			c.unresolvedStarts[in.Host] = slices.Delete(c.unresolvedStarts[in.Host], i, i+1)
			c.removeRun(r)
			c.endPair(r, provider.EndStopped)
			c.requeue(r.task)
			return
		}
	}
}

// expireStarts ends the unresolved starts that can't be carried out any more, unless the
// worker that may have carried them out still has ends to list.
func (c *Cell) expireStarts() {
	for id, starts := range inOrder(c.unresolvedStarts) {
		if w := c.workers[id]; w != nil && w.moreEnded {
			continue
		}
		var remaining []*run
		for _, r := range starts {
			if c.mayStillStart(r) {
				remaining = append(remaining, r)
			} else {
				c.endRun(r, provider.EndLost, "")
			}
		}
		c.setUnresolvedStarts(id, remaining)
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
