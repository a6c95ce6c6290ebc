// Package conduit manages the HTTP connections to one server and guards writes
// to them: the bytes of a request are written to one connection only, and only
// after its permit was checked.
//
// Usage:
//
//	c := conduit.New("10.0.0.7:8080", conduit.WithConnections(63))
//	p := conduit.NewPermit(lease.Until)
//	resp, err := c.Send(ctx, req, p)
//	if err != nil && !p.Revoke() {
//		// no byte of the request was or will be sent
//	}
//
// Connections are pooled by net/http's Transport.
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
	defaultMaxConnections = 63 // of 64 to a server, one is reserved for probes
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	dialTimeout           = time.Second
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 3
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Conduit manages the connections to one server.
type Conduit struct {
	address        string
	dial           Dial
	maxConnections int
	idleTimeout    time.Duration
	maxHeaderBytes int64
	onUnsolicited  func()

	transport      *http.Transport
	probeTransport *http.Transport
	openCount      atomic.Int64
}

// Option configures a Conduit.
type Option func(*Conduit)

// WithDial sets the function that opens connections.
func WithDial(d Dial) Option { return func(c *Conduit) { c.dial = d } }

// WithMaxConnections bounds the open connections, not counting the one for
// probes.
func WithMaxConnections(n int) Option { return func(c *Conduit) { c.maxConnections = n } }

// WithIdleTimeout bounds how long an idle connection is kept.
func WithIdleTimeout(d time.Duration) Option { return func(c *Conduit) { c.idleTimeout = d } }

// WithMaxHeaderBytes bounds the size of a response header.
func WithMaxHeaderBytes(n int64) Option { return func(c *Conduit) { c.maxHeaderBytes = n } }

// WithOnUnsolicited sets a function to call when bytes arrive that belong to no
// request in flight.
func WithOnUnsolicited(f func()) Option { return func(c *Conduit) { c.onUnsolicited = f } }

// New returns a Conduit to the server at address. Connections are opened on
// demand.
func New(address string, opts ...Option) *Conduit {
	c := &Conduit{
		address:        address,
		maxConnections: defaultMaxConnections,
		idleTimeout:    defaultIdleTimeout,
		maxHeaderBytes: defaultMaxHeaderBytes,
		onUnsolicited:  func() {},
	}
	c.dial = dialer().DialContext
	for _, opt := range opts {
		opt(c)
	}
	c.transport = c.newTransport(c.maxConnections, c.dialGuarded)
	c.probeTransport = c.newTransport(1, c.dial)
	c.probeTransport.DisableKeepAlives = true
	return c
}

// dialer returns a Dialer with TCP keep-alive probes.
//
// A middlebox can lose the state of an idle connection and then drop its packets
// without an error, so that the next request on it vanishes. Keep-alive probes
// fail such a connection within a few seconds, usually before a request uses it.
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
		IdleConnTimeout:        c.idleTimeout,
		MaxResponseHeaderBytes: c.maxHeaderBytes,
		DisableCompression:     true,
	}
}

func (c *Conduit) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.openCount.Add(1)
	return &conn{Conn: inner, conduit: c}, nil
}

// Address returns the server's address.
func (c *Conduit) Address() string { return c.address }

// Open returns the number of open connections.
func (c *Conduit) Open() int { return int(c.openCount.Load()) }

// Send sends req once, under permit p, and returns the response.
//
// Transport itself retries when a reused connection dies: a GET, a bodiless
// request of any method with an Idempotency-Key, and any request of which it
// counts no byte as written. The work could run twice without a retry being
// counted. Send prevents this in two ways: the body is never nil and has no
// GetBody, which excludes each of these cases, and a connection accepts bytes
// only under a permit that was not used on another connection.
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

// Probe sends a GET for path on a new connection and returns the response with
// its body closed.
func (c *Conduit) Probe(ctx context.Context, path string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := c.probeTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	return resp, resp.Body.Close()
}

// CloseIdleConnections closes the connections that are idle now, so that later
// requests open new ones.
func (c *Conduit) CloseIdleConnections() {
	c.transport.CloseIdleConnections()
}
