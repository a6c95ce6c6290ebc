package aggregation

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Bounds of a client's calls.
const (
	// dialTimeout is below the time after which the next candidate is asked, 400 ms: an
	// unreachable candidate is certain not to have the records by then.
	dialTimeout  = 250 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxIdleConns = 4       // to one aggregator
	maxAnswer    = 4 << 10 // bytes
)

// Client hands records to aggregators. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	instance string
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client, *http.Transport)

// WithDialer sets the function that opens connections.
func WithDialer(d Dialer) Option {
	return func(_ *Client, t *http.Transport) { t.DialContext = d }
}

// WithInstance sets the ID of this instance, by which aggregators count their callers.
func WithInstance(id string) Option {
	return func(c *Client, _ *http.Transport) { c.instance = id }
}

// NewClient returns a Client.
func NewClient(opts ...Option) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &Client{http: &http.Client{Transport: transport}}
	for _, opt := range opts {
		opt(c, transport)
	}
	return c
}

// Write hands records to an aggregator, which doesn't begin to write them after the deadline of
// ctx. The same records may be handed to another aggregator, whatever the outcome.
func (c *Client) Write(ctx context.Context, to roster.Member, records []provider.KeyedRecord) Result {
	remaining := maxRemaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	if Check(records) != nil || remaining < time.Millisecond {
		return Result{Outcome: NotWritten}
	}
	var isSent atomic.Bool // whether a connection was available, so that the request may have been sent
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isSent.Store(true) }}
	r, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), to, records, remaining)
	if err != nil {
		return Result{Outcome: NotWritten}
	}
	response, err := c.http.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			c.http.CloseIdleConnections() // they may be as silent as this one
		}
		if !isSent.Load() {
			return Result{Outcome: NotWritten}
		}
		return Result{Outcome: Unknown}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return resultOf(response.StatusCode, data, err)
}

func (c *Client) newRequest(ctx context.Context, to roster.Member, records []provider.KeyedRecord, remaining time.Duration) (*http.Request, error) {
	q := request{Records: make([]wireRecord, len(records)), Remaining: remaining.Milliseconds()}
	for i, r := range records {
		q.Records[i] = wireRecord{Key: r.Key, Value: r.Value}
	}
	body, err := cbor.Marshal(q)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(toHeader, to.ID)
	r.Header.Set(fromHeader, c.instance)
	return r, nil
}

// resultOf returns the result that an answer tells, or the error of reading it.
func resultOf(status int, data []byte, err error) Result {
	switch status {
	case http.StatusMisdirectedRequest, http.StatusServiceUnavailable:
		return Result{Outcome: NotWritten}
	case http.StatusOK:
	default:
		return Result{Outcome: Unknown}
	}
	var a response
	if err != nil || decoding.Unmarshal(data, &a) != nil || !a.Written || a.AppendTime < 0 {
		return Result{Outcome: Unknown}
	}
	return Result{Outcome: Written, AppendTime: time.Duration(a.AppendTime) * time.Millisecond}
}
