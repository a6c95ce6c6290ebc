// Package cell decides for a set of workers and the jobs that run on them:
// which task starts where and when, and what an end means. A cell has one
// owner at a time, the instance that holds the highest term.
//
// Usage:
//
//	c, err := cell.New(cell.Self{Instance: id, Term: term}, timing, catalog, now, time.Now())
//	for _, a := range c.Step(now, cell.Tick{Wall: time.Now()}) {
//		carryOut(a) // its outcome comes back as an input
//	}
//
// A Cell is pure: no input or output, no clock, no randomness. It is used by
// one goroutine.
//
// What makes it safe to own a cell without an agreement:
//
//   - The term fences the owner's writes at the store and its orders at the
//     workers, which ignore lower terms than they have seen.
//   - What runs is known by the workers. A new owner asks each worker that an
//     earlier one may have used before it starts anything that an earlier one
//     may have started.
//   - A worker that it can't ask is waited out: its lease ends, and an owner
//     without the store stops extending leases.
//   - An end is recorded before it is acknowledged, so that the worker lists
//     it until it is on record.
package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/colocation"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// attemptsPerTerm is how many times one owner may start a task. Attempts of a
// later owner are above it, so that they rise without being recorded.
const attemptsPerTerm = 1 << 12

// Self tells who owns the cell.
type Self struct {
	Instance string
	Nonce    uint64 // of the process
	Term     uint64
	Sequence uint64 // of the write that claimed the term; the next ones follow
}

// Cell is the owner's state.
type Cell struct {
	self        Self
	timing      Timing
	now         time.Duration
	wall        time.Time
	table       *queue.Table
	jobs        map[string]*jobState
	workers     map[string]*worker
	all         []*worker            // in a fixed order, nil if it has to be made anew
	pools       map[string][]*worker // by service, in a fixed order
	looks       looks
	waiting     []*stepState    // steps with tasks to start, the most urgent first
	ranking     ranking.Ranking // that waiting is in the order of
	sorted      bool            // whether waiting is in order
	ordered     time.Duration   // when waiting was last put in order
	flow        flow
	gauge       overload.Gauge
	changed     bool        // whether a start may have become possible
	timed       []*jobState // jobs with occurrences to come
	saves       saver
	survey      survey
	list        hostList
	cordoned    map[string]bool // availability zones whose workers get no new tasks
	pressure    *pressure.Estimator
	plan        *colocation.Plan
	plannedAt   time.Duration
	tokens      map[string]uint64  // of the next incarnation of workers that were dropped, by ID
	unsettled   map[string][]*run  // starts that may still be carried out by the next incarnation of their worker, by its ID
	kept        []*task            // tasks that are being moved, with room kept for them
	down        map[*worker]span   // workers that went down a moment ago, without a trial
	demand      map[string]float64 // processors that filling images want, in workers
	adviceBusy  bool               // an Advise is under way
	adviceAfter time.Duration
	waves       map[int]*wave
	known       map[int]catalog.Wave // progress of waves as read from the record
	wavedAt     time.Duration
	began       time.Duration // when this owner took the cell
	asking      bool          // a ListMachines is under way
	askedAt     time.Duration
	forgetting  bool // a Forget is under way
	forgotAt    time.Duration
	deposed     bool
	learnedAt   time.Duration // when what was learned was last put on record
	toldAt      time.Duration // when the backlog was
	toldBacklog bool          // and whether there was any
	beats       uint64
	reported    time.Duration // when the load was last logged
	checked     time.Duration // when the workers were last looked over
	actions     []Action
}

// New returns the Cell of a new owner that knows all jobs of a catalog read
// after its term was set.
func New(self Self, timing Timing, known *catalog.Catalog, now time.Duration, wall time.Time) (*Cell, error) {
	c := &Cell{
		self:      self,
		timing:    timing,
		now:       now,
		wall:      wall,
		table:     queue.New(0, queue.Limits{}, nil, nil),
		jobs:      make(map[string]*jobState),
		waves:     make(map[int]*wave),
		known:     known.Waves(),
		began:     now,
		workers:   make(map[string]*worker),
		pools:     make(map[string][]*worker),
		looks:     looks{pools: make(map[string]*pool)},
		pressure:  pressure.New(),
		demand:    make(map[string]float64),
		down:      make(map[*worker]span),
		tokens:    make(map[string]uint64),
		unsettled: make(map[string][]*run),
		saves:     newSaver(now, self.Sequence+1),
		list:      hostList{old: true},
		flow:      newFlow(),
	}
	entries, err := known.Entries()
	if err != nil {
		return nil, err
	}
	if data := known.Learned(); len(data) > 0 {
		if err := c.pressure.Load(data); err != nil {
			c.note("weights not loaded", "err", err)
		}
	}
	for _, e := range inOrder(entries) {
		c.addJob(e)
	}
	for _, id := range known.Orphans() {
		c.saves.drop(id)
	}
	for _, h := range inOrder(known.Hosts()) {
		w := c.addWorker(h)
		w.registered = true
		w.born = h.Born
		c.survey.add(w)
	}
	c.survey.remember(self.Term, known.Crashed())
	c.survey.begin(now, &timing)
	return c, nil
}

// Step takes an input and returns what is to be done.
func (c *Cell) Step(now time.Duration, in Input) []Action {
	if c.deposed {
		return nil
	}
	c.actions = nil
	c.awake(now)
	c.now = max(c.now, now)
	switch in := in.(type) {
	case Arrived:
		c.arrived(in.Entry)
	case Hosts:
		c.listed(in.List)
	case Configured:
		c.configured(in.Table)
	case HoldReply:
		c.held(in)
	case StartReply:
		c.started(in)
	case StopReply:
		c.stopped(in)
	case PaceReply:
		c.paced(in)
	case Waves:
		c.setWaves(in.Waves)
	case Cordoned:
		c.cordon(in.AvailabilityZones)
	case Advised:
		c.advised(in)
	case UpkeepReply:
		c.upkept(in)
	case Forgotten:
		c.forgotten(in)
	case MachineList:
		c.machines(in)
	case Saved:
		c.saved(in)
	case Tick:
		c.tick(in)
	}
	if c.deposed {
		return c.actions
	}
	c.settle()
	return c.actions
}

// settle does what follows from any input.
func (c *Cell) settle() {
	if c.changed && c.now-c.looks.last >= c.looks.pause {
		c.changed = false
		c.dispatch()
	}
	c.save()
}

func (c *Cell) tick(in Tick) {
	c.wall = in.Wall
	c.openOccurrences()
	if c.now-c.checked >= checkEvery {
		c.checked = c.now
		c.checkWorkers()
		c.askMachines()
		c.workWaves()
		c.forgetOld()
		c.changed = true
	}
	c.holdIdle()
	c.reportLoad()
}

// checkEvery is the time between two looks over all workers for leases that
// ran out, stops that are overdue and tasks that hang.
const checkEvery = 100 * time.Millisecond

func (c *Cell) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Cell) note(event string, fields ...any) {
	c.do(Note{Event: event, Fields: fields})
}

func (c *Cell) depose(reason string) {
	c.deposed = true
	c.do(Deposed{Reason: reason})
}

func (c *Cell) configured(t *queue.Table) {
	c.table = t
	for _, j := range c.jobs {
		j.terms = c.termsOf(j.job)
	}
	for _, s := range c.waiting {
		s.tried = 0
	}
	c.sorted = false
	c.changed = true
}

// termsOf returns the terms in force for a job's queue, or those it was
// accepted on if the queue is gone.
func (c *Cell) termsOf(j *job.Job) job.Terms {
	if q, ok := c.table.Named(j.Queue); ok {
		return q.Terms
	}
	return j.Terms
}

// mayOrder reports whether the owner wrote to the store so recently that a
// successor, which waits longer than this, can't have given up on its leases.
func (c *Cell) mayOrder() bool {
	return c.now-c.saves.contact < c.timing.Isolation
}

// order returns an order for a run on the worker.
func (w *worker) order(r *run) provider.RunOrder {
	return provider.RunOrder{Host: w.host, Token: w.token, Task: r.name, Attempt: r.attempt}
}
