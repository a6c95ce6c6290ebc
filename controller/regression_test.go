package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/controller"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
	history "github.com/dogwoodladder/dogwoodladder/revision"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	jobManifest = testManifest + `
jobs:
  - {name: nightly, group: red, tasks: 1, need: {processors: 1, memory: 1GiB}, command: sleep 20s, duration: 20s}
`
	jobTaskID = "job/red/nightly/0"

	ownershipTime   = 5 * time.Second  // by then the listed workers are owned
	longCommandSize = 5 << 10          // bytes; exceeds what the zone's state keeps of one task
	retention       = 24 * time.Hour   // of ended tasks
	overruleWindow  = 31 * time.Second // after it a recovery snapshot can't be overruled
)

// newInstanceOwning returns an instance that owns the given workers.
func newInstanceOwning(t *testing.T, ids ...string) *singleInstance {
	s := newSingleInstance(t)
	s.listedWorkers = ids
	s.run(ownershipTime)
	return s
}

// runStep feeds the instance the inputs of one step, with the given result of
// reading the zone stream, and returns its actions.
func (s *singleInstance) runStep(zoneRead controller.Input) []controller.Action {
	s.now = s.now.Add(step)
	inputs := append(s.inbox, controller.Listed{Instances: s.instances()}, zoneRead, s.read(controller.ConfigStream), controller.Tick{})
	s.inbox = nil
	var all []controller.Action
	for _, in := range inputs {
		all = append(all, s.feedActions(in)...)
	}
	return all
}

// feedActions feeds the instance an input, carries out its appends and calls,
// and returns all its actions.
func (s *singleInstance) feedActions(in controller.Input) []controller.Action {
	actions := s.c.Step(s.now, in)
	for _, a := range actions {
		switch a := a.(type) {
		case controller.Append:
			s.append(a)
		case controller.Call:
			s.call(a)
		}
	}
	return actions
}

// streamLength returns the number of records appended to the zone stream.
func (s *singleInstance) streamLength() uint64 {
	return uint64(len(s.streams[controller.ZoneStream("a")]))
}

// replayState returns the state that results from replaying the zone stream.
func (s *singleInstance) replayState() *zone.State {
	state := zone.New("a")
	for _, e := range s.streams[controller.ZoneStream("a")] {
		r, err := record.Decode(e.Data)
		if err != nil {
			s.t.Fatal(err)
		}
		state.Apply(e.Offset, e.Time, r)
	}
	return state
}

// newJobTasks returns n tasks of one job.
func newJobTasks(n int, need resource.Vector, command string) []record.Task {
	all := newTasks(n, "red", command)
	for i := range all {
		all[i].Job = "j"
		all[i].Need = need
	}
	return all
}

// Guards against a declared job's task that runs a second time when its
// retention passes while the job stays declared: the state forgets the ended
// task, and comparing the declaration with the state must not submit it again.
func TestDeclaredTaskRunsOnce(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.feed(controller.Apply{ID: 9, Base: 1, Author: "ann", Manifest: []byte(jobManifest)})
	s.runUntil("done", func() bool {
		task, ok := s.c.State().Task(jobTaskID)
		return ok && task.State == zone.Done
	})
	s.run(10 * time.Second)
	n, _ := s.taskRuns()
	is.Equal(n, 1)
	s.now = s.now.Add(retention + time.Second)
	s.run(30 * time.Second)
	n, _ = s.taskRuns()
	is.Equal(n, 1)
}

// Guards against a submission that is answered as accepted although one of its
// tasks never runs. Two tasks are submitted together, and one is refused for
// its long command; the answer must reflect each task and not only whether the
// record had an effect.
func TestPartlyRefusedSubmission(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	both := newTasks(2, "red", "sleep 1s")
	both[1].Command = strings.Repeat("x", longCommandSize)
	s.feed(controller.Submit{ID: 5, Tasks: both})
	answers := s.readAnswers()
	is.Equal(len(answers), 1)
	is.True(answers[0].Err != nil)
	_, accepted := s.c.State().Task(both[0].ID)
	is.True(accepted)
	_, accepted = s.c.State().Task(both[1].ID)
	is.True(!accepted)
}

// readAnswers returns the answers to commands while their records are read back.
func (s *singleInstance) readAnswers() []controller.Answer {
	var answers []controller.Answer
	for range 20 {
		for _, a := range s.runStep(s.read(controller.ZoneStream("a"))) {
			if a, ok := a.(controller.Answer); ok {
				answers = append(answers, a)
			}
		}
	}
	return answers
}

// Guards against a task that runs although its cancellation was answered as done: the record of
// the task came after that of the cancellation, which found no such task.
func TestCancelOfUnknownTask(t *testing.T) {
	known := newTasks(1, "red", "sleep 1h")
	tests := []struct {
		name   string
		cancel controller.Cancel
		kind   fault.Kind // of the error
		done   bool       // whether there is none
	}{
		{"unknown task", controller.Cancel{ID: 6, Tasks: []string{"late"}}, fault.NotFound, false},
		{"unknown job", controller.Cancel{ID: 6, Jobs: []string{"late"}}, fault.NotFound, false},
		{"one of two", controller.Cancel{ID: 6, Tasks: []string{known[0].ID, "late"}}, fault.MayHaveRun, false},
		{"known", controller.Cancel{ID: 6, Tasks: []string{known[0].ID}}, 0, true},
		{"job with ended tasks", controller.Cancel{ID: 6, Jobs: []string{"ended"}}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newInstanceOwning(t, "w0")
			ended := newTasks(1, "red", "sleep 1s")
			ended[0].ID, ended[0].Job = "e", "ended"
			s.feed(controller.Submit{ID: 5, Tasks: append(ended, known...)})
			s.run(time.Second)
			s.feed(controller.Cancel{ID: 7, Tasks: []string{"e"}})
			s.run(10 * time.Second)
			s.feed(tt.cancel)
			answers := s.readAnswers()
			is.Equal(len(answers), 1)
			is.Equal(answers[0].Err == nil, tt.done)
			is.True(tt.done || fault.Is(answers[0].Err, tt.kind))
		})
	}
}

// Guards against a call queue that grows for as long as its worker is slow.
// Sixty small tasks are started on a worker that takes one call at a time,
// with renewals between the starts; a renewal must not repeat the starts that
// are queued and not sent yet.
func TestQueuedStartsAreNotRepeated(t *testing.T) {
	is := is.New(t)
	const started = 60
	s := newInstanceOwning(t, "w0")
	s.feed(controller.Submit{ID: 5, Tasks: newJobTasks(started, resource.Vector{Processors: 10, Memory: 1}, "never")})
	for range 2 * time.Minute / step {
		s.run(step)
		is.True(s.queuedCallCount() <= started)
	}
}

// queuedCallCount returns the number of calls queued for w0.
func (s *singleInstance) queuedCallCount() int {
	_, line, _ := strings.Cut(s.c.Dump(s.now), "id=w0 ")
	_, calls, _ := strings.Cut(line, " calls=")
	n := 0
	if _, err := fmt.Sscan(calls, &n); err != nil {
		s.t.Fatal(err)
	}
	return n
}

// Guards against tasks of a cancelled job that are started and stopped one by
// one, so that the cancellation takes minutes. Four hundred tasks are claimed,
// and most of their starts are still queued when their job is cancelled.
func TestCancelOfManyTasks(t *testing.T) {
	is := is.New(t)
	const submitted = 400
	s := newInstanceOwning(t, "w0", "w1")
	s.feed(controller.Submit{ID: 5, Tasks: newJobTasks(submitted, resource.Vector{Processors: 1, Memory: 1}, "sleep 1h")})
	s.run(10 * time.Second)
	s.feed(controller.Cancel{ID: 6, Jobs: []string{"j"}})
	s.run(time.Second) // by now the Cancel record is read back
	started := s.startedTaskCount()
	is.True(started < submitted/2)
	s.run(2 * time.Minute)
	is.Equal(s.c.State().Group("red").Cancelled, uint64(submitted))
	is.Equal(s.startedTaskCount(), started)
}

// startedTaskCount returns the number of tasks that were ever started.
func (s *singleInstance) startedTaskCount() int {
	return len(worker.Merge(s.workers["w0"].Ledger(), s.workers["w1"].Ledger()).Tasks)
}

// Guards against one attempt that runs on two workers. A claimed task finds no
// capacity because its worker is quarantined; a Return is written and waits
// for the log; the quarantine ends. The task must not be started here while
// its Return is in flight, since others may start it once that is read.
func TestReturnedTaskIsNotStarted(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.submit("sleep 1m")
	s.runUntil("claimed", func() bool { return s.countClaims() > 0 })
	s.quarantineWorker("w0")
	s.run(2 * time.Second)
	s.appendsFail = true
	s.run(2 * time.Second)
	is.Equal(s.task().State, zone.Escrowed)
	is.True(!s.runsOn("w0"))
	s.endQuarantine("w0")
	s.run(5 * time.Second)
	s.appendsFail = false
	for range 30 * time.Second / step {
		s.run(step)
		is.True(s.task().State != zone.Queued || !s.runsOn("w0"))
	}
	is.True(s.hasReturnRecord())
	_, overlap := s.taskRuns()
	is.True(!overlap)
}

// endQuarantine records a completed task on a quarantined worker as another
// instance.
func (s *singleInstance) endQuarantine(id string) {
	need := resource.Vector{Processors: 1}
	s.appendAsPeer(8, record.Record{Own: &record.Own{Worker: "w3", Epoch: 1, Capacity: resource.Vector{Processors: 3}}})
	s.appendAsPeer(9, record.Record{Submit: &record.Submit{Tasks: []record.Task{{ID: "q", Group: "blue", Need: need}}}})
	s.appendAsPeer(10, record.Record{Claim: &record.Claim{Tasks: []string{"q"}}})
	s.appendAsPeer(11, record.Record{Done: &record.Done{Attempt: record.Attempt{Task: "q", Number: 1}, Worker: id}})
}

// hasReturnRecord reports whether the log has a Return record.
func (s *singleInstance) hasReturnRecord() bool {
	for _, e := range s.streams[controller.ZoneStream("a")] {
		r, err := record.Decode(e.Data)
		if err == nil && r.Return != nil {
			return true
		}
	}
	return false
}

// Guards against a worker that stays idle forever while its tasks stay
// escrowed. A worker and its owner restart together, and the worker counts its
// epochs from one again. The Own record of the low epoch is void, so the lease
// must be acquired again until the epoch exceeds the recorded one.
func TestWorkerRestartsItsEpochs(t *testing.T) {
	is := is.New(t)
	s := newSingleInstance(t)
	for range 6 {
		l, err := s.workers["w0"].Acquire(provider.LeaseRequest{Holder: "e1", TTL: time.Second})
		is.NoErr(err)
		is.NoErr(s.workers["w0"].Release(l.Epoch))
	}
	s.listedWorkers = []string{"w0"}
	s.run(ownershipTime)
	s.submit("sleep 10s")
	s.runUntil("started", func() bool { return s.runsOn("w0") })
	s.workers["w0"] = worker.New("w0",
		worker.WithIncarnation(2),
		worker.WithClock(func() time.Time { return s.now }),
		worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
	s.boot()
	s.run(10 * time.Minute)
	is.Equal(s.task().State, zone.Done)
}

// Guards against a task that runs again after its end is recorded. A start gets
// no answer and is repeated; the first one reaches the worker once the result of
// the second is acknowledged.
func TestRepeatedStartIsFenced(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Verb == controller.Start && len(s.interceptedCalls) == 0
	}
	s.submit("sleep 2s")
	s.runUntil("done", func() bool { return s.task().State == zone.Done })
	s.runUntil("acknowledged", func() bool { return len(s.workers["w0"].Report().Tasks) == 0 })
	_, err := s.execute(s.interceptedCalls[0])
	is.True(fault.Is(err, fault.StaleEpoch))
}

// Guards against a cancelled task that runs on forever. The answer to its stop
// says that the worker's lease is lost, and the lease is acquired again. The
// stop never took effect, so it must be sent again.
func TestStopIsSentAgainAfterLostLease(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.submit("never")
	s.runUntil("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	lost := true
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.StaleEpoch, "lost"), lost && a.Verb == controller.Stop
	}
	s.feed(controller.Cancel{ID: 4, Tasks: []string{"t"}})
	s.runUntil("stop sent", func() bool { return len(s.interceptedCalls) > 0 })
	lost = false
	s.run(5 * time.Minute)
	is.Equal(s.task().State, zone.Cancelled)
}

// Guards against an older program that cancels the jobs of a newer manifest
// and blocks its shares. During an upgrade a newer program publishes a
// manifest that this one can't decode, and queues a task of its job. This one
// must neither write the old manifest's limits under the new revision nor
// cancel tasks that the old manifest doesn't declare.
func TestOlderProgramIgnoresNewerManifest(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	publish := &history.Publish{Base: 1, Author: "bob", Key: "k", Manifest: []byte("of a newer program")}
	data, err := history.Encode(history.Record{Publish: publish})
	is.NoErr(err)
	s.appendEntry(controller.ConfigStream, data)
	s.run(13 * time.Second)
	is.Equal(s.c.Revision(), uint64(2))
	is.Equal(s.c.State().Revision(), uint64(1))
	s.appendAsPeer(1, record.Record{Limits: &record.Limits{Revision: 2, Groups: s.groupLimits()}})
	s.appendAsPeer(2, record.Record{Submit: &record.Submit{Tasks: []record.Task{{
		ID:       "job/red/new/0",
		Job:      "job/red/new",
		Group:    "red",
		Need:     resource.Vector{Processors: 1000},
		Command:  "sleep 1m",
		Declared: true,
	}}}})
	s.run(10 * time.Second)
	task, ok := s.c.State().Task("job/red/new/0")
	is.True(ok)
	is.True(task.State != zone.Cancelled)
	is.True(!task.Cancelling)
}

// groupLimits returns the limits in force by group.
func (s *singleInstance) groupLimits() map[string]resource.Vector {
	all := make(map[string]resource.Vector)
	for name, g := range s.c.State().Groups() {
		all[name] = g.Limit
	}
	return all
}

// Guards against an instance that starts new incarnations all the time and
// makes no progress. It restarts with its clock an hour behind and gets an
// incarnation below the recorded one; the next incarnation must be derived
// from the recorded one and not from its own.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.now = s.now.Add(-time.Hour)
	s.boot()
	fenced := 0
	for range time.Minute / step {
		for _, a := range s.runStep(s.read(controller.ZoneStream("a"))) {
			if a, ok := a.(controller.Event); ok && a.Name == "fenced by others" {
				fenced++
			}
		}
	}
	is.True(fenced <= 1)
}

// Guards against a task that waits forever beside an idle worker. The worker
// chosen for it refuses every start and, as it has the most free capacity,
// would be chosen again each time.
func TestRefusedTaskMovesToAnotherWorker(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0", "w1")
	s.interceptCall = func(a controller.Call) (error, bool) {
		first := len(s.interceptedCalls) == 0 || s.interceptedCalls[0].Worker == a.Worker
		return fault.New(fault.Invalid, "refused"), a.Verb == controller.Start && first
	}
	s.submit("sleep 1m")
	s.run(time.Minute)
	is.True(len(s.interceptedCalls) > 0)
	n, _ := s.taskRuns()
	is.Equal(n, 1)
}

// Guards against a task that starts on a worker long after others took it
// over. A start gets no answer, and from then on the worker can be reached but
// the log can't. Renewals must not repeat the start once the state is too old
// to tell who holds the task.
func TestNoStartAfterIsolation(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.interceptCall = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Verb == controller.Start
	}
	s.submit("sleep 1m")
	s.runUntil("sent", func() bool { return len(s.interceptedCalls) > 0 })
	s.readsFail = true
	s.appendsFail = true
	s.run(testTiming.MaxIsolation + testTiming.TaskLease + testTiming.WorkerLease + testTiming.MaxDrift + 10*time.Second)
	sent := len(s.interceptedCalls)
	s.run(10 * time.Second)
	is.Equal(len(s.interceptedCalls), sent)
	s.interceptCall = nil
	s.run(3 * time.Second)
	is.True(!s.runsOn("w0"))
}

// Guards against hundreds of outdated records in the log after a long outage.
// Appends fail for ten minutes while reads work; no snapshot may be queued
// while the previous one still waits.
func TestSnapshotsDoNotPileUp(t *testing.T) {
	is := is.New(t)
	const few = 10
	s := newInstanceOwning(t, "w0")
	s.submit("sleep 1h")
	s.run(3 * time.Second)
	s.appendsFail = true
	s.run(10 * time.Minute)
	is.True(s.c.Status(s.now).Waiting < few)
}

// Guards against a group that keeps more than its share for as long as its
// tasks run. A group's tasks take its whole share, and a manifest then reduces
// it; limits must not be enforced only when a task is claimed.
func TestSmallerShareEvicts(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0", "w1")
	s.feed(controller.Submit{ID: 5, Tasks: newTasks(8, "red", "sleep 1h")})
	s.run(5 * time.Second)
	less := strings.ReplaceAll(testManifest, "name: red, share: 50%", "name: red, share: 10%")
	is.True(!s.c.State().Group("red").Used.IsZero())
	before := s.c.State().Group("red").Limit
	s.feed(controller.Apply{ID: 3, Base: 1, Author: "bob", Manifest: []byte(less)})
	s.run(5 * time.Minute)
	g := s.c.State().Group("red")
	is.True(g.Limit != before)
	is.True(g.Used.Fits(g.Limit))
}

// Guards against an owned worker that gets no tasks forever. Its Own record is
// appended while the log can't be read; another instance writes a snapshot
// that includes it, and the log drops older records. The owner must not wait
// to read back its own record, which is gone.
func TestOwnRecordExpiresUnread(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.readsFail = true
	s.listedWorkers = []string{"w0", "w1"}
	s.run(3 * time.Second)
	state := s.replayState()
	_, known := state.Worker("w1")
	is.True(known)
	data, err := state.Snapshot()
	is.NoErr(err)
	oldest := s.streamLength()
	s.appendAsPeer(1, record.Record{Snapshot: &record.Snapshot{At: oldest - 1, State: data}})
	s.readsFail = false
	for range 5 * time.Minute / step {
		s.runStep(s.readFrom(oldest))
	}
	is.Equal(strings.Count(s.c.Dump(s.now), "phase=adopted"), len(s.listedWorkers))
}

// readFrom returns the result of reading the zone stream when the log has
// dropped all records before an offset.
func (s *singleInstance) readFrom(oldest uint64) controller.Input {
	stream := controller.ZoneStream("a")
	from := max(s.c.NextOffset(stream), oldest)
	page := provider.Page{Oldest: oldest, Next: s.streamLength(), Entries: s.streams[stream][from:]}
	return controller.Read{Stream: stream, Sent: s.now, Page: page}
}

// Guards against an owned worker that gets no tasks forever. A recovery
// snapshot from before the worker was owned takes effect, and no append
// succeeds until then. The owner must check the state again and not just renew
// a lease that the log doesn't know.
func TestOwnershipLostFromRecord(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t)
	old, err := s.c.State().Snapshot()
	is.NoErr(err)
	s.listedWorkers = []string{"w0"}
	s.run(ownershipTime)
	s.appendsFail = true
	s.appendAsPeer(1, record.Record{Snapshot: &record.Snapshot{At: s.streamLength() - 1, State: old, Recovery: true}})
	s.run(overruleWindow)
	s.appendAsPeer(2, record.Record{Marker: &record.Marker{}})
	s.run(time.Second)
	_, known := s.c.State().Worker("w0")
	is.True(!known)
	s.appendsFail = false
	s.run(ownershipTime)
	s.submit("sleep 1s")
	s.run(5 * time.Minute)
	is.Equal(s.task().State, zone.Done)
}

// Guards against a declared job that doesn't run. One manifest declares the
// job, the next one doesn't, and a third one declares it again; the job's
// cancelled tasks are still known and must not count as submitted.
func TestJobDeclaredAgain(t *testing.T) {
	is := is.New(t)
	s := newInstanceOwning(t, "w0")
	s.feed(controller.Apply{ID: 9, Base: 1, Author: "ann", Manifest: []byte(jobManifest)})
	s.run(5 * time.Second)
	s.feed(controller.Apply{ID: 10, Base: 2, Author: "bob", Manifest: []byte(testManifest)})
	s.run(5 * time.Second)
	task, _ := s.c.State().Task(jobTaskID)
	is.Equal(task.State, zone.Cancelled)
	s.feed(controller.Apply{ID: 11, Base: 3, Author: "ann", Manifest: []byte(jobManifest)})
	s.run(5 * time.Minute)
	task, _ = s.c.State().Task(jobTaskID)
	is.Equal(task.State, zone.Done)
}
