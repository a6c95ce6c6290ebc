// Package worker is a stand-in of a platform worker: it grants an exclusive
// lease, runs tasks under leases as timers, and answers requests of the
// service replicas it runs.
//
// Usage:
//
//	w := worker.New("w1", worker.WithCapacity(capacity), worker.WithSlots(8))
//	go w.Serve(ctx, listener)
//	control := client.NewWorker(listener.Addr().String())
//	lease, err := control.Acquire(ctx, provider.LeaseRequest{Holder: "a", TTL: 6 * time.Second})
//
// Requests, besides those of package client/wire:
//
//	GET /ledger         what ran here, see Ledger
//	GET, PUT /faults    see package faults
//
// The lease is never taken from its holder: another one's Acquire is refused
// with fault.Conflict until it ends. Its own holder gets a new epoch at once.
// The lease of a batch task ends at the later of the worker lease's end, as
// it stood when the task was started, and what LeaseRequest.Tasks extended it
// to; the task is stopped then. Service replicas have no lease of their own,
// but answer only requests that carry the epoch in force.
//
// A replica serves the service named by its task ID up to the first slash. A
// batch task's command is one of
//
//	sleep 2s            takes 2 s of work; no command takes the declared duration
//	fail [1s]           fails, after so much work
//	fail-here w1,w2 2s  fails on those workers, and takes 2 s on others
//	never               runs until it is stopped
//
// and may end in use=1.5, the factor from declared to measured use.
//
// A request to a replica is shaped by its query: work=5ms (time in a slot),
// delay=1s (before the answer, out of the slot), size=1MB, status=200,
// truncate=true and nonce=, see package answer.
package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
)

// Defaults and bounds.
const (
	DefaultSlots      = 8
	DefaultInterval   = time.Second // of usage measurements
	DefaultLag        = 2 * time.Second
	DefaultCheckpoint = time.Second // of work between checkpoints
	MaxTasks          = 4096
	MaxTTL            = time.Hour
	minInterval       = 10 * time.Millisecond
	maxID             = 200
	maxWork           = 30 * 24 * time.Hour
)

// DefaultCapacity is what a worker holds unless told otherwise.
var DefaultCapacity = resource.Vector{Processors: 64_000, Memory: 250 << 10}

// Faults are the faults of a worker.
type Faults struct {
	faults.Common
	Fail bool            `json:"fail,omitempty"` // everything started fails, every request answers status 500
	Lag  faults.Duration `json:"lag,omitempty"`  // of usage, on top of the usual lag
}

// Interference is the slowdown, 1 for none, that a service of one group
// meets from each running batch task of another: Interference[service][batch].
type Interference map[string]map[string]float64

// Option changes a Worker.
type Option func(*Worker)

// Worker is one worker.
type Worker struct {
	*faults.Injector[Faults]
	handler      http.Handler
	now          func() time.Time
	id           string
	capacity     resource.Vector
	slots        int
	interference Interference
	interval     time.Duration
	lag          time.Duration
	checkpoint   time.Duration
	initial      Faults

	mu      sync.Mutex
	lease   lease
	tasks   map[string]*task
	busy    int            // requests in a slot
	inHand  map[string]int // requests by ID
	sampled time.Time
	samples []sample
	ledger  *ledger
}

// New returns a worker that runs nothing.
func New(id string, opts ...Option) *Worker {
	w := &Worker{
		now:        time.Now,
		id:         id,
		capacity:   DefaultCapacity,
		slots:      DefaultSlots,
		interval:   DefaultInterval,
		lag:        DefaultLag,
		checkpoint: DefaultCheckpoint,
		tasks:      make(map[string]*task),
		inHand:     make(map[string]int),
		ledger:     newLedger(id),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.sampled = w.now()
	w.Injector = faults.New(w.initial, w.now)
	w.OnChange(w.changeFaults)
	w.handler = w.Wrap(w.mux(), pathLedger)
	return w
}

// WithClock sets the time source.
func WithClock(now func() time.Time) Option {
	return func(w *Worker) { w.now = now }
}

// WithCapacity sets what the worker holds.
func WithCapacity(v resource.Vector) Option {
	return func(w *Worker) { w.capacity = v }
}

// WithSlots sets how many requests the worker serves at once.
func WithSlots(n int) Option {
	return func(w *Worker) { w.slots = n }
}

// WithInterference sets how batch tasks slow services down.
func WithInterference(i Interference) Option {
	return func(w *Worker) { w.interference = i }
}

// WithUsage sets how often usage is measured, and how much later a report
// shows it.
func WithUsage(interval, lag time.Duration) Option {
	return func(w *Worker) { w.interval, w.lag = max(interval, minInterval), lag }
}

// WithCheckpoint sets how much work lies between checkpoints of a batch task.
func WithCheckpoint(work time.Duration) Option {
	return func(w *Worker) { w.checkpoint = work }
}

// WithFaults sets the faults in force from the start.
func WithFaults(f Faults) Option {
	return func(w *Worker) { w.initial = f }
}

// ServeHTTP answers one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.handler.ServeHTTP(rw, r)
}

// Serve answers requests on l until ctx ends or the worker dies.
func (w *Worker) Serve(ctx context.Context, l net.Listener) error {
	return w.Injector.Serve(ctx, l, w)
}

// Instance returns the worker's line in the instance list.
func (w *Worker) Instance(zone, rack, address string) provider.Instance {
	return provider.Instance{
		ID:               w.id,
		Role:             provider.RoleWorker,
		AvailabilityZone: zone,
		Rack:             rack,
		Address:          address,
		Status:           provider.StatusLive,
		Capacity:         w.capacity,
		Slots:            w.slots,
	}
}

// Report returns the worker's account of itself.
func (w *Worker) Report() provider.Report {
	now := w.now()
	lag := w.lag + time.Duration(w.Get().Lag)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	return provider.Report{
		Worker: w.id,
		Epoch:  w.lease.epoch,
		Tasks:  w.running(),
		Usage:  w.usage(now.Add(-lag)),
	}
}

// changeFaults ends every task when the worker dies.
func (w *Worker) changeFaults(f Faults) {
	if !f.Dead {
		return
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	for _, t := range w.tasks {
		if t.state == provider.TaskRunning {
			w.end(t, now, provider.TaskStopped, "worker died")
		}
	}
}
