// Package dispatcher runs one instance of the batch scheduler: it accepts jobs
// into the platform's store, answers queries about every job, and executes the
// decisions of package cell while it owns the cell.
//
// Usage:
//
//	d := dispatcher.New(dispatcher.Platform{Store: store, Executor: workers}, dispatcher.WithInstance("edge-1"))
//	d.Configure(table)
//	go d.Run(ctx)
//	err := d.Submit(ctx, j)
//	state, err := d.State(ctx, j.ID)
//
// All instances run the same components. Each reads the streams of package
// catalog, which hold the accepted, cancelled and ended jobs, so that any instance can
// serve any request and become the owner.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/election"
	"github.com/dogwoodladder/dogwoodladder/outage"
	"github.com/dogwoodladder/dogwoodladder/pacing"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

// Platform holds the services that the dispatcher uses. Adviser and Machines
// may be nil where the site has none.
type Platform struct {
	Store    provider.Keyed
	Executor provider.Executor
	Adviser  provider.Adviser
	Machines provider.Machines
}

// Intervals between reads of the streams. The owner has to see a new job at once. The
// other instances only answer queries, and each of their reads costs the store a call.
const (
	ownerSpacing    = 10 * time.Millisecond
	acceptsSpacing  = time.Second            // a query for an unknown job reads at once
	progressSpacing = 250 * time.Millisecond // staleness of a job's state
	maxStateAge     = 40 * time.Millisecond  // an older state is refreshed before it is returned
	refreshTimeout  = 100 * time.Millisecond // of that refresh; then the known state is returned
	progressWait    = 300 * time.Millisecond // long poll; below election.Timing.MaxReadAge
)

// tickInterval is the interval between ticks of the control goroutine. It bounds the delay
// of the owner's retries, lease renewals and timeouts.
const tickInterval = 10 * time.Millisecond

// Dispatcher is one instance of the batch scheduler. Run may be called once.
type Dispatcher struct {
	platform   Platform
	instance   string
	processors float64
	nonce      uint64
	timing     cell.Timing
	copies     bool
	logger     *zap.Logger
	clock      func() time.Duration

	tomb           tomb.Tomb
	catalog        *catalog.Catalog
	standbys       *standbys
	accepts        *jobTails
	progress       *tail.Tail
	figures        figuresAge
	intake         *intake
	cancellations  *cancellations
	recordWriter   *recordWriter
	aggregator     *aggregator
	localSink      aggregation.Sink // where this instance writes as aggregator; nil if it is none
	table          atomic.Pointer[queue.Table]
	inputs         chan cell.Input
	updated        chan struct{}
	leaveRequested chan struct{}
	leaveDone      chan struct{}
	owning         atomic.Bool
	onOwning       func(bool)
	onRecorded     func(byZone map[string]int)
	readList       func(context.Context) error
	knowsOperators func() bool
	returnBound    time.Duration
	sharing        bool
	counters       *Counters

	followsAggregated bool // whether stream catalog.Aggregated is followed
	isAggregator      bool // whether it is written on behalf of other instances

	// Owned by the control goroutine.
	election        *election.Election
	cell            *cell.Cell
	term            uint64
	claiming        bool
	resumeClaimAt   time.Duration // earliest next attempt to resume a recorded claim
	claimResults    chan claimResult
	hostList        hostList
	appliedTable    *queue.Table
	hostListUpdates chan provider.HostList
	waves           []provider.Wave
	waveUpdates     chan []provider.Wave
	cordonedZones   []string // names of availability zones
	cordonUpdates   chan []string
	yields          chan uint64 // terms whose owners can't write
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithInstance sets the name of this instance, which must be unique.
func WithInstance(name string) Option {
	return func(d *Dispatcher) { d.instance = name }
}

// WithProcessors sets the number of processors of the instance, which may be a
// fraction. Instances with more processors claim the cell earlier.
func WithProcessors(n float64) Option {
	return func(d *Dispatcher) { d.processors = n }
}

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l *zap.Logger) Option {
	return func(d *Dispatcher) { d.logger = l }
}

// WithTiming sets the intervals and timeouts of the cell.
func WithTiming(t cell.Timing) Option {
	return func(d *Dispatcher) { d.timing = t }
}

// WithCopies sets whether tasks of steps that allow it may get a second run; by default they
// don't.
func WithCopies(enabled bool) Option {
	return func(d *Dispatcher) { d.copies = enabled }
}

// WithOwning sets a callback that gets true when this instance becomes the cell's owner
// and false when it loses the ownership. Only the owner needs the list of workers.
func WithOwning(f func(bool)) Option {
	return func(d *Dispatcher) { d.onOwning = f }
}

// WithRecordedHosts sets a callback that gets the number of workers on record in each
// availability zone before a new owner sends its first order. It has to ask all of them, and
// the list of workers may take longer to read.
func WithRecordedHosts(f func(byZone map[string]int)) Option {
	return func(d *Dispatcher) { d.onRecorded = f }
}

// WithClaimCondition sets a function that reports whether the operators' stream has been read
// since this instance last began to follow it. Until then it doesn't claim the cell.
func WithClaimCondition(f func() bool) Option {
	return func(d *Dispatcher) { d.knowsOperators = f }
}

// WithReturnBound sets the longest time for which the store's return may go unnoticed after
// it was silent.
func WithReturnBound(bound time.Duration) Option {
	return func(d *Dispatcher) { d.returnBound = bound }
}

// WithClock sets the clock of all decisions. It must keep running while the machine
// is suspended; otherwise leases that expired meanwhile would count as valid.
func WithClock(clock func() time.Duration) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// New returns a Dispatcher on a platform.
func New(p Platform, opts ...Option) *Dispatcher {
	startedAt := time.Now()
	d := &Dispatcher{
		platform:        p,
		nonce:           rand.Uint64(),
		timing:          cell.DefaultTiming(),
		logger:          zap.NewNop(),
		clock:           func() time.Duration { return time.Since(startedAt) },
		catalog:         catalog.New(),
		inputs:          make(chan cell.Input, 4096),
		updated:         make(chan struct{}, 1),
		leaveRequested:  make(chan struct{}),
		leaveDone:       make(chan struct{}),
		claimResults:    make(chan claimResult, 1),
		hostListUpdates: make(chan provider.HostList, 1),
		waveUpdates:     make(chan []provider.Wave, 1),
		cordonUpdates:   make(chan []string, 1),
		yields:          make(chan uint64, 1),
		onOwning:        func(bool) {},
		onRecorded:      func(map[string]int) {},
		readList:        func(context.Context) error { return nil },
		knowsOperators:  func() bool { return true },
		returnBound:     pacing.DefaultReturnBound,
	}
	d.standbys = newStandbys(d)
	d.recordWriter = &recordWriter{d: d}
	for _, opt := range opts {
		opt(d)
	}
	d.counters = newCounters(d.clock)
	d.election = election.New(d.instance, d.nonce, d.processors, election.DefaultTiming(), rand.Float64)
	d.accepts = d.newJobTails()
	d.progress = d.newTail(catalog.Progress, d.recordFigures(d.foldInto(catalog.Progress, d.catalog.Progress, d.catalog.RetainProgress)), tail.WithSpacing(progressSpacing), tail.WithWait(progressWait))
	d.intake = newIntake(d)
	d.cancellations = &cancellations{d: d}
	d.aggregator = newAggregator(d)
	if d.isAggregator {
		d.localSink = d.aggregator
	}
	d.recordWriter.init()
	d.standbys.init()
	return d
}

// foldInto returns a function that folds the records of a stream into the catalog. Retain
// drops what a load of the newest records doesn't have.
func (d *Dispatcher) foldInto(stream string, fold func(provider.KeyedRecord) error, retain func([]provider.KeyedRecord)) tail.Apply {
	return func(b tail.Batch) {
		if len(b.Records) == 0 && !b.IsComplete {
			return
		}
		if b.IsComplete {
			retain(b.Records)
		}
		for _, r := range b.Records {
			if err := fold(r); err != nil {
				d.logger.Warn("record not understood", zap.String("stream", stream), zap.String("key", r.Key), zap.Error(err))
			}
		}
		d.notifyUpdate()
	}
}

// newTail returns a Tail of a stream whose outages are logged.
func (d *Dispatcher) newTail(stream string, apply tail.Apply, opts ...tail.Option) *tail.Tail {
	outages := outage.New(d.logger, "store", stream)
	opts = append(opts, tail.WithOutages(outages), tail.WithClock(d.clock), tail.WithReturnBound(d.returnBound))
	return tail.New(d.platform.Store, stream, apply, opts...)
}

// notifyUpdate notifies the control goroutine of a new configuration or new records.
func (d *Dispatcher) notifyUpdate() {
	select {
	case d.updated <- struct{}{}:
	default:
	}
}

// Run serves until ctx is done, then stops all goroutines and waits for them.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.tomb.Go(func() error {
		inner := d.tomb.Context(context.Background())
		for _, t := range d.accepts.all() {
			d.tomb.Go(func() error { return t.Run(inner) })
		}
		d.tomb.Go(func() error { return d.progress.Run(inner) })
		d.tomb.Go(func() error { return d.intake.batches.run(inner) })
		if d.isAggregator {
			d.tomb.Go(func() error { return d.aggregator.run(inner) })
		}
		d.recordWriter.run(inner)
		d.standbys.run(inner)
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

// Leave hands the cell over, if this instance owns it, so that another instance can
// claim it at once. It returns when that is on record or ctx is done. The instance
// keeps serving requests.
func (d *Dispatcher) Leave(ctx context.Context) {
	close(d.leaveRequested)
	select {
	case <-d.leaveDone:
	case <-ctx.Done():
		d.logger.Warn("handover cut short")
	}
}

// Configure applies a configuration, unless its version isn't above the current one.
func (d *Dispatcher) Configure(t *queue.Table) {
	for {
		old := d.table.Load()
		if old != nil && old.Version >= t.Version {
			return
		}
		if d.table.CompareAndSwap(old, t) {
			d.logger.Info("configuration", zap.Uint64("version", t.Version))
			d.notifyUpdate()
			return
		}
	}
}

// Table returns the current configuration, nil before the first.
func (d *Dispatcher) Table() *queue.Table {
	return d.table.Load()
}

// SetWaves replaces the waves of machine upkeep that the operators requested.
func (d *Dispatcher) SetWaves(waves []provider.Wave) {
	replace(d.waveUpdates, waves)
}

// SetCordons replaces the set of cordoned availability zones. Their workers get no new
// tasks.
func (d *Dispatcher) SetCordons(zones []string) {
	replace(d.cordonUpdates, zones)
}

// replace puts a value into a channel of capacity 1. It replaces a value that wasn't
// received yet.
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

// Maximum age of the store's last answer for a ready instance. It covers a slow answer and
// one retry; that of the roster also covers the wait for a heartbeat.
const (
	maxReadyAge       = 2500 * time.Millisecond
	maxReadyRosterAge = rosterWait + time.Second
)

// Ready reports whether the instance can accept jobs: it has a configuration, and the
// store answered its reads recently.
func (d *Dispatcher) Ready() bool {
	if d.table.Load() == nil {
		return false
	}
	if !d.standbys.isCurrent() {
		return d.standbys.rosterLog.Age() < maxReadyRosterAge && !d.standbys.rosterLog.Failing()
	}
	return d.accepts.isAnswered() && d.progress.Age() < maxReadyAge
}
