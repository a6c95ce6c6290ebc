package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// overloadRetry is when to come back where no queue tells.
const overloadRetry = 250 * time.Millisecond

// serve answers one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, service string, hops int) {
	c, err := g.newCall(w, r, service, hops)
	if c != nil {
		w.Header().Set(HeaderRequest, c.id)
	}
	if err == nil {
		err = g.begin(c)
	}
	if err != nil {
		g.refuse(w, err)
		return
	}
	defer g.end(c)
	g.finish(c, g.run(c))
}

// ending is how a call ended.
type ending struct {
	err   *fault.Error // to be answered, nil when an answer was passed
	abort bool         // the caller's connection must be closed
}

// finish answers the caller unless an answer was passed.
func (g *Gateway) finish(c *call, e ending) {
	if e.abort {
		panic(http.ErrAbortHandler)
	}
	if e.err != nil {
		g.tellFree(c, c.w.Header())
		g.refuse(c.w, e.err)
		return
	}
	g.counts.answered.Add(1)
}

// begin counts the call in, unless the instance is shutting down or full.
func (g *Gateway) begin(c *call) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || c.table.Leaving {
		return fault.New(fault.Leaving, "the instance is shutting down")
	}
	if len(g.calls) >= g.requests {
		return fault.New(fault.Overloaded, "too many requests in flight").After(overloadRetry)
	}
	g.calls[c] = struct{}{}
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// end counts the call out.
func (g *Gateway) end(c *call) {
	c.cancel()
	g.release(c.body)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	if g.draining && len(g.calls) == 0 {
		close(g.drained)
	}
}

// run takes the call to a worker or a peer and passes the answer.
func (g *Gateway) run(c *call) ending {
	if err := g.readBody(c); err != nil {
		return g.giveUp(c, err)
	}
	o := g.route(c)
	if o.err == nil {
		return o.ending
	}
	return g.giveUp(c, o.err)
}

// route sends the call to a peer when this instance has no free slot for it
// and a peer has, and else to the own workers.
func (g *Gateway) route(c *call) outcome {
	here := g.replicas(c)
	if here.free > 0 {
		return g.tryHere(c)
	}
	o, asked := g.tryPeer(c)
	if asked && (o.done || here.slots == 0 || !g.mayRepeat(c, o)) {
		return o
	}
	if here.slots == 0 {
		return failed(fault.New(fault.NoWorker, "no replica of %q", c.service.Name), balancer.Refused)
	}
	return g.tryHere(c)
}

// tryPeer forwards the call once, if there is a peer worth asking.
func (g *Gateway) tryPeer(c *call) (outcome, bool) {
	t, ok := g.pickPeer(c)
	if !ok {
		return outcome{}, false
	}
	if err := g.claim(c); err != nil {
		return outcome{ending: ending{err: err}, final: true}, true
	}
	g.firstTry(c)
	return g.try(c, t), true
}

// tryHere sends the call to the own workers, or to a peer when the gate has
// no room.
func (g *Gateway) tryHere(c *call) outcome {
	ticket, err := g.enter(c)
	if err != nil {
		o := failed(err, balancer.Refused)
		if err.Kind != fault.Overloaded || c.attempts > 0 {
			return o
		}
		if elsewhere, asked := g.tryPeer(c); asked {
			return elsewhere
		}
		return o
	}
	if err := g.claim(c); err != nil {
		g.quit(ticket)
		return outcome{ending: ending{err: err}, final: true}
	}
	g.firstTry(c)
	o, held := g.tryAll(c)
	if c.gone() || o.tellsNothing() {
		g.quit(ticket)
		return o
	}
	g.exit(ticket, held, o.done && !o.abort)
	return o
}

// tryAll tries one worker after the other, then a peer, until an answer was
// passed or the call must not be sent again. It returns the last outcome and
// how long the workers took for all.
func (g *Gateway) tryAll(c *call) (last outcome, held time.Duration) {
	for first := true; ; first = false {
		if !first && !g.takeRetry(c) {
			return last, held
		}
		t, ok := g.pick(c)
		if !ok {
			return last.or(fault.New(fault.Overloaded, "every replica is busy").After(overloadRetry)), held
		}
		last = g.try(c, t)
		held += max(last.held, last.latency)
		if last.done || !g.mayRepeat(c, last) || c.attempts >= g.attempts {
			return last, held
		}
	}
}

// pick chooses an own worker that wasn't tried, or else a peer, or else a
// worker to which only the connection failed.
func (g *Gateway) pick(c *call) (*target, bool) {
	if t, ok := g.pickWorker(c, c.skip); ok {
		return t, true
	}
	if t, ok := g.pickPeer(c); ok {
		return t, true
	}
	return g.pickWorker(c, c.hasRefused)
}

// firstTry counts a request in the service's retry budget. A forwarded one
// was counted where it came from.
func (g *Gateway) firstTry(c *call) {
	if c.hops > 0 || c.attempts > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.budgets[c.service.Name]; ok {
		b.First(time.Now())
	}
}

// takeRetry takes a retry from the service's budget.
func (g *Gateway) takeRetry(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[c.service.Name]
	if !ok || !b.Take(time.Now()) {
		g.counts.unbudgeted.Add(1)
		return false
	}
	g.counts.retries.Add(1)
	return true
}

// mayRepeat reports whether the call may be sent once more after o.
func (g *Gateway) mayRepeat(c *call, o outcome) bool {
	if o.final || !c.body.replayable() || c.expired() || c.ctx.Err() != nil {
		return false
	}
	return c.idempotent || o.err.Answer().Ran == fault.NotRun
}

// giveUp turns the last error into what is true of the whole call, and frees
// its key when the work did not run.
func (g *Gateway) giveUp(c *call, err *fault.Error) ending {
	// An idempotent request can fail unanswered at one worker and be refused
	// by the next. Passing on the second refusal would tell the caller that
	// the work did not run while it may have.
	if c.mayRun && err.Answer().Ran == fault.NotRun {
		err = fault.Wrap(fault.MayHaveRun, err, "an earlier attempt may have run").After(err.Answer().RetryAfter)
	}
	if err.Answer().Ran == fault.NotRun {
		g.unclaim(c)
	}
	if c.gone() {
		g.counts.abandoned.Add(1)
		return ending{abort: true}
	}
	return ending{err: err}
}
