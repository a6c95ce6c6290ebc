// Package worker is a stand-in of a platform worker: it grants an exclusive
// lease, simulates tasks under leases as timers, and answers requests to the
// service replicas that it runs.
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
//	GET /ledger         what ran on the worker, see Ledger
//	GET, PUT /faults    see package faults
//
// A worker that restarts under its ID remembers nothing. Its epochs differ from
// those of the process before, so that orders meant for that one are refused.
//
// The lease can't be preempted: an Acquire of another holder is refused with
// fault.Conflict until the lease ends. An Acquire of its holder gets a new epoch
// at once. The lease of a batch task ends at the later of two times: the end
// that the worker's lease had when the task was started, and the time that
// LeaseRequest.TaskExtension extended it to; the task is stopped then. Service
// replicas have no lease of their own, but answer only requests that carry the
// epoch in force.
//
// The task ID of a replica up to the first slash is the name of its service. A
// batch task's command is one of
//
//	sleep 2s            takes 2 s of work; without a command the declared duration
//	fail [1s]           fails after this much work
//	fail-here w1,w2 2s  fails on these workers, and takes 2 s of work on others
//	never               runs until it is stopped
//
// and may end in use=1.5, the ratio of measured to declared usage.
//
// The query of a request to a replica sets the answer's properties: work=5ms (time
// in a slot), delay=1s (before the answer, without a slot), size=1MB, status=200,
// truncate=true and nonce=, see package answer.
package worker

import (
	"context"
	"math/rand/v2"
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
	DefaultInterval   = time.Second // between usage measurements
	DefaultLag        = 2 * time.Second
	DefaultCheckpoint = time.Second // work between checkpoints
	MaxTasks          = 4096
	MaxTTL            = time.Hour
	minInterval       = 10 * time.Millisecond
	maxID             = 200
	maxWork           = 30 * 24 * time.Hour
)

// DefaultCapacity is the capacity of a worker without WithCapacity.
var DefaultCapacity = resource.Vector{Processors: 64_000, Memory: 250 << 10}

// Faults are the faults of a worker.
type Faults struct {
	faults.Common
	Fail bool            `json:"fail,omitempty"` // every task that is started fails, every request is answered with status 500
	Lag  faults.Duration `json:"lag,omitempty"`  // added to the configured lag of usage
}

// Interference holds the slowdowns of services by batch tasks:
// Interference[service][batch] is the factor, 1 for none, by which each running
// batch task of the group batch slows down a service of the group service.
type Interference map[string]map[string]float64

// Option configures a Worker.
type Option func(*Worker)

// Worker is a simulated worker.
type Worker struct {
	*faults.Injector[Faults]
	handler      http.Handler
	now          func() time.Time
	id           string
	incarnation  uint32
	capacity     resource.Vector
	slots        int
	interference Interference
	interval     time.Duration
	lag          time.Duration
	checkpoint   time.Duration
	initial      Faults

	mu           sync.Mutex
	lease        lease
	tasks        map[string]*task
	busySlots    int            // requests in a slot
	inFlight     map[string]int // requests by ID
	lastSampleAt time.Time      // end of the last usage interval
	samples      []sample
	ledger       *ledger
}

// New returns a Worker without tasks.
func New(id string, opts ...Option) *Worker {
	w := &Worker{
		now:         time.Now,
		id:          id,
		incarnation: rand.Uint32(),
		capacity:    DefaultCapacity,
		slots:       DefaultSlots,
		interval:    DefaultInterval,
		lag:         DefaultLag,
		checkpoint:  DefaultCheckpoint,
		tasks:       make(map[string]*task),
		inFlight:    make(map[string]int),
		ledger:      newLedger(id),
	}
	for _, opt := range opts {
		opt(w)
	}
	w.lastSampleAt = w.now()
	w.Injector = faults.New(w.initial, w.now)
	w.OnChange(w.changeFaults)
	w.handler = w.Wrap(w.mux(), pathLedger)
	return w
}

// WithClock sets the time source.
func WithClock(now func() time.Time) Option {
	return func(w *Worker) { w.now = now }
}

// WithIncarnation sets the number that tells this process from others that run
// under its ID before or after it. It is random by default.
func WithIncarnation(n uint32) Option {
	return func(w *Worker) { w.incarnation = n }
}

// WithCapacity sets the worker's capacity.
func WithCapacity(v resource.Vector) Option {
	return func(w *Worker) { w.capacity = v }
}

// WithSlots sets how many requests the worker serves at once.
func WithSlots(n int) Option {
	return func(w *Worker) { w.slots = n }
}

// WithInterference sets how batch tasks slow down services.
func WithInterference(i Interference) Option {
	return func(w *Worker) { w.interference = i }
}

// WithUsage sets the interval of usage measurements and the lag until a report
// contains them.
func WithUsage(interval, lag time.Duration) Option {
	return func(w *Worker) { w.interval, w.lag = max(interval, minInterval), lag }
}

// WithCheckpoint sets the amount of work between a batch task's checkpoints.
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

// Serve serves requests on l until ctx ends or the fault "dead" is set.
func (w *Worker) Serve(ctx context.Context, l net.Listener) error {
	return w.Injector.Serve(ctx, l, w)
}

// Instance returns the worker's entry in the instance list.
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

// Report returns the worker's tasks and usage.
func (w *Worker) Report() provider.Report {
	now := w.now()
	lag := w.lag + time.Duration(w.Get().Lag)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return provider.Report{
		Worker: w.id,
		Epoch:  w.lease.epoch,
		Tasks:  w.taskReports(),
		Usage:  w.usageAt(now.Add(-lag)),
	}
}

// changeFaults stops all running tasks when the fault "dead" is set.
func (w *Worker) changeFaults(f Faults) {
	if !f.Dead {
		return
	}
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, t := range w.tasks {
		if t.state == provider.TaskRunning {
			w.endTask(t, now, provider.TaskStopped, "worker died")
		}
	}
}
