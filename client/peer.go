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
	readTries         = 2
)

// peer is one address with its connections.
type peer struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
	client    *http.Client
}

// call is one request. A call without effect may be repeated.
type call struct {
	method string
	path   string
	query  url.Values
	media  string
	body   []byte
	tag    string // entity tag of what the caller has
	effect bool
	wait   time.Duration // how long the peer may hold the answer back
	limit  int64         // bound on the answer's body
}

// answer is a whole answer that isn't a refusal, or one with its refusal.
type answer struct {
	body    []byte
	tag     string // entity tag
	same    bool   // the caller has it already
	refusal *fault.Error
}

func newPeer(address string, opts []Option) *peer {
	o := newOptions(opts)
	transport := &http.Transport{
		DialContext:           o.dial,
		DisableCompression:    true,
		IdleConnTimeout:       idleTimeout,
		MaxIdleConnsPerHost:   o.connections,
		MaxConnsPerHost:       o.connections * connectionsFactor,
		ResponseHeaderTimeout: 0, // the deadline of each try covers it
	}
	return &peer{
		address:   address,
		timeout:   o.timeout,
		transport: transport,
		client:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// do sends c, and once more on a new connection where that can't do harm.
func (p *peer) do(ctx context.Context, c call) (answer, error) {
	tries := readTries
	if c.effect {
		tries = 1
	}
	var a answer
	var err error
	for range tries {
		a, err = p.try(ctx, c)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
	}
	return a, err
}

func (p *peer) try(ctx context.Context, c call) (answer, error) {
	tryContext, cancel := context.WithTimeout(ctx, p.timeout+c.wait)
	defer cancel()
	var sent atomic.Bool
	request, err := p.request(traceSent(tryContext, &sent), c)
	if err != nil {
		return answer{}, fault.Wrap(fault.Invalid, err, "make request")
	}
	a, err := p.exchange(request, c.limit)
	if err == nil {
		return a, nil
	}
	// A connection can go silent for good while new ones work; one would
	// notice every call of a peer running into its deadline although the peer
	// is well. Idle connections may share the broken path, so they are closed
	// and the next try opens a new one.
	p.transport.CloseIdleConnections()
	return answer{}, p.explain(ctx, err, c, sent.Load())
}

func (p *peer) request(ctx context.Context, c call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: p.address, Path: c.path, RawQuery: c.query.Encode()}
	request, err := http.NewRequestWithContext(ctx, c.method, target.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	if c.media != "" {
		request.Header.Set("Content-Type", c.media)
	}
	if c.tag != "" {
		request.Header.Set("If-None-Match", c.tag)
	}
	return request, nil
}

func (p *peer) exchange(request *http.Request, limit int64) (answer, error) {
	response, err := p.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > limit {
		return answer{}, fault.New(fault.TooLarge, "answer above %d bytes", limit)
	}
	if refusal := wire.ParseRefusal(response.Header, body); refusal != nil {
		return answer{body: body, refusal: refusal}, nil
	}
	if response.StatusCode == http.StatusNotModified {
		return answer{tag: response.Header.Get("ETag"), same: true}, nil
	}
	if response.StatusCode/100 != 2 {
		return answer{}, fault.New(fault.Unavailable, "unexpected status %d", response.StatusCode)
	}
	return answer{body: body, tag: response.Header.Get("ETag")}, nil
}

func (p *peer) explain(ctx context.Context, cause error, c call, sent bool) error {
	switch {
	case sent && c.effect:
		return fault.Wrap(fault.MayHaveRun, cause, "no answer from %s to %s", p.address, c.path)
	case sent:
		return fault.Wrap(fault.Unavailable, cause, "no answer from %s to %s", p.address, c.path)
	case ctx.Err() != nil:
		return fault.Wrap(fault.DeadlinePassed, cause, "gave up before sending to %s", p.address)
	default:
		return fault.Wrap(fault.Unavailable, cause, "can't reach %s", p.address)
	}
}

// json sends in as JSON and reads the answer into out; nil leaves either out.
func (p *peer) json(ctx context.Context, c call, in, out any) error {
	c.limit = wire.MaxControl
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(fault.Invalid, err, "encode %s", c.path)
		}
		if len(body) > wire.MaxControl {
			return fault.New(fault.TooLarge, "body of %d bytes, limit %d", len(body), wire.MaxControl)
		}
		c.body, c.media = body, wire.TypeJSON
	}
	a, err := p.do(ctx, c)
	if err != nil {
		return err
	}
	if a.refusal != nil {
		return a.refusal
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return p.explain(ctx, err, c, true)
	}
	return nil
}

// traceSent keeps sent true while a request holds a connection. The
// transport asks for another connection only when nothing was written to the
// first or the request has no effect, so asking again clears it.
func traceSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
