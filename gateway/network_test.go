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

// network connects clients and servers of one test in memory, so that a test
// in a synctest bubble has all time under control.
type network struct {
	quit      func(func()) // registers what ends the test
	mu        sync.Mutex
	listeners map[string]*listener
	links     []*link
	latency   time.Duration // of opening a connection
}

func newNetwork(t *testing.T) *network {
	return &network{quit: t.Cleanup, listeners: make(map[string]*listener)}
}

// serve runs a server at address until the test ends.
func (n *network) serve(address string, server *http.Server) {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	go server.Serve(l)
	n.quit(func() { server.Close() })
}

// remove makes connections to address be refused.
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
	near, far := net.Pipe()
	k := &link{Conn: near, address: address, closed: make(chan struct{})}
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errors.New("listener closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.links = append(n.links, k)
	n.mu.Unlock()
	return k, nil
}

// silence makes the open connections to address carry nothing more.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range n.links {
		if k.address == address {
			k.silent.Store(true)
		}
	}
}

// client returns a client that closes its connections when the test ends.
func (n *network) client() *http.Client {
	transport := &http.Transport{DialContext: n.dial, DisableCompression: true}
	n.quit(transport.CloseIdleConnections)
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

// link is the client's end of a connection.
type link struct {
	net.Conn
	address string
	silent  atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (k *link) Write(b []byte) (int, error) {
	if k.silent.Load() {
		return len(b), nil
	}
	return k.Conn.Write(b)
}

func (k *link) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if k.silent.Load() {
		<-k.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (k *link) Close() error {
	k.once.Do(func() { close(k.closed) })
	return k.Conn.Close()
}

// worker is a backend server that counts what ran.
type worker struct {
	mu      sync.Mutex
	runs    map[string]int // by request id
	posts   map[string]int // those of non-idempotent requests
	keys    map[string]int // non-idempotent ones by idempotency key
	handler http.HandlerFunc
	probed  atomic.Int64
	running string // what a probe is told
}

func newWorker(handler http.HandlerFunc) *worker {
	return &worker{
		runs:    make(map[string]int),
		posts:   make(map[string]int),
		keys:    make(map[string]int),
		handler: handler,
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		w.probed.Add(1)
		if w.running != "" {
			rw.Header().Set(HeaderRunning, w.running)
		}
		return
	}
	rw.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	w.handler(rw, r)
}

// run counts that the request's work ran.
func (w *worker) run(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.Header.Get(HeaderRequest)]++
	if isIdempotent(r.Method) {
		return
	}
	w.posts[r.Header.Get(HeaderRequest)]++
	if key := r.Header.Get(HeaderKey); key != "" {
		w.keys[key]++
	}
}

// total returns how many runs there were.
func (w *worker) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, runs := range w.runs {
		n += runs
	}
	return n
}

// tableOf returns a table of one service with the workers at addresses.
func tableOf(instance string, addresses ...string) *route.Table {
	t := &route.Table{
		Instance:         instance,
		AvailabilityZone: "a",
		Services: map[string]route.Service{
			"price": {Name: "price", Group: "yard", Weight: 1, Timeout: 10 * time.Second, Queue: 8, Slots: 64},
		},
		Backends: map[string][]route.Backend{},
	}
	for _, address := range addresses {
		t.Backends["price"] = append(t.Backends["price"], route.Backend{
			Worker:           address,
			Address:          address,
			AvailabilityZone: "a",
			Epoch:            7,
			Until:            time.Now().Add(time.Hour),
			Slots:            8,
		})
	}
	return t
}

// site is one entry instance with workers w1, w2, ... on a network.
type site struct {
	network *network
	gateway *Gateway
	client  *http.Client
	id      string
}

// newSite starts the entry instance id, its listeners at id and id-peer.
func newSite(n *network, id string, table *route.Table, opts ...Option) *site {
	opts = append([]Option{WithSeed(1), WithDial(n.dial)}, opts...)
	g := New(opts...)
	g.Publish(table)
	n.serve(id, g.Server(g.Callers()))
	n.serve(id+"-peer", g.Server(g.Forwards()))
	return &site{network: n, gateway: g, client: n.client(), id: id}
}

// peer returns the site as others see it.
func (s *site) peer(zone string, free int) route.Peer {
	return route.Peer{
		ID:               s.id,
		Address:          s.id + "-peer",
		AvailabilityZone: zone,
		Free:             map[string]int{"price": free},
		Heard:            time.Now(),
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	closed bool  // the server ends the connection
	err    error // of the request or of the body
}

func (a answer) ran() string   { return a.header.Get(HeaderRan) }
func (a answer) fault() string { return a.header.Get(HeaderFault) }

// ask sends a request as a caller does; header holds names and values in turn.
func (s *site) ask(method, body string, header ...string) answer {
	return s.askWith(context.Background(), method, strings.NewReader(body), header...)
}

func (s *site) askWith(ctx context.Context, method string, body io.Reader, header ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.id+"/services/price/load", body)
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), closed: resp.Close, err: err}
}

// cut closes the connection of a request without an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
