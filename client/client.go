// Package client reaches the platform over HTTP: its log service, its
// instance list and its workers.
//
// Usage:
//
//	log := client.NewLog("127.0.0.1:7001", client.WithTimeout(time.Second))
//	first, err := log.Append(ctx, "zone/a", records)
//	if fault.Is(err, fault.MayHaveRun) {
//		// read on until the record is found or can't come any more
//	}
//
// Every call has a deadline and every body a bound. What an error says about
// the call depends on how far it got:
//
//   - never sent (refused, no route, no connection in time): fault.Unavailable,
//     or fault.DeadlinePassed when the caller's own context ended;
//   - refused by the peer: the peer's kind;
//   - sent, and no whole answer: fault.MayHaveRun where the call has an effect,
//     fault.Unavailable where it only reads.
//
// Calls that only read are repeated once on a new connection, in case the
// first one went silent. Calls with an effect are never repeated here.
package client

import (
	"context"
	"net"
	"time"
)

// Defaults.
const (
	DefaultTimeout     = 3 * time.Second
	DefaultConnections = 4
)

// Option changes a client.
type Option func(*options)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type options struct {
	timeout     time.Duration
	connections int
	dial        DialFunc
}

// WithTimeout bounds each try of a call, on top of the context's deadline.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithConnections sets how many idle connections are kept.
func WithConnections(n int) Option {
	return func(o *options) { o.connections = n }
}

// WithDial replaces how connections are opened, for tests in memory.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}

func newOptions(opts []Option) options {
	o := options{timeout: DefaultTimeout, connections: DefaultConnections}
	for _, opt := range opts {
		opt(&o)
	}
	if o.dial == nil {
		o.dial = (&net.Dialer{Timeout: o.timeout}).DialContext
	}
	return o
}
