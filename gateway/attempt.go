package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// maxDiscardBytes bounds how much of an unused response is read so that its
// connection can be reused.
const maxDiscardBytes = 4 << 10

// target is the destination of an attempt: a worker or a peer.
type target struct {
	conduit    *conduit.Conduit
	pathPrefix string
	id         string // worker or peer
	epoch      uint64 // of a worker's lease
	leaseUntil time.Time
	isPeer     bool
}

// outcome is the result of an attempt.
type outcome struct {
	callResult
	relayed          bool          // a response was relayed, at least in part
	final            bool          // a retry is useless
	reportedByTarget bool          // the target itself reported the fault
	latency          time.Duration // to the first bytes, or to the last of a short response
	workerTime       time.Duration // of a streamed response, without the caller's share
	result           balancer.Result
}

// orFault returns o if it has a fault, else an outcome with err.
func (o outcome) orFault(err *fault.Error) outcome {
	if o.err != nil {
		return o
	}
	return outcome{callResult: callResult{err: err}}
}

// isNoLoadSample reports whether the attempt carries no information about the
// load that the workers can take.
func (o outcome) isNoLoadSample() bool {
	return o.err != nil && o.result == balancer.Refused && o.err.Kind != fault.Overloaded
}

func failedOutcome(err *fault.Error, result balancer.Result) outcome {
	return outcome{callResult: callResult{err: err}, result: result}
}

// capacity is the number of slots that this instance has for a service.
type capacity struct {
	slots int
	free  int
}

func (g *Gateway) serviceCapacity(c *call) capacity {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.balancers[c.service.Name]
	if !ok {
		return capacity{}
	}
	now := time.Now()
	return capacity{slots: b.Slots(now), free: b.Free(now)}
}

// pickWorker reserves a slot of a worker that this instance owns.
func (g *Gateway) pickWorker(c *call, skip func(string) bool) (*target, bool) {
	backend, ok := g.pickBackend(c, skip)
	if !ok {
		return nil, false
	}
	return &target{
		conduit:    g.conduitTo(backend.Address),
		pathPrefix: "/services/",
		id:         backend.Worker,
		epoch:      backend.Epoch,
		leaseUntil: backend.LeaseUntil,
	}, true
}

func (g *Gateway) pickBackend(c *call, skip func(string) bool) (route.Backend, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.balancers[c.service.Name]
	if !ok {
		return route.Backend{}, false
	}
	return b.Pick(time.Now(), skip)
}

// recordOutcome releases the slot of the target and records the outcome.
func (g *Gateway) recordOutcome(c *call, t *target, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.isPeer {
		g.recordPeerOutcome(c, t, o)
		return
	}
	if b, ok := g.balancers[c.service.Name]; ok {
		b.Done(time.Now(), t.id, o.latency, o.result)
	}
	g.latencyOf(c.service.Name).record(t.id, o)
}

// try sends the call to t once, relays the response and records the outcome.
func (g *Gateway) try(c *call, t *target) outcome {
	o := g.sendOnce(c, t)
	if o.result == balancer.Refused {
		c.refusedBy = append(c.refusedBy, t.id)
	}
	g.recordOutcome(c, t, o)
	if o.err != nil && o.err.Answer().Ran != fault.NotRun {
		c.mayHaveRun = true
	}
	return o
}

func (g *Gateway) sendOnce(c *call, t *target) outcome {
	c.attempts++
	c.triedIDs = append(c.triedIDs, t.id)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	permit := conduit.NewPermit(t.leaseUntil)
	defer permit.End()
	w := g.startWatchdog(c, t, permit, ctx, cancel)
	defer w.stop()
	sent := time.Now()
	resp, err := t.conduit.Send(ctx, g.newRequest(c, t, w), permit)
	if err != nil {
		o := g.sendFailedOutcome(c, err, permit, w)
		o.latency = time.Since(sent)
		return o
	}
	defer resp.Body.Close()
	w.endWait()
	w.headerReceived.Store(true)
	o := g.handleResponse(c, t, resp, permit, w)
	if o.latency == 0 {
		o.latency = time.Since(sent)
	}
	return o
}

// newRequest builds the request for t.
func (g *Gateway) newRequest(c *call, t *target, w *watchdog) *http.Request {
	header := make(http.Header, len(c.r.Header)+4)
	copyHeader(header, c.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	header[HeaderRequest] = []string{c.id}
	header[HeaderDeadline] = []string{formatMillis(time.Until(c.deadline))}
	if t.isPeer {
		header[HeaderHops] = []string{"1"}
	} else {
		header[HeaderEpoch] = []string{strconv.FormatUint(t.epoch, 10)}
	}
	path := t.pathPrefix + c.path
	target := &url.URL{Scheme: "http", Host: t.conduit.Address(), RawQuery: c.r.URL.RawQuery}
	target.Path, target.RawPath = path, path
	if unescaped, err := url.PathUnescape(path); err == nil {
		target.Path = unescaped
	}
	return &http.Request{
		Method:        c.r.Method,
		URL:           target,
		Header:        header,
		Body:          c.body.newReader(w),
		ContentLength: c.body.length,
	}
}

// sendFailedOutcome returns the outcome of an attempt without a response.
func (g *Gateway) sendFailedOutcome(c *call, err error, permit *conduit.Permit, w *watchdog) outcome {
	if !permit.Revoke() {
		return g.notSentOutcome(c, err, permit)
	}
	switch {
	case c.isExpired():
		return outcome{
			callResult: callResult{err: fault.New(fault.TimedOut, "no response by the deadline")},
			final:      true,
			result:     balancer.Lost,
		}
	case c.ctx.Err() != nil:
		return g.callerGoneOutcome()
	case c.body.isTooLarge():
		return outcome{
			callResult: callResult{err: fault.New(fault.MayHaveRun, "body above %d bytes", g.maxBodyBytes)},
			final:      true,
			result:     balancer.OK,
		}
	case c.body.readError() != nil:
		return g.callerGoneOutcome()
	case w.hasAborted():
		return failedOutcome(fault.New(fault.Broken, "the connection went silent"), balancer.Lost)
	}
	return failedOutcome(fault.Wrap(fault.Broken, err, "the connection failed"), balancer.Lost)
}

// notSentOutcome returns the outcome of an attempt of which no byte was sent.
func (g *Gateway) notSentOutcome(c *call, err error, permit *conduit.Permit) outcome {
	if c.ctx.Err() != nil {
		return outcome{callResult: callResult{err: c.notSentFault()}, final: true, result: balancer.Refused}
	}
	if permit.Lapsed() {
		g.counters.lapsed.Add(1)
		return failedOutcome(fault.New(fault.StaleEpoch, "the lease lapsed"), balancer.Refused)
	}
	return failedOutcome(fault.Wrap(fault.NoWorker, err, "can't connect"), balancer.Refused)
}

// callerGoneOutcome returns the outcome of an attempt whose caller disconnected
// after it was sent. It isn't counted against the worker.
func (g *Gateway) callerGoneOutcome() outcome {
	return outcome{
		callResult: callResult{err: fault.New(fault.MayHaveRun, "the caller disconnected")},
		final:      true,
	}
}

// handleResponse checks a response's header and relays the response.
func (g *Gateway) handleResponse(c *call, t *target, resp *http.Response, permit *conduit.Permit, w *watchdog) outcome {
	// A late or duplicated response on a reused connection belongs to another
	// request, and would give a caller someone else's data. The echoed request
	// id reveals it. The connection is out of step and is closed.
	if resp.Header.Get(HeaderRequest) != c.id {
		permit.CloseConnection()
		g.counters.dropped.Add(1)
		g.logger.Warn("response to another request dropped", callFields(c, t)...)
		return failedOutcome(fault.New(fault.Broken, "the response belongs to another request"), balancer.Lost)
	}
	if t.isPeer {
		g.recordPeerFree(c, t, resp.Header)
	}
	if err := readRefusal(resp); err != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
		return g.refusedOutcome(t, resp, err)
	}
	if !isFramed(resp) {
		permit.CloseConnection()
		g.counters.truncated.Add(1)
		return failedOutcome(fault.New(fault.Truncated, "the response has neither a length nor a chunked encoding"), balancer.Lost)
	}
	return g.relay(c, t, resp, w)
}

// refusedOutcome returns the outcome of a refusal by a worker or a peer. A peer
// must state explicitly that the request did not run.
func (g *Gateway) refusedOutcome(t *target, resp *http.Response, err *fault.Error) outcome {
	if err.Answer().Ran == fault.NotRun && t.isPeer && resp.Header.Get(HeaderRan) != ranNames[fault.NotRun] {
		err = fault.Wrap(fault.MayHaveRun, err, "peer %s did not confirm that the request did not run", t.id)
	}
	if !t.isPeer && err.Kind == fault.NotFound {
		err = fault.Wrap(fault.NoWorker, err, "worker %s no longer has the replica", t.id)
	}
	o := failedOutcome(err, balancer.Refused)
	o.reportedByTarget = true
	if err.Answer().Ran != fault.NotRun {
		o.result = balancer.Lost
	}
	o.final = isFinalKind(err.Kind)
	return o
}

// isFinalKind reports whether every other worker would refuse with the same
// kind.
func isFinalKind(k fault.Kind) bool {
	switch k {
	case fault.Invalid, fault.TooLarge, fault.Conflict, fault.Duplicate, fault.DeadlinePassed:
		return true
	}
	return false
}

// isFramed reports whether the end of the response can be distinguished from a
// broken connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
