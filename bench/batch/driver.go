package batch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// Delays and intervals outside the controller. Those of the adapters are the
// same as in package daemon.
const (
	tickInterval  = 100 * time.Millisecond
	listInterval  = time.Second
	readLimit     = 2000
	readWait      = time.Second
	tailInterval  = 200 * time.Millisecond
	logDelay      = 10 * time.Millisecond // one way to the log service
	networkDelay  = 1500 * time.Microsecond
	callTimeout   = 1500 * time.Millisecond
	appendTimeout = 3 * time.Second
	usageInterval = 5 * time.Second // between measurements at a worker
	usageLag      = 2 * time.Second
)

// cluster connects the controllers of all zones to a simulated log and stand-in
// workers, in virtual time and in one goroutine.
type cluster struct {
	plan            plan
	start           time.Time
	now             time.Time
	random          *rand.Rand
	queue           events
	serial          uint64
	streams         map[string]*stream
	logDown         bool            // for all instances
	cutFromLog      map[string]bool // instances that can't reach the log
	instances       []*instance
	live            map[string]*instance
	workers         []*fakeWorker
	byID            map[string]*fakeWorker
	listed          []provider.Instance
	listRevision    int // number of changes of the instance list
	listSize        int // bytes of the instance list
	pendingCommands map[uint64]func(error)
	lastCommandID   uint64
	submittedAt     map[string]time.Time // by task
	meter           meter
}

// instance is an entry instance: a controller and its connections to the log,
// the workers and the other instances.
type instance struct {
	*cluster
	c                *controller.Controller
	id               string
	zone             string
	stopped          bool
	incarnation      uint64
	seenListRevision int // revision of the instance list at the last poll
}

// fakeWorker is a stand-in worker. A dead one answers no calls.
type fakeWorker struct {
	*worker.Worker
	zone string
	rack string
	dead bool
}

// event is a function to call at a point in virtual time. The serial number
// orders events at the same time.
type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// newCluster returns a cluster without a configuration. Only the calling
// goroutine may use it.
func newCluster(p plan) *cluster {
	runtime.LockOSThread() // threadTime measures the calling thread
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{
		plan: p, start: start, now: start,
		random:          rand.New(rand.NewPCG(p.seed, 1)),
		streams:         map[string]*stream{},
		cutFromLog:      map[string]bool{},
		live:            map[string]*instance{},
		byID:            map[string]*fakeWorker{},
		pendingCommands: map[uint64]func(error){},
		submittedAt:     map[string]time.Time{},
		meter:           newMeter(),
	}
	for i := range p.size.Workers {
		c.addWorker(i)
	}
	for i := range p.size.Instances {
		c.boot(fmt.Sprintf("e%02d", i), zoneName(i%p.size.AvailabilityZones))
	}
	c.rebuildList()
	return c
}

func zoneName(i int) string {
	return "zone-" + string(rune('a'+i))
}

func (c *cluster) addWorker(i int) {
	id := fmt.Sprintf("w%04d", i)
	zone := i % c.plan.size.AvailabilityZones
	inZone := i / c.plan.size.AvailabilityZones
	b := &fakeWorker{
		Worker: worker.New(id, worker.WithIncarnation(1),
			worker.WithClock(func() time.Time { return c.now }),
			worker.WithUsage(usageInterval, usageLag),
			worker.WithCapacity(workerCapacity)),
		zone: zoneName(zone),
		rack: fmt.Sprintf("r%02d", inZone/workersPerRack),
	}
	c.workers = append(c.workers, b)
	c.byID[id] = b
}

// boot starts an instance. It replaces a previous one with the same ID.
func (c *cluster) boot(id, zone string) *instance {
	self := controller.Self{ID: id, AvailabilityZone: zone, Incarnation: uint64(c.now.UnixMilli()), Address: "10.0.0.1:7000"}
	n := &instance{cluster: c, id: id, zone: zone, incarnation: self.Incarnation, c: controller.New(self, c.plan.timing)}
	c.instances = append(c.instances, n)
	c.live[id] = n
	phase := time.Duration(len(c.instances)) * 7 * time.Millisecond % tickInterval
	c.after(phase, n.tick)
	c.after(phase, n.list)
	c.after(phase, func() { n.followStream(controller.ZoneStream(zone)) })
	c.after(phase, func() { n.followStream(controller.ConfigStream) })
	return n
}

func (c *cluster) kill(n *instance) {
	n.stopped = true
	delete(c.live, n.id)
}

// rebuildList rebuilds the instance list from the live instances and workers,
// so dead ones leave it at once. The copy that an instance holds lags behind by
// up to listInterval.
func (c *cluster) rebuildList() {
	c.listed = nil
	for _, n := range c.instances {
		if !n.stopped {
			c.listed = append(c.listed, provider.Instance{
				ID: n.id, Role: provider.RoleEntry, AvailabilityZone: n.zone,
				Address: "10.0.0.1:7000", Caller: "10.0.0.1:7001", Status: provider.StatusLive,
			})
		}
	}
	for _, b := range c.workers {
		if !b.dead {
			c.listed = append(c.listed, b.Instance(b.zone, b.rack, "10.0.1.1:7000"))
		}
	}
	c.listRevision++
	c.listSize = jsonSize(c.listed)
}

func (c *cluster) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, event{c.now.Add(d), c.serial, run})
}

// advance runs the events of the next d of virtual time.
func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// advanceUntil advances virtual time until done returns true, and reports
// whether it did within a limit.
func (c *cluster) advanceUntil(limit time.Duration, done func() bool) bool {
	for end := c.now.Add(limit); c.now.Before(end); {
		if done() {
			return true
		}
		c.advance(tickInterval)
	}
	return done()
}

func (n *instance) tick() {
	if n.stopped {
		return
	}
	n.step(controller.Tick{})
	n.after(tickInterval, n.tick)
}

func (n *instance) list() {
	if n.stopped {
		return
	}
	n.meter.add(n.id, listBytes, n.plan.wire.list)
	if n.seenListRevision != n.listRevision {
		n.seenListRevision = n.listRevision
		n.meter.add(n.id, listBytes, n.listSize)
	}
	n.step(controller.Listed{Instances: n.listed})
	n.after(listInterval, n.list)
}

// followStream reads a stream from the controller's next offset, one page at a
// time.
func (n *instance) followStream(stream string) {
	if n.stopped {
		return
	}
	sent := n.now
	from := n.c.NextOffset(stream)
	n.after(logDelay, func() {
		if n.logDown || n.cutFromLog[n.id] {
			n.after(appendTimeout, func() { n.handlePage(stream, sent, provider.Page{}, errLog) })
			return
		}
		n.stream(stream).read(n.cluster, from, func(page provider.Page) {
			n.after(logDelay, func() { n.handlePage(stream, sent, page, nil) })
		})
	})
}

func (n *instance) handlePage(stream string, sent time.Time, page provider.Page, err error) {
	if n.stopped {
		return
	}
	n.meter.read(n.id, stream, page, n.plan.wire)
	n.step(controller.Read{Stream: stream, Sent: sent, Page: page, Err: err})
	n.after(tailInterval, func() { n.followStream(stream) })
}

func (n *instance) step(in controller.Input) {
	if n.stopped {
		return
	}
	before := threadTime()
	actions := n.c.Step(n.now, in)
	n.meter.step(n.id, in, threadTime()-before)
	for _, a := range actions {
		n.apply(a)
	}
}

func (n *instance) apply(a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		n.append(a)
	case controller.Call:
		n.after(networkDelay, func() { n.deliverCall(a, n.now.Add(-networkDelay)) })
	case controller.Poll:
		n.after(networkDelay, func() { n.poll(n.byID[a.Worker]) })
	case controller.Send:
		n.send(a)
	case controller.Answer:
		if f, ok := n.pendingCommands[a.ID]; ok {
			delete(n.pendingCommands, a.ID)
			f(a.Err)
		}
	case controller.Event:
		n.meter.event(a)
	}
}

func (n *instance) append(a controller.Append) {
	n.meter.append(n.id, a, n.plan.wire)
	n.after(logDelay, func() {
		if n.logDown || n.cutFromLog[n.id] {
			n.after(appendTimeout, func() { n.step(controller.Appended{Stream: a.Stream, Err: errLog}) })
			return
		}
		n.stream(a.Stream).append(n.cluster, a.Data)
		n.after(logDelay, func() { n.step(controller.Appended{Stream: a.Stream}) })
	})
}

func (n *instance) deliverCall(a controller.Call, sent time.Time) {
	b := n.byID[a.Worker]
	if b.dead {
		n.after(callTimeout, func() { n.reply(a, sent, provider.Lease{}, errSilent) })
		return
	}
	l, err := b.execute(a)
	n.meter.call(n.id, a, l, n.plan.wire)
	n.after(networkDelay, func() { n.reply(a, sent, l, err) })
}

// poll fetches a worker's report for an instance.
func (n *instance) poll(b *fakeWorker) {
	if b.dead {
		return
	}
	r := b.Report()
	n.meter.add(n.id, reportBytes, n.plan.wire.report+jsonSize(r))
	n.after(networkDelay, func() { n.step(controller.Reported{Worker: r.Worker, Report: r}) })
}

func (n *instance) reply(a controller.Call, sent time.Time, l provider.Lease, err error) {
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		n.step(controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: sent, Lease: l, Err: err})
	default:
		task := a.Task
		if a.Verb == controller.Start {
			task = a.Spec.ID
		}
		n.step(controller.Called{Worker: a.Worker, Verb: a.Verb, Task: task, Sent: sent, Err: err})
	}
}

func (b *fakeWorker) execute(a controller.Call) (provider.Lease, error) {
	switch a.Verb {
	case controller.Acquire:
		return b.Acquire(a.Lease)
	case controller.Renew:
		return b.Renew(a.Lease)
	case controller.Transfer:
		return b.Transfer(a.Epoch, a.To)
	case controller.Release:
		return provider.Lease{}, b.Release(a.Epoch)
	case controller.Start:
		return provider.Lease{}, b.Start(a.Epoch, a.Spec)
	case controller.Stop:
		return provider.Lease{}, b.Stop(a.Epoch, a.Task, a.Checkpoint)
	default:
		return provider.Lease{}, b.Acknowledge(a.Epoch, a.Tasks)
	}
}

func (n *instance) send(a controller.Send) {
	to, ok := n.live[a.To]
	if !ok {
		return
	}
	n.meter.sent(n.id, to.id, a.Message, n.plan.wire)
	n.after(networkDelay, func() {
		if in := inputOf(n.id, a.Message); in != nil {
			to.step(in)
		}
	})
}

// command gives an instance a command and calls answered with its result.
func (n *instance) command(in func(id uint64) controller.Input, answered func(error)) {
	n.lastCommandID++
	n.pendingCommands[n.lastCommandID] = answered
	n.step(in(n.lastCommandID))
}

// submit submits tasks at a random running instance of a zone that can reach
// the log. Without one, they count as refused.
func (c *cluster) submit(zone string, tasks []record.Task) {
	var candidates []*instance
	for _, n := range c.instances {
		if !n.stopped && n.zone == zone && !c.cutFromLog[n.id] {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		c.meter.refused += len(tasks)
		return
	}
	for _, t := range tasks {
		c.submittedAt[t.ID] = c.now
	}
	c.meter.submitted += len(tasks)
	n := candidates[c.random.IntN(len(candidates))]
	n.command(func(id uint64) controller.Input { return controller.Submit{ID: id, Tasks: tasks} }, func(err error) {
		if err != nil {
			c.meter.refused += len(tasks)
		}
	})
}
