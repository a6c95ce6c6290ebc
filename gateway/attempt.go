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

// discardBytes bounds what is read of an answer that is dropped, so that its
// connection can be used again.
const discardBytes = 4 << 10

// target is where an attempt goes: a worker or a peer.
type target struct {
	conduit *conduit.Conduit
	root    string // of the path
	worker  string
	epoch   uint64
	until   time.Time
	peer    bool // or else a worker
}

// outcome is how an attempt ended.
type outcome struct {
	ending
	done     bool          // an answer was passed, wholly or in part
	final    bool          // of no use to try again
	reported bool          // by the worker or peer itself
	latency  time.Duration // to the first bytes, or to a short answer's last
	held     time.Duration // as far as the worker took it, not the caller
	result   balancer.Result
}

// or returns o, or a failure with err when o is of no attempt.
func (o outcome) or(err *fault.Error) outcome {
	if o.err != nil {
		return o
	}
	return outcome{ending: ending{err: err}}
}

// tellsNothing reports whether the attempt says nothing about how many
// requests the workers can take.
func (o outcome) tellsNothing() bool {
	return o.err != nil && o.result == balancer.Refused && o.err.Kind != fault.Overloaded
}

func failed(err *fault.Error, result balancer.Result) outcome {
	return outcome{ending: ending{err: err}, result: result}
}

// capacity is what this instance has for a service.
type capacity struct {
	slots int
	free  int
}

func (g *Gateway) replicas(c *call) capacity {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.balancers[c.service.Name]
	if !ok {
		return capacity{}
	}
	now := time.Now()
	return capacity{slots: b.Slots(now), free: b.Free(now)}
}

// pickWorker takes a slot of an own worker.
func (g *Gateway) pickWorker(c *call, skip func(string) bool) (*target, bool) {
	backend, ok := g.pickBackend(c, skip)
	if !ok {
		return nil, false
	}
	return &target{
		conduit: g.conduitTo(backend.Address),
		root:    "/services/",
		worker:  backend.Worker,
		epoch:   backend.Epoch,
		until:   backend.Until,
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

// done gives the slot of the target back.
func (g *Gateway) done(c *call, t *target, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.peer {
		g.peerDone(c, t, o)
		return
	}
	if b, ok := g.balancers[c.service.Name]; ok {
		b.Done(time.Now(), t.worker, o.latency, o.result)
	}
	g.latencyOf(c.service.Name).add(t.worker, o)
}

// try sends the call to t once and passes the answer.
func (g *Gateway) try(c *call, t *target) outcome {
	o := g.attempt(c, t)
	if o.result == balancer.Refused {
		c.refused = append(c.refused, t.worker)
	}
	g.done(c, t, o)
	if o.err != nil && o.err.Answer().Ran != fault.NotRun {
		c.mayRun = true
	}
	return o
}

func (g *Gateway) attempt(c *call, t *target) outcome {
	c.attempts++
	c.tried = append(c.tried, t.worker)
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	permit := conduit.NewPermit(t.until)
	defer permit.End()
	w := g.watch(c, t, permit, ctx, cancel)
	defer w.stop()
	sent := time.Now()
	resp, err := t.conduit.Send(ctx, g.request(c, t, w), permit)
	if err != nil {
		o := g.sendFailed(c, err, permit.Revoke(), w)
		o.latency = time.Since(sent)
		return o
	}
	defer resp.Body.Close()
	w.pause()
	w.begun.Store(true)
	o := g.receive(c, t, resp, permit, w)
	if o.latency == 0 {
		o.latency = time.Since(sent)
	}
	return o
}

// request builds the request for t.
func (g *Gateway) request(c *call, t *target, w *watch) *http.Request {
	header := make(http.Header, len(c.r.Header)+4)
	copyHeader(header, c.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	header[HeaderRequest] = []string{c.id}
	header[HeaderDeadline] = []string{formatMillis(time.Until(c.deadline))}
	if t.peer {
		header[HeaderHops] = []string{"1"}
	} else {
		header[HeaderEpoch] = []string{strconv.FormatUint(t.epoch, 10)}
	}
	path := t.root + c.path
	target := &url.URL{Scheme: "http", Host: t.conduit.Address(), RawQuery: c.r.URL.RawQuery}
	target.Path, target.RawPath = path, path
	if unescaped, err := url.PathUnescape(path); err == nil {
		target.Path = unescaped
	}
	return &http.Request{
		Method:        c.r.Method,
		URL:           target,
		Header:        header,
		Body:          c.body.open(w),
		ContentLength: c.body.length,
	}
}

// sendFailed judges an attempt without an answer.
func (g *Gateway) sendFailed(c *call, err error, sent bool, w *watch) outcome {
	if !sent {
		return g.unsentOutcome(c, err)
	}
	switch {
	case c.expired():
		return outcome{
			ending: ending{err: fault.New(fault.TimedOut, "no answer by the deadline")},
			final:  true,
			result: balancer.Lost,
		}
	case c.ctx.Err() != nil:
		return g.goneOutcome()
	case c.body.tooLarge():
		return outcome{
			ending: ending{err: fault.New(fault.MayHaveRun, "body above %d bytes", g.bodyBytes)},
			final:  true,
			result: balancer.OK,
		}
	case c.body.err() != nil:
		return g.goneOutcome()
	case w.silent():
		return failed(fault.New(fault.Broken, "the connection went silent"), balancer.Lost)
	}
	return failed(fault.Wrap(fault.Broken, err, "the connection failed"), balancer.Lost)
}

// unsentOutcome judges an attempt of which no byte left.
func (g *Gateway) unsentOutcome(c *call, err error) outcome {
	if c.ctx.Err() != nil {
		return outcome{ending: ending{err: c.unsent()}, final: true, result: balancer.Refused}
	}
	if isLapsed(err) {
		g.counts.lapsed.Add(1)
		return failed(fault.New(fault.StaleEpoch, "the lease lapsed"), balancer.Refused)
	}
	return failed(fault.Wrap(fault.NoWorker, err, "can't connect"), balancer.Refused)
}

// goneOutcome is that of a call whose caller went away after it was sent.
// It says nothing against the worker.
func (g *Gateway) goneOutcome() outcome {
	return outcome{
		ending: ending{err: fault.New(fault.MayHaveRun, "the caller went away")},
		final:  true,
	}
}

// receive judges an answer's header and passes the answer on.
func (g *Gateway) receive(c *call, t *target, resp *http.Response, permit *conduit.Permit, w *watch) outcome {
	// An answer can be that of another request: a late or doubled one on a
	// connection that was used again. It would show as a caller with someone
	// else's price. The echo binds it by more than its place in the order;
	// the connection has lost step and is closed.
	if resp.Header.Get(HeaderRequest) != c.id {
		permit.Retire()
		g.counts.dropped.Add(1)
		g.logger.Warn("answer dropped", logCall(c, t)...)
		return failed(fault.New(fault.Broken, "the answer was for another request"), balancer.Lost)
	}
	if t.peer {
		g.hearPeer(c, t, resp.Header)
	}
	if err := readRefusal(resp); err != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, discardBytes)
		return g.refused(t, resp, err)
	}
	if !isFramed(resp) {
		permit.Retire()
		g.counts.truncated.Add(1)
		return failed(fault.New(fault.Truncated, "the answer has no marked end"), balancer.Lost)
	}
	return g.pass(c, t, resp, w)
}

// refused judges a refusal by a worker or a peer.
func (g *Gateway) refused(t *target, resp *http.Response, err *fault.Error) outcome {
	if err.Answer().Ran == fault.NotRun && t.peer && resp.Header.Get(HeaderRan) != ranNames[fault.NotRun] {
		err = fault.Wrap(fault.MayHaveRun, err, "the peer doesn't know")
	}
	if !t.peer && err.Kind == fault.NotFound {
		err = fault.Wrap(fault.NoWorker, err, "the replica is gone")
	}
	o := failed(err, balancer.Refused)
	o.reported = true
	if err.Answer().Ran != fault.NotRun {
		o.result = balancer.Lost
	}
	o.final = isFinal(err.Kind)
	return o
}

// isFinal reports whether any other worker would say the same.
func isFinal(k fault.Kind) bool {
	switch k {
	case fault.Invalid, fault.TooLarge, fault.Conflict, fault.Duplicate, fault.DeadlinePassed:
		return true
	}
	return false
}

// isFramed reports whether the end of the answer can be told from a
// connection that was cut.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
