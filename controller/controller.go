// Package controller decides everything that an instance does apart from
// routing single requests: which workers it owns, which tasks it claims,
// starts, moves and reports, and what it tells the others.
//
// Usage:
//
//	c := controller.New(self, timing)
//	actions := c.Step(now, controller.Tick{})
//	for _, a := range actions {
//		carryOut(a) // and feed the answer back as an Input
//	}
//
// Step is the only way in. It does no I/O, reads no clock and draws no random
// numbers, so the same inputs give the same actions in a daemon, in a test
// and in a recorded session.
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

// ConfigStream is the stream that all zones share.
const ConfigStream = "config"

// ZoneStream returns the name of a zone's stream.
func ZoneStream(availabilityZone string) string {
	return "zone/" + availabilityZone
}

// Self says which instance this is.
type Self struct {
	ID               string
	AvailabilityZone string
	Incarnation      uint64
	Address          string // host:port of the peer listener
}

// Timing holds the durations that decisions depend on.
type Timing struct {
	Heartbeat time.Duration
	Suspicion time.Duration
	Lease     time.Duration // of a worker
	Task      time.Duration // of a batch task
	Drift     time.Duration
	Isolation time.Duration // how long task leases are extended after the last read of the tail
	Append    time.Duration
	Snapshot  time.Duration
	Fence     time.Duration // how long a dead instance keeps its escrow
	Command   time.Duration // how long a command may wait for the log
}

// Controller is the control state of one instance. It isn't safe for use by
// several goroutines.
type Controller struct {
	self    Self
	timing  Timing
	stream  string
	members *member.Table
	book    *lease.Book
	follow  *follower.Follower
	out     *appender.Appender
	history *revision.History
	config  *configuration

	manifest *manifest.Manifest
	jobs     []record.Task // that the manifest declares for this zone
	plan     *replica.Plan
	planned  planKey
	listed   []provider.Instance
	holdings map[string]*holding
	placed   map[record.Attempt]*holding // attempts and the workers they were put on
	reported map[string]report           // by task
	proposed map[string]time.Time        // idempotent proposals and when they were made
	chosen   map[string]string           // claimed tasks and the workers they were chosen for
	fences   map[record.Writer]time.Time // when a fence was read
	missed   map[record.Writer]time.Time // since when an owner is out of service
	commands map[uint64]*command         // by the sequence of the record they wait for
	free     map[string]int
	peers    []message.Peer

	scheduler    *share.Scheduler
	neighbors    *neighbors
	selectedAt   time.Time // when tasks were last selected
	urgentQueued bool      // the last selection saw urgent tasks
	shrunkAt     time.Time // when groups were last compared with their limits
	claimed      uint64    // sequence of the newest Claim record
	snapshotAt   time.Time
	snapshot     uint64    // sequence of the newest Snapshot record
	lostAt       time.Time // since when no state is left
	now          time.Time // of the step under way
	leaving      bool
	left         bool
	dirty        bool // the routing table is out of date

	actions []Action
}

// New returns a Controller that knows nothing yet.
func New(self Self, timing Timing) *Controller {
	c := &Controller{
		self:     self,
		timing:   timing,
		stream:   ZoneStream(self.AvailabilityZone),
		history:  revision.New(),
		config:   newConfiguration(),
		holdings: make(map[string]*holding),
		free:     make(map[string]int),
	}
	c.scheduler = share.New()
	c.neighbors = newNeighbors()
	c.follow = follower.New(func() *zone.State { return zone.New(self.AvailabilityZone) })
	c.begin(self.Incarnation)
	return c
}

// begin starts a run under an incarnation, with nothing of an earlier one.
func (c *Controller) begin(incarnation uint64) {
	c.self.Incarnation = incarnation
	c.members = c.newMembers()
	c.book = c.newBook()
	c.out = appender.New(c.writer(), appender.WithInterval(c.timing.Append))
	c.placed = make(map[record.Attempt]*holding)
	for _, h := range c.holdings {
		h.tasks = make(map[string]*assignment)
	}
	c.reported = make(map[string]report)
	c.proposed = make(map[string]time.Time)
	c.claimed = 0
	c.snapshot = 0
	c.chosen = make(map[string]string)
	c.fences = make(map[record.Writer]time.Time)
	c.missed = make(map[record.Writer]time.Time)
	c.commands = make(map[uint64]*command)
}

// Step takes one input and returns what to do about it.
func (c *Controller) Step(now time.Time, in Input) []Action {
	c.actions = nil
	c.now = now
	c.take(now, in)
	return c.actions
}

// State returns the zone's folded state, or nil before there is one. It must
// not be changed, nor kept beyond the next Step.
func (c *Controller) State() *zone.State {
	return c.follow.State()
}

func (c *Controller) take(now time.Time, in Input) {
	switch in := in.(type) {
	case Tick:
		c.tick(now)
	case Read:
		c.read(now, in)
	case Appended:
		c.appended(now, in)
	case Listed:
		c.list(now, in.Instances)
	case Heard:
		c.hear(now, in.Heartbeat)
	case Unlinked:
		c.unlink(now, in)
	case Asked:
		c.tell(in)
	case Offered:
		c.offer(in)
	case HandedOver:
		c.handedOver(now, in)
	case Leased:
		c.leased(now, in)
	case Called:
		c.called(now, in)
	case Reported:
		c.report(now, in)
	case Submit:
		c.submit(now, in)
	case Cancel:
		c.cancel(now, in)
	case Apply:
		c.apply(now, in)
	case Free:
		c.free = in.Slots
	case Leave:
		c.leave(now)
	}
}

// tick does everything that depends on time alone.
func (c *Controller) tick(now time.Time) {
	c.members.Tick(now)
	c.beat(now)
	c.lapseLeases(now)
	c.own(now)
	c.renew(now)
	if c.follow.Ready() {
		c.returnUnstarted()
		c.propose(now)
		c.settleUnreachable(now)
		c.startEscrow(now)
		c.claim(now)
		c.askReports(now)
		c.shrink(now)
	}
	c.placeReplicas(now)
	c.expireCommands(now)
	c.sweep(now)
	c.flush(now)
	c.publish(now)
	c.finishLeaving(now)
}

func (c *Controller) writer() record.Writer {
	return record.Writer{ID: c.self.ID, Incarnation: c.self.Incarnation}
}

// fresh reports whether the folded state is recent enough to act on.
func (c *Controller) fresh(now time.Time) bool {
	return c.follow.Ready() && now.Sub(c.follow.Tail()) <= c.timing.Isolation
}

// proposer reports whether this instance is the one that should write what
// any instance of the zone may write. Two that both think so do no harm.
func (c *Controller) proposer() bool {
	return !c.leaving && c.members.Lowest(c.self.AvailabilityZone) == c.self.ID
}

func (c *Controller) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Controller) log(level Level, name string, fields ...any) {
	c.do(Event{Level: level, Name: name, Fields: fields})
}
