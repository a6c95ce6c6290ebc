// Package demo runs the whole system within one process: two availability
// zones with entry instances and workers, the platform's stand-ins, callers
// and operators. It puts load on them, makes parts of them fail, and checks
// from what the workers wrote down whether every guarantee held.
//
// Usage:
//
//	err := demo.New(demo.WithRate(150)).Run(ctx, os.Stdout)
//
// Run ends by itself within half a minute. Everything listens on 127.0.0.1
// at ports that are free.
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
	maxRuntime  = 24 * time.Second // of the scenario; what ends it takes a few more
)

// Demo is one run of the system.
type Demo struct {
	logger *zap.Logger
	rate   float64
	seed   uint64
}

// Option changes a Demo.
type Option func(*Demo)

// New returns a new Demo.
func New(opts ...Option) *Demo {
	d := &Demo{logger: zap.NewNop(), rate: defaultRate, seed: defaultSeed}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithLogger sets where the instances' events go; the default drops them.
func WithLogger(l *zap.Logger) Option {
	return func(d *Demo) { d.logger = l }
}

// WithRate sets requests per second.
func WithRate(perSecond float64) Option {
	return func(d *Demo) { d.rate = perSecond }
}

// WithSeed sets what the callers' random choices follow from.
func WithSeed(seed uint64) Option {
	return func(d *Demo) { d.seed = seed }
}

// Run plays the scenario, writes what happened to w, and returns an error
// when a step failed or a guarantee didn't hold.
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
