// Package network connects the parts of a program in one process without
// sockets, so that tests run in virtual time. Unlike package standin/memory its
// connections have a buffer and a latency and can go silent.
//
// Usage:
//
//	n := network.New(network.WithLatency(2 * time.Millisecond))
//	defer n.Close()
//	l := n.Listen(ctx, "10.0.0.1:1")
//	go server.Serve(l)
//	conn, err := n.Dial(ctx, "tcp", "10.0.0.1:1")
//	n.Silence() // open connections drop all data without an error
package network

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network is safe for concurrent use.
type Network struct {
	latency   time.Duration // of each write
	mu        sync.Mutex
	listeners map[string]*listener
	wires     []*wire
}

// Option configures a Network.
type Option func(*Network)

// WithLatency sets the delay of each write; the default is none.
func WithLatency(d time.Duration) Option {
	return func(n *Network) { n.latency = d }
}

// New returns a Network without listeners.
func New(opts ...Option) *Network {
	n := &Network{listeners: make(map[string]*listener)}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Listen accepts connections at an address until ctx is done or the listener is
// closed. A later listener at the same address replaces it.
func (n *Network) Listen(ctx context.Context, address string) net.Listener {
	l := &listener{conns: make(chan net.Conn)}
	l.Context, l.cancel = context.WithCancel(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Unlisten removes the listener at an address, so that connections to it are
// refused.
func (n *Network) Unlisten(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
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

// wireBuffer is how many writes a wire buffers before Write blocks.
const wireBuffer = 16

// wire is one end of a connection with a write buffer like a socket's. Once
// silent, it accepts writes and drops them, and doesn't signal its close to the
// other end.
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
	go w.deliverWrites()
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

// deliverWrites delivers buffered writes, and after Close the rest of them and the close.
func (w *wire) deliverWrites() {
	for {
		select {
		case p := <-w.out:
			w.deliver(p)
		case <-w.closed.Done():
			for len(w.out) > 0 {
				w.deliver(<-w.out)
			}
			if !w.silent.Load() {
				_ = w.Conn.Close()
			}
			return
		}
	}
}

func (w *wire) deliver(p []byte) {
	time.Sleep(w.latency)
	if !w.silent.Load() {
		_, _ = w.Conn.Write(p)
	}
}

func (w *wire) Close() error {
	w.cancel()
	return w.SetReadDeadline(time.Unix(1, 0))
}

// Dial connects to the listener at address; without one it returns
// ECONNREFUSED.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
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

// Close closes all connections at both ends, and waits until their buffers are
// empty.
func (n *Network) Close() {
	n.mu.Lock()
	wires := slices.Clone(n.wires)
	n.mu.Unlock()
	for _, w := range wires {
		_ = w.Close()
		_ = w.Conn.Close()
	}
	time.Sleep((wireBuffer + 2) * n.latency)
}

// Silence makes all open connections silent.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		w.silent.Store(true)
	}
}
