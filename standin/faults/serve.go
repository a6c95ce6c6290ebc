package faults

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrDead is returned by Serve after the fault "dead" was set.
var ErrDead = errors.New("stand-in died")

type (
	connKey   struct{}
	serverKey struct{}
)

// Serve serves requests on l until ctx ends or the fault "dead" is set.
func (i *Injector[F]) Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return context.WithValue(ctx, serverKey{}, ctx) },
		ConnContext:       withConn,
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		select {
		case <-ctx.Done():
		case <-i.dead:
		}
		_ = server.Close() // a listener that fails to close can't be handled here
	}()
	err := server.Serve(&listener{Listener: l, wrapConn: i.wrapConn})
	cancel()
	<-closed
	select {
	case <-i.dead:
		return ErrDead
	default:
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (i *Injector[F]) wrapConn(c net.Conn) net.Conn {
	wrapped := &conn{Conn: c}
	wrapped.onClose = func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.conns, wrapped)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conns[wrapped] = true
	return wrapped
}

type listener struct {
	net.Listener
	wrapConn func(net.Conn) net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrapConn(c), nil
}

// conn is a connection that can be made silent: then it drops all data that is
// read from or written to it.
type conn struct {
	net.Conn
	silent  atomic.Bool
	onClose func()
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// serverContext returns a context that ends with the server instead of with the
// request.
func serverContext(r *http.Request) context.Context {
	if ctx, ok := r.Context().Value(serverKey{}).(context.Context); ok {
		return ctx
	}
	return context.WithoutCancel(r.Context())
}
