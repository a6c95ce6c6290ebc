package ingress

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// ErrClosed is wrapped by the error of reading a request whose connection was closed to make room.
var ErrClosed = errors.New("connection closed to make room for others")

var errNoRoom = errors.New("no room for the bytes of the request")

// chargeStep is the least that is counted at a time.
const chargeStep = 8 << 10

// handler counts the bodies of requests.
type handler struct {
	next http.Handler
}

// ServeHTTP counts the request's body while it is read. From the end of the body on the connection
// isn't closed to make room.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.phase.Store(uint32(inBody))
	if r.Body == nil || r.Body == http.NoBody {
		c.entrance.pool.setWaiting(c, false)
	} else {
		c.entrance.pool.setWaiting(c, true)
		counted := *r // the server goes by the type of its own request's body
		counted.Body = newBody(c, w, r.Body)
		r = &counted
	}
	h.next.ServeHTTP(w, r)
	if phase(c.phase.Load()) == inBody {
		c.entrance.pool.release(c, math.MaxInt64)
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	header   http.Header // of the answer
	counter  counter
	deadline time.Time
	passedOn bool // the bytes aren't held
}

func newBody(c *conn, w http.ResponseWriter, inner io.ReadCloser) *body {
	b := &body{ReadCloser: inner, header: w.Header(), counter: counter{conn: c}, deadline: time.Now().Add(c.entrance.pool.bodyTimeout)}
	b.extend() // also for a body that its handler doesn't read, and the server has to
	return b
}

// extend allows the time for the next bytes.
func (b *body) extend() {
	c := b.counter.conn
	next := time.Now().Add(c.entrance.pool.progressTimeout)
	if next.After(b.deadline) {
		next = b.deadline
	}
	_ = c.Conn.SetReadDeadline(earlier(next, c.readDeadline.Load())) // fails if the connection is closed, as the read does
}

// Read reads a part of the body within the time for it. Like http.MaxBytesReader it has the
// connection closed after the answer if the rest isn't wanted, as the server would otherwise wait
// for the rest before it answers.
func (b *body) Read(p []byte) (int, error) {
	b.extend()
	n, err := b.ReadCloser.Read(p)
	if countErr := b.count(n); countErr != nil {
		b.header.Set("Connection", "close")
		b.header.Set("Retry-After", "1")
		return 0, countErr
	}
	c := b.counter.conn
	switch {
	case errors.Is(err, io.EOF):
		_ = c.Conn.SetReadDeadline(earlier(time.Time{}, c.readDeadline.Load()))
		c.entrance.pool.setWaiting(c, false)
	case err != nil && c.isEvicted():
		return n, fault.Wrap(fault.Overloaded, ErrClosed, "read body")
	case err != nil:
		b.header.Set("Connection", "close")
	}
	return n, err
}

func (b *body) count(n int) error {
	if b.passedOn {
		return nil
	}
	return b.counter.add(n)
}

func (c *conn) isEvicted() bool {
	c.entrance.pool.mu.Lock()
	defer c.entrance.pool.mu.Unlock()
	return c.evicted
}

// counter counts the bytes that are read from a connection and held.
type counter struct {
	conn    *conn
	read    int64
	charged int64
}

func (k *counter) add(n int) error {
	k.read += int64(n)
	for 2*k.read > k.charged {
		step := max(chargeStep, 2*k.read-k.charged)
		if !k.conn.entrance.pool.charge(k.conn, step) {
			if k.conn.isEvicted() {
				return fault.Wrap(fault.Overloaded, ErrClosed, "read body")
			}
			k.conn.entrance.countRefused()
			return fault.Wrap(fault.Overloaded, errNoRoom, "read body")
		}
		k.charged += step
	}
	return nil
}

// messageReader counts the bytes of a message.
type messageReader struct {
	io.Reader
	counter counter
}

// Message returns a reader of one message on a hijacked connection, such as a WebSocket's, with
// the context of its request. Its bytes count until done is called. A read that finds no room
// fails with fault.Overloaded. Outside a pool it returns r.
func Message(ctx context.Context, r io.Reader) (message io.Reader, done func()) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return r, func() {}
	}
	m := &messageReader{Reader: r, counter: counter{conn: c}}
	return m, func() { c.entrance.pool.release(c, m.counter.charged) }
}

// Hold counts n bytes that a hijacked connection has the process keep until they are released or
// the connection ends, with the context of its request. It fails with fault.Overloaded if there
// is no room. Outside a pool it does nothing.
func Hold(ctx context.Context, n int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.entrance.pool.charge(c, n) {
		return nil
	}
	c.entrance.countRefused()
	return fault.Wrap(fault.Overloaded, errNoRoom, "hold %d bytes", n)
}

// Release gives back n bytes of Hold.
func Release(ctx context.Context, n int64) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.entrance.pool.release(c, n)
	}
}

// Read reads a part of the message.
func (m *messageReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if countErr := m.counter.add(n); countErr != nil {
		return 0, countErr
	}
	return n, err
}
