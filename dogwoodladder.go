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
//	err = instance.Run(ctx) // until ctx is done and everything was handed over
//
// This package is only the front door; the packages beside it are the
// architecture. From the inside out:
//
//   - Contracts are plain data and interfaces: resource, fault, record,
//     provider and route.
//   - Decisions are pure: no input or output, no clock, no global randomness.
//     Batch work: zone, follower, appender, lease, share. Services: replica,
//     rendezvous, admission, balancer, limit, budget, forward. Configuration:
//     document, manifest, revision. Instances: member, message. Interference: usage,
//     interference, placement, mitigation. Package chart interprets the state
//     charts, and package controller puts the decisions together. Each can be
//     embedded alone.
//   - Adapters carry decisions out: client, conduit, peer, gateway and
//     daemon, with the process's settings in package setting.
//   - Stand-ins of the platform, under standin, and package demo serve tests
//     and trials. Nothing above imports them.
//
// The file testdata/layers.txt holds these layers and a test holds the code
// to them.
package dogwoodladder

import (
	"context"
	"expvar"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

// Instance is one entry instance of the scheduler. It is run once.
type Instance interface {
	// Listen opens the listeners and returns their addresses. Run does so
	// too, when it wasn't done before.
	Listen() (daemon.Addresses, error)
	// Run serves until ctx is done, then hands everything over and stops.
	Run(ctx context.Context) error
	// Dump returns the whole state as readable text. It may be called while
	// Run runs.
	Dump() string
	// Vars returns the metrics, to be published by package expvar. They may
	// be read while Run runs.
	Vars() *expvar.Map
}

// Option sets up an Instance.
type Option = daemon.Option

// New returns a new Instance for the given settings.
func New(settings setting.Settings, opts ...Option) Instance {
	return daemon.New(settings, opts...)
}

// WithLogger sets where events go; the default drops them.
func WithLogger(l *zap.Logger) Option {
	return daemon.WithLogger(l)
}
