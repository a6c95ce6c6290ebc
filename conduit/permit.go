package conduit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a rejected write. No byte was sent.
var (
	ErrNoPermit = errors.New("conduit: write without a permit")
	ErrSent     = errors.New("conduit: the request was sent on another connection")
	ErrLapsed   = errors.New("conduit: the lease lapsed before the request was sent")
	ErrRevoked  = errors.New("conduit: the permit was revoked")
)

// ErrUnsolicited is the error of a connection that received bytes while no
// request was in flight on it.
var ErrUnsolicited = errors.New("conduit: bytes received without a request in flight")

// Permit allows the bytes of one request to be written, to one connection, as
// long as a lease is in force.
type Permit struct {
	until time.Time

	mu           sync.Mutex
	conn         *conn
	sent         bool // a byte was written, or may be being written now
	written      int64
	revoked      bool
	lapsed       bool // a write was rejected because the lease had lapsed
	responseRead bool
}

// NewPermit returns a permit whose first byte may be written only before until.
// The zero time sets no bound.
func NewPermit(until time.Time) *Permit {
	return &Permit{until: until}
}

// Sent reports whether a byte of the request may have been sent.
func (p *Permit) Sent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// Lapsed reports whether a write was rejected because the lease had lapsed. The error of the
// request doesn't always tell: the transport may report that the connection was closed.
func (p *Permit) Lapsed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lapsed
}

// Revoke rejects all further writes, and reports whether a byte may have been
// sent.
func (p *Permit) Revoke() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked = true
	return p.sent
}

// End marks the response as read. Any further bytes on the connection belong to
// no request.
func (p *Permit) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseRead = true
}

func (p *Permit) isResponseRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responseRead
}

// CloseConnection closes the connection that the request was sent on.
func (p *Permit) CloseConnection() {
	p.mu.Lock()
	used := p.conn
	p.mu.Unlock()
	if used != nil {
		_ = used.Close()
	}
}

// beginWrite checks the permit immediately before bytes are written to c.
func (p *Permit) beginWrite(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revoked {
		return ErrRevoked
	}
	if p.sent && p.conn == c {
		return nil
	}
	if p.sent {
		return ErrSent
	}
	// The lease can lapse while the request waits for a connection or the
	// process is paused, and another instance may then own the worker. This
	// check is the last step before the write. If the process is paused after
	// it, the worker's check of the epoch rejects the request.
	if !p.until.IsZero() && !time.Now().Before(p.until) {
		p.lapsed = true
		return ErrLapsed
	}
	p.conn = c
	p.sent = true
	return nil
}

// endWrite records that n bytes were written. The request counts as not sent
// while no byte was.
func (p *Permit) endWrite(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written += int64(n)
	if p.written == 0 {
		p.sent = false
	}
}

// conn is a connection that checks the current request's permit before each
// write, and rejects bytes received while no request is in flight.
type conn struct {
	net.Conn
	conduit *Conduit
	permit  atomic.Pointer[Permit]
	closed  atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	p := c.permit.Load()
	if p == nil {
		return 0, ErrNoPermit
	}
	if err := p.beginWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	p.endWrite(n)
	return n, err
}

// Read fails on bytes that arrive between two requests: a duplicated response
// would be taken for the response to the next request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if p := c.permit.Load(); p == nil || p.isResponseRead() {
		c.conduit.onUnsolicited()
		return 0, ErrUnsolicited
	}
	return n, err
}

func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.conduit.openCount.Add(-1)
	}
	return c.Conn.Close()
}
