package conduit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a write that was not let through. No byte left.
var (
	ErrNoPermit = errors.New("conduit: write without a permit")
	ErrSent     = errors.New("conduit: the request was sent on another connection")
	ErrLapsed   = errors.New("conduit: the lease lapsed before the request was sent")
	ErrRevoked  = errors.New("conduit: the permit was revoked")
)

// ErrStray is the error of a connection on which bytes came that no request
// asked for.
var ErrStray = errors.New("conduit: an answer without a request")

// Permit lets one request's bytes out, on one connection, while a lease is
// in force.
type Permit struct {
	until time.Time

	mu      sync.Mutex
	conn    *conn
	sent    bool // a byte left, or may be leaving now
	written int64
	revoked bool
	ended   bool
}

// NewPermit returns a permit whose first byte may leave before until; the
// zero time sets no bound.
func NewPermit(until time.Time) *Permit {
	return &Permit{until: until}
}

// Sent reports whether a byte of the request may have left.
func (p *Permit) Sent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// Revoke lets no further byte out and reports whether one may have left.
func (p *Permit) Revoke() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked = true
	return p.sent
}

// End notes that the answer was read: whatever else comes on the connection
// is of no request.
func (p *Permit) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

func (p *Permit) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Retire closes the connection that the request was sent on.
func (p *Permit) Retire() {
	p.mu.Lock()
	used := p.conn
	p.mu.Unlock()
	if used != nil {
		_ = used.Close()
	}
}

// begin is called just before bytes are written to c.
func (p *Permit) begin(c *conn) error {
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
	// A lease can lapse while the request waits for a connection or the
	// process is paused. It would show as work on a worker that another
	// instance owns by then. This is the last step before the bytes leave;
	// the worker's check of the epoch covers a pause after it.
	if !p.until.IsZero() && !time.Now().Before(p.until) {
		return ErrLapsed
	}
	p.conn = c
	p.sent = true
	return nil
}

// wrote notes that n bytes were accepted. A first write that moved none
// leaves the request unsent.
func (p *Permit) wrote(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written += int64(n)
	if p.written == 0 {
		p.sent = false
	}
}

// conn is a connection that asks the current request's permit before each
// write, and takes no answer that no request waits for.
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
	if err := p.begin(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	p.wrote(n)
	return n, err
}

// Read fails on bytes that come between two requests: the second copy of an
// answer would be taken for the answer to the next request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if p := c.permit.Load(); p == nil || p.hasEnded() {
		c.conduit.stray()
		return 0, ErrStray
	}
	return n, err
}

func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.conduit.open.Add(-1)
	}
	return c.Conn.Close()
}
