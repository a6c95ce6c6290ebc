package controller_test

import (
	"fmt"
	"math/rand/v2"
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
	step    = 100 * time.Millisecond
	latency = 50 * time.Millisecond
	timeout = 1500 * time.Millisecond
	theLog  = "log"
)

var testTiming = controller.Timing{
	Heartbeat: time.Second,
	Suspicion: 3 * time.Second,
	Lease:     6 * time.Second,
	Task:      20 * time.Second,
	Drift:     time.Second,
	Isolation: 30 * time.Second,
	Append:    250 * time.Millisecond,
	Snapshot:  20 * time.Second,
	Fence:     6 * time.Second,
	Command:   5 * time.Second,
}

// harness joins controllers of one zone to a fake log and to stand-ins of
// workers, all in virtual time and in one goroutine.
type harness struct {
	t       *testing.T
	start   time.Time
	now     time.Time
	rand    *rand.Rand
	streams map[string][]provider.Entry
	oldest  uint64 // of the zone stream
	nodes   map[string]*node
	workers map[string]*worker.Worker
	dead    map[string]bool // workers
	leaving map[string]bool // workers, on the list
	stalled map[string]bool // workers that stand still; calls wait for them
	events  []event
	cuts    map[[2]string]bool
	lose    float64 // part of the answers that get lost
	logDown bool
	most    map[string]int64 // highest use of a group's processors

	submitted  int // tasks
	transcript strings.Builder
}

type node struct {
	c      *controller.Controller
	id     string
	paused bool
	inbox  []controller.Input
	left   bool
	done   []controller.Answer
	table  *route.Table
}

type event struct {
	at  time.Time
	run func()
}

func newHarness(t *testing.T, seed uint64, instances, workers int) *harness {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &harness{
		t: t, start: start, now: start,
		rand:    rand.New(rand.NewPCG(seed, 1)),
		streams: map[string][]provider.Entry{},
		nodes:   map[string]*node{},
		workers: map[string]*worker.Worker{},
		dead:    map[string]bool{},
		stalled: map[string]bool{},
		leaving: map[string]bool{},
		cuts:    map[[2]string]bool{},
		most:    map[string]int64{},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		h.workers[id] = worker.New(id,
			worker.WithClock(func() time.Time { return h.now }),
			worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
	}
	for i := range instances {
		h.boot(fmt.Sprintf("e%d", i))
	}
	return h
}

// boot starts an instance, also in place of one under the same ID.
func (h *harness) boot(id string) {
	self := controller.Self{ID: id, AvailabilityZone: "a", Incarnation: uint64(h.now.UnixMilli()), Address: id}
	h.nodes[id] = &node{id: id, c: controller.New(self, testTiming)}
}

func (h *harness) list() []provider.Instance {
	var all []provider.Instance
	for _, id := range keys(h.nodes) {
		all = append(all, provider.Instance{ID: id, Role: provider.RoleEntry, AvailabilityZone: "a", Address: id, Status: provider.StatusLive})
	}
	for _, id := range keys(h.workers) {
		if !h.dead[id] {
			in := h.workers[id].Instance("a", "r", id)
			if h.leaving[id] {
				in.Status = provider.StatusLeaving
			}
			all = append(all, in)
		}
	}
	return all
}

// run moves time on and checks what must hold after every step.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(step)
		h.deliver()
		for _, id := range keys(h.nodes) {
			if n, ok := h.nodes[id]; ok {
				h.turn(n)
			}
		}
		h.check()
	}
}

// turn gives an instance its inputs of one step.
func (h *harness) turn(n *node) {
	if n.paused {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, in := range inbox {
		h.feed(n, in)
	}
	if h.now.Sub(h.start)%time.Second == 0 {
		h.feed(n, controller.Listed{Instances: h.list()})
	}
	for _, stream := range []string{controller.ZoneStream("a"), controller.ConfigStream} {
		h.feed(n, h.read(n, stream))
	}
	h.feed(n, controller.Tick{})
}

func (h *harness) feed(n *node, in controller.Input) {
	for _, a := range n.c.Step(h.now, in) {
		h.carryOut(n, a)
	}
}

func (h *harness) read(n *node, stream string) controller.Input {
	in := controller.Read{Stream: stream, Sent: h.now}
	if h.logDown || h.isCut(n.id, theLog) {
		in.Err = fault.New(fault.Unavailable, "log")
		return in
	}
	entries := h.streams[stream]
	oldest := uint64(0)
	if stream != controller.ConfigStream {
		oldest = h.oldest
	}
	in.Page = provider.Page{Oldest: oldest, Next: uint64(len(entries))}
	from := n.c.Next(stream)
	if from < oldest {
		in.Page.Entries = entries[oldest:]
	} else {
		in.Page.Entries = entries[from:]
	}
	return in
}

func (h *harness) carryOut(n *node, a controller.Action) {
	switch a := a.(type) {
	case controller.Append:
		h.append(n, a)
	case controller.Call:
		h.call(n, a)
	case controller.Poll:
		h.poll(n, a)
	case controller.Send:
		h.send(n, a)
	case controller.Publish:
		n.table = a.Table
	case controller.Answer:
		n.done = append(n.done, a)
		h.write("%s answers %d: %v", n.id, a.ID, a.Err)
	case controller.Left:
		n.left = true
		delete(h.nodes, n.id)
	case controller.Event:
		h.write("%s %s %v", n.id, a.Name, a.Fields)
	}
}

// write adds a line to the session's transcript.
func (h *harness) write(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(&h.transcript, "%7v %s\n", h.now.Sub(h.start), line)
	if testing.Verbose() {
		h.t.Logf("%v %s", h.now.Sub(h.start), line)
	}
}

// after runs f later, and answer brings an input to an instance unless it
// was replaced in the meantime.
func (h *harness) after(d time.Duration, f func()) {
	h.events = append(h.events, event{h.now.Add(d), f})
}

func (h *harness) answer(n *node, in controller.Input) {
	if h.nodes[n.id] == n {
		n.inbox = append(n.inbox, in)
	}
}

func (h *harness) deliver() {
	due := h.events
	h.events = nil
	for _, e := range due {
		if e.at.After(h.now) {
			h.events = append(h.events, e)
			continue
		}
		e.run()
	}
}

func (h *harness) append(n *node, a controller.Append) {
	h.after(latency, func() {
		if h.logDown || h.isCut(n.id, theLog) {
			h.after(timeout, func() {
				h.answer(n, controller.Appended{Stream: a.Stream, Err: fault.New(fault.Unavailable, "log")})
			})
			return
		}
		for _, data := range a.Data {
			h.writeRecord(a.Stream, data)
			s := h.streams[a.Stream]
			h.streams[a.Stream] = append(s, provider.Entry{Offset: uint64(len(s)), Time: h.now, Data: data})
		}
		var err error
		if h.rand.Float64() < h.lose {
			err = fault.New(fault.MayHaveRun, "answer lost")
		}
		h.after(latency, func() { h.answer(n, controller.Appended{Stream: a.Stream, Err: err}) })
	})
}

// writeRecord adds an appended record to the transcript in readable form.
func (h *harness) writeRecord(stream string, data []byte) {
	if stream == controller.ConfigStream {
		h.write("appended to %s", stream)
		return
	}
	r, err := record.Decode(data)
	if err != nil {
		h.t.Fatal(err)
	}
	h.write("appended %d by %s/%d: %s", len(h.streams[stream]), r.Writer.ID, r.Sequence, body(r))
}

func body(r record.Record) string {
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

func (h *harness) call(n *node, a controller.Call) {
	c := &call{n: n, a: a, sent: h.now}
	h.after(latency, func() { h.arrive(c) })
}

// call is a call under way. It is answered once: by the worker, or by the
// caller's time-out.
type call struct {
	n        *node
	a        controller.Call
	sent     time.Time
	answered bool
}

func (h *harness) arrive(c *call) {
	if h.isCut(c.n.id, c.a.Worker) || h.dead[c.a.Worker] {
		h.after(timeout, func() { h.reply(c, provider.Lease{}, fault.New(fault.MayHaveRun, "no answer")) })
		return
	}
	if h.stalled[c.a.Worker] {
		h.after(timeout, func() { h.reply(c, provider.Lease{}, fault.New(fault.MayHaveRun, "no answer")) })
		h.after(step, func() { h.resume(c) })
		return
	}
	h.take(c)
}

// resume carries out a call that waited for a stalled worker.
func (h *harness) resume(c *call) {
	if h.stalled[c.a.Worker] {
		h.after(step, func() { h.resume(c) })
		return
	}
	h.take(c)
}

func (h *harness) take(c *call) {
	l, err := h.execute(c.a)
	if h.rand.Float64() < h.lose {
		err = fault.New(fault.MayHaveRun, "answer lost")
	}
	h.after(latency, func() { h.reply(c, l, err) })
}

func (h *harness) reply(c *call, l provider.Lease, err error) {
	if c.answered {
		return
	}
	c.answered = true
	n, a, sent := c.n, c.a, c.sent
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		h.answer(n, controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: sent, Lease: l, Err: err})
	default:
		task := a.Task
		if a.Verb == controller.Start {
			task = a.Spec.ID
		}
		h.answer(n, controller.Called{Worker: a.Worker, Verb: a.Verb, Task: task, Attempt: a.Spec.Attempt, Sent: sent, Err: err})
	}
}

func (h *harness) execute(a controller.Call) (provider.Lease, error) {
	w := h.workers[a.Worker]
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

func (h *harness) poll(n *node, a controller.Poll) {
	h.after(latency, func() {
		if h.isCut(n.id, a.Worker) || h.dead[a.Worker] || h.stalled[a.Worker] {
			return
		}
		report := h.workers[a.Worker].Report()
		h.after(latency, func() { h.answer(n, controller.Reported{Worker: a.Worker, Report: report}) })
	})
}

func (h *harness) send(n *node, a controller.Send) {
	h.after(latency, func() {
		to, ok := h.nodes[a.To]
		if !ok || h.isCut(n.id, a.To) {
			return
		}
		switch m := a.Message.(type) {
		case message.Heartbeat:
			h.answer(to, controller.Heard{Heartbeat: member.Heartbeat(m)})
		case message.Handover:
			h.answer(to, controller.HandedOver{From: n.id, Worker: m.Worker, Epoch: m.Epoch})
		case message.ConfigRequest:
			h.answer(to, controller.Asked{From: n.id, Revision: m.Revision})
		case message.Config:
			h.answer(to, controller.Offered{From: n.id, Config: m})
		}
	})
}

func (h *harness) isCut(a, b string) bool {
	return h.cuts[[2]string{a, b}] || h.cuts[[2]string{b, a}]
}

// check holds what must be true at every moment.
func (h *harness) check() {
	for _, n := range h.nodes {
		s := n.c.State()
		if s == nil {
			continue
		}
		for name, g := range s.Groups() {
			h.most[name] = max(h.most[name], g.Used.Processors)
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
	var all []worker.Ledger
	for _, id := range keys(h.workers) {
		all = append(all, h.workers[id].Ledger())
	}
	return worker.Merge(all...)
}

// settledBy runs until every task has ended on record at every instance.
func (h *harness) settledBy(limit time.Duration) bool {
	for end := h.now.Add(limit); h.now.Before(end); {
		h.run(time.Second)
		if h.settled() {
			return true
		}
	}
	return false
}

// settled reports whether every submitted task has ended, and every instance
// knows it.
func (h *harness) settled() bool {
	for _, n := range h.nodes {
		s := n.c.State()
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
	return len(h.nodes) > 0
}

func (h *harness) any() *node {
	for _, id := range keys(h.nodes) {
		if !h.nodes[id].paused {
			return h.nodes[id]
		}
	}
	return nil
}

func tasks(n int, group, command string) []record.Task {
	var all []record.Task
	for i := range n {
		all = append(all, record.Task{
			ID: fmt.Sprintf("%s-%d", group, i), Group: group,
			Need: resource.Vector{Processors: 1000, Memory: 512}, Command: command,
		})
	}
	return all
}

func keys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Strings(all)
	return all
}
