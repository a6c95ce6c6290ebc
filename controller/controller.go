// Package controller makes all control decisions of an instance: which workers
// it owns, which tasks it claims, starts, evicts and reports, and what it
// sends to its peers. Routing single requests is not part of it.
//
// Usage:
//
//	c := controller.New(self, timing)
//	actions := c.Step(now, controller.Tick{})
//	for _, a := range actions {
//		execute(a) // and pass the answer to Step as an Input
//	}
//
// Step is the only entry point. It does no I/O, reads no clock and draws no
// random numbers, so the same inputs give the same actions in a daemon, in a
// test and in a replayed session.
package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/appender"
	"github.com/dogwoodladder/dogwoodladder/follower"
	"github.com/dogwoodladder/dogwoodladder/lease"
	"github.com/dogwoodladder/dogwoodladder/manifest"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/replica"
	"github.com/dogwoodladder/dogwoodladder/revision"
	"github.com/dogwoodladder/dogwoodladder/share"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// ConfigStream is the log stream of configurations, shared by all zones.
const ConfigStream = "config"

// ZoneStream returns the name of a zone's log stream.
func ZoneStream(availabilityZone string) string {
	return "zone/" + availabilityZone
}

// Self identifies the instance that runs the controller.
type Self struct {
	ID               string
	AvailabilityZone string
	Incarnation      uint64
	Address          string // host:port of the peer listener
}

// Timing holds the durations that decisions depend on.
type Timing struct {
	HeartbeatInterval time.Duration // interval between heartbeats
	SuspicionTimeout  time.Duration // silence after which a member is suspected
	WorkerLease       time.Duration // TTL of a worker's lease
	TaskLease         time.Duration // TTL of a batch task's lease
	MaxDrift          time.Duration // bound on the clock drift of a worker over one lease
	MaxIsolation      time.Duration // how long after the last read of the log's tail task leases are extended
	AppendInterval    time.Duration // interval between appends
	SnapshotInterval  time.Duration // interval between snapshots
	FenceAfter        time.Duration // how long an instance is out of service before it is fenced
	CommandTimeout    time.Duration // how long a command may wait for the log
}

// Controller is the control state of one instance. It isn't safe for
// concurrent use.
type Controller struct {
	self      Self
	timing    Timing
	stream    string
	members   *member.Table
	leases    *lease.Table
	follower  *follower.Follower
	appender  *appender.Appender
	revisions *revision.History
	config    *configPublisher

	manifest        *manifest.Manifest
	declaredTasks   []record.Task // of the manifest's jobs in this zone
	plan            *replica.Plan
	planInputs      planKey
	instances       []provider.Instance
	workers         map[string]*worker
	workerByAttempt map[record.Attempt]*worker  // the worker that each attempt is assigned to
	pendingEnds     map[string]pendingEnd       // by task
	proposedAt      map[string]time.Time        // when each idempotent proposal was last made
	selectedWorkers map[string]string           // worker by claimed task
	fencedAt        map[record.Writer]time.Time // when each fence was read
	downSince       map[record.Writer]time.Time // since when each owner is out of service
	commands        map[uint64]*command         // by sequence of the record that must be read back
	freeSlots       map[string]int              // free request slots by service
	peers           []message.Peer

	scheduler        *share.Scheduler
	colocation       *colocation
	lastSelection    time.Time // when tasks were last selected
	urgentQueued     bool      // whether the last selection saw urgent tasks
	lastLimitCheck   time.Time // when groups were last compared with their limits
	claimSequence    uint64    // of the newest Claim record
	lastSnapshot     time.Time
	snapshotSequence uint64    // of the newest Snapshot record
	stateLostAt      time.Time // when the zone's state was found lost; zero while it isn't
	now              time.Time // time of the current step
	leaving          bool
	left             bool
	routesDirty      bool // the routing table is out of date

	actions []Action
}

// New returns a Controller without any state.
func New(self Self, timing Timing) *Controller {
	c := &Controller{
		self:      self,
		timing:    timing,
		stream:    ZoneStream(self.AvailabilityZone),
		revisions: revision.New(),
		config:    newConfigPublisher(),
		workers:   make(map[string]*worker),
		freeSlots: make(map[string]int),
	}
	c.scheduler = share.New()
	c.colocation = newColocation()
	c.follower = follower.New(func() *zone.State { return zone.New(self.AvailabilityZone) })
	c.startIncarnation(self.Incarnation)
	return c
}

// startIncarnation starts a run under an incarnation and drops what belonged
// to the previous one.
func (c *Controller) startIncarnation(incarnation uint64) {
	c.self.Incarnation = incarnation
	c.members = c.newMembers()
	c.leases = c.newLeaseTable()
	c.appender = appender.New(c.writer(), appender.WithInterval(c.timing.AppendInterval))
	c.workerByAttempt = make(map[record.Attempt]*worker)
	for _, w := range c.workers {
		w.tasks = make(map[string]*assignment)
	}
	c.pendingEnds = make(map[string]pendingEnd)
	c.proposedAt = make(map[string]time.Time)
	c.claimSequence = 0
	c.snapshotSequence = 0
	c.selectedWorkers = make(map[string]string)
	c.fencedAt = make(map[record.Writer]time.Time)
	c.downSince = make(map[record.Writer]time.Time)
	c.commands = make(map[uint64]*command)
}

// Step handles one input and returns the resulting actions.
func (c *Controller) Step(now time.Time, in Input) []Action {
	c.actions = nil
	c.now = now
	c.handle(now, in)
	return c.actions
}

// State returns the zone's replicated state, or nil before there is one. The
// caller must not change it or keep it beyond the next Step.
func (c *Controller) State() *zone.State {
	return c.follower.State()
}

func (c *Controller) handle(now time.Time, in Input) {
	switch in := in.(type) {
	case Tick:
		c.handleTick(now)
	case Read:
		c.handleRead(now, in)
	case Appended:
		c.handleAppended(now, in)
	case Listed:
		c.handleListed(now, in.Instances)
	case Heard:
		c.handleHeartbeat(now, in.Heartbeat)
	case Unlinked:
		c.handleUnlinked(now, in)
	case Asked:
		c.handleConfigRequest(in)
	case Offered:
		c.handleConfigOffer(in)
	case HandedOver:
		c.handleHandover(now, in)
	case Leased:
		c.handleLeaseAnswer(now, in)
	case Called:
		c.handleCallAnswer(now, in)
	case Reported:
		c.handleReport(now, in)
	case Submit:
		c.handleSubmit(now, in)
	case Cancel:
		c.handleCancel(now, in)
	case Apply:
		c.handleApply(now, in)
	case Free:
		c.freeSlots = in.Slots
	case Leave:
		c.handleLeave(now)
	}
}

// handleTick does everything that depends on time alone.
func (c *Controller) handleTick(now time.Time) {
	c.members.Tick(now)
	c.sendHeartbeats(now)
	c.handleLapsedLeases(now)
	c.reconcileOwnership(now)
	c.renewDueLeases(now)
	if c.follower.Ready() {
		c.returnUnstartedTasks()
		c.proposeRecords(now)
		c.evictFromUnreachable(now)
		c.startEscrowedTasks(now)
		c.claimTasks(now)
		c.requestReports(now)
		c.enforceLimits(now)
	}
	c.reconcileReplicas(now)
	c.expireCommands(now)
	c.pruneProposals(now)
	c.flushAppends(now)
	c.publishRoutes(now)
	c.finishLeaving(now)
}

func (c *Controller) writer() record.Writer {
	return record.Writer{ID: c.self.ID, Incarnation: c.self.Incarnation}
}

// isFresh reports whether the zone's state is recent enough to act on.
func (c *Controller) isFresh(now time.Time) bool {
	return c.follower.Ready() && now.Sub(c.follower.TailReadAt()) <= c.timing.MaxIsolation
}

// isProposer reports whether this instance writes the records that any
// instance of the zone may write. It is harmless when two instances consider
// themselves the proposer.
func (c *Controller) isProposer() bool {
	return !c.leaving && c.members.Lowest(c.self.AvailabilityZone) == c.self.ID
}

func (c *Controller) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Controller) logEvent(level Level, name string, fields ...any) {
	c.emit(Event{Level: level, Name: name, Fields: fields})
}
