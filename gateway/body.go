package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/ingress"
)

// body is a request's body: buffered when small, else streamed.
type body struct {
	buffered    []byte
	stream      io.ReadCloser // nil when buffered
	length      int64         // -1 when unknown
	readStarted atomic.Bool   // a read from stream has started
	readFailure atomic.Pointer[error]
}

// readBody buffers the body of c when it is small. It returns once the caller
// has sent all of it, so that a slow caller holds no slot in the meantime.
func (g *Gateway) readBody(c *call) *fault.Error {
	length := c.r.ContentLength
	c.body = &body{length: length}
	if length == 0 {
		return nil
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, g.maxBodyBytes)
	if length < 0 || length > g.maxReplayBytes || !g.reserveBuffer(length) {
		ingress.PassOn(c.r)
		c.body.stream = limited
		return nil
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	c.body.buffered = make([]byte, length)
	c.callerWait.start()
	_, err := io.ReadFull(limited, c.body.buffered)
	c.callerWait.stop()
	if err != nil {
		return c.readFault(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// readFault is the fault of a request whose body ended early, before any of it
// was sent.
func (c *call) readFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	if c.callerWait.ended.Load() {
		return fault.New(fault.Overloaded, "too many requests in flight, and the body didn't arrive")
	}
	return c.notSentFault()
}

// reserveBuffer reserves n bytes of the memory for buffered bodies.
func (g *Gateway) reserveBuffer(n int64) bool {
	if g.bufferedBytes.Add(n) <= g.maxBufferedBytes {
		return true
	}
	g.bufferedBytes.Add(-n)
	return false
}

// releaseBody returns the memory of the body.
func (g *Gateway) releaseBody(b *body) {
	if b != nil && b.buffered != nil {
		g.bufferedBytes.Add(-int64(len(b.buffered)))
	}
}

// isReplayable reports whether the body can be sent from its start.
func (b *body) isReplayable() bool {
	return b.stream == nil || !b.readStarted.Load()
}

// newReader returns a reader of the body for one attempt, nil when the body is
// empty.
func (b *body) newReader(w *watchdog) io.ReadCloser {
	if b.stream != nil {
		return &upload{body: b, watch: w, callerWait: &w.call.callerWait}
	}
	if len(b.buffered) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// readError returns the error of reading the body from the caller.
func (b *body) readError() error {
	if err := b.readFailure.Load(); err != nil {
		return *err
	}
	return nil
}

// isTooLarge reports whether the body exceeded the size bound while streaming.
func (b *body) isTooLarge() bool {
	var limit *http.MaxBytesError
	return errors.As(b.readError(), &limit)
}

// upload reads a streamed body for an attempt. The watchdog is paused while the
// caller, rather than the worker, is waited for.
type upload struct {
	body       *body
	watch      *watchdog
	callerWait *callerWait
}

func (u *upload) Read(p []byte) (int, error) {
	u.body.readStarted.Store(true)
	u.watch.endWait()
	u.callerWait.start()
	n, err := u.body.stream.Read(p)
	u.callerWait.stop()
	u.watch.startWait()
	if err != nil && err != io.EOF {
		u.body.readFailure.Store(&err)
	}
	return n, err
}

// Close leaves the caller's body open: net/http's server closes it.
func (u *upload) Close() error { return nil }
