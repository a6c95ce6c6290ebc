package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// holdIdle sends a hold to each worker that is due for one.
func (c *Cell) holdIdle() {
	for _, w := range c.everyWorker() {
		if !w.holding && !w.lost && c.now >= w.holdAt {
			c.hold(w)
		}
	}
}

func (c *Cell) hold(w *worker) {
	order := provider.HoldOrder{Host: w.host, Token: w.token, Seen: c.acknowledging(w), Wait: c.timing.HoldWait}
	if len(w.runs) == 0 {
		order.Wait = c.timing.IdleWait
	}
	if w.serving > 0 && w.filling > 0 {
		order.Wait = c.mixedWait()
	}
	if w.trial != nil {
		order.Wait = trialWait
	}
	if !w.asked || w.misses > 0 {
		order.Wait = 0
	}
	// A worker that doesn't answer isn't extended: such an order may be carried
	// out all the same, and its tasks would never count as ended.
	if w.asked && w.misses == 0 && c.mayOrder() {
		order.Deadline = c.clockNow(w) + c.timing.Lease.Milliseconds()
		w.deadline = max(w.deadline, order.Deadline)
	}
	w.holding = true
	w.sentSeen = order.Seen
	c.do(Hold{Order: order})
}

// mixedWait returns how long a worker with filling tasks beside serving ones
// may keep a hold. On a large site it grows, so that these holds take no more
// than a few hundred calls a second.
func (c *Cell) mixedWait() time.Duration {
	return min(c.timing.HoldWait, max(c.timing.MixedWait, time.Duration(len(c.workers))*mixedShare))
}

// mixedShare is the time between two such holds of the whole site.
const mixedShare = 2 * time.Millisecond

// held takes a worker's answer to a hold.
func (c *Cell) held(in HoldReply) {
	w := c.addressee(in.Host, in.Token)
	if w == nil {
		c.fenced(in.Host, in.Token, in.Err)
		return
	}
	w.holding = false
	if in.Err != nil {
		c.missed(w, in)
		return
	}
	if w.replaced(&in.Held) {
		c.restart(w, &in.Held)
		return
	}
	first := !w.asked
	c.heardFrom(w, in)
	if first {
		c.settleStarts(w, &in.Held)
		c.assumeLease(w)
	}
	c.takeEnds(w, in.Held.Ended)
	c.takeRuns(w, in.Held.Running)
	c.settleRuns(w, in.Held)
	if first {
		c.register(w)
		c.surveyed(w)
		c.evacuateFound(w)
	}
	c.touch(w)
	c.holdAgain(w)
}

// heardFrom takes note of what an answer says of the worker itself.
func (c *Cell) heardFrom(w *worker, in HoldReply) {
	if w.misses > 0 {
		c.note("worker regained", "worker", w.host.ID, "after", c.now-w.heard, "runs", len(w.runs))
	}
	w.noteMade(c.now, in)
	w.noteForgot(in.Held.Ended)
	w.misses = 0
	w.vouched = false
	w.heard = c.now
	w.clock = in.Held.Clock
	w.clockAt = c.now
	w.asked = true
	w.born = cmp.Or(in.Held.Born, w.born)
}

// holdAgain sends the next hold, or has it wait where ends of the worker aren't on record
// yet.
func (c *Cell) holdAgain(w *worker) {
	w.holdAt = c.now
	if w.ended > w.seen {
		if c.saves.wait(w) {
			w.holdAt = c.now + c.timing.UnseenWait
		} else {
			w.seen = w.ended
		}
	}
	if c.now >= w.holdAt {
		c.hold(w)
	}
}

// missed takes a hold that had no good answer.
func (c *Cell) missed(w *worker, in HoldReply) {
	if c.failedOrder(w, in.Err) {
		return
	}
	w.misses++
	if w.misses == 1 {
		w.silent = c.now
		c.note("worker silent", "worker", w.host.ID, "runs", len(w.runs), "err", in.Err)
	}
	w.holdAt = c.now + min(maxHoldPause, firstHoldPause<<min(w.misses, 4))
}

// Pauses after holds without an answer. They bound what a worker that is out
// of reach costs, and how late its return is noticed.
const (
	firstHoldPause = 50 * time.Millisecond
	maxHoldPause   = 500 * time.Millisecond
)

// ackWithin is how long after it made an answer a worker is sent an acknowledgement. One
// that restarts is away for longer, so it can't be the next incarnation that takes it.
const ackWithin = 300 * time.Millisecond

// noteMade reckons when an answer was made at the earliest: after its hold was sent, and
// so long after the one before as the worker's clock says. It may have been under way
// for a long time, as where the owner stood still.
func (w *worker) noteMade(now time.Duration, in HoldReply) {
	made := w.madeAt + time.Duration(in.Held.Clock-w.clock)*time.Millisecond
	if !w.asked {
		made = in.Sent
	}
	w.madeAt = min(now, max(in.Sent, made))
}

// acknowledging returns up to which end the next hold may have a worker forget its ends.
// What is acknowledged once isn't again: on the next incarnation it would stand for
// ends that nobody has read.
func (c *Cell) acknowledging(w *worker) uint64 {
	if w.seen == w.forgot || w.misses > 0 || c.now-w.madeAt >= ackWithin {
		return 0
	}
	return w.seen
}

// noteForgot takes note of the ends that a worker has forgotten, by the ones that it
// still lists.
func (w *worker) noteForgot(listed []provider.Ended) {
	w.forgot = max(w.forgot, w.sentSeen)
	for i := range listed {
		w.forgot = min(w.forgot, listed[i].Number-1)
	}
}
