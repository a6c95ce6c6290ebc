package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// copyBytes is the size of the buffer between a worker and a caller. An
// answer that fits is known to be whole before any of it is passed.
const copyBytes = 32 << 10

// writeGrace is what a caller gets past the deadline to take the last bytes.
const writeGrace = time.Second

func isLapsed(err error) bool {
	return errors.Is(err, conduit.ErrLapsed)
}

// pass passes an answer to the caller.
func (g *Gateway) pass(c *call, t *target, resp *http.Response, w *watch) outcome {
	buffer := g.buffers.Get().(*[copyBytes]byte)
	defer g.buffers.Put(buffer)
	result := balancer.OK
	if resp.StatusCode >= http.StatusInternalServerError {
		result = balancer.Failed
	}
	if resp.ContentLength < 0 || resp.ContentLength > copyBytes {
		return g.passStream(c, t, resp, w, buffer[:], result)
	}
	whole := buffer[:resp.ContentLength]
	if resp.Body == http.NoBody || c.r.Method == http.MethodHead {
		whole = nil
	}
	if err := readWhole(resp.Body, whole, w); err != nil {
		return g.cutBefore(c, t, err)
	}
	latency := time.Since(w.started)
	g.writeHeader(c, resp)
	if _, err := c.w.Write(whole); err != nil && len(whole) > 0 {
		g.counts.abandoned.Add(1)
		return outcome{ending: ending{abort: true}, done: true, latency: latency}
	}
	return outcome{done: true, result: result, latency: latency}
}

// readWhole fills p from a body that holds just as much.
func readWhole(body io.Reader, p []byte, w *watch) error {
	w.wait()
	defer w.pause()
	_, err := io.ReadFull(body, p)
	return err
}

// cutBefore judges an answer that ended early before any of it was passed.
func (g *Gateway) cutBefore(c *call, t *target, err error) outcome {
	if c.ctx.Err() != nil && !c.expired() {
		return g.goneOutcome()
	}
	if c.expired() {
		return outcome{
			ending: ending{err: fault.New(fault.TimedOut, "no whole answer by the deadline")},
			final:  true,
			result: balancer.Lost,
		}
	}
	g.counts.truncated.Add(1)
	g.logger.Warn("answer truncated", logCall(c, t)...)
	return failed(fault.Wrap(fault.Truncated, err, "the answer ended early"), balancer.Lost)
}

// passStream passes a long answer piece by piece; the caller's pace is the
// worker's.
func (g *Gateway) passStream(c *call, t *target, resp *http.Response, w *watch, buffer []byte, result balancer.Result) outcome {
	latency := time.Since(w.started)
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.deadline.Add(writeGrace))
	defer control.SetWriteDeadline(time.Time{})
	g.writeHeader(c, resp)
	flush := resp.ContentLength < 0
	held := latency
	for {
		w.wait()
		began := time.Now()
		n, err := resp.Body.Read(buffer)
		held += time.Since(began)
		w.pause()
		if _, bad := c.w.Write(buffer[:n]); bad != nil {
			g.counts.abandoned.Add(1)
			return outcome{ending: ending{abort: true}, done: true, latency: latency}
		}
		if errors.Is(err, io.EOF) {
			passTrailer(c, resp)
			return outcome{done: true, result: result, latency: latency, held: held}
		}
		if err != nil {
			return g.cutAfter(c, t, latency)
		}
		if flush {
			_ = control.Flush()
		}
	}
}

// cutAfter judges an answer that ended early after a part of it was passed.
//
// The worker, its connection or the deadline can end an answer in the
// middle. A caller that got a proper end would take the part for the whole.
// Closing the caller's connection without that end is what HTTP has to say so.
func (g *Gateway) cutAfter(c *call, t *target, latency time.Duration) outcome {
	aborted := ending{abort: true}
	if c.gone() {
		g.counts.abandoned.Add(1)
		return outcome{ending: aborted, done: true, latency: latency}
	}
	g.counts.truncated.Add(1)
	g.logger.Warn("answer truncated", logCall(c, t)...)
	return outcome{ending: aborted, done: true, result: balancer.Lost, latency: latency}
}

// writeHeader passes the answer's status and header.
func (g *Gateway) writeHeader(c *call, resp *http.Response) {
	header := c.w.Header()
	copyHeader(header, resp.Header)
	g.tellFree(c, header)
	if g.isLeaving() {
		header.Set("Connection", "close")
	}
	header[HeaderRequest] = []string{c.id}
	c.w.WriteHeader(resp.StatusCode)
}

// passTrailer passes what came after a chunked answer.
func passTrailer(c *call, resp *http.Response) {
	header := c.w.Header()
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}
