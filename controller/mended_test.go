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
	jobTask = "job/red/nightly/0"

	settled     = 5 * time.Second  // after which the listed workers are owned
	longCommand = 5 << 10          // bytes, more than the log's state keeps of one task
	retention   = 24 * time.Hour   // of ended tasks
	grace       = 31 * time.Second // after which a recovery snapshot can't be overruled any more
)

// withWorkers returns an instance that owns the workers.
func withWorkers(t *testing.T, ids ...string) *solo {
	s := newSolo(t)
	s.list = ids
	s.run(settled)
	return s
}

// turn gives the instance the inputs of one step, with a reading of the zone
// stream, and returns what it asked for.
func (s *solo) turn(zoneRead controller.Input) []controller.Action {
	s.now = s.now.Add(step)
	inputs := append(s.inbox, controller.Listed{Instances: s.instances()}, zoneRead, s.read(controller.ConfigStream), controller.Tick{})
	s.inbox = nil
	var all []controller.Action
	for _, in := range inputs {
		all = append(all, s.perform(in)...)
	}
	return all
}

// perform gives the instance an input, carries out what it asks for, and
// returns that.
func (s *solo) perform(in controller.Input) []controller.Action {
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

// length returns how many records the zone stream got so far.
func (s *solo) length() uint64 {
	return uint64(len(s.streams[controller.ZoneStream("a")]))
}

// state folds the zone stream anew.
func (s *solo) state() *zone.State {
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

// many returns n tasks of one job.
func many(n int, need resource.Vector, command string) []record.Task {
	all := tasks(n, "red", command)
	for i := range all {
		all[i].Job = "j"
		all[i].Need = need
	}
	return all
}

// Symptom: finished work runs a second time a day later.
// Sequence: a declared job's task is done; its retention passes while the job
// stays declared.
// Cause: the fold forgets the task, and whoever compares the declaration with
// the state submits it again.
func TestDeclaredTaskRunsOnce(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.feed(controller.Apply{ID: 9, Base: 1, Author: "ann", Manifest: []byte(jobManifest)})
	s.until("done", func() bool {
		task, ok := s.c.State().Task(jobTask)
		return ok && task.State == zone.Done
	})
	s.run(10 * time.Second)
	n, _ := s.runs()
	is.Equal(n, 1)
	s.now = s.now.Add(retention + time.Second)
	s.run(30 * time.Second)
	n, _ = s.runs()
	is.Equal(n, 1)
}

// Symptom: a submission is answered as accepted, and one of its tasks never
// runs.
// Sequence: two tasks are submitted together; the fold takes one and refuses
// the other for its long command.
// Cause: the answer looks only at whether the record as a whole had an effect.
func TestPartlyRefusedSubmission(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	both := tasks(2, "red", "sleep 1s")
	both[1].Command = strings.Repeat("x", longCommand)
	s.feed(controller.Submit{ID: 5, Tasks: both})
	var answers []controller.Answer
	for range 20 {
		for _, a := range s.turn(s.read(controller.ZoneStream("a"))) {
			if a, ok := a.(controller.Answer); ok {
				answers = append(answers, a)
			}
		}
	}
	is.Equal(len(answers), 1)
	is.True(answers[0].Err != nil)
	_, taken := s.c.State().Task(both[0].ID)
	is.True(taken)
	_, taken = s.c.State().Task(both[1].ID)
	is.True(!taken)
}

// Symptom: the line of calls to a worker grows for as long as the worker is
// slow.
// Sequence: sixty small tasks are started on a worker that takes one call at a
// time; renewals come between the starts.
// Cause: each renewal repeats every start that the worker doesn't list yet,
// also those that weren't sent.
func TestStartsInLineAreNotRepeated(t *testing.T) {
	is := is.New(t)
	const started = 60
	s := withWorkers(t, "w0")
	s.feed(controller.Submit{ID: 5, Tasks: many(started, resource.Vector{Processors: 10, Memory: 1}, "never")})
	for range 2 * time.Minute / step {
		s.run(step)
		is.True(s.inLine() <= started)
	}
}

// inLine returns the calls that wait to be sent to w0.
func (s *solo) inLine() int {
	_, line, _ := strings.Cut(s.c.Dump(s.now), "id=w0 ")
	_, calls, _ := strings.Cut(line, " calls=")
	n := 0
	if _, err := fmt.Sscan(calls, &n); err != nil {
		s.t.Fatal(err)
	}
	return n
}

// Symptom: tasks of a cancelled job are started, and the cancel takes minutes.
// Sequence: four hundred tasks are claimed; most of their starts still wait in
// line when their job is cancelled.
// Cause: the starts go out all the same, and each task is stopped after that.
func TestCancelOfManyTasks(t *testing.T) {
	is := is.New(t)
	const submitted = 400
	s := withWorkers(t, "w0", "w1")
	s.feed(controller.Submit{ID: 5, Tasks: many(submitted, resource.Vector{Processors: 1, Memory: 1}, "sleep 1h")})
	s.run(10 * time.Second)
	s.feed(controller.Cancel{ID: 6, Jobs: []string{"j"}})
	s.run(time.Second) // the cancel is read back
	started := s.started()
	is.True(started < submitted/2)
	s.run(2 * time.Minute)
	is.Equal(s.c.State().Group("red").Cancelled, uint64(submitted))
	is.Equal(s.started(), started)
}

// started counts the tasks that ever ran.
func (s *solo) started() int {
	return len(worker.Merge(s.workers["w0"].Ledger(), s.workers["w1"].Ledger()).Tasks)
}

// Symptom: one attempt runs on two workers.
// Sequence: a claimed task finds no room, because its worker is quarantined; a
// Return is written and waits for the log; the quarantine ends.
// Cause: the task is started although its Return is under way. Once that is
// read, the task is queued for others while it runs here.
func TestReturnedTaskIsNotStarted(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.submit("sleep 1m")
	s.until("claimed", func() bool { return s.claims() > 0 })
	s.quarantine("w0")
	s.run(2 * time.Second)
	s.closed = true
	s.run(2 * time.Second)
	is.Equal(s.task().State, zone.Escrowed)
	is.True(!s.runsOn("w0"))
	s.acquit("w0")
	s.run(5 * time.Second)
	s.closed = false
	for range 30 * time.Second / step {
		s.run(step)
		is.True(s.task().State != zone.Queued || !s.runsOn("w0"))
	}
	is.True(s.returned())
	_, twice := s.runs()
	is.True(!twice)
}

// acquit has another instance complete a task on a quarantined worker.
func (s *solo) acquit(id string) {
	need := resource.Vector{Processors: 1}
	s.other(8, record.Record{Own: &record.Own{Worker: "w3", Epoch: 1, Capacity: resource.Vector{Processors: 3}}})
	s.other(9, record.Record{Submit: &record.Submit{Tasks: []record.Task{{ID: "q", Group: "blue", Need: need}}}})
	s.other(10, record.Record{Claim: &record.Claim{Tasks: []string{"q"}}})
	s.other(11, record.Record{Done: &record.Done{Attempt: record.Attempt{Task: "q", Number: 1}, Worker: id}})
}

// returned reports whether a Return record is in the log.
func (s *solo) returned() bool {
	for _, e := range s.streams[controller.ZoneStream("a")] {
		r, err := record.Decode(e.Data)
		if err == nil && r.Return != nil {
			return true
		}
	}
	return false
}

// Symptom: a worker is idle for ever, and what it ran stays escrowed.
// Sequence: a worker and its owner restart together; the worker counts its
// epochs from one again.
// Cause: the Own record of the low epoch is void, and the lease isn't taken
// again until the epoch is above the one on record.
func TestWorkerCountsEpochsAnew(t *testing.T) {
	is := is.New(t)
	s := newSolo(t)
	for range 6 {
		l, err := s.workers["w0"].Acquire(provider.LeaseRequest{Holder: "e1", TTL: time.Second})
		is.NoErr(err)
		is.NoErr(s.workers["w0"].Release(l.Epoch))
	}
	s.list = []string{"w0"}
	s.run(settled)
	s.submit("sleep 10s")
	s.until("started", func() bool { return s.runsOn("w0") })
	s.workers["w0"] = worker.New("w0",
		worker.WithClock(func() time.Time { return s.now }),
		worker.WithCapacity(resource.Vector{Processors: 4000, Memory: 8192}))
	s.boot()
	s.run(10 * time.Minute)
	is.Equal(s.task().State, zone.Done)
}

// Symptom: a cancelled task runs on for ever.
// Sequence: a task is cancelled; the lease of its worker is lost by the answer
// to the stop, and taken again.
// Cause: the task counts as being stopped, although the stop never arrived, so
// that it isn't sent again.
func TestStopIsSentAgainAfterLostLease(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.submit("never")
	s.until("started", func() bool { return s.runsOn("w0") })
	s.run(3 * time.Second)
	lost := true
	s.keep = func(a controller.Call) (error, bool) {
		return fault.New(fault.StaleEpoch, "lost"), lost && a.Verb == controller.Stop
	}
	s.feed(controller.Cancel{ID: 4, Tasks: []string{"t"}})
	s.until("asked to stop", func() bool { return len(s.kept) > 0 })
	lost = false
	s.run(5 * time.Minute)
	is.Equal(s.task().State, zone.Cancelled)
}

// Symptom: a new manifest's jobs are cancelled, and its shares never come into
// force.
// Sequence: during an upgrade a newer program publishes a manifest that this
// one can't decode, and queues its job's task.
// Cause: this one writes the old manifest's limits under the new revision, and
// cancels the tasks that the old manifest doesn't declare.
func TestOlderProgramKeepsOffNewerManifest(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	publish := &history.Publish{Base: 1, Author: "bob", Key: "k", Manifest: []byte("of a newer program")}
	data, err := history.Encode(history.Record{Publish: publish})
	is.NoErr(err)
	s.write(controller.ConfigStream, data)
	s.run(13 * time.Second)
	is.Equal(s.c.Revision(), uint64(2))
	is.Equal(s.c.State().Revision(), uint64(1))
	s.other(1, record.Record{Limits: &record.Limits{Revision: 2, Groups: s.limits()}})
	s.other(2, record.Record{Submit: &record.Submit{Tasks: []record.Task{{
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

// limits returns the limits in force.
func (s *solo) limits() map[string]resource.Vector {
	all := make(map[string]resource.Vector)
	for name, g := range s.c.State().Groups() {
		all[name] = g.Limit
	}
	return all
}

// Symptom: an instance begins new runs all the time and gets nothing done.
// Sequence: it restarts with its clock an hour behind.
// Cause: the clock gives it an incarnation below the one on record, and the
// next one is chosen from its own instead of from the one on record.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.now = s.now.Add(-time.Hour)
	s.boot()
	fenced := 0
	for range time.Minute / step {
		for _, a := range s.turn(s.read(controller.ZoneStream("a"))) {
			if a, ok := a.(controller.Event); ok && a.Name == "fenced by others" {
				fenced++
			}
		}
	}
	is.True(fenced <= 1)
}

// Symptom: a task waits for ever beside an idle worker.
// Sequence: the worker that was chosen for the task refuses every start.
// Cause: it has the most room, so that the task is put there again at once.
func TestRefusedTaskGoesElsewhere(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0", "w1")
	s.keep = func(a controller.Call) (error, bool) {
		first := len(s.kept) == 0 || s.kept[0].Worker == a.Worker
		return fault.New(fault.Invalid, "refused"), a.Verb == controller.Start && first
	}
	s.submit("sleep 1m")
	s.run(time.Minute)
	is.True(len(s.kept) > 0)
	n, _ := s.runs()
	is.Equal(n, 1)
}

// Symptom: a task starts on a worker long after others took it over.
// Sequence: a start isn't answered; the log can't be reached from then on, but
// the worker can.
// Cause: each renewal repeats the start, also when the state is too old to
// know whose the task is.
func TestNoStartAfterIsolation(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.keep = func(a controller.Call) (error, bool) {
		return fault.New(fault.MayHaveRun, "no answer"), a.Verb == controller.Start
	}
	s.submit("sleep 1m")
	s.until("sent", func() bool { return len(s.kept) > 0 })
	s.unread = true
	s.closed = true
	s.run(testTiming.Isolation + testTiming.Task + testTiming.Lease + testTiming.Drift + 10*time.Second)
	sent := len(s.kept)
	s.run(10 * time.Second)
	is.Equal(len(s.kept), sent)
	s.keep = nil
	s.run(3 * time.Second)
	is.True(!s.runsOn("w0"))
}

// Symptom: after a long outage the log gets hundreds of outdated records.
// Sequence: appends fail for ten minutes while reads work.
// Cause: a snapshot is put in line whenever one is due, although the last one
// still waits.
func TestSnapshotsDoNotPileUp(t *testing.T) {
	is := is.New(t)
	const few = 10
	s := withWorkers(t, "w0")
	s.submit("sleep 1h")
	s.run(3 * time.Second)
	s.closed = true
	s.run(10 * time.Minute)
	is.True(s.c.Status(s.now).Waiting < few)
}

// Symptom: a group keeps more than its share for as long as its tasks run.
// Sequence: a group's tasks take its whole share; a manifest makes the share
// smaller.
// Cause: limits are looked at only when a task is claimed.
func TestSmallerShareEvicts(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0", "w1")
	s.feed(controller.Submit{ID: 5, Tasks: tasks(8, "red", "sleep 1h")})
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

// Symptom: a worker is leased and gets no work for ever.
// Sequence: its Own record is appended while the log can't be read; another
// instance writes a snapshot that holds it, and the log drops what is older.
// Cause: the owner waits to read its own record back, which is gone.
func TestOwnRecordExpiresUnread(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.unread = true
	s.list = []string{"w0", "w1"}
	s.run(3 * time.Second)
	state := s.state()
	_, known := state.Worker("w1")
	is.True(known)
	data, err := state.Snapshot()
	is.NoErr(err)
	oldest := s.length()
	s.other(1, record.Record{Snapshot: &record.Snapshot{At: oldest - 1, State: data}})
	s.unread = false
	for range 5 * time.Minute / step {
		s.turn(s.readFrom(oldest))
	}
	is.Equal(strings.Count(s.c.Dump(s.now), "phase=adopted"), len(s.list))
}

// readFrom reads the zone stream after the log dropped what is older than an
// offset.
func (s *solo) readFrom(oldest uint64) controller.Input {
	stream := controller.ZoneStream("a")
	from := max(s.c.Next(stream), oldest)
	page := provider.Page{Oldest: oldest, Next: s.length(), Entries: s.streams[stream][from:]}
	return controller.Read{Stream: stream, Sent: s.now, Page: page}
}

// Symptom: an owned worker gets no work for ever.
// Sequence: a recovery snapshot from before the worker was owned takes effect;
// no append gets through until then.
// Cause: the owner goes on renewing a lease that the log doesn't know of, and
// doesn't look at the log's state again.
func TestOwnershipLostFromRecord(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t)
	old, err := s.c.State().Snapshot()
	is.NoErr(err)
	s.list = []string{"w0"}
	s.run(settled)
	s.closed = true
	s.other(1, record.Record{Snapshot: &record.Snapshot{At: s.length() - 1, State: old, Recovery: true}})
	s.run(grace)
	s.other(2, record.Record{Marker: &record.Marker{}})
	s.run(time.Second)
	_, known := s.c.State().Worker("w0")
	is.True(!known)
	s.closed = false
	s.run(settled)
	s.submit("sleep 1s")
	s.run(5 * time.Minute)
	is.Equal(s.task().State, zone.Done)
}

// Symptom: a job that is declared doesn't run.
// Sequence: a manifest declares a job, the next one doesn't, and a third one
// declares it again.
// Cause: the job's cancelled tasks are still known, and count as submitted.
func TestJobDeclaredAgain(t *testing.T) {
	is := is.New(t)
	s := withWorkers(t, "w0")
	s.feed(controller.Apply{ID: 9, Base: 1, Author: "ann", Manifest: []byte(jobManifest)})
	s.run(5 * time.Second)
	s.feed(controller.Apply{ID: 10, Base: 2, Author: "bob", Manifest: []byte(testManifest)})
	s.run(5 * time.Second)
	task, _ := s.c.State().Task(jobTask)
	is.Equal(task.State, zone.Cancelled)
	s.feed(controller.Apply{ID: 11, Base: 3, Author: "ann", Manifest: []byte(jobManifest)})
	s.run(5 * time.Minute)
	task, _ = s.c.State().Task(jobTask)
	is.Equal(task.State, zone.Done)
}
