// Package dogwoodladder schedules latency-critical services and batch work on
// the same workers, and keeps every group within its share.
//
// Usage:
//
//	settings, err := setting.Parse("edge-1.yaml", data)
//	if err != nil {
//		return err
//	}
//	instance := dogwoodladder.New(*settings, dogwoodladder.WithLogger(logger))
//	err = instance.Run(ctx) // returns after ctx is done and the workers are handed over
//
// This package only wraps package daemon for embedding. The other packages form
// layers, from the inside out:
//
//   - Contracts are plain data and interfaces: resource, fault, record,
//     provider and route.
//   - Decisions are pure: no input or output, no clock, no global randomness.
//     Batch work: zone, follower, appender, lease, share. Services: replica,
//     rendezvous, admission, balancer, limit, budget, forward. Configuration:
//     document, manifest, revision. Instances: member, message. Interference: usage,
//     interference, placement, mitigation. Package chart interprets the state
//     charts, and package controller combines the decisions. Each can be used
//     alone.
//   - Adapters execute decisions: client, conduit, peer, gateway and
//     daemon, with the process's settings in package setting.
//   - Stand-ins of the platform, under standin, and package demo serve tests
//     and trials. No package of the layers above imports them.
//
// The file testdata/layers.txt lists the layers, and a test checks the imports
// against it.
package dogwoodladder

import (
	"context"
	"expvar"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

// Instance is one entry instance of the scheduler. Run may be called only once.
type Instance interface {
	// Listen opens the listeners and returns their addresses. Run calls it if
	// it wasn't called before.
	Listen() (daemon.Addresses, error)
	// Run serves until ctx is done, then hands over the workers and stops.
	Run(ctx context.Context) error
	// Dump returns the whole state as readable text. It may be called while
	// Run runs.
	Dump() string
	// Vars returns the metrics, to be published by package expvar. They may
	// be read while Run runs.
	Vars() *expvar.Map
}

// Option configures an Instance.
type Option = daemon.Option

// New returns a new Instance for the given settings.
func New(settings setting.Settings, opts ...Option) Instance {
	return daemon.New(settings, opts...)
}

// WithLogger sets the logger of events; the default discards them.
func WithLogger(l *zap.Logger) Option {
	return daemon.WithLogger(l)
}
