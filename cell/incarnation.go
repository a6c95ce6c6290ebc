package cell

import (
	"slices"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// incarnation returns the name of a worker's incarnation on record, by which it is told
// from others of its ID.
func (w *worker) incarnation() string {
	if w.born == 0 {
		return w.host.ID
	}
	return w.host.ID + "@" + strconv.FormatUint(w.born, 10)
}

// replaced reports whether another incarnation of a worker answers than the one that
// answered before, or that is on record.
func (w *worker) replaced(held *provider.Held) bool {
	if w.born != 0 && held.Born != 0 {
		return w.born != held.Born
	}
	return w.asked && held.Clock < w.clock
}

// restart replaces a worker by its next incarnation, which has nothing of the one
// before but its ID.
func (c *Cell) restart(w *worker, held *provider.Held) {
	c.note("worker restarted", "worker", w.host.ID, "born", held.Born, "before", w.born, "runs", len(w.runs))
	c.endIncarnation(w, "restarted")
	next := c.workers[w.host.ID]
	if next == nil {
		next = c.addWorker(w.host)
		next.listed = w.listed
		next.listedUntil = w.listedUntil
	}
	c.survey.replace(w, next)
	c.hold(next)
}

// nextToken returns the token of orders to the next incarnation of a worker: the term,
// if this owner knows none before it. Each gets a higher one than those before it, so
// that it carries out no order that was given to them and comes late. An owner that has
// used all tokens below the next term gives the cell up.
func (c *Cell) nextToken(id string) uint64 {
	token := max(c.self.Term, c.tokens[id])
	if token >= catalog.NextTerm(c.self.Term) {
		c.depose("worker " + id + " has restarted too often for one term")
	}
	return token
}

// addressee returns the worker that an order was given to, nil if that is lost, or may
// have been followed by another incarnation since.
func (c *Cell) addressee(id string, token uint64) *worker {
	if w := c.workers[id]; w != nil && w.token == token {
		return w
	}
	return nil
}

// fenced takes a refusal of an order that isn't the newest to its worker. It is another
// owner's doing unless this owner has used a higher token.
func (c *Cell) fenced(id string, token uint64, err error) {
	newest := c.tokens[id] - 1
	if w := c.workers[id]; w != nil {
		newest = w.token
	}
	if kindOf(err) == orderFenced && token == newest {
		c.beaten(id)
	}
}

// suspectRestart asks a worker at once whether it still is the incarnation that answered,
// with a token above those of what is under way to it. The outcomes of that don't count
// any more.
func (c *Cell) suspectRestart(w *worker) {
	c.tokens[w.host.ID] = w.token + 1
	w.token = c.nextToken(w.host.ID)
	w.holding = false
	w.holdAt = c.now
}

// assumeLease takes the lease of a worker that has restarted for as long as an order to
// the incarnation before may have made it.
func (c *Cell) assumeLease(w *worker) {
	if w.token > c.self.Term {
		w.deadline = max(w.deadline, w.clock+c.timing.MaxLease.Milliseconds())
	}
}

// orderTime is how long after it was given an order may still reach a worker: the
// time-out of the order, of the instance that it is relayed by, and a margin.
const orderTime = 2 * time.Second

// mayBegin reports whether a start may still be carried out by the next incarnation of
// its worker.
func (c *Cell) mayBegin(r *run) bool {
	return r.worker.born != 0 && r.task != nil && r.begunClock == 0 && c.now < r.began+orderTime
}

// keepStart keeps a start that may still be carried out though its worker is lost. Its
// task isn't started again before that is settled.
func (c *Cell) keepStart(r *run) {
	id := r.worker.host.ID
	c.unsettled[id] = append(c.unsettled[id], r)
}

// settleStarts settles the starts that were under way to the incarnations before with the
// first answer of a worker. What the worker tells of one counts.
func (c *Cell) settleStarts(w *worker, held *provider.Held) {
	starts := c.unsettled[w.host.ID]
	if len(starts) == 0 {
		return
	}
	delete(c.unsettled, w.host.ID)
	told := attempts(held)
	for _, r := range starts {
		if told[attempt{r.name, r.attempt}] {
			c.removeRun(r)
		} else {
			c.endRun(r, provider.EndLost, "")
		}
	}
}

// settleStart takes the outcome of a start whose worker is lost. Only a refusal settles
// it: a start that was accepted may run on the next incarnation.
func (c *Cell) settleStart(in StartReply) {
	refused := in.Err == nil && in.Refusal != provider.Accepted || fault.Is(in.Err, fault.Unavailable)
	for i, r := range c.unsettled[in.Host] {
		if refused && r.name == in.Task && r.attempt == in.Attempt {
			c.unsettled[in.Host] = slices.Delete(c.unsettled[in.Host], i, i+1)
			c.removeRun(r)
			c.requeue(r.task)
			return
		}
	}
}

// dropStarts ends the starts that can't be carried out any more.
func (c *Cell) dropStarts() {
	for id, starts := range inOrder(c.unsettled) {
		var left []*run
		for _, r := range starts {
			if c.mayBegin(r) {
				left = append(left, r)
			} else {
				c.endRun(r, provider.EndLost, "")
			}
		}
		c.unsettled[id] = left
		if len(left) == 0 {
			delete(c.unsettled, id)
		}
	}
}

// attempt names a run.
type attempt struct {
	task   string
	number uint64
}

// attempts returns the runs that an answer tells of, running or ended.
func attempts(held *provider.Held) map[attempt]bool {
	told := make(map[attempt]bool, len(held.Running)+len(held.Ended))
	for i := range held.Running {
		told[attempt{held.Running[i].Task, held.Running[i].Attempt}] = true
	}
	for i := range held.Ended {
		told[attempt{held.Ended[i].Task, held.Ended[i].Attempt}] = true
	}
	return told
}
