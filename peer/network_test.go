package peer_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
)

// network connects meshes in one process without sockets, so that time can be
// virtual.
type network struct {
	latency   time.Duration // of each write
	mu        sync.Mutex
	listeners map[string]*listener
	wires     []*wire
}

// listener implements net.Listener.
type listener struct {
	context.Context
	cancel context.CancelFunc
	conns  chan net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.Done():
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.cancel()
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// wireBuffer is how many writes a wire takes before it holds up the writer.
const wireBuffer = 16

// wire is one end of a connection, with a buffer as a socket has. Once silent,
// it takes what is written and carries nothing, not even its own end.
type wire struct {
	net.Conn
	latency time.Duration
	out     chan []byte
	closed  context.Context
	cancel  context.CancelFunc
	silent  atomic.Bool
}

func newWire(c net.Conn, latency time.Duration) *wire {
	w := &wire{Conn: c, latency: latency, out: make(chan []byte, wireBuffer)}
	w.closed, w.cancel = context.WithCancel(context.Background())
	go w.pump()
	return w
}

func (w *wire) Write(p []byte) (int, error) {
	select {
	case <-w.closed.Done():
		return 0, net.ErrClosed
	case w.out <- slices.Clone(p):
		return len(p), nil
	}
}

// pump carries what was written, and after that the end.
func (w *wire) pump() {
	for {
		select {
		case p := <-w.out:
			w.carry(p)
		case <-w.closed.Done():
			for len(w.out) > 0 {
				w.carry(<-w.out)
			}
			if !w.silent.Load() {
				_ = w.Conn.Close()
			}
			return
		}
	}
}

func (w *wire) carry(p []byte) {
	time.Sleep(w.latency)
	if !w.silent.Load() {
		_, _ = w.Conn.Write(p)
	}
}

func (w *wire) Close() error {
	w.cancel()
	return w.SetReadDeadline(time.Unix(1, 0))
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	x, y := net.Pipe()
	near, far := newWire(x, n.latency), newWire(y, n.latency)
	n.wires = append(n.wires, near, far)
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close ends all connections for good, and waits for what they still carry.
func (n *network) close() {
	for _, w := range n.wires {
		_ = w.Close()
		_ = w.Conn.Close()
	}
	time.Sleep((wireBuffer + 2) * n.latency)
}

// silence makes all open connections silent.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		w.silent.Store(true)
	}
}

// node is one instance with its mesh.
type node struct {
	*peer.Mesh
	self     member.Self
	address  string
	stop     func() // ends the node and frees its address
	sequence uint64
}

func (n *network) start(t *testing.T, self member.Self, address string, opts ...peer.Option) *node {
	t.Helper()
	opts = append([]peer.Option{peer.WithSelf(self), peer.WithDialer(n.dial)}, opts...)
	x := &node{Mesh: peer.New(opts...), self: self, address: address}
	server := &http.Server{Handler: x.Mesh}
	l := &listener{conns: make(chan net.Conn)}
	l.Context, l.cancel = context.WithCancel(t.Context())
	n.mu.Lock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		t.Cleanup(n.close)
	}
	n.listeners[address] = l
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = server.Serve(l) }()
	go func() { defer close(stopped); _ = x.Run(ctx) }()
	x.stop = sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.listeners, address)
		n.mu.Unlock()
		cancel()
		<-stopped
		_ = server.Close()
	})
	t.Cleanup(x.stop)
	synctest.Wait()
	return x
}

// collect takes what was received so far.
func (x *node) collect() []peer.Received {
	var got []peer.Received
	for {
		select {
		case r := <-x.Received():
			got = append(got, r)
		default:
			return got
		}
	}
}

func (x *node) peer() peer.Peer {
	return peer.Peer{ID: x.self.ID, Address: x.address, AvailabilityZone: x.self.AvailabilityZone}
}

func (x *node) heartbeat(free map[string]int) peer.Heartbeat {
	x.sequence++
	return peer.Heartbeat{
		ID:               x.self.ID,
		AvailabilityZone: x.self.AvailabilityZone,
		Address:          x.address,
		Incarnation:      x.self.Incarnation,
		Sequence:         x.sequence,
		Free:             free,
	}
}

// beat lets time pass while two nodes send each other heartbeats.
func beat(d, interval time.Duration, x, y *node) {
	for range d / interval {
		_ = x.Send(y.self.ID, x.heartbeat(nil))
		_ = y.Send(x.self.ID, y.heartbeat(nil))
		time.Sleep(interval)
		synctest.Wait()
	}
}

// count returns how many of the received messages have type M.
func count[M peer.Message](received []peer.Received) int {
	n := 0
	for _, r := range received {
		if _, ok := r.Message.(M); ok {
			n++
		}
	}
	return n
}
