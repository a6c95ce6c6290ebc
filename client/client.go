// Package client implements HTTP clients of the platform's log service, instance
// list and workers.
//
// Usage:
//
//	log := client.NewLog("127.0.0.1:7001", client.WithTimeout(time.Second))
//	first, err := log.Append(ctx, "zone/a", records)
//	if fault.Is(err, fault.MayHaveRun) {
//		// read on until the record is found or can no longer be appended
//	}
//
// Every call has a timeout and every body a size bound. The kind of an error
// depends on how far the call got:
//
//   - never sent (connection refused, no route, no connection in time):
//     fault.Unavailable, or fault.DeadlinePassed when the caller's own context
//     ended;
//   - refused by the server: the kind in the refusal;
//   - sent without a complete response: fault.MayHaveRun if the call has an
//     effect, fault.Unavailable if it only reads.
//
// Calls that only read are retried once on a new connection, in case the first
// connection is dead. Calls with an effect are never retried by this package.
package client

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
)

// Defaults.
const (
	DefaultTimeout     = 3 * time.Second
	DefaultConnections = 4
)

// Option configures a client.
type Option func(*options)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

type options struct {
	timeout     time.Duration
	connections int
	dial        DialFunc
	logger      *zap.Logger
}

// WithTimeout bounds each attempt of a call, in addition to the context's
// deadline.
func WithTimeout(d time.Duration) Option {
	return func(o *options) { o.timeout = d }
}

// WithConnections sets how many idle connections are kept.
func WithConnections(n int) Option {
	return func(o *options) { o.connections = n }
}

// WithDial sets the function that opens connections, for in-memory networks in
// tests.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}

// WithLogger sets the logger of invalid entries of the instance list; the default discards
// them.
func WithLogger(l *zap.Logger) Option {
	return func(o *options) { o.logger = l }
}

func newOptions(opts []Option) options {
	o := options{timeout: DefaultTimeout, connections: DefaultConnections, logger: zap.NewNop()}
	for _, opt := range opts {
		opt(&o)
	}
	if o.dial == nil {
		o.dial = (&net.Dialer{Timeout: o.timeout}).DialContext
	}
	return o
}
