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

// worker is the owner's state of a worker's incarnation.
type worker struct {
	host        provider.Host
	listed      bool          // on the platform's list
	listedUntil time.Duration // a worker off the list counts as listed until then
	entry       provider.EntryWrite
	registered  bool          // on record, so that a successor asks it for its runs
	leaving     bool          // its machine is about to go down; it gets no new tasks
	goingDown   bool          // an upkeep of its machine was ordered, which may end it
	upkeepAt    time.Duration // when an upkeep of its machine was confirmed, which may have ended it; zero if none was
	answered    bool          // it has answered this owner, so the runs that go on are known
	moreEnded   bool          // its last answer may have left out ended runs
	startedAt   uint64        // start of the incarnation that answers, zero if it isn't known
	lost        bool          // the incarnation is gone
	token       uint64        // fencing token of orders to it; see nextToken
	knownSince  time.Duration // when this owner first knew of the incarnation

	runs              map[string]*run // by task name
	used              resource.Vector
	fillingProcessors int64           // thousandths of a core that filling runs would use
	servingCount      int             // number of serving runs, and of reservations for serving tasks
	images            map[string]int  // the same by image
	imageSet          *colocation.Set // colocation data of images, nil if it has to be looked up

	slack           []pressure.Headroom // slack of the serving runs, from the last report
	noFillUntil     time.Duration       // no new filling tasks before then
	endedFills      []endedFill         // filling tasks that ended recently
	overTargetSince time.Duration       // since when a serving task exceeds its target, zero if none does

	clock         int64         // in the last report, in milliseconds
	clockReadAt   time.Duration // when that report arrived
	answeredAt    time.Duration // earliest time at which the last answer can have been made
	leaseDeadline int64         // latest lease end that was sent, on the worker's clock
	leaseSentAt   time.Duration // when the last order with a lease was sent

	changedSincePass bool   // it may have gained free capacity since the last dispatch pass
	wasUsable        bool   // in the last dispatch pass
	changedInPass    uint64 // number of the last dispatch pass that found it changed

	holdInFlight bool
	nextHoldAt   time.Duration
	machineUp    bool          // the platform lists its machine as up although it is silent
	missedHolds  int           // holds in a row without an answer
	silentSince  time.Duration // when the first of these failed
	downSince    time.Duration // when its machine was first listed as down during the survey, zero if it wasn't

	lastStartAt  time.Duration
	lastStartJob *jobState // job of the last start
	trialJob     *jobState // job whose tasks are on trial on it, nil if none is
	trialCount   int       // runs that are trials

	lastContact    time.Duration // when it last answered
	handledEnd     uint64        // highest end that was handled
	recordedEnd    uint64        // highest end that is on record
	sentAck        uint64        // highest end that the hold in flight acknowledges
	forgottenEnd   uint64        // highest end that the worker has certainly forgotten
	failures       int           // tasks in a row that failed
	noStartsUntil  time.Duration // in quarantine, or paused after a refusal
	onProbation    bool          // since its quarantine no task has completed there or outlasted those that failed
	avoidedUntil   time.Duration // until when any task avoids it, zero if none does
	nextProbeAt    time.Duration // when it may get the next task during its probation, zero for now
	longestFailure time.Duration // longest run of the tasks that failed since one completed
}

// runState is the state of a run.
type runState uint8

const (
	runStarting runState = iota // ordered; it isn't known whether it runs
	runRunning
	runStopping
	runEnded // it doesn't run any more, and its end isn't listed yet
)

// isEnding reports whether there is nothing left to order to a run but to repeat its stop.
func (s runState) isEnding() bool {
	return s == runStopping || s == runEnded
}

// run is one attempt at a task on a worker. It holds its share of the worker's capacity
// from the order to start until its end is known.
type run struct {
	task            *task // nil for a run whose job isn't known
	name            string
	worker          *worker
	attempt         uint64
	state           runState
	need            resource.Vector
	deadline        int64 // on the worker's clock: a start is refused after it
	orderedAt       time.Duration
	settledAt       time.Duration // from when its start can't reach any incarnation any more
	startedClock    int64         // by when it had begun, on the worker's clock; zero if unknown
	unsent          bool          // its start wasn't sent
	accepted        bool          // its start was accepted, by its worker's incarnation or a later one
	listed          bool          // an answer of its worker's incarnation listed it
	begunRecorded   bool          // nothing is left to record of its start; see recordBegun
	stopSentAt      time.Duration
	percent         int
	advancedAt      time.Duration // when percent last grew
	pace            int           // percent of full speed, or unknownPace
	tail            time.Duration // tail latency of a serving run
	processorsUsed  int64         // thousandths of a core in use, of a run that isn't serving
	exposure        exposure      // of a filling run
	paceSetAt       time.Duration
	timeLost        time.Duration // lost to throttling before paceSetAt
	slowSince       time.Duration // since when its pace has been below minPace, zero if it isn't
	probe           bool          // started while its worker was on probation
	promoted        bool          // its step was promoted when it was started
	trial           bool          // it shows whether its task crashes workers
	lastListedClock int64         // worker's clock in the last report that lists it
	pair            *pair         // it and the task's other run, nil if there never was one
	checkpoint      string        // newest checkpoint that its worker listed
	complete        bool          // it was started by this owner and without a checkpoint
	from            int           // percent at fromAt
	fromAt          time.Duration // when its progress was first known
	fromKnown       bool          // whether it is known
	reportedAt      time.Duration // when the last report that lists it was made
}

func (c *Cell) addWorker(h provider.Host) *worker {
	w := &worker{
		host:        h,
		runs:        make(map[string]*run),
		images:      make(map[string]int),
		nextHoldAt:  c.now,
		lastContact: c.now,
		token:       c.nextToken(h.ID),
		knownSince:  c.now,
	}
	c.workers[h.ID] = w
	c.sortedWorkers = nil
	c.joinPool(w, h.Service)
	return w
}

// addImage counts a serving task's image on a worker.
func (w *worker) addImage(image string) {
	w.servingCount++
	w.images[image]++
	w.imageSet = nil
}

// dropImage undoes addImage.
func (w *worker) dropImage(image string) {
	w.servingCount--
	if w.images[image]--; w.images[image] == 0 {
		delete(w.images, image)
	}
	w.imageSet = nil
}

func (c *Cell) joinPool(w *worker, service string) {
	pool := c.pools[service]
	at, _ := slices.BinarySearchFunc(pool, w.host.ID, func(other *worker, id string) int { return strings.Compare(other.host.ID, id) })
	c.pools[service] = slices.Insert(pool, at, w)
}

func (c *Cell) leavePool(w *worker) {
	pool := c.pools[w.host.Service]
	if i := slices.Index(pool, w); i >= 0 {
		c.pools[w.host.Service] = slices.Delete(pool, i, i+1)
	}
}

func (c *Cell) dropWorker(w *worker) {
	delete(c.workers, w.host.ID)
	c.nextTokens[w.host.ID] = w.token + 1
	c.sortedWorkers = nil
	c.leavePool(w)
	if (w.answered || w.registered) && len(c.unresolvedStarts[w.host.ID]) == 0 {
		c.writer.unregister(w.host.ID) // also if its record is still being written
	}
}

// isUsable reports whether new tasks may be started on a worker.
func (c *Cell) isUsable(w *worker) bool {
	return w.registered && w.listed && w.hasCurrentEntry() && c.knowsCapacity(w) && w.answered && !w.lost && !w.leaving && !w.host.Draining && !c.cordonedZones[w.host.AvailabilityZone] &&
		w.missedHolds == 0 && c.now-w.lastContact < c.timing.IdleWait+c.timing.MaxSilence && c.now >= w.noStartsUntil
}

// estimateClock returns the worker's clock, as reported and aged. A worker's clock may run
// slow, so the estimate may be ahead but not behind, and a deadline computed from it is
// never too short.
func (c *Cell) estimateClock(w *worker) int64 {
	return w.clock + (c.now - w.clockReadAt).Milliseconds()
}

// leaseEndsAt returns when the last lease that was sent to a worker has certainly expired.
func (c *Cell) leaseEndsAt(w *worker) time.Duration {
	if w.leaseDeadline == 0 {
		return w.clockReadAt
	}
	left := time.Duration(w.leaseDeadline-w.clock) * time.Millisecond
	return w.clockReadAt + c.timing.stretch(max(0, left))
}

// nextLeaseEndsAt returns when a lease has certainly expired that an order to the worker
// gave a later incarnation, on whose clock the order's deadline may be any time ahead.
func (c *Cell) nextLeaseEndsAt(w *worker) time.Duration {
	return w.leaseSentAt + maxOrderDelay + c.timing.stretch(c.timing.MaxLease)
}

// register puts a worker on record, so that a successor asks it for its runs. Workers that
// never answered aren't registered, and get no tasks: a list entry may name a worker that
// doesn't exist, and a successor would wait for its answer and then for the end of the
// longest lease, 18 s in all, before it starts any task of a job that had begun.
func (c *Cell) register(w *worker) {
	if !w.registered {
		c.writer.register(w)
	}
}

// hostRecord returns the record of a worker, nil for none. It identifies the incarnation
// that answered, which may be newer than the entry on the list.
func (w *worker) hostRecord() *provider.Host {
	if w == nil {
		return nil
	}
	h := w.host
	h.StartedAt = w.startedAt
	return &h
}

// loseWorker gives up a worker that was certainly down, with no other incarnation in its
// place, at the given time.
func (c *Cell) loseWorker(w *worker, reason string, downAt time.Duration) {
	if w.lost {
		return
	}
	c.endIncarnation(w, reason, downAt)
	if reason == machineDown {
		c.handleContactLost(w.host.ID)
	} else {
		c.endAwait(w.host.ID)
	}
	c.markSurveyed(w)
}

// endIncarnation ends the runs of a worker's incarnation and drops it. No other
// incarnation was in its place at downAt.
func (c *Cell) endIncarnation(w *worker, reason string, downAt time.Duration) {
	w.lost = true
	f := c.classifyFailure(w)
	c.logWorkerLost(w, reason, f)
	if !w.goingDown && !w.host.Draining {
		c.survey.recordCrash(w)
	}
	c.recordDown(w, c.crashSpanOf(w))
	for _, r := range inOrder(w.runs) {
		if !w.goingDown {
			c.countCrash(r, f) // retracted if the run turns out to be on the next incarnation
		}
	}
	for _, r := range inOrder(w.runs) {
		if c.mayRunOnNext(r) && r.settledAt > downAt {
			c.deferStart(r)
		} else {
			c.endCrashedRun(r, provider.EndLost)
		}
	}
	c.dropWorker(w)
	c.addListedSuccessor(w)
}

// checkWorkers checks for expired leases, stops to repeat and hanging tasks, and expires
// other state.
func (c *Cell) checkWorkers() {
	for _, w := range c.everyWorker() {
		if w.missedHolds > 0 {
			c.checkLease(w)
		}
		if w.avoidedUntil != 0 && c.now >= w.avoidedUntil {
			w.avoidedUntil = 0
			c.markChanged(w)
		}
		if w.onProbation {
			c.checkProbation(w)
		}
		c.checkRuns(w)
	}
	c.expireReservations()
	c.expireStarts()
	c.endUnlistedAwaits()
	c.expireStrays()
	c.expireDown()
	c.expireSurvey()
}

// checkRuns handles the overdue runs of a worker. Only the few overdue runs are sorted:
// sorting all runs ten times a second would cost a small owner a quarter of its decisions.
func (c *Cell) checkRuns(w *worker) {
	var overdue map[string]*run
	for name, r := range w.runs {
		if !c.isOverdue(r) {
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

// checkLease gives up the runs of an unreachable worker once its lease has expired. An
// owner that was replaced without knowing it would start a task again that its successor
// keeps running. So the lease only counts as expired after a later write succeeded that is
// fenced by this owner's term.
func (c *Cell) checkLease(w *worker) {
	switch {
	case w.answered:
		if !c.hasPassed(c.leaseEndsAt(w)) {
			return
		}
		c.endLapsedRuns(w)
		w.moreEnded = false
		c.abandonSurvey(w)
		if !w.listed && c.now-w.lastContact > forgetTimeout {
			c.loseWorker(w, "unlisted and silent", 0)
		}
	case w.registered: // by an earlier owner
		if !w.listed && c.hasPassed(c.survey.deadline) {
			c.loseWorker(w, "unlisted and silent", 0)
		}
	case !c.isListed(w):
		c.dropWorker(w) // it never answered
	}
}

// hasPassed reports whether a time has passed, and this owner still had the cell then.
func (c *Cell) hasPassed(at time.Duration) bool {
	return c.now >= at && c.writer.lastContact >= at
}

// endLapsedRuns ends the runs of a worker whose lease has expired. The next incarnation may
// have started those that this one never listed, under a lease of its own.
func (c *Cell) endLapsedRuns(w *worker) {
	nextLapsed := c.hasPassed(c.nextLeaseEndsAt(w))
	var lapsed []*run
	for _, r := range inOrder(w.runs) {
		if nextLapsed || !c.mayRunOnNext(r) {
			lapsed = append(lapsed, r)
		}
	}
	if len(lapsed) == 0 {
		return
	}
	c.logEvent("lease ended", "worker", w.host.ID, "runs", len(lapsed), "silent", c.now-w.lastContact)
	f := workerFailure{simultaneous: 1, correlated: c.classifyFailure(w).correlated}
	for _, r := range lapsed {
		if !w.machineUp { // it may have crashed, or be partitioned
			c.countCrash(r, f)
		}
		c.endCrashedRun(r, provider.EndLapsed)
	}
	c.needsDispatch = true
}

// forgetTimeout is how long a worker that left the platform's list may be silent before it
// is dropped. It is longer than every lease.
const forgetTimeout = 15 * time.Second
