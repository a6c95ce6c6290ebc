package controller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// singleInstance is one instance with two stand-in workers and a log whose
// reads and appends can fail independently. Single calls can be intercepted.
type singleInstance struct {
	t                *testing.T
	c                *controller.Controller
	now              time.Time
	streams          map[string][]provider.Entry
	readsFail        bool
	appendsFail      bool
	workers          map[string]*worker.Worker
	listedWorkers    []string                            // workers on the instance list
	interceptCall    func(controller.Call) (error, bool) // returns the answer to a call that isn't delivered, and whether it is intercepted
	interceptedCalls []controller.Call
	inbox            []controller.Input
}

func newSingleInstance(t *testing.T) *singleInstance {
	s := &singleInstance{
		t:       t,
		now:     time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		streams: map[string][]provider.Entry{},
		workers: map[string]*worker.Worker{},
	}
	for _, id := range []string{"w0", "w1"} {
		s.workers[id] = worker.New(id,
			worker.WithIncarnation(1),
			worker.WithClock(func() time.Time { return s.now }),
			worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
	}
	s.boot()
	s.feed(controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	return s
}

// boot starts the instance, replacing an earlier incarnation.
func (s *singleInstance) boot() {
	s.inbox = nil
	s.c = controller.New(controller.Self{ID: "e0", AvailabilityZone: "a", Incarnation: uint64(s.now.UnixMilli()), Address: "e0"}, testTiming)
}

// run advances time.
func (s *singleInstance) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		inbox := s.inbox
		s.inbox = nil
		for _, in := range inbox {
			s.feed(in)
		}
		s.feed(controller.Listed{Instances: s.instances()})
		s.feed(s.read(controller.ZoneStream("a")))
		s.feed(s.read(controller.ConfigStream))
		s.feed(controller.Tick{})
	}
}

func (s *singleInstance) instances() []provider.Instance {
	all := []provider.Instance{{ID: "e0", Role: provider.RoleEntry, AvailabilityZone: "a", Address: "e0", Status: provider.StatusLive}}
	for _, id := range s.listedWorkers {
		all = append(all, s.workers[id].Instance("a", "r", id))
	}
	return all
}

func (s *singleInstance) read(stream string) controller.Input {
	in := controller.Read{Stream: stream, Sent: s.now}
	if s.readsFail {
		in.Err = fault.New(fault.Unavailable, "log")
		return in
	}
	entries := s.streams[stream]
	in.Page = provider.Page{Next: uint64(len(entries)), Entries: entries[s.c.NextOffset(stream):]}
	return in
}

func (s *singleInstance) feed(in controller.Input) {
	for _, a := range s.c.Step(s.now, in) {
		switch a := a.(type) {
		case controller.Append:
			s.append(a)
		case controller.Call:
			s.call(a)
		}
	}
}

func (s *singleInstance) append(a controller.Append) {
	if s.appendsFail {
		s.inbox = append(s.inbox, controller.Appended{Stream: a.Stream, Err: fault.New(fault.Unavailable, "log")})
		return
	}
	for _, data := range a.Data {
		s.appendEntry(a.Stream, data)
	}
	s.inbox = append(s.inbox, controller.Appended{Stream: a.Stream})
}

func (s *singleInstance) appendEntry(stream string, data []byte) {
	all := s.streams[stream]
	s.streams[stream] = append(all, provider.Entry{Offset: uint64(len(all)), Time: s.now, Data: data})
}

func (s *singleInstance) call(a controller.Call) {
	if s.interceptCall != nil {
		if err, ok := s.interceptCall(a); ok {
			s.interceptedCalls = append(s.interceptedCalls, a)
			s.answer(a, provider.Lease{}, err)
			return
		}
	}
	l, err := s.execute(a)
	s.answer(a, l, err)
}

func (s *singleInstance) execute(a controller.Call) (provider.Lease, error) {
	h := harness{t: s.t, now: s.now, workers: s.workers}
	return h.execute(a)
}

func (s *singleInstance) answer(a controller.Call, l provider.Lease, err error) {
	switch a.Verb {
	case controller.Acquire, controller.Renew, controller.Transfer:
		s.inbox = append(s.inbox, controller.Leased{Worker: a.Worker, Verb: a.Verb, Sent: s.now, Lease: l, Err: err})
	default:
		task := a.Task
		if a.Verb == controller.Start {
			task = a.Spec.ID
		}
		s.inbox = append(s.inbox, controller.Called{Worker: a.Worker, Verb: a.Verb, Task: task, Attempt: a.Spec.Attempt, Sent: s.now, Err: err})
	}
}

// submit queues one task that needs a whole worker.
func (s *singleInstance) submit(command string) {
	task := record.Task{ID: "t", Group: "red", Need: resource.Vector{Processors: 4000, Memory: 512}, Command: command}
	s.feed(controller.Submit{ID: 2, Tasks: []record.Task{task}})
}

// runUntil advances time until a condition holds.
func (s *singleInstance) runUntil(what string, condition func() bool) {
	s.t.Helper()
	for range 300 {
		if condition() {
			return
		}
		s.run(step)
	}
	s.t.Fatalf("condition not reached: %s\n%s", what, s.c.Dump(s.now))
}

// taskRuns returns how often the task was started, and whether runs
// overlapped.
func (s *singleInstance) taskRuns() (int, bool) {
	l := worker.Merge(s.workers["w0"].Ledger(), s.workers["w1"].Ledger())
	if len(l.Tasks) == 0 {
		return 0, false
	}
	return len(l.Tasks[0].Runs), l.Tasks[0].Overlap
}

// runsOn reports whether a worker is running the task.
func (s *singleInstance) runsOn(id string) bool {
	for _, t := range s.workers[id].Report().Tasks {
		if t.State == provider.TaskRunning {
			return true
		}
	}
	return false
}

func (s *singleInstance) task() zone.Task {
	t, _ := s.c.State().Task("t")
	return t
}

// Guards against a task that runs on two workers after a restart. e0 claims a
// task for w0; before it reads the claim back, it loses w0 and takes over w1
// from e1, but its Own record of w1 doesn't get into the log. It reads the
// claim, restarts and can no longer reach w1. If it had started the task on
// w1, which the log doesn't know as its worker, the escrow of its previous
// incarnation would be settled without w1.
func TestNoStartBeforeOwnershipIsRead(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(t)
	s.listedWorkers = []string{"w0"}
	s.run(5 * time.Second)
	l, err := s.workers["w1"].Acquire(provider.LeaseRequest{Holder: "e1", TTL: time.Second})
	is.NoErr(err)
	s.appendAsPeer(1, record.Record{Own: &record.Own{Worker: "w1", Epoch: l.Epoch, Capacity: l.Capacity}})
	s.run(5 * time.Second)
	s.submit("sleep 1m")
	s.runUntil("claimed", func() bool { return s.countClaims() > 0 })
	s.readsFail = true
	s.appendsFail = true
	s.listedWorkers = []string{"w1"}
	s.workers["w0"].Release(s.workerEpoch("w0"))
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.StaleEpoch, "released"), a.Worker == "w0"
	}
	s.run(3 * time.Second)
	s.readsFail = false
	s.run(time.Second)
	is.Equal(s.task().State, zone.Escrowed)
	is.Equal(s.workerEpoch("w1"), provider.NextEpoch(l.Epoch, 1)) // e0 holds the lease

	s.boot()
	s.appendsFail = false
	s.listedWorkers = []string{"w0", "w1"}
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Worker == "w1"
	}
	s.runUntil("started on w0", func() bool { return s.runsOn("w0") })
	_, overlap := s.taskRuns()
	is.True(!overlap)
}

func (s *singleInstance) workerEpoch(id string) uint64 {
	return s.workers[id].Report().Epoch
}

// claims counts the Claim records in the log.
func (s *singleInstance) countClaims() int {
	n := 0
	for _, e := range s.streams[controller.ZoneStream("a")] {
		r, err := record.Decode(e.Data)
		if err == nil && r.Claim != nil {
			n++
		}
	}
	return n
}

// Guards against one attempt that runs on two workers. A start on w0 gets no
// answer; it is repeated and refused; w0 gets no new tasks because others
// failed there; then the first start arrives. The refusal must not be taken as
// the answer to both starts, or the task is started on w1 too.
func TestRefusalAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(t)
	s.listedWorkers = []string{"w0", "w1"}
	s.run(5 * time.Second)
	first := ""
	s.interceptCall = func(a controller.Call) (error, bool) {
		if a.Verb != controller.Start || first != "" && a.Worker != first {
			return nil, false
		}
		if first == "" {
			first = a.Worker
			return fault.New(fault.MayHaveRun, "no answer"), true
		}
		return fault.New(fault.Invalid, "refused"), len(s.interceptedCalls) == 1
	}
	s.submit("sleep 1m")
	s.runUntil("unanswered", func() bool { return len(s.interceptedCalls) == 1 })
	s.quarantineWorker(first)
	s.runUntil("refused", func() bool { return len(s.interceptedCalls) == 2 })
	s.run(time.Second)
	s.execute(s.interceptedCalls[0])
	s.run(3 * time.Second)
	n, overlap := s.taskRuns()
	is.True(n > 0)
	is.True(!overlap)
	runningOn := 0
	for _, id := range s.listedWorkers {
		if s.runsOn(id) {
			runningOn++
		}
	}
	is.Equal(runningOn, 1)
}

// Guards against a requeued task that runs on where it was and is started a
// second time elsewhere. A task runs on w0; another instance writes a recovery
// snapshot of a state from before the claim, and no append of e0 succeeds
// until that takes effect. e0 must not extend the lease of a task that left
// its escrow.
func TestStaleAttemptIsStopped(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(t)
	s.listedWorkers = []string{"w0"}
	s.run(5 * time.Second)
	s.submit("sleep 10m")
	s.runUntil("queued", func() bool { return s.c.State() != nil && s.task().ID != "" })
	old, err := s.c.State().Snapshot()
	is.NoErr(err)
	s.runUntil("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	s.appendsFail = true
	s.appendAsPeer(1, record.Record{Snapshot: &record.Snapshot{At: uint64(len(s.streams[controller.ZoneStream("a")])) - 1, State: old, Recovery: true}})
	s.run(31 * time.Second)
	is.True(s.runsOn("w0")) // the snapshot can still be overruled
	s.appendAsPeer(2, record.Record{Marker: &record.Marker{}})
	s.run(200 * time.Millisecond)
	is.Equal(s.task().State, zone.Queued)
	s.run(4 * time.Second)
	is.True(!s.runsOn("w0"))
}

// Guards against a task that runs on forever although the log has no record of
// it. A task runs on w0; the log loses everything; e0 restarts and acquires w0
// again, but no stop arrives. Once its Own record is read, e0 must not extend
// the leases of attempts that aren't in its escrow.
func TestStaleAttemptIsNotExtended(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(t)
	s.listedWorkers = []string{"w0"}
	s.run(5 * time.Second)
	s.submit("sleep 10m")
	s.runUntil("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	clear(s.streams)
	s.boot()
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Verb == controller.Stop
	}
	s.run(testTiming.TaskLease + testTiming.WorkerLease)
	is.True(len(s.interceptedCalls) > 0) // a stop was sent
	is.True(!s.runsOn("w0"))
}

// quarantineWorker records three failed tasks on a worker as another instance,
// which quarantines it.
func (s *singleInstance) quarantineWorker(id string) {
	need := resource.Vector{Processors: 1}
	ids := []string{"x", "y", "z"}
	s.appendAsPeer(1, record.Record{Own: &record.Own{Worker: "w2", Epoch: 1, Capacity: resource.Vector{Processors: 3}}})
	var all []record.Task
	for _, task := range ids {
		all = append(all, record.Task{ID: task, Group: "blue", Need: need})
	}
	s.appendAsPeer(2, record.Record{Submit: &record.Submit{Tasks: all}})
	s.appendAsPeer(3, record.Record{Claim: &record.Claim{Tasks: ids}})
	for i, task := range ids {
		s.appendAsPeer(uint64(4+i), record.Record{Failed: &record.Failed{Attempt: record.Attempt{Task: task, Number: 1}, Worker: id}})
	}
	s.appendAsPeer(7, record.Record{Cancel: &record.Cancel{Tasks: ids}})
}

// appendAsPeer appends a record as another instance.
func (s *singleInstance) appendAsPeer(sequence uint64, r record.Record) {
	r.Version = record.Version
	r.Writer = record.Writer{ID: "e1", Incarnation: 1}
	r.Sequence = sequence
	data, err := record.Encode(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.appendEntry(controller.ZoneStream("a"), data)
}
