package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// copyBufferBytes is the size of the buffer between a worker and a caller. A
// response that fits is read completely before any of it is relayed.
const copyBufferBytes = 32 << 10

// writeGrace is the time after the deadline in which a caller may still read
// the last bytes.
const writeGrace = time.Second

// relay passes a response on to the caller.
func (g *Gateway) relay(c *call, t *target, resp *http.Response, w *watchdog) outcome {
	buffer := g.buffers.Get().(*[copyBufferBytes]byte)
	defer g.buffers.Put(buffer)
	result := balancer.OK
	if resp.StatusCode >= http.StatusInternalServerError {
		result = balancer.Failed
	}
	if resp.ContentLength < 0 || resp.ContentLength > copyBufferBytes {
		return g.relayStream(c, t, resp, w, buffer[:], result)
	}
	body := buffer[:resp.ContentLength]
	if resp.Body == http.NoBody || c.r.Method == http.MethodHead {
		body = nil
	}
	if err := readFull(resp.Body, body, w); err != nil {
		return g.truncatedBeforeRelay(c, t, err)
	}
	latency := time.Since(w.startedAt)
	g.writeHeader(c, resp)
	if err := c.write(body); err != nil && len(body) > 0 {
		g.counters.abandoned.Add(1)
		return outcome{callResult: callResult{abort: true}, relayed: true, latency: latency}
	}
	return outcome{relayed: true, result: result, latency: latency}
}

// write sends a part of the response's body to the caller.
func (c *call) write(p []byte) error {
	c.callerWait.start()
	defer c.callerWait.stop()
	_, err := c.w.Write(p)
	return err
}

// readFull fills p from a body of the same length.
func readFull(body io.Reader, p []byte, w *watchdog) error {
	w.startWait()
	defer w.endWait()
	_, err := io.ReadFull(body, p)
	return err
}

// truncatedBeforeRelay returns the outcome of a response that ended early,
// before any of it was relayed.
func (g *Gateway) truncatedBeforeRelay(c *call, t *target, err error) outcome {
	if c.ctx.Err() != nil && !c.isExpired() {
		return g.callerGoneOutcome()
	}
	if c.isExpired() {
		return outcome{
			callResult: callResult{err: fault.New(fault.TimedOut, "no complete response by the deadline")},
			final:      true,
			result:     balancer.Lost,
		}
	}
	g.counters.truncated.Add(1)
	g.logger.Warn("response truncated", callFields(c, t)...)
	return failedOutcome(fault.Wrap(fault.Truncated, err, "the response ended early"), balancer.Lost)
}

// relayStream relays a long response piece by piece. A slow caller slows down
// the worker (backpressure).
func (g *Gateway) relayStream(c *call, t *target, resp *http.Response, w *watchdog, buffer []byte, result balancer.Result) outcome {
	latency := time.Since(w.startedAt)
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadline.Add(writeGrace))
	defer control.SetWriteDeadline(time.Time{})
	g.writeHeader(c, resp)
	flush := resp.ContentLength < 0
	workerTime := latency
	for {
		w.startWait()
		readStart := time.Now()
		n, err := resp.Body.Read(buffer)
		workerTime += time.Since(readStart)
		w.endWait()
		if err := c.write(buffer[:n]); err != nil {
			g.counters.abandoned.Add(1)
			return outcome{callResult: callResult{abort: true}, relayed: true, latency: latency}
		}
		if errors.Is(err, io.EOF) {
			relayTrailer(c, resp)
			return outcome{relayed: true, result: result, latency: latency, workerTime: workerTime}
		}
		if err != nil {
			return g.truncatedMidRelay(c, t, latency)
		}
		if flush {
			c.callerWait.start()
			_ = control.Flush()
			c.callerWait.stop()
		}
	}
}

// truncatedMidRelay returns the outcome of a response that ended early, after a
// part of it was relayed.
//
// The worker, its connection or the deadline can end a response in the middle.
// If the gateway ended its own response properly, the caller would take the
// part for the whole. HTTP signals truncation by closing the connection early.
func (g *Gateway) truncatedMidRelay(c *call, t *target, latency time.Duration) outcome {
	aborted := callResult{abort: true}
	if c.isCallerGone() {
		g.counters.abandoned.Add(1)
		return outcome{callResult: aborted, relayed: true, latency: latency}
	}
	g.counters.truncated.Add(1)
	g.logger.Warn("response truncated", callFields(c, t)...)
	return outcome{callResult: aborted, relayed: true, result: balancer.Lost, latency: latency}
}

// writeHeader relays the response's status and header.
func (g *Gateway) writeHeader(c *call, resp *http.Response) {
	header := c.w.Header()
	copyHeader(header, resp.Header)
	g.setFreeHeader(c, header)
	if g.isLeaving() {
		header.Set("Connection", "close")
	}
	header[HeaderRequest] = []string{c.id}
	c.w.WriteHeader(resp.StatusCode)
}

// relayTrailer relays the trailer of a chunked response.
func relayTrailer(c *call, resp *http.Response) {
	header := c.w.Header()
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}
