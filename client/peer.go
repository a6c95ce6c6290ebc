package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

const (
	connectionsFactor = 4 // open connections allowed per kept one
	idleTimeout       = 30 * time.Second
	maxReadAttempts   = 2
)

// peer is a server with the connections to it.
type peer struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
	client    *http.Client
}

// call is one request. A call without an effect may be retried.
type call struct {
	method           string
	path             string
	query            url.Values
	contentType      string
	body             []byte
	etag             string // entity tag of the caller's copy
	hasEffect        bool
	serverWait       time.Duration // how long the server may delay the response
	maxResponseBytes int64         // on the size of the response body
}

// response is a complete response, with its refusal if it is one.
type response struct {
	body        []byte
	etag        string
	notModified bool // the caller's copy is current
	refusal     *fault.Error
}

func newPeer(address string, opts []Option) *peer {
	o := newOptions(opts)
	transport := &http.Transport{
		DialContext:           o.dial,
		DisableCompression:    true,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   o.connections,
		MaxConnsPerHost:       o.connections * connectionsFactor,
		ResponseHeaderTimeout: 0, // the timeout of each attempt covers it
	}
	return &peer{
		address:   address,
		timeout:   o.timeout,
		transport: transport,
		client:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// do sends c, and retries it once on a new connection if it has no effect.
func (p *peer) do(ctx context.Context, c call) (response, error) {
	attempts := maxReadAttempts
	if c.hasEffect {
		attempts = 1
	}
	var resp response
	var err error
	for range attempts {
		resp, err = p.attempt(ctx, c)
		if err == nil || ctx.Err() != nil {
			return resp, err
		}
	}
	return resp, err
}

func (p *peer) attempt(ctx context.Context, c call) (response, error) {
	attemptCtx, cancel := context.WithTimeout(ctx, p.timeout+c.serverWait)
	defer cancel()
	var sent atomic.Bool
	request, err := p.request(traceSent(attemptCtx, &sent), c)
	if err != nil {
		return response{}, fault.Wrap(fault.Invalid, err, "create request")
	}
	resp, err := p.exchange(request, c.maxResponseBytes)
	if err == nil {
		return resp, nil
	}
	// A connection can go dead while new ones work. Idle connections may share
	// the broken path, and calls on them would time out one after the other
	// although the server is healthy. So they are closed, and the next attempt
	// opens a new connection.
	p.transport.CloseIdleConnections()
	return response{}, p.callFault(ctx, err, c, sent.Load())
}

func (p *peer) request(ctx context.Context, c call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: p.address, Path: c.path, RawQuery: c.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, c.method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if c.contentType != "" {
		request.Header.Set("Content-Type", c.contentType)
	}
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	return request, nil
}

func (p *peer) exchange(request *http.Request, limit int64) (response, error) {
	resp, err := p.client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(body)) > limit {
		return response{}, fault.New(fault.TooLarge, "response above %d bytes", limit)
	}
	if refusal := wire.ParseRefusal(resp.Header, body); refusal != nil {
		return response{body: body, refusal: refusal}, nil
	}
	if resp.StatusCode == http.StatusNotModified {
		return response{etag: resp.Header.Get("ETag"), notModified: true}, nil
	}
	if resp.StatusCode/100 != 2 {
		return response{}, fault.New(fault.Unavailable, "unexpected status %d", resp.StatusCode)
	}
	return response{body: body, etag: resp.Header.Get("ETag")}, nil
}

func (p *peer) callFault(ctx context.Context, cause error, c call, sent bool) error {
	switch {
	case sent && c.hasEffect:
		return fault.Wrap(fault.MayHaveRun, cause, "no response from %s to %s", p.address, c.path)
	case sent:
		return fault.Wrap(fault.Unavailable, cause, "no response from %s to %s", p.address, c.path)
	case ctx.Err() != nil:
		return fault.Wrap(fault.DeadlinePassed, cause, "the call to %s ended before it was sent", p.address)
	default:
		return fault.Wrap(fault.Unavailable, cause, "can't reach %s", p.address)
	}
}

// json sends in as JSON and decodes the response into out. Either may be nil.
func (p *peer) json(ctx context.Context, c call, in, out any) error {
	c.maxResponseBytes = wire.MaxControlBytes
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "encode %s", c.path)
		}
		if len(body) > wire.MaxControlBytes {
			return fault.New(fault.TooLarge, "body of %d bytes, limit %d", len(body), wire.MaxControlBytes)
		}
		c.body, c.contentType = body, wire.TypeJSON
	}
	resp, err := p.do(ctx, c)
	if err != nil {
		return err
	}
	if resp.refusal != nil {
		return resp.refusal
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return p.callFault(ctx, err, c, true)
	}
	return nil
}

// traceSent sets sent while the request holds a connection. The transport gets
// another connection only when nothing was written to the first or the request
// has no effect, so getting one clears sent.
func traceSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
