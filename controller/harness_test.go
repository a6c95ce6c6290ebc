package controller_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const (
	step        = 100 * time.Millisecond
	latency     = 50 * time.Millisecond
	callTimeout = 1500 * time.Millisecond
	logEndpoint = "log"
)

var testTiming = controller.Timing{
	HeartbeatInterval: time.Second,
	SuspicionTimeout:  3 * time.Second,
	WorkerLease:       6 * time.Second,
	TaskLease:         20 * time.Second,
	MaxDrift:          time.Second,
	MaxIsolation:      30 * time.Second,
	AppendInterval:    250 * time.Millisecond,
	SnapshotInterval:  20 * time.Second,
	FenceAfter:        6 * time.Second,
	CommandTimeout:    5 * time.Second,
}

// harness connects the controllers of one zone to a fake log and to stand-in
// workers, all in virtual time and in one goroutine.
type harness struct {
	t              *testing.T
	start          time.Time
	now            time.Time
	rand           *rand.Rand
	streams        map[string][]provider.Entry
	oldest         uint64 // of the zone stream
	instances      map[string]*instance
	workers        map[string]*worker.Worker
	addresses      map[string]string // of workers that aren't listed under their own
	endedLedgers   []worker.Ledger   // of the workers' earlier incarnations
	restarts       uint32            // of workers
	deadWorkers    map[string]bool
	leavingWorkers map[string]bool // listed as leaving
	stalledWorkers map[string]bool // calls to them wait until the stall ends
	scheduled      []scheduledFunc
	cutLinks       map[[2]string]bool
	answerLoss     float64 // fraction of answers that get lost
	logDown        bool
	maxUsed        map[string]int64 // highest use of processors by group

	submitted  int // tasks
	transcript strings.Builder
}

type instance struct {
	c       *controller.Controller
	id      string
	paused  bool
	inbox   []controller.Input
	left    bool
	answers []controller.Answer
	routes  *route.Table
}

type scheduledFunc struct {
	at  time.Time
	run func()
}

func newHarness(t *testing.T, seed uint64, instances, workers int) *harness {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &harness{
		t: t, start: start, now: start,
		rand:           rand.New(rand.NewPCG(seed, 1)),
		streams:        map[string][]provider.Entry{},
		instances:      map[string]*instance{},
		workers:        map[string]*worker.Worker{},
		deadWorkers:    map[string]bool{},
		stalledWorkers: map[string]bool{},
		leavingWorkers: map[string]bool{},
		cutLinks:       map[[2]string]bool{},
		maxUsed:        map[string]int64{},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h.workers[id] = h.newWorker(id, 1)
	}
	for i := range instances {
		h.boot(fmt.Sprintf("e%d", i))
	}
	return h
}

// newWorker returns one incarnation of a worker.
func (h *harness) newWorker(id string, incarnation uint32) *worker.Worker {
	return worker.New(id,
		worker.WithIncarnation(incarnation),
		worker.WithClock(func() time.Time { return h.now }),
		worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
}

// boot starts an instance, replacing a running one with the same ID.
func (h *harness) boot(id string) {
	self := controller.Self{ID: id, AvailabilityZone: "a", Incarnation: uint64(h.now.UnixMilli()), Address: id}
	h.instances[id] = &instance{id: id, c: controller.New(self, testTiming)}
}

func (h *harness) list() []provider.Instance {
	var all []provider.Instance
	for _, id := range sortedKeys(h.instances) {
		all = append(all, provider.Instance{ID: id, Role: provider.RoleEntry, AvailabilityZone: "a", Address: id, Status: provider.StatusLive})
	}
	for _, id := range sortedKeys(h.workers) {
		if !h.deadWorkers[id] {
			in := h.workers[id].Instance("a", "r", cmp.Or(h.addresses[id], id))
			if h.leavingWorkers[id] {
				in.Status = provider.StatusLeaving
			}
			all = append(all, in)
		}
	}
	return all
}

// run advances time and checks the invariants after every step.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		h.runScheduled()
		for _, id := range sortedKeys(h.instances) {
			if inst, ok := h.instances[id]; ok {
				h.stepInstance(inst)
			}
		}
		h.checkInvariants()
	}
}

// stepInstance feeds an instance its inputs of one step.
func (h *harness) stepInstance(inst *instance) {
	if inst.paused {
		return
	}
	inbox := inst.inbox
	inst.inbox = nil
	for _, in := range inbox {
		h.feed(inst, in)
	}
	if h.now.Sub(h.start)%time.Second == 0 {
		h.feed(inst, controller.Listed{Instances: h.list()})
	}
	for _, stream := range []string{controller.ZoneStream("a"), controller.ConfigStream} {
		h.feed(inst, h.read(inst, stream))
	}
	h.feed(inst, controller.Tick{})
}

func (h *harness) feed(inst *instance, in controller.Input) {
	for _, a := range inst.c.Step(h.now, in) {
		h.handleAction(inst, a)
	}
}

func (h *harness) read(inst *instance, stream string) controller.Input {
	in := controller.Read{Stream: stream, Sent: h.now}
	if h.logDown || h.isCut(inst.id, logEndpoint) {
		in.Err = fault.New(fault.Unavailable, "log")
		return in
	}
	entries := h.streams[stream]
	oldest := uint64(0)
	if stream != controller.ConfigStream {
		oldest = h.oldest
	}
	in.Page = provider.Page{Oldest: oldest, Next: uint64(len(entries))}
	from := inst.c.NextOffset(stream)
	if from < oldest {
		in.Page.Entries = entries[oldest:]
	} else {
		in.Page.Entries = entries[from:]
	}
	return in
}

func (h *harness) handleAction(inst *instance, a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		h.append(inst, a)
	case controller.Call:
		h.call(inst, a)
	case controller.Poll:
		h.poll(inst, a)
	case controller.Send:
		h.send(inst, a)
	case controller.Publish:
		inst.routes = a.Table
	case controller.Answer:
		inst.answers = append(inst.answers, a)
		h.logf("%s answers %d: %v", inst.id, a.ID, a.Err)
	case controller.Left:
		inst.left = true
		delete(h.instances, inst.id)
	case controller.Event:
		h.logf("%s %s %v", inst.id, a.Name, a.Fields)
	}
}

// logf adds a line to the transcript.
func (h *harness) logf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(&h.transcript, "%7v %s\n", h.now.Sub(h.start), line)
	if testing.Verbose() {
		h.t.Logf("%v %s", h.now.Sub(h.start), line)
	}
}

// schedule runs f after a delay.
func (h *harness) schedule(d time.Duration, f func()) {
	h.scheduled = append(h.scheduled, scheduledFunc{h.now.Add(d), f})
}

// deliverInput queues an input for an instance unless that was replaced in the
// meantime.
func (h *harness) deliverInput(inst *instance, in controller.Input) {
	if h.instances[inst.id] == inst {
		inst.inbox = append(inst.inbox, in)
	}
}

func (h *harness) runScheduled() {
	due := h.scheduled
	h.scheduled = nil
	for _, e := range due {
		if e.at.After(h.now) {
			h.scheduled = append(h.scheduled, e)
			continue
		}
		e.run()
	}
}

func (h *harness) append(inst *instance, a controller.Append) {
	h.schedule(latency, func() {
		if h.logDown || h.isCut(inst.id, logEndpoint) {
			h.schedule(callTimeout, func() {
				h.deliverInput(inst, controller.Appended{Stream: a.Stream, Err: fault.New(fault.Unavailable, "log")})
			})
			return
		}
		for _, data := range a.Data {
			h.logRecord(a.Stream, data)
			s := h.streams[a.Stream]
			h.streams[a.Stream] = append(s, provider.Entry{Offset: uint64(len(s)), Time: h.now, Data: data})
		}
		var err error
		if h.rand.Float64() < h.answerLoss {
			err = fault.New(fault.MayHaveRun, "answer lost")
		}
		h.schedule(latency, func() { h.deliverInput(inst, controller.Appended{Stream: a.Stream, Err: err}) })
	})
}

// logRecord adds an appended record to the transcript in readable form.
func (h *harness) logRecord(stream string, data []byte) {
	if stream == controller.ConfigStream {
		h.logf("appended to %s", stream)
		return
	}
	r, err := record.Decode(data)
	if err != nil {
		h.t.Fatal(err)
	}
	h.logf("appended %d by %s/%d: %s", len(h.streams[stream]), r.Writer.ID, r.Sequence, describeRecord(r))
}

func describeRecord(r record.Record) string {
	switch {
	case r.Limits != nil:
		return fmt.Sprintf("limits revision=%d", r.Limits.Revision)
	case r.Submit != nil:
		return fmt.Sprintf("submit tasks=%d first=%s", len(r.Submit.Tasks), r.Submit.Tasks[0].ID)
	case r.Own != nil:
		return fmt.Sprintf("own worker=%s epoch=%d held=%v", r.Own.Worker, r.Own.Epoch, r.Own.Held)
	case r.Claim != nil:
		return fmt.Sprintf("claim %v", r.Claim.Tasks)
	case r.Return != nil:
		return fmt.Sprintf("return %v", r.Return.Tasks)
	case r.Done != nil:
		return fmt.Sprintf("done %v worker=%s", r.Done.Attempt, r.Done.Worker)
	case r.Evicted != nil:
		return fmt.Sprintf("evicted %v worker=%s checkpoint=%q", r.Evicted.Attempt, r.Evicted.Worker, r.Evicted.Checkpoint)
	case r.Failed != nil:
		return fmt.Sprintf("failed %v worker=%s reason=%q", r.Failed.Attempt, r.Failed.Worker, r.Failed.Reason)
	case r.Cancel != nil:
		return fmt.Sprintf("cancel tasks=%d jobs=%v", len(r.Cancel.Tasks), r.Cancel.Jobs)
	case r.Fence != nil:
		return fmt.Sprintf("fence %s", r.Fence.Instance.ID)
	case r.Lapse != nil:
		return fmt.Sprintf("lapse worker=%s epoch=%d", r.Lapse.Worker, r.Lapse.Epoch)
	case r.Snapshot != nil:
		return fmt.Sprintf("snapshot at=%d recovery=%v", r.Snapshot.At, r.Snapshot.Recovery)
	case r.Park != nil:
		return fmt.Sprintf("park %s", r.Park.Task)
	}
	return "marker"
}

func (h *harness) call(inst *instance, a controller.Call) {
	c := &call{n: inst, a: a, sent: h.now}
	h.schedule(latency, func() { h.deliverCall(c) })
}

// call is a call in flight. It is answered once, by the worker or by the
// caller's timeout.
type call struct {
	n        *instance
	a        controller.Call
	sent     time.Time
	answered bool
}

func (h *harness) deliverCall(c *call) {
	if h.isCut(c.n.id, c.a.Worker) || h.deadWorkers[c.a.Worker] {
		h.schedule(callTimeout, func() { h.reply(c, provider.Lease{}, fault.New(fault.MayHaveRun, "no answer")) })
		return
	}
	if h.stalledWorkers[c.a.Worker] {
		h.schedule(callTimeout, func() { h.reply(c, provider.Lease{}, fault.New(fault.MayHaveRun, "no answer")) })
		h.schedule(step, func() { h.retryStalledCall(c) })
		return
	}
	h.executeCall(c)
}

// retryStalledCall executes a call once its worker is no longer stalled.
func (h *harness) retryStalledCall(c *call) {
	if h.stalledWorkers[c.a.Worker] {
		h.schedule(step, func() { h.retryStalledCall(c) })
		return
	}
	h.executeCall(c)
}

func (h *harness) executeCall(c *call) {
	l, err := h.execute(c.a)
	if h.rand.Float64() < h.answerLoss {
		err = fault.New(fault.MayHaveRun, "answer lost")
	}
	h.schedule(latency, func() { h.reply(c, l, err) })
}

func (h *harness) reply(c *call, l provider.Lease, err error) {
	if c.answered {
		return
	}
	c.answered = true
	inst, a, sent := c.n, c.a, c.sent
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		h.deliverInput(inst, controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: sent, Lease: l, Err: err})
	default:
		task := a.Task
		if a.Verb == controller.Start {
			task = a.Spec.ID
		}
		h.deliverInput(inst, controller.Called{Worker: a.Worker, Verb: a.Verb, Task: task, Attempt: a.Spec.Attempt, Sent: sent, Err: err})
	}
}

func (h *harness) execute(a controller.Call) (provider.Lease, error) {
	w := h.workers[a.Address]
	switch a.Verb {
	case controller.Acquire:
		return w.Acquire(a.Lease)
	case controller.Renew:
		return w.Renew(a.Lease)
	case controller.Transfer:
		return w.Transfer(a.Epoch, a.To)
	case controller.Release:
		return provider.Lease{}, w.Release(a.Epoch)
	case controller.Start:
		err := w.Start(a.Epoch, a.Spec)
		if fault.Is(err, fault.Overloaded) {
			h.t.Errorf("%v: %s got more than it holds: %v", h.now.Sub(h.start), a.Worker, err)
		}
		return provider.Lease{}, err
	case controller.Throttle:
		return provider.Lease{}, w.Throttle(a.Epoch, a.Task, a.Percent)
	case controller.Stop:
		return provider.Lease{}, w.Stop(a.Epoch, a.Task, a.Checkpoint)
	case controller.Acknowledge:
		return provider.Lease{}, w.Acknowledge(a.Epoch, a.Tasks)
	}
	return provider.Lease{}, fault.New(fault.Internal, "no verb")
}

func (h *harness) poll(inst *instance, a controller.Poll) {
	h.schedule(latency, func() {
		if h.isCut(inst.id, a.Worker) || h.deadWorkers[a.Worker] || h.stalledWorkers[a.Worker] {
			return
		}
		report := h.workers[a.Address].Report()
		h.schedule(latency, func() { h.deliverInput(inst, controller.Reported{Worker: a.Worker, Report: report}) })
	})
}

func (h *harness) send(inst *instance, a controller.Send) {
	h.schedule(latency, func() {
		to, ok := h.instances[a.To]
		if !ok || h.isCut(inst.id, a.To) {
			return
		}
		switch m := a.Message.(type) {
		case message.Heartbeat:
			h.deliverInput(to, controller.Heard{Heartbeat: member.Heartbeat(m)})
		case message.Handover:
			h.deliverInput(to, controller.HandedOver{From: inst.id, Worker: m.Worker, Epoch: m.Epoch})
		case message.ConfigRequest:
			h.deliverInput(to, controller.Asked{From: inst.id, Revision: m.Revision})
		case message.Config:
			h.deliverInput(to, controller.Offered{From: inst.id, Config: m})
		}
	})
}

func (h *harness) isCut(a, b string) bool {
	return h.cutLinks[[2]string{a, b}] || h.cutLinks[[2]string{b, a}]
}

// checkInvariants fails the test when a group exceeds its limit or a task runs
// in two places.
func (h *harness) checkInvariants() {
	for _, inst := range h.instances {
		s := inst.c.State()
		if s == nil {
			continue
		}
		for name, g := range s.Groups() {
			h.maxUsed[name] = max(h.maxUsed[name], g.Used.Processors)
			if !g.Used.Fits(g.Limit) {
				h.t.Fatalf("%v: group %s holds %v of %v", h.now.Sub(h.start), name, g.Used, g.Limit)
			}
		}
	}
	if h.now.Sub(h.start)%time.Second != 0 {
		return
	}
	for _, account := range h.ledger().Tasks {
		if account.Overlap {
			h.t.Fatalf("%v: task %s ran in two places: %+v", h.now.Sub(h.start), account.Task, account.Runs)
		}
	}
}

func (h *harness) ledger() worker.Ledger {
	all := slices.Clone(h.endedLedgers)
	for _, id := range sortedKeys(h.workers) {
		all = append(all, h.workers[id].Ledger())
	}
	return worker.Merge(all...)
}

// runUntilSettled advances time until every task has a recorded end at every
// instance, for at most d.
func (h *harness) runUntilSettled(limit time.Duration) bool {
	for end := h.now.Add(limit); h.now.Before(end); {
		h.run(time.Second)
		if h.isSettled() {
			return true
		}
	}
	return false
}

// isSettled reports whether every submitted task has ended in the state of
// every instance.
func (h *harness) isSettled() bool {
	for _, inst := range h.instances {
		s := inst.c.State()
		if s == nil {
			return false
		}
		ended := 0
		for _, g := range s.Groups() {
			ended += int(g.Done+g.Cancelled) + g.Parked
		}
		if ended != h.submitted {
			return false
		}
	}
	return len(h.instances) > 0
}

func (h *harness) anyRunning() *instance {
	for _, id := range sortedKeys(h.instances) {
		if !h.instances[id].paused {
			return h.instances[id]
		}
	}
	return nil
}

func newTasks(n int, group, command string) []record.Task {
	var all []record.Task
	for i := range n {
		all = append(all, record.Task{
			ID: fmt.Sprintf("%s-%d", group, i), Group: group,
			Need: resource.Vector{Processors: 1000, Memory: 512}, Command: command,
		})
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}
