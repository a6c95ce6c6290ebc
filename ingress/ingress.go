// Package ingress bounds what the clients of a process's listeners can hold in all: open
// connections, bytes of requests that aren't complete, and time without progress.
//
// Usage:
//
//	pool := ingress.New(ingress.WithMaxConnections(1900), ingress.WithMaxBytes(32<<20))
//	l := pool.Guard(listener, server, "callers", 0.25) // before server.Serve
//	err := server.Serve(l)
//
// All listeners share the pool, and each has a part that is reserved for it. At a bound the
// connections that have waited for longest are closed: idle ones, and ones whose request isn't
// complete. A connection whose request is complete stays open until it is answered, unless its
// client doesn't read the answer. A listener that has its reserved part closes connections of
// others only as far as these have more than theirs.
//
// Bytes are counted as they arrive, not as they are declared, and twice, since readers grow
// their buffers; the fields of a header count for what they take when parsed. A request that
// finds no room gets 503 before its handler is called, or reading its body fails with
// fault.Overloaded.
package ingress

import (
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"
)

// Defaults.
const (
	defaultMaxConnections  = 1900
	defaultMaxBytes        = 32 << 20
	defaultHeaderTimeout   = 5 * time.Second
	defaultIdleTimeout     = 60 * time.Second
	defaultProgressTimeout = 10 * time.Second
	defaultBodyTimeout     = 30 * time.Second
	defaultMaxHeaderBytes  = 32 << 10
)

// Pool is what the clients of a process can hold. It is safe for concurrent use.
type Pool struct {
	maxConnections  int
	maxBytes        int64
	progressTimeout time.Duration
	bodyTimeout     time.Duration

	mu        sync.Mutex
	entrances []*entrance
	usage     usage // of all entrances
	sequence  uint64
}

// Option configures a Pool.
type Option func(*Pool)

// WithMaxConnections bounds the open connections, 1,900 by default.
func WithMaxConnections(n int) Option { return func(p *Pool) { p.maxConnections = n } }

// WithMaxBytes bounds the bytes that requests take until they are answered, 32 MiB by default.
func WithMaxBytes(n int64) Option { return func(p *Pool) { p.maxBytes = n } }

// WithProgressTimeout bounds the time without a byte of a body or an answer, 10 s by default.
func WithProgressTimeout(d time.Duration) Option { return func(p *Pool) { p.progressTimeout = d } }

// WithBodyTimeout bounds the time from the end of a header to that of its body, 30 s by default.
func WithBodyTimeout(d time.Duration) Option { return func(p *Pool) { p.bodyTimeout = d } }

// New returns a Pool.
func New(opts ...Option) *Pool {
	p := &Pool{
		maxConnections:  defaultMaxConnections,
		maxBytes:        defaultMaxBytes,
		progressTimeout: defaultProgressTimeout,
		bodyTimeout:     defaultBodyTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Guard returns a listener for the server, whose handler has to be set, and bounds what its
// clients hold. A share of the pool, 0 to 1, is reserved for it; the shares of all listeners are
// at most 1 in sum. Bounds of the server's header and idle time stay if they are set; otherwise
// a header may take 5 s and 32 KiB, and a connection may be idle for 60 s.
func (p *Pool) Guard(l net.Listener, s *http.Server, name string, share float64) net.Listener {
	e := &entrance{
		Listener: l,
		pool:     p,
		name:     name,
		minOpen:  int(share * float64(p.maxConnections)),
		minHeld:  int64(share * float64(p.maxBytes)),
		conns:    make(map[*conn]struct{}),
	}
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = defaultHeaderTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	s.Handler = &handler{next: s.Handler}
	s.ConnContext = withConn(s.ConnContext)
	s.ConnState = trackState(s.ConnState)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entrances = append(p.entrances, e)
	return e
}

// Vars returns the metrics of each listener: connections that are open, that were closed to make
// room and that were not accepted, bytes held, and requests refused for want of room.
func (p *Pool) Vars() *expvar.Map {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := new(expvar.Map).Init()
	for _, e := range p.entrances {
		one := new(expvar.Map).Init()
		for name, value := range map[string]*int64{"closed": &e.numClosed, "not_accepted": &e.numNotAccepted, "refused": &e.numRefused, "bytes": &e.usage.held} {
			one.Add(name, *value)
		}
		one.Add("open", int64(e.usage.open))
		m.Set(e.name, one)
	}
	return m
}

// admit counts a new connection, after closing others if there are too many. It reports false if
// the connection can't be accepted.
func (p *Pool) admit(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.entrance
	for p.usage.open-p.usage.closing >= p.maxConnections {
		v := p.oldest(func(f *entrance) bool { return f == e || f.usage.open-f.usage.closing > f.minOpen }, both)
		if v == nil && e.usage.open < e.minOpen {
			break // others have complete requests beyond their part
		}
		if v == nil {
			e.numNotAccepted++
			return false
		}
		p.evict(v)
	}
	if p.usage.open >= p.maxConnections+p.maxConnections/4 { // closed ones that still have their descriptor
		e.numNotAccepted++
		return false
	}
	p.usage.open++
	e.usage.open++
	e.conns[c] = struct{}{}
	p.wait(c)
	return true
}

// charge counts n more bytes that a connection's client makes the process hold, after closing
// others if there are too many. It reports false if there is no room for them.
func (p *Pool) charge(c *conn, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.evicted {
		return false
	}
	e := c.entrance
	for p.usage.held-p.usage.leaving+n > p.maxBytes {
		v := p.oldest(func(f *entrance) bool { return f == e || f.usage.held-f.usage.leaving > f.minHeld }, func(f *entrance) *conn { return f.holding.frontExcept(c) })
		if v == nil && e.usage.held-e.usage.leaving+n <= e.minHeld {
			break
		}
		if v == nil {
			return false
		}
		p.evict(v)
	}
	if p.usage.held+n > 2*p.maxBytes { // of closed ones whose handlers haven't returned
		return false
	}
	p.hold(c, c.held+n)
	if c.held > lightBytes && c.list == &e.waiting {
		c.list.remove(c)
		e.holding.push(c)
	}
	return true
}

// release gives back n bytes of what the connection has held.
func (p *Pool) release(c *conn, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold(c, max(0, c.held-n))
	if c.held <= lightBytes && c.list == &c.entrance.holding {
		p.wait(c)
	}
}

// hold sets the bytes that a connection holds. The caller holds the mutex.
func (p *Pool) hold(c *conn, n int64) {
	for _, u := range []*usage{&p.usage, &c.entrance.usage} {
		u.held += n - c.held
		if c.evicted {
			u.leaving += n - c.held
		}
	}
	c.held = n
}

// wait makes the connection one that may be closed to make room, after all others that may. The
// caller holds the mutex.
func (p *Pool) wait(c *conn) {
	c.removeFromList()
	p.sequence++
	c.sequence = p.sequence
	if c.held > lightBytes {
		c.entrance.holding.push(c)
	} else {
		c.entrance.waiting.push(c)
	}
}

// setWaiting sets whether the connection may be closed to make room.
func (p *Pool) setWaiting(c *conn, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.evicted || c.closed:
	case waiting:
		p.wait(c)
	default:
		c.removeFromList()
	}
}

// setIdle ends the connection's request. What was read last may belong to the next one.
func (p *Pool) setIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.evicted && !c.closed {
		p.hold(c, c.lastRead.Load())
		p.wait(c)
	}
}

// remove counts a connection as closed.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.removeFromList()
	p.hold(c, 0)
	e := c.entrance
	delete(e.conns, c)
	p.usage.open--
	e.usage.open--
	if c.evicted {
		p.usage.closing--
		e.usage.closing--
	}
}

// evict closes a connection to make room. What it holds counts until its server has noticed.
// The caller holds the mutex.
func (p *Pool) evict(c *conn) {
	c.removeFromList()
	c.evicted = true
	e := c.entrance
	e.numClosed++
	for _, u := range []*usage{&p.usage, &e.usage} {
		u.closing++
		u.leaving += c.held
	}
	_ = c.Conn.Close()
}

// oldest returns the connection that has waited for longest, of the listeners that match. Without
// one it returns the one whose client has left an answer unread for longest, nil if there is none.
// The caller holds the mutex.
func (p *Pool) oldest(match func(*entrance) bool, front func(*entrance) *conn) *conn {
	var found *conn
	for _, e := range p.entrances {
		if !match(e) {
			continue
		}
		if c := front(e); c != nil && (found == nil || c.sequence < found.sequence) {
			found = c
		}
	}
	if found != nil {
		return found
	}
	var since int64
	before := time.Now().Add(-minStall).UnixNano()
	for _, e := range p.entrances {
		if !match(e) {
			continue
		}
		for c := range e.conns {
			if s := c.writingSince.Load(); s != 0 && s < before && !c.evicted && (found == nil || s < since) {
				found, since = c, s
			}
		}
	}
	return found
}

// both returns the connection of a listener that has waited for longest.
func both(e *entrance) *conn {
	w, h := e.waiting.front(), e.holding.front()
	if w == nil || h != nil && h.sequence < w.sequence {
		return h
	}
	return w
}
