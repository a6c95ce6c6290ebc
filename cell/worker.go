package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/colocation"
	"github.com/dogwoodladder/dogwoodladder/pressure"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// worker is a worker as the owner sees it.
type worker struct {
	host        provider.Host
	listed      bool          // on the platform's list
	listedUntil time.Duration // off the list, it counts as on it until then
	registered  bool          // on record, so that a successor asks it
	leaving     bool          // its machine is about to go down; it gets no new tasks
	asked       bool          // it has answered this owner; its runs are known
	born        uint64        // start of the incarnation that answers, zero where that isn't known
	lost        bool          // that incarnation of it is over
	token       uint64        // of orders to it; see nextToken
	since       time.Duration // when it became known

	runs    map[string]*run // by task name
	used    resource.Vector
	filling int64           // thousandths of a core that filling runs would use
	serving int             // serving runs
	images  map[string]int  // serving runs by image
	set     *colocation.Set // of the images, nil if it has to be looked up

	room      []pressure.Room // slack of the serving runs, as last reported
	fillAfter time.Duration   // no new filling tasks before then
	gone      []gone          // filling tasks that ended a moment ago
	overSince time.Duration   // since when a serving task is over its target, zero if none is

	clock    int64         // as last reported, milliseconds
	clockAt  time.Duration // when that report arrived
	madeAt   time.Duration // when it was made, at the earliest
	deadline int64         // latest lease end that was sent, on the worker's clock

	touched   bool   // it may have room since the last look for starts
	wasUsable bool   // at that look
	changed   uint64 // number of the last look before which it was touched

	holding bool          // a hold is under way
	holdAt  time.Duration // when the next one is due
	vouched bool          // the platform says that its machine is up, though it is silent
	misses  int           // holds without an answer, in a row
	silent  time.Duration // when the first of these was missed

	startedAt  time.Duration // when a task was last started on it
	startedJob *jobState     // and of which job
	trial      *jobState     // whose tasks are tried on it, nil if none are
	trials     int           // runs that are trials

	heard    time.Duration // last answer
	ended    uint64        // highest end that was handled
	seen     uint64        // highest end that is on record
	sentSeen uint64        // highest end that the hold under way acknowledges
	forgot   uint64        // highest end that was acknowledged for certain
	failures int           // of different tasks, in a row
	resting  time.Duration // in quarantine until then
	suspect  bool          // it hasn't completed a task since its quarantine began
	probes   int           // runs that were started on it since
}

// runState is how far a run is.
type runState uint8

const (
	runStarting runState = iota // ordered; it isn't known whether it runs
	runRunning
	runStopping
)

// run is one attempt at a task on a worker. It holds its share of the
// worker's capacity from the order to start until its end is known.
type run struct {
	task        *task // nil for a run that belongs to no job known
	name        string
	worker      *worker
	attempt     uint64
	state       runState
	need        resource.Vector
	deadline    int64 // on the worker's clock: a start is refused after it
	began       time.Duration
	begunClock  int64 // by when it had begun, on the worker's clock; zero while that isn't known
	stopSent    time.Duration
	percent     int
	advanced    time.Duration // when percent last grew
	pace        int           // percent of full speed, or unknownPace
	tail        time.Duration // of a serving run
	use         int64         // thousandths of a core in use, of one that doesn't serve
	exposure    exposure      // of a filling run
	paced       time.Duration // when pace was set
	slowed      time.Duration // lost by working below full speed before then
	slowSince   time.Duration // since when it hardly works by our order, zero if it does
	probe       bool          // started while its worker was suspect
	trial       bool          // whether it shows that its task crashes workers
	listedClock int64         // of the last report that shows it
}

func (c *Cell) addWorker(h provider.Host) *worker {
	w := &worker{
		host:   h,
		runs:   make(map[string]*run),
		images: make(map[string]int),
		holdAt: c.now,
		heard:  c.now,
		token:  c.nextToken(h.ID),
		since:  c.now,
	}
	c.workers[h.ID] = w
	c.all = nil
	c.joinPool(w, h.Service)
	return w
}

func (c *Cell) joinPool(w *worker, service string) {
	pool := append(c.pools[service], w)
	slices.SortFunc(pool, func(a, b *worker) int { return strings.Compare(a.host.ID, b.host.ID) })
	c.pools[service] = pool
}

func (c *Cell) leavePool(w *worker) {
	pool := c.pools[w.host.Service]
	if i := slices.Index(pool, w); i >= 0 {
		c.pools[w.host.Service] = slices.Delete(pool, i, i+1)
	}
}

func (c *Cell) dropWorker(w *worker) {
	delete(c.workers, w.host.ID)
	c.tokens[w.host.ID] = w.token + 1
	c.all = nil
	c.leavePool(w)
	if w.asked || w.registered {
		c.saves.unregister(w) // also if its record is only on its way
	}
}

// usable reports whether new tasks may be started on a worker.
func (c *Cell) usable(w *worker) bool {
	return w.registered && c.onList(w) && w.entered() && w.asked && !w.lost && !w.leaving && !w.host.Draining && !c.cordoned[w.host.AvailabilityZone] &&
		w.misses == 0 && c.now-w.heard < c.timing.IdleWait+c.timing.Silence && c.now >= w.resting
}

// clockNow returns the worker's clock, as reported and aged. A worker's clock
// may be slow, so the estimate is rather late than early; a deadline made
// from it is never too short.
func (c *Cell) clockNow(w *worker) int64 {
	return w.clock + (c.now - w.clockAt).Milliseconds()
}

// leaseEnds returns when the last lease that was sent to a worker has
// certainly ended.
func (c *Cell) leaseEnds(w *worker) time.Duration {
	if w.deadline == 0 {
		return w.clockAt
	}
	left := time.Duration(w.deadline-w.clock) * time.Millisecond
	return w.clockAt + c.timing.stretched(max(0, left))
}

// register puts a worker on record, so that a successor asks it what it runs. One
// that never answered was never given a task: an entry may name a worker that
// isn't there, and a successor would wait for its answer, and then for the end of
// the longest lease, before it starts any task of a job that had begun, 18 s in
// all.
func (c *Cell) register(w *worker) {
	if !w.registered {
		c.saves.register(w)
	}
}

// record returns what is put on record of a worker, nil for none. It tells of the
// incarnation that answered, which the entry may not do yet.
func (w *worker) record() *provider.Host {
	if w == nil {
		return nil
	}
	h := w.host
	h.Born = w.born
	return &h
}

// lose gives up a worker that is down.
func (c *Cell) lose(w *worker, reason string) {
	if w.lost {
		return
	}
	c.endIncarnation(w, reason)
	c.surveyed(w)
}

// endIncarnation ends what ran on a worker, and drops it.
func (c *Cell) endIncarnation(w *worker, reason string) {
	w.lost = true
	f := c.failureOf(w)
	c.noteLost(w, reason, f)
	if !w.leaving {
		c.crashAll(w, f)
	}
	if !w.leaving && !w.host.Draining {
		c.survey.noteCrash(w)
	}
	c.noteDown(w, c.downSpan(w))
	for _, r := range inOrder(w.runs) {
		if c.mayBegin(r) {
			c.keepStart(r)
		} else {
			c.endRun(r, provider.EndLost, "")
		}
	}
	c.dropWorker(w)
	c.relist(w)
}

// checkWorkers looks for leases that ran out, stops to repeat and tasks that
// hang.
func (c *Cell) checkWorkers() {
	for _, w := range c.everyWorker() {
		if w.misses > 0 {
			c.checkLease(w)
		}
		c.checkRuns(w)
	}
	c.dropKept()
	c.dropStarts()
	c.forgetDown()
	c.checkSurvey()
}

// checkRuns deals with the runs of a worker that are overdue. There are few of them
// among all, and only they are put in order: to sort all ten times a second takes a
// small owner a quarter of its decisions.
func (c *Cell) checkRuns(w *worker) {
	var overdue map[string]*run
	for name, r := range w.runs {
		if !c.overdue(r) {
			continue
		}
		if overdue == nil {
			overdue = make(map[string]*run)
		}
		overdue[name] = r
	}
	for _, r := range inOrder(overdue) {
		c.checkRun(r)
	}
}

// checkLease gives up a worker that is out of reach once its lease has ended.
// An owner that was replaced without knowing would start a task again that
// its successor keeps running. So the lease's end counts only after a write
// that was fenced by our term succeeded later than it.
func (c *Cell) checkLease(w *worker) {
	if !w.asked {
		if !w.registered && !c.onList(w) {
			c.dropWorker(w) // it never answered, and isn't listed any more
		}
		return
	}
	ends := c.leaseEnds(w)
	if c.now < ends || c.saves.contact < ends {
		return
	}
	if len(w.runs) > 0 {
		c.note("lease ended", "worker", w.host.ID, "runs", len(w.runs), "silent", c.now-w.heard)
		if !w.vouched { // it may have crashed, or be cut off
			c.crashAll(w, failure{others: 1, correlated: c.failureOf(w).correlated})
		}
		for _, r := range inOrder(w.runs) {
			c.endRun(r, provider.EndLapsed, "")
		}
		c.changed = true
	}
	if !w.listed && c.now-w.heard > forgetAfter {
		c.lose(w, "unlisted and silent")
	}
}

// forgetAfter is how long a worker that left the platform's list may be silent
// before it is forgotten. It is above every lease.
const forgetAfter = 15 * time.Second
