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

// phase is how far the ownership of a worker has come.
type phase int

const (
	unowned   phase = iota // no lease is held
	acquiring              // a lease was asked for
	granted                // the lease is held, the Own record isn't read back
	adopted                // the Own record was read back
	releasing              // the lease is being released or transferred
)

// holding is what an instance knows of one worker of its zone.
type holding struct {
	id       string
	address  string
	rack     string
	capacity resource.Vector
	slots    int
	listed   bool
	leaving  bool

	phase    phase
	epoch    uint64
	recorded uint64    // sequence of the Own record
	retryAt  time.Time // not to be acquired before
	startAt  time.Time // no start before
	written  bool      // the Own record of the epoch was put in line

	unanswered int       // renewals of the epoch since the last answered one
	extended   time.Time // when the newest call that may have extended task leases was sent
	tasks      map[string]*assignment
	replicas   map[string]*assignment // by service

	noted    map[string]*noted // what the estimator was told, by task
	reportAt time.Time         // when the next report is due

	busy  bool // a call is under way
	queue []Call
}

// stage is how far a placement has come.
type stage int

const (
	starting stage = iota // the worker hasn't confirmed it
	running
	draining // a replica that gets no new requests
	stopping
	ended // the worker keeps a result
)

// assignment is a task on a worker.
type assignment struct {
	id      string
	service string // of a replica
	attempt uint32
	need    resource.Vector
	stage   stage
	until   time.Time // when a draining replica is stopped
	unsure  bool      // a start of it was not answered, and may arrive late
	started time.Time // when this instance first knew of it
	spec    provider.TaskSpec
}

func newHolding(id string) *holding {
	return &holding{
		id:       id,
		tasks:    make(map[string]*assignment),
		replicas: make(map[string]*assignment),
		noted:    make(map[string]*noted),
	}
}

// used returns what the tasks that may be on the worker need together.
func (h *holding) used() resource.Vector {
	var sum resource.Vector
	for _, p := range h.tasks {
		if p.stage != ended {
			sum = sum.Add(p.need)
		}
	}
	for _, p := range h.replicas {
		sum = sum.Add(p.need)
	}
	return sum
}

// list takes a reading of the instance list.
func (c *Controller) list(now time.Time, instances []provider.Instance) {
	c.listed = instances
	c.members.Listed(now, instances)
	for _, h := range c.holdings {
		h.listed = false
	}
	for _, in := range instances {
		if in.Role != provider.RoleWorker || in.AvailabilityZone != c.self.AvailabilityZone {
			continue
		}
		h, ok := c.holdings[in.ID]
		if !ok {
			h = newHolding(in.ID)
			c.holdings[in.ID] = h
		}
		h.listed = true
		h.address = in.Address
		h.rack = in.Rack
		h.leaving = in.Status == provider.StatusLeaving
		if h.phase == unowned {
			h.capacity = in.Capacity
			h.slots = in.Slots
		}
	}
	c.dirty = true
	c.forget()
}

// forget drops workers that are off the list and not held.
func (c *Controller) forget() {
	for id, h := range c.holdings {
		if !h.listed && h.phase == unowned && !h.busy && len(h.tasks) == 0 {
			delete(c.holdings, id)
		}
	}
}

// sorted returns the holdings by ID.
func (c *Controller) sorted() []*holding {
	all := make([]*holding, 0, len(c.holdings))
	for _, h := range c.holdings {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// wanted reports whether this instance should own a worker, given the zone's
// live instances.
func (c *Controller) wanted(id string, live []string) bool {
	if c.leaving {
		return false
	}
	owner, ok := rendezvous.Pick(id, live)
	return ok && owner == c.self.ID
}

// own acquires the workers that should be owned here and gives up those that
// should not be.
func (c *Controller) own(now time.Time) {
	live := c.members.Live(c.self.AvailabilityZone)
	for _, h := range c.sorted() {
		want := c.wanted(h.id, live) && !(h.leaving && len(h.tasks)+len(h.replicas) == 0)
		switch {
		case want && h.listed && h.phase == unowned && !h.busy && !now.Before(h.retryAt):
			c.acquire(h)
		case !want && (h.phase == granted || h.phase == adopted) && !c.lastInstance():
			c.handOver(h)
		}
	}
}

// renew extends the leases that are due.
func (c *Controller) renew(now time.Time) {
	for _, id := range c.book.Due(now) {
		if h, ok := c.holdings[id]; ok {
			c.renewNow(now, h)
		}
	}
}

// renewNow extends a lease, and asks what the worker holds.
func (c *Controller) renewNow(now time.Time, h *holding) {
	if h.phase != granted && h.phase != adopted {
		return
	}
	if c.quiet(now, h) {
		c.reacquire(now, h)
		return
	}
	request, ok := c.book.Renewal(now, h.id, c.follow.Tail())
	if !ok {
		return
	}
	if request.Tasks > 0 {
		h.extended = now
	}
	c.callFirst(h, Call{Verb: Renew, Epoch: request.Epoch, Lease: request})
}

// lapseLeases takes note of leases that ran out.
func (c *Controller) lapseLeases(now time.Time) {
	for _, l := range c.book.Tick(now) {
		if h, ok := c.holdings[l.Worker]; ok && h.epoch == l.Epoch {
			c.log(Warn, "lease lapsed", "worker", l.Worker, "epoch", l.Epoch)
			c.giveUp(now, h)
		}
	}
}

// giveUp forgets a lease. The tasks stay on the book until it is known what
// became of them.
func (c *Controller) giveUp(now time.Time, h *holding) {
	c.book.Drop(h.id)
	c.forgetNeighbors(now, h)
	h.phase = unowned
	h.queue = nil
	for _, p := range h.tasks {
		if p.stage == stopping {
			p.stage = running // the stop may have been in line
		}
	}
	h.replicas = make(map[string]*assignment)
	c.dirty = true
}

// handOver gives a worker to the instance that should own it.
func (c *Controller) handOver(h *holding) {
	if h.busy || len(h.queue) > 0 {
		return
	}
	h.phase = releasing
	c.dirty = true
	to, ok := rendezvous.Pick(h.id, c.others())
	if !ok || h.leaving {
		c.call(h, Call{Verb: Release, Epoch: h.epoch})
		return
	}
	c.call(h, Call{Verb: Transfer, Epoch: h.epoch, To: to})
}

// others returns the live instances of the zone but this one.
func (c *Controller) others() []string {
	var ids []string
	for _, id := range c.members.Live(c.self.AvailabilityZone) {
		if id != c.self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Controller) handedOver(now time.Time, in HandedOver) {
	h, ok := c.holdings[in.Worker]
	if !ok || h.phase != unowned || h.busy || c.leaving {
		return // acquired after the lease expires
	}
	h.phase = acquiring
	request := c.book.Acquire(h.id)
	request.Epoch = in.Epoch
	c.call(h, Call{Verb: Renew, Epoch: in.Epoch, Lease: request})
}

// call queues a call to a worker.
func (c *Controller) call(h *holding, call Call) {
	h.queue = append(h.queue, call)
	c.pump(h)
}

// callFirst queues a call ahead of the others.
func (c *Controller) callFirst(h *holding, call Call) {
	for _, q := range h.queue {
		if q.Verb == call.Verb {
			return
		}
	}
	h.queue = append([]Call{call}, h.queue...)
	c.pump(h)
}

// pump sends the next call if none is under way. One call at a time per
// worker means that an answer tells of everything asked before it.
func (c *Controller) pump(h *holding) {
	if h.busy {
		return
	}
	h.queue = slices.DeleteFunc(h.queue, func(q Call) bool { return c.outdated(h, q) })
	if len(h.queue) == 0 {
		return
	}
	next := h.queue[0]
	h.queue = h.queue[1:]
	h.busy = true
	next.Worker = h.id
	next.Address = h.address
	c.do(next)
}

// outdated reports whether a start that waited in line must not be sent any
// more.
//
// What goes wrong: starts wait behind slow calls while the log can't be read
// or tasks are cancelled, and go out when others may have the tasks. One would
// notice a task starting long after the last read of the log. It is due again
// once the log was read.
func (c *Controller) outdated(h *holding, q Call) bool {
	if q.Verb != Start || q.Spec.Kind != provider.KindBatch {
		return false
	}
	a := record.Attempt{Task: q.Spec.ID, Number: q.Spec.Attempt}
	if c.fresh(c.now) && c.current(a) && !c.cancelling(a.Task) {
		return false
	}
	if p := h.tasks[a.Task]; p != nil && p.stage == starting && !p.unsure {
		c.unplace(h, a.Task)
	}
	return true
}

// leased takes the answer to a call about the lease itself.
func (c *Controller) leased(now time.Time, in Leased) {
	h, ok := c.holdings[in.Worker]
	if !ok {
		return
	}
	h.busy = false
	switch {
	case in.Verb == Transfer:
		c.transferred(now, h, in)
	case in.Err != nil && h.phase == acquiring:
		c.notAcquired(now, h, in.Err)
	case in.Err != nil:
		c.notRenewed(now, h, in.Err)
	case h.phase == acquiring:
		c.acquired(now, h, in)
	case h.phase == granted || h.phase == adopted:
		c.renewed(now, h, in)
	}
	c.pump(h)
}

func (c *Controller) notAcquired(now time.Time, h *holding, err error) {
	h.phase = unowned
	h.retryAt = now.Add(c.timing.Lease / 6)
	c.log(Debug, "not acquired", "worker", h.id, "error", err.Error())
}

func (c *Controller) notRenewed(now time.Time, h *holding, err error) {
	if fault.Is(err, fault.StaleEpoch) {
		c.book.Refused(h.id, h.epoch)
		c.log(Warn, "lease lost", "worker", h.id, "epoch", h.epoch)
		c.giveUp(now, h)
		return
	}
	h.unanswered++
	c.book.Lost(now, h.id)
}

// acquired takes a new lease and writes down what the worker held.
func (c *Controller) acquired(now time.Time, h *holding, in Leased) {
	if !c.book.Granted(in.Sent, h.id, in.Lease) {
		h.phase = unowned
		return
	}
	h.phase = granted
	h.epoch = in.Lease.Epoch
	h.recorded = 0
	h.written = false
	h.unanswered = 0
	h.extended = now // whoever held the lease before extended no task later than this
	h.capacity = in.Lease.Capacity
	h.slots = in.Lease.Slots
	if c.behind(h) {
		c.reacquire(now, h)
		return
	}
	c.seeReplicas(h, in.Lease.Tasks)
	c.see(now, h, in.Lease.Tasks)
	c.recordOwn(h, in.Lease.Tasks)
	c.log(Info, "worker owned", "worker", h.id, "epoch", h.epoch, "tasks", len(in.Lease.Tasks))
	c.dirty = true
}

// behind reports whether the log has an epoch of the worker that isn't below
// the one just granted, so that its Own record would be void: the worker
// restarted and counts anew. Each acquisition brings it nearer.
func (c *Controller) behind(h *holding) bool {
	if c.State() == nil {
		return false
	}
	w, ok := c.State().Worker(h.id)
	return ok && w.Epoch >= h.epoch
}

// recordOwn writes the Own record of a holding.
func (c *Controller) recordOwn(h *holding, tasks []provider.Running) {
	if !c.follow.Ready() {
		return // due again at the next renewal
	}
	own := &record.Own{Worker: h.id, Epoch: h.epoch, Capacity: h.capacity, Rack: h.rack}
	for _, t := range tasks {
		if t.Kind == provider.KindBatch {
			own.Held = append(own.Held, record.Attempt{Task: t.ID, Number: t.Attempt})
		}
	}
	sequence, ok := c.add(record.Record{Own: own})
	if !ok {
		return
	}
	h.recorded = sequence
	h.written = true
}

// ownFolded follows up an Own record that is in force.
func (c *Controller) ownFolded(now time.Time, r record.Record) {
	h, ok := c.holdings[r.Own.Worker]
	if !ok {
		return
	}
	if r.Writer == c.writer() && h.phase == granted && h.epoch == r.Own.Epoch {
		h.phase = adopted
		h.extended = now
		c.evictMissing(h, heldSet(r.Own))
		c.dropStale(h)
		c.confirm(h)
		return
	}
	if r.Own.Epoch > h.epoch {
		c.takenByOther(now, h, r.Own)
	}
}

// confirm lets task leases on a worker be extended, once nothing runs there
// that this instance's escrow doesn't hold.
func (c *Controller) confirm(h *holding) {
	if h.phase != adopted || c.book.MayExtend(h.id) {
		return
	}
	for _, p := range h.tasks {
		stale := !c.current(record.Attempt{Task: p.id, Number: p.attempt})
		if stale && p.stage != ended {
			return
		}
	}
	c.book.Confirm(h.id, h.epoch)
}

// takenByOther evicts what this instance had on a worker that another one
// owns now, but for the tasks that moved with it.
//
// What goes wrong: tasks placed here are neither moved nor ended on record,
// and would wait forever. One would notice them escrowed and on no worker.
// The new epoch fences every call of ours, and the worker held only what the
// record lists, so the others can't run there.
func (c *Controller) takenByOther(now time.Time, h *holding, own *record.Own) {
	if h.phase != unowned {
		c.giveUp(now, h)
	}
	c.evictMissing(h, heldSet(own))
	for id := range h.tasks {
		c.unplace(h, id)
	}
}

// evictMissing evicts the tasks placed on a worker that it doesn't hold.
func (c *Controller) evictMissing(h *holding, held map[record.Attempt]bool) {
	for _, p := range sortedAssignments(h.tasks) {
		a := record.Attempt{Task: p.id, Number: p.attempt}
		if held[a] {
			continue
		}
		c.endAttempt(a, record.Record{Evicted: &record.Evicted{Attempt: a, Worker: h.id, Checkpoint: p.spec.Checkpoint}})
		c.unplace(h, p.id)
	}
}

func heldSet(own *record.Own) map[record.Attempt]bool {
	held := make(map[record.Attempt]bool, len(own.Held))
	for _, a := range own.Held {
		held[a] = true
	}
	return held
}

// settleUnreachable evicts the tasks of a worker that can't be reached, once
// it must have stopped them.
//
// What goes wrong: a worker died, or can't be reached by anyone, and its
// tasks stay escrowed. One would notice them waiting while other workers are
// idle. Only this instance extended their leases, and it stopped, so after the
// wait they have ended on the worker.
func (c *Controller) settleUnreachable(now time.Time) {
	for _, h := range c.sorted() {
		if h.phase == granted || h.phase == adopted || len(h.tasks) == 0 || h.extended.IsZero() {
			continue
		}
		over := h.extended.Add(c.taskEnd())
		if now.Before(over) || c.follow.Tail().Before(over) {
			continue
		}
		c.log(Warn, "worker unreachable", "worker", h.id, "tasks", len(h.tasks))
		c.evictMissing(h, nil)
	}
}

// maxUnanswered bounds the renewals of one epoch whose answers are missing.
const maxUnanswered = 2

// taskEnd returns how long after the last call that may extend task leases
// the tasks have ended. A call that is under way takes effect late, but only
// while the worker's own lease is in force, which each unanswered renewal may
// prolong once.
func (c *Controller) taskEnd() time.Duration {
	return c.timing.Task + (maxUnanswered+1)*c.timing.Lease + c.timing.Drift
}

// quiet reports whether an epoch must get no more calls.
//
// What goes wrong: renewals keep an epoch in force at the worker, so that an
// earlier call that was delayed takes effect at any time: a start, or an
// extension of task leases, long after others gave the tasks to other workers.
// One would notice two runs of one task. After maxUnanswered renewals without
// an answer, and once the isolation bound has passed, the lease is taken under
// a new epoch instead, which fences whatever is still under way.
func (c *Controller) quiet(now time.Time, h *holding) bool {
	if h.unanswered >= maxUnanswered {
		return true
	}
	return h.phase == adopted && now.Sub(c.follow.Tail()) > c.timing.Isolation
}

// reacquire takes the lease again under a new epoch, which fences every call
// that is still under way.
func (c *Controller) reacquire(now time.Time, h *holding) {
	c.giveUp(now, h)
	c.acquire(h)
}

// acquire asks for a worker's lease, under an epoch above the one on record: a worker
// that has restarted counts them from one again.
func (c *Controller) acquire(h *holding) {
	h.phase = acquiring
	request := c.book.Acquire(h.id)
	if s := c.State(); s != nil {
		w, _ := s.Worker(h.id)
		request.After = max(request.After, w.Epoch)
	}
	c.call(h, Call{Verb: Acquire, Lease: request})
}

func (c *Controller) transferred(now time.Time, h *holding, in Leased) {
	h.phase = unowned
	h.retryAt = now.Add(c.timing.Lease)
	c.book.Drop(h.id)
	if in.Err != nil {
		c.log(Warn, "handover failed", "worker", h.id, "error", in.Err.Error())
		return
	}
	to, ok := rendezvous.Pick(h.id, c.others())
	if ok {
		c.do(Send{To: to, Message: message.Handover{Worker: h.id, Epoch: in.Lease.Epoch}})
	}
	c.dirty = true
}

func sortedAssignments(m map[string]*assignment) []*assignment {
	all := make([]*assignment, 0, len(m))
	for _, p := range m {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}
