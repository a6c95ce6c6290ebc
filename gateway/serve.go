package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// overloadRetryAfter is the retry delay of overload refusals that don't come
// from a queue.
const overloadRetryAfter = 250 * time.Millisecond

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, service string, hops int) {
	c, err := g.newCall(w, r, service, hops)
	if c != nil {
		w.Header().Set(HeaderRequest, c.id)
	}
	if err == nil {
		if err = g.begin(c); err != nil && err.Kind == fault.Overloaded {
			g.endStalledCall("")
		}
	}
	if err != nil {
		g.refuse(w, err)
		return
	}
	defer g.end(c)
	g.finish(c, g.run(c))
}

// callResult is the result of a call.
type callResult struct {
	err   *fault.Error // to refuse with, nil when a response was relayed
	abort bool         // the caller's connection must be closed
}

// finish refuses the call, unless a response was relayed.
func (g *Gateway) finish(c *call, result callResult) {
	if result.abort {
		panic(http.ErrAbortHandler)
	}
	if result.err != nil {
		g.setFreeHeader(c, c.w.Header())
		g.refuse(c.w, result.err)
		return
	}
	g.counters.answered.Add(1)
}

// begin registers the call, unless the instance is shutting down or full.
func (g *Gateway) begin(c *call) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || c.table.Leaving {
		return fault.New(fault.Leaving, "the instance is shutting down")
	}
	if len(g.calls) >= g.maxRequests {
		return fault.New(fault.Overloaded, "too many requests in flight").After(overloadRetryAfter)
	}
	g.calls[c] = struct{}{}
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// end removes the call.
func (g *Gateway) end(c *call) {
	c.cancel()
	g.releaseBody(c.body)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c)
	if g.draining && len(g.calls) == 0 {
		close(g.drained)
	}
}

// run dispatches the call to a worker or a peer and relays the response.
func (g *Gateway) run(c *call) callResult {
	if err := g.readBody(c); err != nil {
		return g.failCall(c, err)
	}
	o := g.dispatch(c)
	if o.err == nil {
		return o.callResult
	}
	if o.err.Kind == fault.Overloaded || o.err.Kind == fault.OverShare {
		g.endStalledCall(c.service.Name)
	}
	return g.failCall(c, o.err)
}

// dispatch sends the call to a peer when this instance has no free slot for it
// and a peer has one, else to the own workers.
func (g *Gateway) dispatch(c *call) outcome {
	local := g.serviceCapacity(c)
	if local.free > 0 {
		return g.tryLocal(c)
	}
	o, forwarded := g.tryPeer(c)
	if forwarded && (o.relayed || local.slots == 0 || !g.canRetry(c, o)) {
		return o
	}
	if local.slots == 0 {
		return failedOutcome(fault.New(fault.NoWorker, "no replica of %q", c.service.Name), balancer.Refused)
	}
	return g.tryLocal(c)
}

// tryPeer forwards the call once. It reports false when there is no suitable
// peer.
func (g *Gateway) tryPeer(c *call) (outcome, bool) {
	t, ok := g.pickPeer(c)
	if !ok {
		return outcome{}, false
	}
	if err := g.claimKey(c); err != nil {
		return outcome{callResult: callResult{err: err}, final: true}, true
	}
	g.countFirstAttempt(c)
	return g.try(c, t), true
}

// tryLocal sends the call to the own workers, or to a peer when the gate is
// overloaded.
func (g *Gateway) tryLocal(c *call) outcome {
	ticket, err := g.acquireSlot(c)
	if err != nil {
		o := failedOutcome(err, balancer.Refused)
		if err.Kind != fault.Overloaded || c.attempts > 0 {
			return o
		}
		if peerOutcome, forwarded := g.tryPeer(c); forwarded {
			return peerOutcome
		}
		return o
	}
	if err := g.claimKey(c); err != nil {
		g.abandonSlot(ticket)
		return outcome{callResult: callResult{err: err}, final: true}
	}
	g.countFirstAttempt(c)
	o, duration := g.tryAll(c)
	if c.isCallerGone() || c.callerWait.ended.Load() || o.isNoLoadSample() {
		g.abandonSlot(ticket)
		return o
	}
	g.releaseSlot(ticket, duration, o.relayed && !o.abort)
	return o
}

// tryAll tries one worker after the other, then a peer, until a response was
// relayed or the call must not be retried. It returns the last outcome and the
// total time that the targets took.
func (g *Gateway) tryAll(c *call) (last outcome, duration time.Duration) {
	for first := true; ; first = false {
		if !first && !g.takeRetry(c) {
			return last, duration
		}
		t, ok := g.pickTarget(c)
		if !ok {
			return last.orFault(fault.New(fault.Overloaded, "every replica is busy").After(overloadRetryAfter)), duration
		}
		last = g.try(c, t)
		duration += max(last.workerTime, last.latency)
		if last.relayed || !g.canRetry(c, last) || c.attempts >= g.maxAttempts {
			return last, duration
		}
	}
}

// pickTarget chooses an own worker that wasn't tried, else a peer, else a worker
// that was tried but did not refuse the call.
func (g *Gateway) pickTarget(c *call) (*target, bool) {
	if t, ok := g.pickWorker(c, c.wasTried); ok {
		return t, true
	}
	if t, ok := g.pickPeer(c); ok {
		return t, true
	}
	return g.pickWorker(c, c.wasRefusedBy)
}

// countFirstAttempt credits a request to the service's retry budget. A
// forwarded request was counted by the instance that forwarded it.
func (g *Gateway) countFirstAttempt(c *call) {
	if c.hops > 0 || c.attempts > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if b, ok := g.budgets[c.service.Name]; ok {
		b.RecordFirstAttempt(time.Now())
	}
}

// takeRetry withdraws a retry from the service's budget.
func (g *Gateway) takeRetry(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[c.service.Name]
	if !ok || !b.TakeRetry(time.Now()) {
		g.counters.unbudgeted.Add(1)
		return false
	}
	g.counters.retries.Add(1)
	return true
}

// canRetry reports whether the call may be sent again after o.
func (g *Gateway) canRetry(c *call, o outcome) bool {
	if o.final || !c.body.isReplayable() || c.isExpired() || c.ctx.Err() != nil {
		return false
	}
	return c.idempotent || o.err.Answer().Ran == fault.NotRun
}

// failCall returns the result of a call whose last attempt failed with err. It
// reports what is true of all attempts together, and releases the key when the
// work did not run.
func (g *Gateway) failCall(c *call, err *fault.Error) callResult {
	// An idempotent request can get no response from one worker and be refused
	// by the next. Relaying the refusal alone would tell the caller that the
	// work did not run although it may have.
	if c.mayHaveRun && err.Answer().Ran == fault.NotRun {
		err = fault.Wrap(fault.MayHaveRun, err, "an earlier attempt may have run").After(err.Answer().RetryAfter)
	}
	if err.Answer().Ran == fault.NotRun {
		g.releaseKey(c)
	}
	if c.isCallerGone() {
		g.counters.abandoned.Add(1)
		return callResult{abort: true}
	}
	return callResult{err: err}
}
