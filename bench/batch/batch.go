// Package batch measures batch work at the planned size of a site. It runs
// packages controller, zone, follower and appender against a simulated log and
// stand-in workers, in virtual time.
//
// Usage:
//
//	err := batch.New().Run(os.Stdout)
//
// Run prints Markdown tables. All time is virtual and all seeds are fixed, so
// the same options give the same figures, except for processor time and memory,
// which depend on the machine. Message sizes are measured with the real clients
// and servers on in-memory connections, without TCP and IP headers.
package batch

import (
	"io"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

// Bench runs the measurements.
type Bench struct {
	size     Size
	seed     uint64
	parallel int
	outage   time.Duration
	window   time.Duration
	sections []string
	wire     wireSizes
}

// Option sets up a Bench.
type Option func(*Bench)

// WithSize sets the size of the site (default Planned).
func WithSize(s Size) Option {
	return func(b *Bench) { b.size = s }
}

// WithSeed sets the seed of random choices (default 1).
func WithSeed(seed uint64) Option {
	return func(b *Bench) { b.seed = seed }
}

// WithParallel sets how many runs execute concurrently (default 3).
func WithParallel(n int) Option {
	return func(b *Bench) { b.parallel = n }
}

// WithOutage sets how long the log is down in the outage runs (default 10
// minutes).
func WithOutage(d time.Duration) Option {
	return func(b *Bench) { b.outage = d }
}

// WithWindow sets how long the steady load is measured (default one interval
// of 1,100 publications a day).
func WithWindow(d time.Duration) Option {
	return func(b *Bench) { b.window = d }
}

// WithSections names the tables to print: steady, urgent, fold, recovery,
// outage, configuration (default all).
func WithSections(names ...string) Option {
	return func(b *Bench) { b.sections = names }
}

// publicationInterval is the mean interval at 1,100 publications a day.
const publicationInterval = 24 * time.Hour / 1100

// New returns a Bench.
func New(opts ...Option) *Bench {
	b := &Bench{size: Planned(), seed: 1, parallel: 3, outage: 10 * time.Minute, window: publicationInterval.Round(time.Second)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

type section struct {
	name  string
	print func(b *Bench, w io.Writer) error
}

var sections = []section{
	{"steady", (*Bench).steady},
	{"urgent", (*Bench).urgent},
	{"fold", (*Bench).fold},
	{"recovery", (*Bench).recovery},
	{"outage", (*Bench).outages},
	{"configuration", (*Bench).configuration},
}

// Run prints the selected tables.
func (b *Bench) Run(w io.Writer) error {
	sizes, err := calibrate(b.size.Services)
	if err != nil {
		return err
	}
	b.wire = sizes
	for _, s := range sections {
		if len(b.sections) > 0 && !slices.Contains(b.sections, s.name) {
			continue
		}
		if err := s.print(b, w); err != nil {
			return err
		}
	}
	return nil
}

var (
	smallNeed = resource.Vector{Processors: 2000, Memory: 8 << 10}
	hugeNeed  = resource.Vector{Processors: 20_000, Memory: 64 << 10}
	wideNeed  = resource.Vector{Processors: 7000, Memory: 24 << 10} // the running tasks then take nearly the whole capacity
)

func (b *Bench) plan(s Size) plan {
	return plan{size: s, timing: defaultTiming(), seed: b.seed, need: smallNeed, arrivalFactor: 1, wire: b.wire}
}

// defaultTiming returns the timing of a controller in a daemon with default
// settings.
func defaultTiming() controller.Timing {
	const command = 5 * time.Second
	t := setting.Default().Timing
	return controller.Timing{
		HeartbeatInterval: t.HeartbeatInterval,
		SuspicionTimeout:  t.SuspicionTimeout,
		WorkerLease:       t.Lease,
		TaskLease:         t.TaskLease,
		MaxDrift:          t.MaxDrift,
		MaxIsolation:      t.MaxIsolation,
		AppendInterval:    t.AppendInterval,
		SnapshotInterval:  t.SnapshotInterval,
		FenceAfter:        2 * t.SuspicionTimeout,
		CommandTimeout:    command,
	}
}

// runParallel runs each job in a goroutine of its own, up to b.parallel of them
// concurrently, and returns the first error in the order of jobs.
func (b *Bench) runParallel(jobs ...func() error) error {
	errs := make([]error, len(jobs))
	slots := make(chan struct{}, max(b.parallel, 1))
	var all sync.WaitGroup
	for i, job := range jobs {
		slots <- struct{}{}
		all.Go(func() {
			errs[i] = job()
			<-slots
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
