package controller

import (
	"slices"
	"sort"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// phase is the stage of a worker's ownership.
type phase int

const (
	unowned   phase = iota // no lease is held
	acquiring              // a lease was requested
	granted                // the lease is held, but the Own record isn't read back yet
	adopted                // the Own record was read back
	releasing              // the lease is being released or transferred
)

// worker is this instance's state of one worker of its zone.
type worker struct {
	id       string
	address  string
	rack     string
	capacity resource.Vector
	slots    int
	listed   bool
	leaving  bool

	phase        phase
	epoch        uint64
	epochBefore  uint64    // recorded epoch when the lease was requested, zero if none was known
	ownSequence  uint64    // sequence of the Own record until it is read back, else zero
	retryAt      time.Time // earliest time of the next acquisition
	noStartUntil time.Time // earliest time of the next start of a task
	ownAppended  bool      // the Own record of this epoch was appended

	unansweredRenewals int       // renewals of this epoch since the last answered one
	lastExtension      time.Time // send time of the newest call that may have extended task leases
	tasks              map[string]*assignment
	replicas           map[string]*assignment // by service

	tracked      map[string]*trackedTask // tasks given to the estimator, by ID
	nextReportAt time.Time

	callInFlight bool
	callQueue    []Call
}

// stage is the progress of an assignment.
type stage int

const (
	starting stage = iota // the worker hasn't confirmed the start
	running
	draining // a replica that gets no new requests
	stopping
	ended // the worker keeps the result until it is acknowledged
)

// assignment is a task assigned to a worker.
type assignment struct {
	id              string
	service         string // of a replica
	attempt         uint32
	need            resource.Vector
	stage           stage
	drainUntil      time.Time // when a draining replica is stopped
	startUnanswered bool      // a start got no answer and may still take effect
	startedAt       time.Time // when this instance first saw the task there
	spec            provider.TaskSpec
}

func newWorker(id string) *worker {
	return &worker{
		id:       id,
		tasks:    make(map[string]*assignment),
		replicas: make(map[string]*assignment),
		tracked:  make(map[string]*trackedTask),
	}
}

// used returns the total need of the tasks that may be on the worker.
func (w *worker) used() resource.Vector {
	var sum resource.Vector
	for _, a := range w.tasks {
		if a.stage != ended {
			sum = sum.Add(a.need)
		}
	}
	for _, a := range w.replicas {
		sum = sum.Add(a.need)
	}
	return sum
}

// handleListed updates the members and workers from the instance list.
func (c *Controller) handleListed(now time.Time, instances []provider.Instance) {
	c.instances = instances
	c.members.HandleList(now, instances)
	for _, w := range c.workers {
		w.listed = false
	}
	for _, in := range instances {
		if in.Role != provider.RoleWorker || in.AvailabilityZone != c.self.AvailabilityZone {
			continue
		}
		w, ok := c.workers[in.ID]
		if !ok {
			w = newWorker(in.ID)
			c.workers[in.ID] = w
		}
		w.listed = true
		w.address = in.Address
		w.rack = in.Rack
		w.leaving = in.Status == provider.StatusLeaving
		if w.phase == unowned {
			w.capacity = in.Capacity
			w.slots = in.Slots
		}
	}
	c.routesDirty = true
	c.pruneWorkers()
}

// pruneWorkers drops workers that are neither listed nor owned.
func (c *Controller) pruneWorkers() {
	for id, w := range c.workers {
		if !w.listed && w.phase == unowned && !w.callInFlight && len(w.tasks) == 0 {
			delete(c.workers, id)
		}
	}
}

// sortedWorkers returns the workers ordered by ID.
func (c *Controller) sortedWorkers() []*worker {
	all := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// shouldOwn reports whether this instance should own a worker, given the live
// instances of the zone.
func (c *Controller) shouldOwn(id string, live []string) bool {
	if c.leaving {
		return false
	}
	owner, ok := rendezvous.Pick(id, live)
	return ok && owner == c.self.ID
}

// reconcileOwnership acquires the workers that this instance should own and
// hands over the others.
func (c *Controller) reconcileOwnership(now time.Time) {
	live := c.members.Live(c.self.AvailabilityZone)
	for _, w := range c.sortedWorkers() {
		want := c.shouldOwn(w.id, live) && !(w.leaving && len(w.tasks)+len(w.replicas) == 0)
		switch {
		case want && w.listed && w.phase == unowned && !w.callInFlight && !now.Before(w.retryAt):
			c.acquire(w)
		case !want && (w.phase == granted || w.phase == adopted) && !c.isLastInstance():
			c.handOver(w)
		}
	}
}

// renewDueLeases renews the leases that are due.
func (c *Controller) renewDueLeases(now time.Time) {
	for _, id := range c.leases.DueRenewals(now) {
		if w, ok := c.workers[id]; ok {
			c.renewLease(now, w)
		}
	}
}

// renewLease sends a renewal, whose answer lists the worker's tasks.
func (c *Controller) renewLease(now time.Time, w *worker) {
	if w.phase != granted && w.phase != adopted {
		return
	}
	if c.needsNewEpoch(now, w) {
		c.reacquire(now, w)
		return
	}
	request, ok := c.leases.RenewRequest(now, w.id, c.follower.TailReadAt())
	if !ok {
		return
	}
	if request.TaskExtension > 0 {
		w.lastExtension = now
	}
	c.enqueueCallFirst(w, Call{Verb: Renew, Epoch: request.Epoch, Lease: request})
}

// handleLapsedLeases drops the leases that expired.
func (c *Controller) handleLapsedLeases(now time.Time) {
	for _, l := range c.leases.Tick(now) {
		if w, ok := c.workers[l.Worker]; ok && w.epoch == l.Epoch {
			c.logEvent(Warn, "lease lapsed", "worker", l.Worker, "epoch", l.Epoch)
			c.dropLease(now, w)
		}
	}
}

// dropLease ends the use of a worker's lease. Its tasks stay assigned until
// their fate is known.
func (c *Controller) dropLease(now time.Time, w *worker) {
	c.leases.Drop(w.id)
	c.untrackTasks(now, w)
	w.phase = unowned
	w.callQueue = nil
	for _, a := range w.tasks {
		if a.stage == stopping {
			a.stage = running // the stop may have been queued and not sent
		}
	}
	w.replicas = make(map[string]*assignment)
	c.routesDirty = true
}

// handOver transfers a worker to the instance that should own it, or releases
// it.
func (c *Controller) handOver(w *worker) {
	if w.callInFlight || len(w.callQueue) > 0 {
		return
	}
	w.phase = releasing
	c.routesDirty = true
	to, ok := rendezvous.Pick(w.id, c.otherInstances())
	if !ok || w.leaving {
		c.enqueueCall(w, Call{Verb: Release, Epoch: w.epoch})
		return
	}
	c.enqueueCall(w, Call{Verb: Transfer, Epoch: w.epoch, To: to})
}

// otherInstances returns the live instances of the zone except this one.
func (c *Controller) otherInstances() []string {
	var ids []string
	for _, id := range c.members.Live(c.self.AvailabilityZone) {
		if id != c.self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Controller) handleHandover(now time.Time, in HandedOver) {
	w, ok := c.workers[in.Worker]
	if !ok || w.phase != unowned || w.callInFlight || c.leaving {
		return // the worker is acquired once the lease expires
	}
	w.phase = acquiring
	w.epochBefore = 0
	request := c.leases.AcquireRequest(w.id)
	request.Epoch = in.Epoch
	c.enqueueCall(w, Call{Verb: Renew, Epoch: in.Epoch, Lease: request})
}

// enqueueCall appends a call to a worker's queue.
func (c *Controller) enqueueCall(w *worker, call Call) {
	w.callQueue = append(w.callQueue, call)
	c.sendNextCall(w)
}

// enqueueCallFirst puts a call at the head of a worker's queue unless one with
// the same verb is queued.
func (c *Controller) enqueueCallFirst(w *worker, call Call) {
	for _, q := range w.callQueue {
		if q.Verb == call.Verb {
			return
		}
	}
	w.callQueue = append([]Call{call}, w.callQueue...)
	c.sendNextCall(w)
}

// sendNextCall sends the next queued call if none is in flight. With one call
// at a time per worker, an answer reflects every earlier call.
func (c *Controller) sendNextCall(w *worker) {
	if w.callInFlight {
		return
	}
	w.callQueue = slices.DeleteFunc(w.callQueue, func(q Call) bool { return c.isOutdatedStart(w, q) })
	if len(w.callQueue) == 0 {
		return
	}
	next := w.callQueue[0]
	w.callQueue = w.callQueue[1:]
	w.callInFlight = true
	next.Worker = w.id
	next.Address = w.address
	c.emit(next)
}

// isOutdatedStart reports whether a queued start must not be sent any more.
// Starts can wait behind slow calls while the log can't be read or tasks are
// cancelled; sent late, they could start tasks that others hold by then. The
// start is made again once the log is read.
func (c *Controller) isOutdatedStart(w *worker, q Call) bool {
	if q.Verb != Start || q.Spec.Kind != provider.KindBatch {
		return false
	}
	attempt := record.Attempt{Task: q.Spec.ID, Number: q.Spec.Attempt}
	if c.isFresh(c.now) && c.isCurrent(attempt) && !c.isCancelling(attempt.Task) {
		return false
	}
	if a := w.tasks[attempt.Task]; a != nil && a.stage == starting && !a.startUnanswered {
		c.unassign(w, attempt.Task)
	}
	return true
}

// handleLeaseAnswer handles the answer to an Acquire, Renew or Transfer call.
func (c *Controller) handleLeaseAnswer(now time.Time, in Leased) {
	w, ok := c.workers[in.Worker]
	if !ok {
		return
	}
	w.callInFlight = false
	switch {
	case in.Verb == Transfer:
		c.handleTransferred(now, w, in)
	case in.Err != nil && w.phase == acquiring:
		c.handleAcquireFailed(now, w, in.Err)
	case in.Err != nil:
		c.handleLeaseFailure(now, w, in.Err)
	case w.phase == acquiring:
		c.handleAcquired(now, w, in)
	case w.phase == granted || w.phase == adopted:
		c.handleRenewed(now, w, in)
	}
	c.sendNextCall(w)
}

func (c *Controller) handleAcquireFailed(now time.Time, w *worker, err error) {
	w.phase = unowned
	w.retryAt = now.Add(c.timing.WorkerLease / 6)
	c.logEvent(Debug, "not acquired", "worker", w.id, "error", err.Error())
}

func (c *Controller) handleLeaseFailure(now time.Time, w *worker, err error) {
	if fault.Is(err, fault.StaleEpoch) {
		c.leases.RecordRefusal(w.id, w.epoch)
		c.logEvent(Warn, "lease lost", "worker", w.id, "epoch", w.epoch)
		c.dropLease(now, w)
		return
	}
	w.unansweredRenewals++
	c.leases.RecordUnanswered(now, w.id)
}

// handleAcquired starts a new lease and records the tasks that the worker
// holds.
func (c *Controller) handleAcquired(now time.Time, w *worker, in Leased) {
	if !c.leases.RecordGrant(in.Sent, w.id, in.Lease) {
		w.phase = unowned
		return
	}
	w.phase = granted
	w.epoch = in.Lease.Epoch
	w.ownSequence = 0
	w.ownAppended = false
	w.unansweredRenewals = 0
	w.lastExtension = now // the previous holder can't have extended a task lease later than this
	w.capacity = in.Lease.Capacity
	w.slots = in.Lease.Slots
	if c.isEpochTooLow(w) {
		c.reacquire(now, w)
		return
	}
	c.syncReplicas(w, in.Lease.Tasks)
	c.reconcileTasks(now, w, in.Lease.Tasks)
	c.appendOwn(w, in.Lease.Tasks)
	c.logEvent(Info, "worker owned", "worker", w.id, "epoch", w.epoch, "tasks", len(in.Lease.Tasks))
	c.routesDirty = true
}

// isEpochTooLow reports whether the log has an epoch of the worker that isn't
// below the granted one, which would make the Own record void. This happens
// when a worker restarts and counts its epochs from one again. Each
// acquisition raises its epoch.
func (c *Controller) isEpochTooLow(w *worker) bool {
	if c.State() == nil {
		return false
	}
	recorded, ok := c.State().Worker(w.id)
	return ok && recorded.Epoch >= w.epoch
}

// appendOwn appends the Own record of a worker.
func (c *Controller) appendOwn(w *worker, tasks []provider.TaskStatus) {
	if !c.follower.Ready() {
		return // retried at the next renewal
	}
	own := &record.Own{Worker: w.id, Epoch: w.epoch, Capacity: w.capacity, Rack: w.rack, After: w.epochBefore}
	for _, t := range tasks {
		if t.Kind == provider.KindBatch {
			own.Held = append(own.Held, record.Attempt{Task: t.ID, Number: t.Attempt})
		}
	}
	r := record.Record{Own: own}
	if recorded, ok := c.State().Worker(w.id); ok && !provider.SameIncarnation(own.Epoch, recorded.Epoch) {
		r.Version = record.Version
	}
	sequence, ok := c.appendRecord(r)
	if !ok {
		return
	}
	w.ownSequence = sequence
	w.ownAppended = true
}

// handleOwnApplied handles an Own record that took effect.
func (c *Controller) handleOwnApplied(now time.Time, r record.Record) {
	w, ok := c.workers[r.Own.Worker]
	if !ok {
		return
	}
	if r.Writer == c.writer() && w.phase == granted && w.epoch == r.Own.Epoch {
		w.phase = adopted
		w.lastExtension = now
		c.evictMissing(w, heldAttempts(r.Own))
		c.stopStaleTasks(w)
		c.confirmOwnership(w)
		return
	}
	if r.Own.Epoch > w.epoch {
		c.handleTakeover(now, w, r.Own)
	}
}

// confirmOwnership allows the extension of task leases on a worker, once every
// task running there is in this instance's escrow.
func (c *Controller) confirmOwnership(w *worker) {
	if w.phase != adopted || c.leases.MayExtendTasks(w.id) {
		return
	}
	for _, a := range w.tasks {
		stale := !c.isCurrent(record.Attempt{Task: a.id, Number: a.attempt})
		if stale && a.stage != ended {
			return
		}
	}
	c.leases.Confirm(w.id, w.epoch)
}

// handleTakeover evicts the tasks assigned to a worker that another instance
// owns now, except those that moved with it. Otherwise they would stay
// escrowed on no worker forever. The new epoch fences every call of this
// instance, and the worker held only the tasks that the Own record lists, so
// the others can't run there.
func (c *Controller) handleTakeover(now time.Time, w *worker, own *record.Own) {
	if w.phase != unowned {
		c.dropLease(now, w)
	}
	c.evictMissing(w, heldAttempts(own))
	for id := range w.tasks {
		c.unassign(w, id)
	}
}

// evictMissing evicts the tasks assigned to a worker that the worker doesn't
// hold.
func (c *Controller) evictMissing(w *worker, held map[record.Attempt]bool) {
	for _, a := range sortedAssignments(w.tasks) {
		attempt := record.Attempt{Task: a.id, Number: a.attempt}
		if held[attempt] {
			continue
		}
		c.appendAttemptEnd(attempt, record.Record{Evicted: &record.Evicted{Attempt: attempt, Worker: w.id, Checkpoint: a.spec.Checkpoint}})
		c.unassign(w, a.id)
	}
}

func heldAttempts(own *record.Own) map[record.Attempt]bool {
	held := make(map[record.Attempt]bool, len(own.Held))
	for _, attempt := range own.Held {
		held[attempt] = true
	}
	return held
}

// evictFromUnreachable evicts the tasks of a dead or unreachable worker once
// the worker must have stopped them. Otherwise they would stay escrowed while
// other workers are idle. Only this instance extended their leases and has
// stopped doing so, so after the wait the tasks have ended on the worker.
func (c *Controller) evictFromUnreachable(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if w.phase == granted || w.phase == adopted || len(w.tasks) == 0 || w.lastExtension.IsZero() {
			continue
		}
		taskEnd := w.lastExtension.Add(c.taskEndBound())
		if now.Before(taskEnd) || c.follower.TailReadAt().Before(taskEnd) {
			continue
		}
		c.logEvent(Warn, "worker unreachable", "worker", w.id, "tasks", len(w.tasks))
		c.evictMissing(w, nil)
	}
}

// maxUnansweredRenewals bounds the renewals of one epoch without an answer.
const maxUnansweredRenewals = 2

// taskEndBound returns the time after the last call that may extend task
// leases by which the tasks have ended. A call in flight can take effect late,
// but only while the worker's own lease is in force, and each unanswered
// renewal may prolong that lease once.
func (c *Controller) taskEndBound() time.Duration {
	return c.timing.TaskLease + (maxUnansweredRenewals+1)*c.timing.WorkerLease + c.timing.MaxDrift
}

// needsNewEpoch reports whether a worker must get no more calls under its
// current epoch.
//
// Renewals keep an epoch in force at the worker, so a delayed call could take
// effect at any time: a start or an extension of task leases, long after other
// instances gave the tasks to other workers, and the task would run twice.
// After maxUnansweredRenewals renewals without an answer, and once the
// isolation bound has passed, the lease is acquired under a new epoch instead,
// which fences all calls in flight.
func (c *Controller) needsNewEpoch(now time.Time, w *worker) bool {
	if w.unansweredRenewals >= maxUnansweredRenewals {
		return true
	}
	return w.phase == adopted && now.Sub(c.follower.TailReadAt()) > c.timing.MaxIsolation
}

// reacquire acquires the lease under a new epoch, which fences every call in
// flight.
func (c *Controller) reacquire(now time.Time, w *worker) {
	c.dropLease(now, w)
	c.acquire(w)
}

// acquire requests a worker's lease under an epoch above the recorded one,
// because a restarted worker counts its epochs from one again.
func (c *Controller) acquire(w *worker) {
	w.phase = acquiring
	w.epochBefore = 0
	request := c.leases.AcquireRequest(w.id)
	if s := c.State(); s != nil {
		recorded, _ := s.Worker(w.id)
		w.epochBefore = recorded.Epoch
		request.AboveEpoch = max(request.AboveEpoch, recorded.Epoch)
	}
	c.enqueueCall(w, Call{Verb: Acquire, Lease: request})
}

func (c *Controller) handleTransferred(now time.Time, w *worker, in Leased) {
	w.phase = unowned
	w.retryAt = now.Add(c.timing.WorkerLease)
	c.leases.Drop(w.id)
	if in.Err != nil {
		c.logEvent(Warn, "handover failed", "worker", w.id, "error", in.Err.Error())
		return
	}
	to, ok := rendezvous.Pick(w.id, c.otherInstances())
	if ok {
		c.emit(Send{To: to, Message: message.Handover{Worker: w.id, Epoch: in.Lease.Epoch}})
	}
	c.routesDirty = true
}

func sortedAssignments(assignments map[string]*assignment) []*assignment {
	all := make([]*assignment, 0, len(assignments))
	for _, a := range assignments {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
