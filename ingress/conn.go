package ingress

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lightBytes is what the header of a usual request takes, parsed. Connections that hold no
	// more aren't closed to make room for bytes.
	lightBytes = 4 << 10
	// fieldBytes is what a field of a header takes besides its bytes.
	fieldBytes = 96
	// serverBuffer is how much of a connection the server buffers. Larger reads bypass the buffer.
	serverBuffer = 4 << 10
	// minStall is how long a client may leave an answer unread before its connection counts as
	// one that may be closed to make room.
	minStall = time.Second
	// maxWrite is the most that is written under one deadline.
	maxWrite = 64 << 10
	// touchInterval is the least time between two notes that a hijacked connection is in use.
	touchInterval = time.Second
)

// refusal is the answer to a header for which there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// usage is what is open and held.
type usage struct {
	open    int   // connections, with those closing
	closing int   // closed to make room, and not yet noticed by the server
	held    int64 // bytes, with those leaving
	leaving int64 // held by connections that are closing
}

// entrance is a listener of the pool. All fields below pool are guarded by its mutex.
type entrance struct {
	net.Listener
	pool *Pool

	name    string
	minOpen int   // connections reserved for the listener
	minHeld int64 // bytes reserved for it

	usage   usage
	conns   map[*conn]struct{}
	waiting connList // may be closed, hold little
	holding connList // may be closed, hold more than lightBytes

	numClosed, numNotAccepted, numRefused int64
}

// Accept returns the next connection that there is room for.
func (e *entrance) Accept() (net.Conn, error) {
	for {
		inner, err := e.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, entrance: e}
		if e.pool.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (e *entrance) countRefused() {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.numRefused++
}

// connList is a list of connections, those that have waited for longest first.
type connList struct{ list.List }

func (l *connList) push(c *conn) {
	c.list = l
	c.element = l.PushBack(c)
}

func (l *connList) remove(c *conn) {
	l.Remove(c.element)
	c.list, c.element = nil, nil
}

func (l *connList) front() *conn { return l.frontExcept(nil) }

// frontExcept returns the first connection that isn't c, nil if there is none.
func (l *connList) frontExcept(c *conn) *conn {
	e := l.Front()
	if e != nil && e.Value == c {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*conn)
}

// phase is what a connection's next bytes belong to.
type phase uint32

const (
	inHeader phase = iota
	inBody         // of a request, or that of one that is complete
	inMessages
)

// conn is a connection of a listener.
type conn struct {
	net.Conn
	entrance *entrance

	phase        atomic.Uint32
	lastRead     atomic.Int64 // what the bytes read last take as a header
	touchedAt    atomic.Int64 // Unix nanoseconds, of a hijacked connection
	writingSince atomic.Int64 // Unix nanoseconds, zero outside a write

	readDeadline, writeDeadline atomic.Int64 // set by the server or a handler, Unix nanoseconds, zero for none

	// Guarded by the pool's mutex.
	evicted  bool
	closed   bool
	held     int64
	sequence uint64    // order in which connections began to wait
	list     *connList // nil unless the connection may be closed to make room
	element  *list.Element
}

func (c *conn) removeFromList() {
	if c.list != nil {
		c.list.remove(c)
	}
}

// Read counts the bytes of headers. Those of bodies and messages are counted by their readers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	cost := int64(2*n + fieldBytes*bytes.Count(b[:n], []byte{'\n'}))
	switch phase(c.phase.Load()) {
	case inHeader:
		c.lastRead.Store(cost)
		if !c.entrance.pool.charge(c, cost) {
			c.entrance.countRefused()
			_, _ = io.WriteString(c, refusal)
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom} // ends the connection without another answer
		}
	case inBody:
		switch {
		case n == 1: // read while the handler runs, in addition to what is buffered
		case n > serverBuffer:
			c.lastRead.Store(0)
		default:
			c.lastRead.Store(cost)
		}
	case inMessages:
		now := time.Now().UnixNano()
		if now-c.touchedAt.Load() > int64(touchInterval) {
			c.touchedAt.Store(now)
			c.entrance.pool.setWaiting(c, true)
		}
	}
	return n, err
}

// Write bounds the time without progress.
func (c *conn) Write(b []byte) (int, error) {
	defer c.writingSince.Store(0)
	written := 0
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		if err := c.Conn.SetWriteDeadline(earlier(now.Add(c.entrance.pool.progressTimeout), c.writeDeadline.Load())); err != nil {
			return written, err
		}
		part := b[written:min(len(b), written+maxWrite)]
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// Close closes the connection and gives back what it holds.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.entrance.pool.remove(c)
	return err
}

type connKey struct{}

// withConn returns a function that adds the connection to the context of its requests.
func withConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
}

// trackState returns a function that follows the states of connections.
func trackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			switch state {
			case http.StateIdle:
				c.phase.Store(uint32(inHeader))
				c.entrance.pool.setIdle(c)
			case http.StateHijacked:
				c.phase.Store(uint32(inMessages))
				c.entrance.pool.setIdle(c)
			}
		}
		if next != nil {
			next(nc, state)
		}
	}
}
