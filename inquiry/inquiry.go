// Package inquiry carries the queries of an instance to a standby: HTTP requests with CBOR
// bodies between the agents of two instances.
//
// Usage, at the standby:
//
//	mux.Handle(inquiry.Path, inquiry.NewHandler("edge-1", dispatcher))
//
// and at the other instance:
//
//	c := inquiry.NewClient()
//	answer, err := c.Ask(ctx, member, inquiry.Question{Job: id})
package inquiry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// Path is the HTTP path of queries; its number is the version of the protocol.
const Path = "/query/1"

// toHeader is the request header with the ID of the instance that a query is meant for. An
// address may have passed to another instance.
const toHeader = "Query-To"

// Bounds of queries.
const (
	dialTimeout  = 250 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxIdleConns = 2 // to one standby
	maxQuestion  = 4 << 10
	maxAnswer    = 4 << 20 // bytes; a configuration of thousands of queues
)

// Question asks for one of: the state of a job, the number of a queue's jobs that haven't
// started, or a configuration newer than a version. Or it tells that the owner of a term can't
// write to the store, so that the standby may claim the cell.
type Question struct {
	Job           string `cbor:"1,keyasint,omitempty"`
	Queue         string `cbor:"2,keyasint,omitempty"`
	Configuration bool   `cbor:"3,keyasint,omitempty"`
	Version       uint64 `cbor:"4,keyasint,omitempty"`
	Wait          int64  `cbor:"5,keyasint,omitempty"` // milliseconds to wait for a newer configuration
	YieldedTerm   uint64 `cbor:"6,keyasint,omitempty"`
}

// Answer is a standby's answer.
type Answer struct {
	Known   bool           `cbor:"1,keyasint,omitempty"` // whether the job was accepted
	State   progress.State `cbor:"2,keyasint,omitempty"`
	Pending int            `cbor:"3,keyasint,omitempty"`
	Age     int64          `cbor:"4,keyasint,omitempty"` // milliseconds since the standby's last read
	Data    []byte         `cbor:"5,keyasint,omitempty"` // configuration, empty if there is no newer one
	// Cancelled tells that the cancellation of a job that isn't known is on record, and Full that
	// no further one of such a job is accepted at present.
	Cancelled bool `cbor:"6,keyasint,omitempty"`
	Full      bool `cbor:"7,keyasint,omitempty"`
}

// Responder answers questions from its own state. It fails with fault.Unavailable if it
// doesn't follow the streams of all jobs.
type Responder interface {
	Respond(ctx context.Context, q Question) (Answer, error)
}

// Handler serves the questions of other instances.
type Handler struct {
	instance  string
	responder Responder
}

// NewHandler returns the handler of an instance.
func NewHandler(instance string, r Responder) *Handler {
	return &Handler{instance: instance, responder: r}
}

// ServeHTTP answers a question.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(toHeader) != h.instance {
		http.Error(w, "this is "+h.instance, http.StatusMisdirectedRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestion))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var q Question
	if err := cbor.Unmarshal(data, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := h.responder.Respond(r.Context(), q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := cbor.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // the asker may have gone
}

// Client asks standbys. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes a Client.
type Option func(*http.Transport)

// WithDialer sets the function that opens connections.
func WithDialer(d Dialer) Option {
	return func(t *http.Transport) { t.DialContext = d }
}

// NewClient returns a Client.
func NewClient(opts ...Option) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	for _, opt := range opts {
		opt(transport)
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Ask asks a standby. It returns fault.Unavailable without an answer. Questions are
// idempotent, so that they can be repeated, and asked of another standby.
func (c *Client) Ask(ctx context.Context, to roster.Member, q Question) (Answer, error) {
	body, err := cbor.Marshal(q)
	if err != nil {
		return Answer{}, fault.Wrap(fault.Internal, err, "encode question")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, fault.Wrap(fault.Internal, err, "question to %s", to.ID)
	}
	r.Header.Set(toHeader, to.ID)
	response, err := c.http.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			c.http.CloseIdleConnections() // they may be as silent as this one
		}
		return Answer{}, fault.Wrap(fault.Unavailable, err, "ask %s", to.ID)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return Answer{}, fault.Wrap(fault.Unavailable, err, "answer of %s", to.ID)
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, fault.New(fault.Unavailable, "%s: status %d: %s", to.ID, response.StatusCode, bytes.TrimSpace(data))
	}
	var a Answer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return Answer{}, fault.Wrap(fault.Unavailable, err, "decode answer of %s", to.ID)
	}
	if a.State > progress.Cancelled {
		return Answer{}, fault.New(fault.Unavailable, "%s: unknown state %d", to.ID, a.State)
	}
	return a, nil
}
