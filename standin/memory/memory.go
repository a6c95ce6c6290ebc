// Package memory is an in-process network, so that clients and stand-ins can be
// tested together in virtual time. Its connections are synchronous pipes;
// package standin/network has buffers, latency and silent connections.
//
// Usage:
//
//	network := memory.New()
//	go service.Serve(ctx, network.Listen("log"))
//	log := client.NewLog("log", client.WithDial(network.Dial))
package memory

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers to listeners by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener)}
}

// Listen returns a listener at address, and replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: addr(address), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to the listener at address; without one it returns
// ECONNREFUSED. If there is no listener at an address with a port, which HTTP
// adds, Dial looks for the address without the port.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l := n.find(address)
	if l == nil {
		return nil, refused(address)
	}
	near, far := net.Pipe()
	select {
	case l.accept <- far:
		return near, nil
	case <-l.closed:
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) find(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.listeners[address]; ok {
		return l
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return n.listeners[host]
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

type addr string

func (a addr) Network() string { return "memory" }
func (a addr) String() string  { return string(a) }

type listener struct {
	address addr
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
