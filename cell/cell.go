// Package cell is the scheduler's decision core for a set of workers and the jobs that run
// on them: it decides which task starts where and when, and what follows from the end of a
// run. A cell has one owner at a time, the instance that holds the highest term.
//
// Usage:
//
//	c, err := cell.New(cell.Self{Instance: id, Term: term}, timing, catalog, now, time.Now())
//	for _, a := range c.Step(now, cell.Tick{Wall: time.Now()}) {
//		carryOut(a) // its outcome comes back as an input
//	}
//
// A Cell is a pure state machine: it performs no input or output, reads no clock and draws
// no random numbers. It is used by one goroutine.
//
// A cell is owned safely without a consensus protocol, because:
//
//   - The term is a fencing token for the owner's writes to the store and its
//     orders to the workers. Workers reject a term lower than one they have seen.
//   - The workers are the source of truth for what runs. A new owner asks each
//     worker that an earlier owner may have used before it starts any task that
//     an earlier owner may have started.
//   - If a worker can't be reached, the owner waits until its lease has expired.
//     An owner that can't reach the store stops renewing leases.
//   - The end of a run is recorded before it is acknowledged, so that the worker
//     lists it until it is on record.
package cell

import (
	"cmp"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/colocation"
	"github.com/dogwoodladder/dogwoodladder/excess"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// attemptsPerTerm is how many times one owner may start a task. The attempt numbers of a
// later owner start above this range, so that they increase without being recorded.
const attemptsPerTerm = 1 << 12

// Self identifies the owner of the cell.
type Self struct {
	Instance string
	Nonce    uint64 // identifies the process
	Term     uint64
	Sequence uint64 // of the write that claimed the term; later writes count up from it
	// StoreSince is since when the store has answered all reads of this instance.
	StoreSince time.Duration
	// Settled means that the earlier owner left in order, and none of its starts is under way.
	Settled bool
	// RecordsStarts means that the earlier owner had the last starts of all lasting tasks on record.
	RecordsStarts bool
}

// Cell is the state of the cell at its owner.
type Cell struct {
	self                Self
	timing              Timing
	now                 time.Duration
	wall                time.Time
	queues              *queue.Table
	jobs                map[string]*jobState
	workers             map[string]*worker
	sortedWorkers       []*worker            // by ID; nil when it has to be rebuilt
	pools               map[string][]*worker // by service, sorted by ID
	passes              passState
	waitingSteps        []*stepState    // steps with tasks to start, the most urgent first
	ranking             ranking.Ranking // the ranking that waitingSteps is sorted by
	waitingSorted       bool            // whether the order of waitingSteps is up to date
	sortedAt            time.Duration   // when waitingSteps was last sorted
	startLimiter        startLimiter
	overloadGauge       overload.Gauge
	sharing             bool                      // whether full pools are shared
	flows               map[string]*overload.Flow // starts by service; only with sharing
	needsDispatch       bool                      // an input may have made a start possible
	scheduledJobs       []*jobState               // jobs with occurrences that aren't due yet
	writer              recordWriter
	survey              survey
	hosts               hostList
	cordonedZones       map[string]bool // availability zones whose workers get no new tasks
	pressure            *pressure.Estimator
	excess              *excess.Tracker
	plan                *colocation.Plan
	lastPlanAt          time.Duration
	nextTokens          map[string]uint64 // token for the next incarnation of a dropped worker, by ID
	unresolvedStarts    map[string][]*run // starts that a later incarnation of their worker may carry out, by worker ID
	strays              strayState
	recordsStarts       bool                  // the last starts of all lasting tasks are on record
	reservedTasks       []*task               // tasks that hold a reservation
	recentlyDown        map[*worker]crashSpan // workers without a trial that went down recently
	fillingDemand       map[string]float64    // demand for filling tasks by image, in workers
	adviceInFlight      bool                  // an Advise has no outcome yet
	adviceRetryAt       time.Duration
	waves               map[int]*wave
	recordedWaves       map[int]catalog.Wave // progress of waves read from the record
	lastWaveCheck       time.Duration
	ownedSince          time.Duration // when this owner took the cell
	machineListInFlight bool          // a ListMachines has no outcome yet
	lastMachineListAt   time.Duration
	forgetInFlight      bool // a Forget has no outcome yet
	lastForgetAt        time.Duration
	deposed             bool
	lastLearnedAt       time.Duration // when the learned weights were last put on record
	lastBacklogAt       time.Duration // when the backlog was last put on record
	backlogReported     bool          // the last record reported a backlog
	heartbeats          uint64
	lastLoadLogAt       time.Duration // when the load was last logged
	lastWaitLogAt       time.Duration // when waiting tasks were last logged
	lastCheckAt         time.Duration // when the workers were last checked
	copies              copyState
	actions             []Action
}

// Option configures a Cell.
type Option func(*Cell)

// WithCopies sets whether tasks of steps that allow it may get a second run; by default they
// don't.
func WithCopies(enabled bool) Option {
	return func(c *Cell) { c.copies.enabled = enabled }
}

// New returns the Cell of a new owner. The catalog has to hold all jobs; it is read after
// the owner's term was set.
func New(self Self, timing Timing, recorded *catalog.Catalog, now time.Duration, wall time.Time, opts ...Option) (*Cell, error) {
	c := &Cell{
		self:             self,
		timing:           timing,
		now:              now,
		wall:             wall,
		queues:           queue.New(0, queue.Limits{}, nil, nil),
		jobs:             make(map[string]*jobState),
		waves:            make(map[int]*wave),
		recordedWaves:    recorded.Waves(),
		ownedSince:       now,
		workers:          make(map[string]*worker),
		pools:            make(map[string][]*worker),
		passes:           passState{pools: make(map[string]*pool)},
		pressure:         pressure.New(),
		excess:           excess.New(),
		fillingDemand:    make(map[string]float64),
		recentlyDown:     make(map[*worker]crashSpan),
		nextTokens:       make(map[string]uint64),
		unresolvedStarts: make(map[string][]*run),
		strays: strayState{
			tasks:     make(map[*task]struct{}),
			inherited: make(map[string]struct{}),
			awaited:   make(map[string]time.Duration),
		},
		writer:       newRecordWriter(now, self.Sequence+1),
		hosts:        hostList{stale: true, lastVouched: never, availableSince: cmp.Or(self.StoreSince, never)},
		startLimiter: newStartLimiter(),
		flows:        make(map[string]*overload.Flow),
	}
	for _, opt := range opts {
		opt(c)
	}
	entries, err := recorded.Entries()
	if err != nil {
		return nil, err
	}
	if data := recorded.Learned(); len(data) > 0 {
		if err := c.pressure.Load(data); err != nil {
			c.logEvent("learned weights not loaded", "err", err)
		}
	}
	hosts := recorded.Hosts()
	c.recordsStarts = self.RecordsStarts || len(hosts) == 0
	c.awaitInherited(hosts)
	for _, e := range inOrder(entries) {
		c.addJob(e)
	}
	for _, id := range recorded.Orphans() {
		c.writer.dropProgress(id)
	}
	for _, h := range inOrder(hosts) {
		w := c.addWorker(h)
		w.registered = true
		w.startedAt = h.StartedAt
		c.survey.add(w)
	}
	c.survey.restoreCrashed(self.Term, recorded.Crashed())
	c.survey.start(now, &timing)
	return c, nil
}

// Step applies an input and returns the actions to carry out.
func (c *Cell) Step(now time.Duration, in Input) []Action {
	if c.deposed {
		return nil
	}
	c.actions = nil
	c.detectFreeze(now)
	c.now = max(c.now, now)
	switch in := in.(type) {
	case JobChanged:
		c.handleJobChanged(in.Entry)
	case WorkerList:
		c.handleWorkerList(in.List)
	case ConfigChanged:
		c.handleConfigChanged(in.Table)
	case HoldReply:
		c.handleHoldReply(in)
	case StartReply:
		c.handleStartReply(in)
	case StopReply:
		c.handleStopReply(in)
	case PaceReply:
		c.handlePaceReply(in)
	case WavesRequested:
		c.handleWavesRequested(in.Waves)
	case ZonesCordoned:
		c.handleZonesCordoned(in.AvailabilityZones)
	case AdviseReply:
		c.handleAdviseReply(in)
	case UpkeepReply:
		c.handleUpkeepReply(in)
	case ForgetReply:
		c.handleForgetReply(in)
	case ListMachinesReply:
		c.handleListMachinesReply(in)
	case SaveReply:
		c.handleSaveReply(in)
	case Tick:
		c.handleTick(in)
	}
	if c.deposed {
		return c.actions
	}
	c.dispatchAndWrite()
	return c.actions
}

// dispatchAndWrite starts tasks and writes records after an input.
func (c *Cell) dispatchAndWrite() {
	if c.needsDispatch && c.now-c.passes.lastAt >= c.passes.minGap {
		c.needsDispatch = false
		c.dispatch()
	}
	c.writeRecords()
}

func (c *Cell) handleTick(in Tick) {
	c.wall = in.Wall
	c.openOccurrences()
	if c.now-c.lastCheckAt >= checkInterval {
		c.lastCheckAt = c.now
		c.checkWorkers()
		c.requestMachineList()
		c.advanceWaves()
		c.forgetOld()
		c.needsDispatch = true
	}
	c.sendDueHolds()
	c.logLoad()
	c.logWaits()
}

// checkInterval is the time between two checks of all workers for expired leases, overdue
// stops and hanging tasks.
const checkInterval = 100 * time.Millisecond

func (c *Cell) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Cell) logEvent(event string, fields ...any) {
	c.emit(LogEvent{Event: event, Fields: fields})
}

func (c *Cell) depose(reason string) {
	c.deposed = true
	c.emit(Deposed{Reason: reason})
}

func (c *Cell) handleConfigChanged(t *queue.Table) {
	c.queues = t
	for _, j := range c.jobs {
		j.terms = c.termsOf(j.job)
	}
	for _, s := range c.waitingSteps {
		s.lastFailedPass = 0
	}
	c.waitingSorted = false
	c.needsDispatch = true
}

// termsOf returns the current terms of a job's queue, or the terms the job was accepted
// with if the queue no longer exists.
func (c *Cell) termsOf(j *job.Job) job.Terms {
	if q, ok := c.queues.ByName(j.Queue); ok {
		return q.Terms
	}
	return j.Terms
}

// canOrder reports whether the owner wrote to the store recently enough to give orders. A
// successor waits longer than this before it gives up on the owner's leases.
func (c *Cell) canOrder() bool {
	return c.now-c.writer.lastContact < c.timing.Isolation
}

// runOrder returns an order that addresses a run on the worker.
func (w *worker) runOrder(r *run) provider.RunOrder {
	return provider.RunOrder{Host: w.host, Token: w.token, Task: r.name, Attempt: r.attempt}
}
