package conduit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dyingServer responds to the first request on each connection. It runs the
// second and closes the connection without a response.
type dyingServer struct {
	runs atomic.Int64
}

type usedKey struct{}

func (d *dyingServer) start(t *testing.T) string {
	server := httptest.NewUnstartedServer(d)
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, usedKey{}, new(atomic.Bool))
	}
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (d *dyingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.runs.Add(1)
	used := r.Context().Value(usedKey{}).(*atomic.Bool)
	if !used.Swap(true) {
		return
	}
	panic(http.ErrAbortHandler)
}

func newKeyedRequest(t *testing.T, address string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	return req
}

// Guards against hidden retries by Transport, which considers a bodiless request
// with an Idempotency-Key replayable whatever its method: the server runs a
// request on a reused connection and closes it without a response. The first
// case shows that Transport retries it, the others that either guard prevents it.
func TestTransportSendsOnce(t *testing.T) {
	tests := []struct {
		name string
		send func(c *Conduit, req *http.Request) (*http.Response, error)
		runs int64
		err  error
	}{
		{
			name: "plain transport",
			send: func(_ *Conduit, req *http.Request) (*http.Response, error) {
				return http.DefaultTransport.RoundTrip(req)
			},
			runs: 3, // two requests, the second one retried
		},
		{
			name: "body that can't be replayed and permit",
			send: func(c *Conduit, req *http.Request) (*http.Response, error) {
				return c.Send(context.Background(), req, NewPermit(time.Time{}))
			},
			runs: 2,
			err:  errAny,
		},
		{
			name: "permit alone",
			send: func(c *Conduit, req *http.Request) (*http.Response, error) {
				p := NewPermit(time.Time{})
				trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
					info.Conn.(*conn).permit.Store(p)
				}}
				return c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
			},
			runs: 2,
			err:  ErrSent,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := new(dyingServer)
			address := server.start(t)
			c := New(address)
			defer c.CloseIdleConnections()
			resp, err := test.send(c, newKeyedRequest(t, address))
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			resp, err = test.send(c, newKeyedRequest(t, address))
			is.Equal(server.runs.Load(), test.runs)
			if test.err == nil {
				is.NoErr(err) // answered by the retry
				is.NoErr(resp.Body.Close())
				return
			}
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrSent), test.err == ErrSent)
		})
	}
}

var errAny = errors.New("any error")

// failingConn is a connection whose writes accept n bytes and fail.
type failingConn struct {
	net.Conn
	n int
}

func (f failingConn) Write([]byte) (int, error) { return f.n, syscall.EPIPE }
func (f failingConn) Close() error              { return nil }

func TestPermit(t *testing.T) {
	lapsed := time.Now().Add(-time.Second)
	ahead := time.Now().Add(time.Hour)
	tests := []struct {
		name   string
		until  time.Time
		revoke bool
		first  int // bytes that the first write accepts
		err    error
		sent   bool
		second error // of a write on another connection
	}{
		{name: "sent", until: ahead, first: 3, err: syscall.EPIPE, sent: true, second: ErrSent},
		{name: "no byte accepted", until: ahead, first: 0, err: syscall.EPIPE, second: syscall.EPIPE},
		{name: "lapsed", until: lapsed, first: 3, err: ErrLapsed, second: ErrLapsed},
		{name: "revoked", revoke: true, first: 3, err: ErrRevoked, second: ErrRevoked},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPermit(test.until)
			if test.revoke {
				is.True(!p.Revoke())
			}
			c := New("unused")
			first := &conn{Conn: failingConn{n: test.first}, conduit: c}
			second := &conn{Conn: failingConn{}, conduit: c}
			_, err := first.Write([]byte("get"))
			is.Equal(err, ErrNoPermit)
			first.permit.Store(p)
			second.permit.Store(p)
			_, err = first.Write([]byte("get"))
			is.True(errors.Is(err, test.err))
			is.Equal(p.Sent(), test.sent)
			_, err = second.Write([]byte("get"))
			is.True(errors.Is(err, test.second))
			is.Equal(p.Revoke(), test.sent)
		})
	}
}
