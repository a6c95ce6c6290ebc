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

// solo is one instance with stand-ins of two workers and a log whose reads
// and appends fail apart from each other. Calls can be kept back one by one.
type solo struct {
	t       *testing.T
	c       *controller.Controller
	now     time.Time
	streams map[string][]provider.Entry
	unread  bool // reads of the log fail
	closed  bool // appends fail
	workers map[string]*worker.Worker
	list    []string                            // workers on the instance list
	keep    func(controller.Call) (error, bool) // the answer to a call that doesn't arrive
	kept    []controller.Call
	inbox   []controller.Input
}

func newSolo(t *testing.T) *solo {
	s := &solo{
		t:       t,
		now:     time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		streams: map[string][]provider.Entry{},
		workers: map[string]*worker.Worker{},
	}
	for _, id := range []string{"w0", "w1"} {
		s.workers[id] = worker.New(id,
			worker.WithClock(func() time.Time { return s.now }),
			worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
	}
	s.boot()
	s.feed(controller.Apply{ID: 1, Author: "ann", Manifest: []byte(testManifest)})
	return s
}

// boot starts the instance, also in place of an earlier run.
func (s *solo) boot() {
	s.inbox = nil
	s.c = controller.New(controller.Self{ID: "e0", AvailabilityZone: "a", Incarnation: uint64(s.now.UnixMilli()), Address: "e0"}, testTiming)
}

// run moves time on.
func (s *solo) run(d time.Duration) {
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

func (s *solo) instances() []provider.Instance {
	all := []provider.Instance{{ID: "e0", Role: provider.RoleEntry, AvailabilityZone: "a", Address: "e0", Status: provider.StatusLive}}
	for _, id := range s.list {
		all = append(all, s.workers[id].Instance("a", "r", id))
	}
	return all
}

func (s *solo) read(stream string) controller.Input {
	in := controller.Read{Stream: stream, Sent: s.now}
	if s.unread {
		in.Err = fault.New(fault.Unavailable, "log")
		return in
	}
	entries := s.streams[stream]
	in.Page = provider.Page{Next: uint64(len(entries)), Entries: entries[s.c.Next(stream):]}
	return in
}

func (s *solo) feed(in controller.Input) {
	for _, a := range s.c.Step(s.now, in) {
		switch a := a.(type) {
		case controller.Append:
			s.append(a)
		case controller.Call:
			s.call(a)
		}
	}
}

func (s *solo) append(a controller.Append) {
	if s.closed {
		s.inbox = append(s.inbox, controller.Appended{Stream: a.Stream, Err: fault.New(fault.Unavailable, "log")})
		return
	}
	for _, data := range a.Data {
		s.write(a.Stream, data)
	}
	s.inbox = append(s.inbox, controller.Appended{Stream: a.Stream})
}

func (s *solo) write(stream string, data []byte) {
	all := s.streams[stream]
	s.streams[stream] = append(all, provider.Entry{Offset: uint64(len(all)), Time: s.now, Data: data})
}

func (s *solo) call(a controller.Call) {
	if s.keep != nil {
		if err, ok := s.keep(a); ok {
			s.kept = append(s.kept, a)
			s.answer(a, provider.Lease{}, err)
			return
		}
	}
	l, err := s.execute(a)
	s.answer(a, l, err)
}

func (s *solo) execute(a controller.Call) (provider.Lease, error) {
	h := harness{t: s.t, now: s.now, workers: s.workers}
	return h.execute(a)
}

func (s *solo) answer(a controller.Call, l provider.Lease, err error) {
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

// submit queues one task of the whole of a worker.
func (s *solo) submit(command string) {
	task := record.Task{ID: "t", Group: "red", Need: resource.Vector{Processors: 4000, Memory: 512}, Command: command}
	s.feed(controller.Submit{ID: 2, Tasks: []record.Task{task}})
}

// until moves time on until something is so.
func (s *solo) until(what string, so func() bool) {
	s.t.Helper()
	for range 300 {
		if so() {
			return
		}
		s.run(step)
	}
	s.t.Fatalf("never so: %s\n%s", what, s.c.Dump(s.now))
}

// runs returns how often the task was started, and whether in two places at
// once.
func (s *solo) runs() (int, bool) {
	l := worker.Merge(s.workers["w0"].Ledger(), s.workers["w1"].Ledger())
	if len(l.Tasks) == 0 {
		return 0, false
	}
	return len(l.Tasks[0].Runs), l.Tasks[0].Overlap
}

// runsOn reports whether a worker runs the task now.
func (s *solo) runsOn(id string) bool {
	for _, t := range s.workers[id].Report().Tasks {
		if t.State == provider.TaskRunning {
			return true
		}
	}
	return false
}

func (s *solo) task() zone.Task {
	t, _ := s.c.State().Task("t")
	return t
}

// Symptom: a task runs on two workers after a restart.
// Sequence: e0 claims a task for w0; before it reads the claim back, it loses
// w0 and takes over w1 from e1, but its Own record of w1 doesn't get into the
// log. It reads the claim, then restarts and can't reach w1 any more.
// Cause: the task is started on w1, which the log doesn't know as e0's, so
// that the earlier run's escrow is settled without it.
func TestNoStartBeforeOwnershipIsRead(t *testing.T) {
	is := is.New(t)
	s := newSolo(t)
	s.list = []string{"w0"}
	s.run(5 * time.Second)
	l, err := s.workers["w1"].Acquire(provider.LeaseRequest{Holder: "e1", TTL: time.Second})
	is.NoErr(err)
	s.other(1, record.Record{Own: &record.Own{Worker: "w1", Epoch: l.Epoch, Capacity: l.Capacity}})
	s.run(5 * time.Second)
	s.submit("sleep 1m")
	s.until("claimed", func() bool { return s.claims() > 0 })
	s.unread = true
	s.closed = true
	s.list = []string{"w1"}
	s.workers["w0"].Release(s.epoch("w0"))
	s.keep = func(a controller.Call) (error, bool) {
		return fault.New(fault.StaleEpoch, "released"), a.Worker == "w0"
	}
	s.run(3 * time.Second)
	s.unread = false
	s.run(time.Second)
	is.Equal(s.task().State, zone.Escrowed)
	is.Equal(s.epoch("w1"), l.Epoch+1) // it is leased

	s.boot()
	s.closed = false
	s.list = []string{"w0", "w1"}
	s.keep = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Worker == "w1"
	}
	s.until("started on w0", func() bool { return s.runsOn("w0") })
	_, twice := s.runs()
	is.True(!twice)
}

func (s *solo) epoch(id string) uint64 {
	return s.workers[id].Report().Epoch
}

// claims counts the Claim records in the log.
func (s *solo) claims() int {
	n := 0
	for _, e := range s.streams[controller.ZoneStream("a")] {
		r, err := record.Decode(e.Data)
		if err == nil && r.Claim != nil {
			n++
		}
	}
	return n
}

// Symptom: one attempt runs on two workers.
// Sequence: the answer to a start on w0 stays away; it is repeated and
// refused; w0 gets no new work, because other tasks failed there; the first
// start arrives after all.
// Cause: the refusal is taken as an answer to both, and the task is started
// on w1.
func TestRefusalAfterUnansweredStart(t *testing.T) {
	is := is.New(t)
	s := newSolo(t)
	s.list = []string{"w0", "w1"}
	s.run(5 * time.Second)
	first := ""
	s.keep = func(a controller.Call) (error, bool) {
		if a.Verb != controller.Start || first != "" && a.Worker != first {
			return nil, false
		}
		if first == "" {
			first = a.Worker
			return fault.New(fault.MayHaveRun, "no answer"), true
		}
		return fault.New(fault.Invalid, "refused"), len(s.kept) == 1
	}
	s.submit("sleep 1m")
	s.until("unanswered", func() bool { return len(s.kept) == 1 })
	s.quarantine(first)
	s.until("refused", func() bool { return len(s.kept) == 2 })
	s.run(time.Second)
	s.execute(s.kept[0])
	s.run(3 * time.Second)
	n, twice := s.runs()
	is.True(n > 0)
	is.True(!twice)
	on := 0
	for _, id := range s.list {
		if s.runsOn(id) {
			on++
		}
	}
	is.Equal(on, 1)
}

// Symptom: a task that is queued again goes on where it ran, and is started a
// second time elsewhere.
// Sequence: a task runs on w0; another instance writes a recovery snapshot
// of a state from before the claim, and no append of e0 gets through until it
// takes effect.
// Cause: e0 goes on extending the lease of a task that isn't in its escrow
// any more.
func TestStaleAttemptIsStopped(t *testing.T) {
	is := is.New(t)
	s := newSolo(t)
	s.list = []string{"w0"}
	s.run(5 * time.Second)
	s.submit("sleep 10m")
	s.until("queued", func() bool { return s.c.State() != nil && s.task().ID != "" })
	old, err := s.c.State().Snapshot()
	is.NoErr(err)
	s.until("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	s.closed = true
	s.other(1, record.Record{Snapshot: &record.Snapshot{At: uint64(len(s.streams[controller.ZoneStream("a")])) - 1, State: old, Recovery: true}})
	s.run(31 * time.Second)
	is.True(s.runsOn("w0")) // as long as the snapshot may be overruled
	s.other(2, record.Record{Marker: &record.Marker{}})
	s.run(200 * time.Millisecond)
	is.Equal(s.task().State, zone.Queued)
	s.run(4 * time.Second)
	is.True(!s.runsOn("w0"))
}

// Symptom: a task goes on for ever on a worker although the log knows nothing
// of it.
// Sequence: a task runs on w0; the log loses everything; e0 restarts and takes
// w0 again, but no stop gets through.
// Cause: once its Own record is read, e0 extends all task leases on w0, also
// those of attempts that aren't in its escrow.
func TestStaleAttemptIsNotExtended(t *testing.T) {
	is := is.New(t)
	s := newSolo(t)
	s.list = []string{"w0"}
	s.run(5 * time.Second)
	s.submit("sleep 10m")
	s.until("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	clear(s.streams)
	s.boot()
	s.keep = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Verb == controller.Stop
	}
	s.run(testTiming.Task + testTiming.Lease)
	is.True(len(s.kept) > 0) // it was asked to stop
	is.True(!s.runsOn("w0"))
}

// quarantine has another instance fail three tasks on a worker.
func (s *solo) quarantine(id string) {
	need := resource.Vector{Processors: 1}
	ids := []string{"x", "y", "z"}
	s.other(1, record.Record{Own: &record.Own{Worker: "w2", Epoch: 1, Capacity: resource.Vector{Processors: 3}}})
	var all []record.Task
	for _, task := range ids {
		all = append(all, record.Task{ID: task, Group: "blue", Need: need})
	}
	s.other(2, record.Record{Submit: &record.Submit{Tasks: all}})
	s.other(3, record.Record{Claim: &record.Claim{Tasks: ids}})
	for i, task := range ids {
		s.other(uint64(4+i), record.Record{Failed: &record.Failed{Attempt: record.Attempt{Task: task, Number: 1}, Worker: id}})
	}
	s.other(7, record.Record{Cancel: &record.Cancel{Tasks: ids}})
}

// other writes a record as another instance.
func (s *solo) other(sequence uint64, r record.Record) {
	r.Version = record.Version
	r.Writer = record.Writer{ID: "e1", Incarnation: 1}
	r.Sequence = sequence
	data, err := record.Encode(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write(controller.ZoneStream("a"), data)
}
