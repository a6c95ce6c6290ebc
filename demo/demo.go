// Package demo runs the whole system in one process: two availability zones with
// entry instances and workers, the platform's stand-ins, callers and operators.
// It generates load, injects failures, and checks from the workers' ledgers
// whether every guarantee held.
//
// Usage:
//
//	err := demo.New(demo.WithRate(150)).Run(ctx, os.Stdout)
//
// Run ends by itself within half a minute. All parts listen on free ports of
// 127.0.0.1.
package demo

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Defaults and bounds.
const (
	defaultRate = 150 // requests per second
	defaultSeed = 1
	maxRuntime  = 24 * time.Second // of the scenario; verification and shutdown take a few seconds more
)

// Demo is one run of the system.
type Demo struct {
	logger *zap.Logger
	rate   float64
	seed   uint64
}

// Option configures a Demo.
type Option func(*Demo)

// New returns a new Demo.
func New(opts ...Option) *Demo {
	d := &Demo{logger: zap.NewNop(), rate: defaultRate, seed: defaultSeed}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithLogger sets the logger of the instances' events; the default discards them.
func WithLogger(l *zap.Logger) Option {
	return func(d *Demo) { d.logger = l }
}

// WithRate sets requests per second.
func WithRate(perSecond float64) Option {
	return func(d *Demo) { d.rate = perSecond }
}

// WithSeed sets the seed of the callers' random choices.
func WithSeed(seed uint64) Option {
	return func(d *Demo) { d.seed = seed }
}

// Run runs the scenario, writes its events and results to w, and returns an
// error if a step failed or a guarantee didn't hold.
func (d *Demo) Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, maxRuntime)
	defer cancel()
	s, err := newSite(ctx, d.logger)
	if err != nil {
		return err
	}
	defer s.close()
	sc := newScenario(d, s, newReport(w))
	if err := sc.begin(ctx); err != nil {
		return err
	}
	err = sc.run(ctx)
	if broken := sc.verify(); broken > 0 {
		return errors.Join(err, fault.New(fault.Internal, "%d guarantees broken", broken))
	}
	return err
}
