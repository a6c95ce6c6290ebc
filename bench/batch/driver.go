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

// Delays and intervals outside the controller. Those of the adapters are as
// in package daemon.
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
	usageInterval = 5 * time.Second // of measurements at a worker
	usageLag      = 2 * time.Second
)

// cluster joins controllers of all zones to a fake log and to stand-ins of
// workers, in virtual time and in one goroutine.
type cluster struct {
	plan     plan
	start    time.Time
	now      time.Time
	random   *rand.Rand
	queue    events
	serial   uint64
	streams  map[string]*stream
	down     bool            // the log, for all
	cut      map[string]bool // instances that can't reach the log
	nodes    []*node
	alive    map[string]*node
	workers  []*backend
	byID     map[string]*backend
	listed   []provider.Instance
	relisted int // times that the list changed
	listSize int // bytes
	answers  map[uint64]func(error)
	asked    uint64
	sent     map[string]time.Time // submissions by task
	meter    meter
}

type node struct {
	*cluster
	c      *controller.Controller
	id     string
	zone   string
	gone   bool
	booted uint64 // incarnation
	seen   int    // the list's change that was read last
}

type backend struct {
	*worker.Worker
	zone string
	rack string
	dead bool
}

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

// newCluster returns a cluster without a configuration. It is to be used by
// the calling goroutine only.
func newCluster(p plan) *cluster {
	runtime.LockOSThread() // processor time is that of the thread
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{
		plan: p, start: start, now: start,
		random:  rand.New(rand.NewPCG(p.seed, 1)),
		streams: map[string]*stream{},
		cut:     map[string]bool{},
		alive:   map[string]*node{},
		byID:    map[string]*backend{},
		answers: map[uint64]func(error){},
		sent:    map[string]time.Time{},
		meter:   newMeter(),
	}
	for i := range p.size.Workers {
		c.addWorker(i)
	}
	for i := range p.size.Instances {
		c.boot(fmt.Sprintf("e%02d", i), zoneName(i%p.size.AvailabilityZones))
	}
	c.relist()
	return c
}

func zoneName(i int) string {
	return "zone-" + string(rune('a'+i))
}

func (c *cluster) addWorker(i int) {
	id := fmt.Sprintf("w%04d", i)
	zone := i % c.plan.size.AvailabilityZones
	inZone := i / c.plan.size.AvailabilityZones
	b := &backend{
		Worker: worker.New(id,
			worker.WithClock(func() time.Time { return c.now }),
			worker.WithUsage(usageInterval, usageLag),
			worker.WithCapacity(workerCapacity)),
		zone: zoneName(zone),
		rack: fmt.Sprintf("r%02d", inZone/workersPerRack),
	}
	c.workers = append(c.workers, b)
	c.byID[id] = b
}

// boot starts an instance, also in place of one under the same ID.
func (c *cluster) boot(id, zone string) *node {
	self := controller.Self{ID: id, AvailabilityZone: zone, Incarnation: uint64(c.now.UnixMilli()), Address: "10.0.0.1:7000"}
	n := &node{cluster: c, id: id, zone: zone, booted: self.Incarnation, c: controller.New(self, c.plan.timing)}
	c.nodes = append(c.nodes, n)
	c.alive[id] = n
	phase := time.Duration(len(c.nodes)) * 7 * time.Millisecond % tickInterval
	c.after(phase, n.tick)
	c.after(phase, n.list)
	c.after(phase, func() { n.follow(controller.ZoneStream(zone)) })
	c.after(phase, func() { n.follow(controller.ConfigStream) })
	return n
}

func (c *cluster) kill(n *node) {
	n.gone = true
	delete(c.alive, n.id)
}

// relist makes the instance list anew. Whatever died is off it at once; the
// lists that instances hold are older by up to the interval of polls.
func (c *cluster) relist() {
	c.listed = nil
	for _, n := range c.nodes {
		if !n.gone {
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
	c.relisted++
	c.listSize = jsonSize(c.listed)
}

func (c *cluster) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, event{c.now.Add(d), c.serial, run})
}

// run moves time on.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// runUntil moves time on until done, and reports whether that came in time.
func (c *cluster) runUntil(limit time.Duration, done func() bool) bool {
	for end := c.now.Add(limit); c.now.Before(end); {
		if done() {
			return true
		}
		c.run(tickInterval)
	}
	return done()
}

func (n *node) tick() {
	if n.gone {
		return
	}
	n.step(controller.Tick{})
	n.after(tickInterval, n.tick)
}

func (n *node) list() {
	if n.gone {
		return
	}
	n.meter.add(n.id, listBytes, n.plan.wire.list)
	if n.seen != n.relisted {
		n.seen = n.relisted
		n.meter.add(n.id, listBytes, n.listSize)
	}
	n.step(controller.Listed{Instances: n.listed})
	n.after(listInterval, n.list)
}

// follow reads a stream's tail, one page at a time.
func (n *node) follow(stream string) {
	if n.gone {
		return
	}
	sent := n.now
	from := n.c.Next(stream)
	n.after(logDelay, func() {
		if n.down || n.cut[n.id] {
			n.after(appendTimeout, func() { n.taken(stream, sent, provider.Page{}, errLog) })
			return
		}
		n.stream(stream).read(n.cluster, from, func(page provider.Page) {
			n.after(logDelay, func() { n.taken(stream, sent, page, nil) })
		})
	})
}

func (n *node) taken(stream string, sent time.Time, page provider.Page, err error) {
	if n.gone {
		return
	}
	n.meter.read(n.id, stream, page, n.plan.wire)
	n.step(controller.Read{Stream: stream, Sent: sent, Page: page, Err: err})
	n.after(tailInterval, func() { n.follow(stream) })
}

func (n *node) step(in controller.Input) {
	if n.gone {
		return
	}
	before := threadTime()
	actions := n.c.Step(n.now, in)
	n.meter.step(n.id, in, threadTime()-before)
	for _, a := range actions {
		n.carryOut(a)
	}
}

func (n *node) carryOut(a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		n.append(a)
	case controller.Call:
		n.after(networkDelay, func() { n.arrive(a, n.now.Add(-networkDelay)) })
	case controller.Poll:
		n.after(networkDelay, func() { n.poll(n.byID[a.Worker]) })
	case controller.Send:
		n.send(a)
	case controller.Answer:
		if f, ok := n.answers[a.ID]; ok {
			delete(n.answers, a.ID)
			f(a.Err)
		}
	case controller.Event:
		n.meter.event(a)
	}
}

func (n *node) append(a controller.Append) {
	n.meter.append(n.id, a, n.plan.wire)
	n.after(logDelay, func() {
		if n.down || n.cut[n.id] {
			n.after(appendTimeout, func() { n.step(controller.Appended{Stream: a.Stream, Err: errLog}) })
			return
		}
		n.stream(a.Stream).append(n.cluster, a.Data)
		n.after(logDelay, func() { n.step(controller.Appended{Stream: a.Stream}) })
	})
}

func (n *node) arrive(a controller.Call, sent time.Time) {
	b := n.byID[a.Worker]
	if b.dead {
		n.after(callTimeout, func() { n.reply(a, sent, provider.Lease{}, errSilent) })
		return
	}
	l, err := b.execute(a)
	n.meter.call(n.id, a, l, n.plan.wire)
	n.after(networkDelay, func() { n.reply(a, sent, l, err) })
}

// poll brings an instance a worker's report.
func (n *node) poll(b *backend) {
	if b.dead {
		return
	}
	r := b.Report()
	n.meter.add(n.id, reportBytes, n.plan.wire.report+jsonSize(r))
	n.after(networkDelay, func() { n.step(controller.Reported{Worker: r.Worker, Report: r}) })
}

func (n *node) reply(a controller.Call, sent time.Time, l provider.Lease, err error) {
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

func (b *backend) execute(a controller.Call) (provider.Lease, error) {
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

func (n *node) send(a controller.Send) {
	to, ok := n.alive[a.To]
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

// ask gives an instance a command and calls back with its answer.
func (n *node) ask(in func(id uint64) controller.Input, answered func(error)) {
	n.asked++
	n.answers[n.asked] = answered
	n.step(in(n.asked))
}

// submit queues tasks at any instance of a zone.
func (c *cluster) submit(zone string, tasks []record.Task) {
	var open []*node
	for _, n := range c.nodes {
		if !n.gone && n.zone == zone && !c.cut[n.id] {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		c.meter.refused += len(tasks)
		return
	}
	for _, t := range tasks {
		c.sent[t.ID] = c.now
	}
	c.meter.submitted += len(tasks)
	n := open[c.random.IntN(len(open))]
	n.ask(func(id uint64) controller.Input { return controller.Submit{ID: id, Tasks: tasks} }, func(err error) {
		if err != nil {
			c.meter.refused += len(tasks)
		}
	})
}
