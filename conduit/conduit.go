// Package conduit holds the connections to one server and guards what is
// written to them: a request's bytes leave on one connection only, and not
// before its permit was checked.
//
// Usage:
//
//	c := conduit.New("10.0.0.7:8080", conduit.WithConnections(63))
//	p := conduit.NewPermit(lease.Until)
//	resp, err := c.Send(ctx, req, p)
//	if err != nil && !p.Revoke() {
//		// no byte of the request left, nor will any
//	}
//
// The connections themselves are those of net/http's Transport.
package conduit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	defaultConnections = 63 // one of a server's 64 is left for probes
	defaultIdle        = 15 * time.Second
	defaultHeaderBytes = 64 << 10
	dialTimeout        = time.Second
	keepAliveIdle      = 2 * time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 3
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conduit holds the connections to one server.
type Conduit struct {
	address     string
	dial        Dial
	connections int
	idle        time.Duration
	headerBytes int64
	stray       func()

	transport *http.Transport
	prober    *http.Transport
	open      atomic.Int64
}

// Option changes a Conduit.
type Option func(*Conduit)

// WithDial replaces the way connections are opened.
func WithDial(d Dial) Option { return func(c *Conduit) { c.dial = d } }

// WithConnections bounds the open connections, the one for probes aside.
func WithConnections(n int) Option { return func(c *Conduit) { c.connections = n } }

// WithIdle bounds how long a connection is kept unused.
func WithIdle(d time.Duration) Option { return func(c *Conduit) { c.idle = d } }

// WithHeaderBytes bounds the header of an answer.
func WithHeaderBytes(n int64) Option { return func(c *Conduit) { c.headerBytes = n } }

// WithStray sets what is called when bytes come that no request asked for.
func WithStray(f func()) Option { return func(c *Conduit) { c.stray = f } }

// New returns a Conduit to the server at address. It opens nothing yet.
func New(address string, opts ...Option) *Conduit {
	c := &Conduit{
		address:     address,
		connections: defaultConnections,
		idle:        defaultIdle,
		headerBytes: defaultHeaderBytes,
		stray:       func() {},
	}
	c.dial = dialer().DialContext
	for _, opt := range opts {
		opt(c)
	}
	c.transport = c.newTransport(c.connections, c.dialGuarded)
	c.prober = c.newTransport(1, c.dial)
	c.prober.DisableKeepAlives = true
	return c
}

// dialer returns a Dialer with keep-alive probes.
//
// A device between the two ends can lose track of a connection, so that
// packets vanish without an error. It would show as idle connections that
// swallow the next request. The probes of the kernel fail such a connection
// within a few seconds, mostly before a request is put on it.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

func (c *Conduit) newTransport(connections int, dial Dial) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        c.idle,
		MaxResponseHeaderBytes: c.headerBytes,
		DisableCompression:     true,
	}
}

func (c *Conduit) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.open.Add(1)
	return &conn{Conn: inner, conduit: c}, nil
}

// Address returns the server's address.
func (c *Conduit) Address() string { return c.address }

// Open returns the number of open connections.
func (c *Conduit) Open() int { return int(c.open.Load()) }

// Send sends req once, under permit p, and returns the answer's header.
//
// Transport sends a request again by itself when a reused connection dies:
// a GET, a bodiless request with an Idempotency-Key of any method, and any
// request of which it counts no byte as written. It would show as work that
// ran twice without a retry being counted. Send prevents it twice: the body
// is never nil and has no GetBody, which rules out each of these cases, and
// a connection accepts bytes only under a permit that no other used.
func (c *Conduit) Send(ctx context.Context, req *http.Request, p *Permit) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if guarded, ok := info.Conn.(*conn); ok {
			guarded.permit.Store(p)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(new(bytes.Reader))
		req.ContentLength = 0
		req.TransferEncoding = []string{"identity"}
	}
	return c.transport.RoundTrip(req)
}

// Probe asks for path on a connection of its own and returns the answer's
// header; the body is dropped.
func (c *Conduit) Probe(ctx context.Context, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.prober.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// Renew closes the connections that are idle now, so that later requests
// open new ones.
func (c *Conduit) Renew() {
	c.transport.CloseIdleConnections()
}
