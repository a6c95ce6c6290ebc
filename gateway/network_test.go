package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// network is an in-memory network of clients and servers, for tests in a
// synctest bubble.
type network struct {
	cleanup     func(func()) // registers a function to call at the end of the test
	mu          sync.Mutex
	listeners   map[string]*listener
	clientConns []*clientConn
	latency     time.Duration // to open a connection
}

func newNetwork(t *testing.T) *network {
	return &network{cleanup: t.Cleanup, listeners: make(map[string]*listener)}
}

// serve runs a server at address until the test ends.
func (n *network) serve(address string, server *http.Server) {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	go server.Serve(l)
	n.cleanup(func() { server.Close() })
}

// remove makes the network refuse new connections to address.
func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80")
	n.mu.Lock()
	l, ok := n.listeners[address]
	latency := n.latency
	n.mu.Unlock()
	time.Sleep(latency)
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	k := &clientConn{Conn: client, address: address, closed: make(chan struct{})}
	select {
	case l.conns <- server:
	case <-l.closed:
		return nil, errors.New("listener closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.clientConns = append(n.clientConns, k)
	n.mu.Unlock()
	return k, nil
}

// silence drops all further data on the open connections to address, in both
// directions, without closing them.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range n.clientConns {
		if k.address == address {
			k.silent.Store(true)
		}
	}
}

// client returns a client that closes its connections when the test ends.
func (n *network) client() *http.Client {
	transport := &http.Transport{DialContext: n.dial, DisableCompression: true}
	n.cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// clientConn is the client's end of a connection.
type clientConn struct {
	net.Conn
	address string
	silent  atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (k *clientConn) Write(b []byte) (int, error) {
	if k.silent.Load() {
		return len(b), nil
	}
	return k.Conn.Write(b)
}

func (k *clientConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if k.silent.Load() {
		<-k.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (k *clientConn) Close() error {
	k.once.Do(func() { close(k.closed) })
	return k.Conn.Close()
}

// worker is a backend server that counts the requests it ran.
type worker struct {
	mu                sync.Mutex
	runs              map[string]int // by request id
	nonIdempotentRuns map[string]int // of non-idempotent requests, by request id
	keyRuns           map[string]int // of non-idempotent requests, by idempotency key
	handler           http.HandlerFunc
	probeCount        atomic.Int64
	running           string // HeaderRunning in the response to a probe, not set when empty
}

func newWorker(handler http.HandlerFunc) *worker {
	return &worker{
		runs:              make(map[string]int),
		nonIdempotentRuns: make(map[string]int),
		keyRuns:           make(map[string]int),
		handler:           handler,
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		w.probeCount.Add(1)
		if w.running != "" {
			rw.Header().Set(HeaderRunning, w.running)
		}
		return
	}
	rw.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	w.handler(rw, r)
}

// run counts a run of the request.
func (w *worker) run(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.Header.Get(HeaderRequest)]++
	if isIdempotent(r.Method) {
		return
	}
	w.nonIdempotentRuns[r.Header.Get(HeaderRequest)]++
	if key := r.Header.Get(HeaderKey); key != "" {
		w.keyRuns[key]++
	}
}

// totalRuns returns the number of runs of all requests.
func (w *worker) totalRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, runs := range w.runs {
		n += runs
	}
	return n
}

// tableOf returns a table of the service price with workers at addresses.
func tableOf(instance string, addresses ...string) *route.Table {
	t := &route.Table{
		Instance:         instance,
		AvailabilityZone: "a",
		Services: map[string]route.Service{
			"price": {Name: "price", Group: "yard", Weight: 1, Timeout: 10 * time.Second, MaxQueue: 8, GroupSlots: 64},
		},
		Backends: map[string][]route.Backend{},
	}
	for _, address := range addresses {
		t.Backends["price"] = append(t.Backends["price"], route.Backend{
			Worker:           address,
			Address:          address,
			AvailabilityZone: "a",
			Epoch:            7,
			LeaseUntil:       time.Now().Add(time.Hour),
			Slots:            8,
		})
	}
	return t
}

// entryInstance is an entry instance on a network, with a client for its
// callers.
type entryInstance struct {
	network *network
	gateway *Gateway
	client  *http.Client
	id      string
}

// newInstance starts the entry instance id with listeners at id and id-peer.
func newInstance(n *network, id string, table *route.Table, opts ...Option) *entryInstance {
	opts = append([]Option{WithSeed(1), WithDial(n.dial)}, opts...)
	g := New(opts...)
	g.Publish(table)
	n.serve(id, g.Server(g.CallerHandler()))
	n.serve(id+"-peer", g.Server(g.PeerHandler()))
	return &entryInstance{network: n, gateway: g, client: n.client(), id: id}
}

// peer returns the instance as an entry of its peers' tables.
func (s *entryInstance) peer(zone string, free int) route.Peer {
	return route.Peer{
		ID:               s.id,
		Address:          s.id + "-peer",
		AvailabilityZone: zone,
		Free:             map[string]int{"price": free},
		LastContact:      time.Now(),
	}
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   string
	closed bool  // the server announced to close the connection
	err    error // of the request or of the body
}

func (a response) ran() string   { return a.header.Get(HeaderRan) }
func (a response) fault() string { return a.header.Get(HeaderFault) }

// send sends a request to the service price. header alternates names and
// values.
func (s *entryInstance) send(method, body string, header ...string) response {
	return s.sendWith(context.Background(), method, strings.NewReader(body), header...)
}

func (s *entryInstance) sendWith(ctx context.Context, method string, body io.Reader, header ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.id+"/services/price/load", body)
	if err != nil {
		return response{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return response{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), closed: resp.Close, err: err}
}

// closeConnection closes the connection of a request without a response.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
