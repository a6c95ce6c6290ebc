// Package dispatcher runs one instance of the batch scheduler: it accepts jobs
// into the platform's store, answers for every job, and while it owns the cell
// it carries out what package cell decides.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Platform{Store: store, Executor: workers}, dispatcher.WithInstance("edge-1"))
//	d.Configure(table)
//	go d.Run(ctx)
//	err := d.Submit(ctx, j)
//	state, err := d.State(ctx, j.ID)
//
// Every instance runs the same parts. What is accepted, cancelled and ended
// is known to all of them by the two streams of package catalog, so that any
// instance can take and answer any request, and become the owner.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/election"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

// Platform is what the dispatcher needs from outside. Adviser and Machines
// may be nil where the site has none.
type Platform struct {
	Store    provider.Keyed
	Executor provider.Executor
	Adviser  provider.Adviser
	Machines provider.Machines
}

// Spacings of reads. The owner has to learn of a job at once; the others only
// answer for it, and each of their reads costs the store a call.
const (
	ownerSpacing    = 10 * time.Millisecond
	acceptsSpacing  = time.Second            // a job that isn't known is looked for at once
	progressSpacing = 250 * time.Millisecond // by which a state may be old
	stateAge        = 40 * time.Millisecond  // from which a state is read anew for a caller that asks
	freshenTimeout  = 100 * time.Millisecond // after it the caller is told what is known
	progressWait    = 300 * time.Millisecond // below election.Timing.Fresh
)

// tickEvery is the time between two looks at the clock. It bounds how late
// the owner repeats, extends and gives up.
const tickEvery = 10 * time.Millisecond

// Dispatcher is one instance. It is run once.
type Dispatcher struct {
	platform   Platform
	instance   string
	processors float64
	nonce      uint64
	timing     cell.Timing
	logger     *zap.Logger
	clock      func() time.Duration

	tomb     tomb.Tomb
	catalog  *catalog.Catalog
	accepts  *tail.Tail
	progress *tail.Tail
	intake   *intake
	table    atomic.Pointer[queue.Table]
	inputs   chan cell.Input
	woken    chan struct{}
	leave    chan struct{}
	left     chan struct{}
	owning   atomic.Bool
	onOwning func(bool)
	readList func(context.Context) error
	counters *Counters

	// Owned by the control goroutine.
	election    *election.Election
	cell        *cell.Cell
	term        uint64
	claiming    bool
	settleAfter time.Duration // no try to settle a claim before then
	claims      chan claim
	list        hostList
	seen        *queue.Table
	lists       chan provider.HostList
	waves       []provider.Wave
	wavesIn     chan []provider.Wave
	cordoned    []string // availability zones
	cordonsIn   chan []string
}

// Option sets up a Dispatcher.
type Option func(*Dispatcher)

// WithInstance sets the name of this instance, which must be its own.
func WithInstance(name string) Option {
	return func(d *Dispatcher) { d.instance = name }
}

// WithProcessors sets how many processors the instance has, a fraction where
// it has a share of one. Instances with more of them become owner first.
func WithProcessors(n float64) Option {
	return func(d *Dispatcher) { d.processors = n }
}

// WithLogger sets where decisions go; the default drops them.
func WithLogger(l *zap.Logger) Option {
	return func(d *Dispatcher) { d.logger = l }
}

// WithTiming sets the bounds of the cell.
func WithTiming(t cell.Timing) Option {
	return func(d *Dispatcher) { d.timing = t }
}

// WithOwning sets what is told when this instance becomes the cell's owner and
// when it is no more. Only an owner needs the list of workers.
func WithOwning(f func(bool)) Option {
	return func(d *Dispatcher) { d.onOwning = f }
}

// WithClock sets the clock of all decisions. It has to go on while the machine
// is suspended, or leases that ended meanwhile would count as in force.
func WithClock(clock func() time.Duration) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// New returns a Dispatcher on a platform.
func New(p Platform, opts ...Option) *Dispatcher {
	begun := time.Now()
	d := &Dispatcher{
		platform:  p,
		nonce:     rand.Uint64(),
		timing:    cell.DefaultTiming(),
		logger:    zap.NewNop(),
		clock:     func() time.Duration { return time.Since(begun) },
		catalog:   catalog.New(),
		inputs:    make(chan cell.Input, 4096),
		woken:     make(chan struct{}, 1),
		leave:     make(chan struct{}),
		left:      make(chan struct{}),
		claims:    make(chan claim, 1),
		lists:     make(chan provider.HostList, 1),
		wavesIn:   make(chan []provider.Wave, 1),
		cordonsIn: make(chan []string, 1),
		onOwning:  func(bool) {},
		readList:  func(context.Context) error { return nil },
	}
	for _, opt := range opts {
		opt(d)
	}
	d.counters = newCounters(d.clock)
	d.election = election.New(d.instance, d.nonce, d.processors, election.DefaultTiming(), rand.Float64)
	d.accepts = d.newTail(catalog.Accepts, d.catalog.Accept, tail.WithSpacing(acceptsSpacing))
	d.progress = d.newTail(catalog.Progress, d.catalog.Progress, tail.WithSpacing(progressSpacing), tail.WithWait(progressWait))
	d.intake = newIntake(d)
	return d
}

func (d *Dispatcher) newTail(stream string, fold func(provider.KeyedRecord) error, opts ...tail.Option) *tail.Tail {
	report := &reporter{logger: d.logger, dependency: "store", part: stream}
	apply := func(b tail.Batch) {
		report.answered()
		if len(b.Records) == 0 && !b.Whole {
			return
		}
		for _, r := range b.Records {
			if err := fold(r); err != nil {
				d.logger.Warn("record not understood", zap.String("stream", stream), zap.String("key", r.Key), zap.Error(err))
			}
		}
		d.wake()
	}
	opts = append(opts, tail.WithErrors(report.failed), tail.WithClock(d.clock))
	return tail.New(d.platform.Store, stream, apply, opts...)
}

// wake has the control goroutine look at what the streams brought.
func (d *Dispatcher) wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

// Run serves until ctx is done, then gives up the cell and stops.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.tomb.Go(func() error {
		inner := d.tomb.Context(context.Background())
		d.tomb.Go(func() error { return d.accepts.Run(inner) })
		d.tomb.Go(func() error { return d.progress.Run(inner) })
		d.tomb.Go(func() error { return d.intake.run(inner) })
		d.tomb.Go(d.control)
		select {
		case <-ctx.Done():
			d.tomb.Kill(nil)
		case <-d.tomb.Dying():
		}
		return nil
	})
	return d.tomb.Wait()
}

// Leave gives up the cell, if this instance owns it, so that another takes it
// at once. It returns when that is on record or ctx is done. Requests are
// served on.
func (d *Dispatcher) Leave(ctx context.Context) {
	close(d.leave)
	select {
	case <-d.left:
	case <-ctx.Done():
		d.logger.Warn("handover cut short")
	}
}

// Configure puts a configuration in force. An older one than is in force is
// ignored.
func (d *Dispatcher) Configure(t *queue.Table) {
	for {
		old := d.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			d.logger.Info("configuration", zap.Uint64("version", t.Version))
			d.wake()
			return
		}
	}
}

// Table returns the configuration in force, nil before the first.
func (d *Dispatcher) Table() *queue.Table {
	return d.table.Load()
}

// SetWaves hands over the waves of upkeep that the operators asked for, whole.
func (d *Dispatcher) SetWaves(waves []provider.Wave) {
	replace(d.wavesIn, waves)
}

// SetCordons hands over the availability zones whose workers the operators want to
// get no new tasks, all of them.
func (d *Dispatcher) SetCordons(zones []string) {
	replace(d.cordonsIn, zones)
}

// replace puts a value into a channel of one, in place of an older one that
// nobody has looked at.
func replace[T any](c chan T, value T) {
	for {
		select {
		case c <- value:
			return
		default:
		}
		select {
		case <-c:
		default:
		}
	}
}

// Owning reports whether this instance owns the cell.
func (d *Dispatcher) Owning() bool {
	return d.owning.Load()
}

// readyAge is how old the last answer of the store may be for an instance that
// takes requests. It spans a slow answer and one repeat.
const readyAge = 2500 * time.Millisecond

// Ready reports whether the instance can take jobs: it has a configuration,
// knows all jobs and reaches the store.
func (d *Dispatcher) Ready() bool {
	return d.table.Load() != nil && d.accepts.Age() < readyAge && d.progress.Age() < readyAge
}
