package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// body is a request's body: kept when small, else streamed.
type body struct {
	kept   []byte
	stream io.ReadCloser // nil when kept
	length int64         // -1 when unknown
	read   atomic.Bool   // the stream was read from
	failed atomic.Pointer[error]
}

// readBody keeps the body of c when it is small. It returns once the caller
// has sent all of it, so that a slow caller holds no slot meanwhile.
func (g *Gateway) readBody(c *call) *fault.Error {
	length := c.r.ContentLength
	c.body = &body{length: length}
	if length == 0 {
		return nil
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, g.bodyBytes)
	if length < 0 || length > g.replayBytes || !g.reserve(length) {
		c.body.stream = limited
		return nil
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	c.body.kept = make([]byte, length)
	if _, err := io.ReadFull(limited, c.body.kept); err != nil {
		return c.unsent()
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// reserve takes n bytes of the memory for kept bodies.
func (g *Gateway) reserve(n int64) bool {
	if g.kept.Add(n) <= g.bufferBytes {
		return true
	}
	g.kept.Add(-n)
	return false
}

// release gives the memory of the body back.
func (g *Gateway) release(b *body) {
	if b != nil && b.kept != nil {
		g.kept.Add(-int64(len(b.kept)))
	}
}

// replayable reports whether the body can be sent from its start.
func (b *body) replayable() bool {
	return b.stream == nil || !b.read.Load()
}

// open returns the body for one attempt, nil when it has no bytes.
func (b *body) open(w *watch) io.ReadCloser {
	if b.stream != nil {
		return &upload{body: b, watch: w}
	}
	if len(b.kept) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.kept))
}

// err returns the fault in reading the body from the caller.
func (b *body) err() error {
	if err := b.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// tooLarge reports whether the body broke the bound while it was streamed.
func (b *body) tooLarge() bool {
	var limit *http.MaxBytesError
	return errors.As(b.err(), &limit)
}

// upload is a streamed body on its way to a worker.
type upload struct {
	body  *body
	watch *watch
}

func (u *upload) Read(p []byte) (int, error) {
	u.body.read.Store(true)
	u.watch.pause()
	n, err := u.body.stream.Read(p)
	u.watch.wait()
	if err != nil && err != io.EOF {
		u.body.failed.Store(&err)
	}
	return n, err
}

// Close leaves the caller's body open: net/http's server closes it.
func (u *upload) Close() error { return nil }
