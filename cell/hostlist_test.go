package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Symptom: tasks are started on workers that said seconds ago that they leave;
// they are cut off when the worker goes, and run again elsewhere. Sequence: an
// instance owns the cell for the second time. In between, while it didn't read
// the list of workers, some said that they leave. It starts the tasks that wait
// at once, and reads the list 0.4 s later. Cause: a list was taken for how things
// are, however old it was. What proved it: the starts lie between the log lines
// of the takeover, with a list 12 s old, and of the first list that was read;
// owners that had read no list before started nothing in between.
//
// The other cases have the same cause in other places: the owner's own record of
// workers, reads that fail or take long while writes go on, and an owner that
// stood still.
func TestNoStartByAnOldList(t *testing.T) {
	tests := []struct {
		name string
		play func(s *site)
	}{
		{"an instance owns the cell again", func(s *site) {
			s.owners[0].take()
			s.after(time.Second, func() { s.takeover(0, 1) })
			s.after(3*time.Second, func() { s.workers[0].leave(10 * time.Second) })
			s.after(6*time.Second, func() {
				s.owners[1].kill()
				s.owners[0].listTime = 400 * time.Millisecond
				s.owners[0].take()
			})
		}},
		{"an instance that knows the record alone", func(s *site) {
			s.owners[0].take()
			s.after(400*time.Millisecond, func() { s.workers[0].leave(10 * time.Second) })
			s.after(2500*time.Millisecond, func() {
				s.owners[0].kill()
				s.owners[1].listTime = 400 * time.Millisecond
				s.owners[1].take()
			})
		}},
		{"reads of the list fail", func(s *site) {
			s.owners[0].take()
			s.after(1900*time.Millisecond, func() { s.owners[0].noList = true })
			s.after(2*time.Second, func() { s.workers[0].leave(10 * time.Second) })
			s.after(8*time.Second, func() { s.owners[0].noList = false })
		}},
		{"reads of the list take long", func(s *site) {
			s.owners[0].take()
			s.after(1900*time.Millisecond, func() { s.owners[0].listTime = 5 * time.Second })
			s.after(2*time.Second, func() { s.workers[0].leave(10 * time.Second) })
			s.after(8*time.Second, func() { s.owners[0].listTime = 0 })
		}},
		{"the owner stood still", func(s *site) {
			s.owners[0].listTime = 50 * time.Millisecond
			s.owners[0].take()
			s.after(1900*time.Millisecond, func() { s.owners[0].freeze(4 * time.Second) })
			s.after(2*time.Second, func() { s.workers[0].leave(10 * time.Second) })
		}},
	}
	for _, tt := range tests {
		s := newSite(t, 500, 3, 2)
		s.length = func(string) time.Duration { return 700 * time.Millisecond }
		s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(80, 2)}}) // more than there is room for
		for n := 1; n < 40; n++ {
			s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(3, 2), step(2, 3, 0)}})
		}
		tt.play(s)
		s.run(3 * quiet)
		t.Log(tt.name)
		s.mustComplete(40)
	}
}

// Symptom: a task runs twice at the same time. Sequence: a machine's worker is
// silent, and the owner asks what became of the machines. While the answer is on
// its way another machine comes up anew; its worker gets a task and is silent for
// a moment. The answer names the life before it. Cause: a list of machines that
// was made before a worker was last heard was taken for news of that worker.
func TestMachineListIsOlderThanTheWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 501, 4, 1)
	s.length = func(string) time.Duration { return 6 * time.Second }
	s.owners[0].take()
	s.after(2*time.Second, func() { s.workers[0].crash(300*time.Millisecond, 1) })
	s.after(2400*time.Millisecond, func() { fill(s, 4) })
	// The list as it was before the worker came back; the answer takes 1.2 s.
	var old cell.MachineList
	s.after(2250*time.Millisecond, func() { old = s.machines() })
	s.after(2700*time.Millisecond, func() {
		is.True(len(s.workers[0].runs) > 0) // the new life has tasks
		s.owners[0].noWorker[0] = true
		s.owners[0].step(cell.HoldReply{Host: s.workers[0].host.ID, Err: fault.New(fault.Unavailable, "reset")})
	})
	s.after(3450*time.Millisecond, func() { s.owners[0].step(old) })
	s.after(3500*time.Millisecond, func() { s.owners[0].noWorker[0] = false })
	s.run(quiet)
	s.mustComplete(4)
}

// Symptom: the work of tasks that save their progress is lost with a worker that
// had said seconds before that it leaves. Sequence: the worker says so, and the
// owner is replaced; the next one reads the list of workers before the worker
// has told what it runs. Cause: what runs there was moved when the news came that
// the worker leaves, and nothing was known to run there yet.
func TestTakeoverEvacuatesWhatItFinds(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 502, 3, 2)
	s.length = func(string) time.Duration { return 20 * time.Second }
	saving := step(9, 2)
	saving.Checkpoints = true
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{saving}})
	s.owners[0].take()
	s.after(2*time.Second, func() {
		s.owners[0].kill()
		s.workers[0].leave(8 * time.Second)
	})
	s.after(3500*time.Millisecond, s.owners[1].take)
	s.run(5 * time.Second)
	is.Equal(s.broken, nil)
	is.Equal(len(s.workers[0].runs), 0)
	is.Equal(len(s.workers[1].runs)+len(s.workers[2].runs), 8) // as many as there is room for
}

// Symptom: a worker whose entry was written over gets tasks, or what runs on it
// is run again or never heard of any more. Sequence: the entry is spoiled while
// tasks run there, is sound again later, and the cell changes hands in between.
// Cause: a worker off the list gets tasks for a while; what it runs goes on.
func TestUnsoundEntryInTheList(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		is := is.New(t)
		s := newSite(t, 503, 3, 2)
		s.length = func(string) time.Duration { return 700 * time.Millisecond }
		fill(s, 60)
		s.owners[0].take()
		s.after(2*time.Second, func() { s.workers[0].spoil(6 * time.Second) })
		if takeover {
			s.after(4*time.Second, func() { s.takeover(0, 1) })
		}
		later := 0
		s.after(12*time.Second, func() { later = len(s.workers[0].barred) })
		s.run(2500 * time.Millisecond)
		before := len(s.workers[0].barred)
		s.run(quiet * 2)
		s.mustComplete(60)
		is.True(before > 0)
		is.True(later > before) // used again
	}
}

// Symptom: after a takeover no task of a job that had begun starts for 18 s.
// Sequence: another writer's entry names a worker that looks sound, at an address
// where nobody answers, on no machine; then the cell changes hands. Cause: the
// worker was put on record before it had ever answered, so that the next owner
// waited for its answer, and for the end of a lease that it never had.
func TestEntryThatLeadsNowhere(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 504, 3, 2)
	s.addStray()
	fill(s, 8)
	s.owners[0].take()
	s.after(2*time.Second, func() { s.takeover(0, 1) })
	s.run(12 * time.Second)
	s.mustComplete(8)
	is.Equal(len(s.store.fold(t).Hosts()), 3) // those that answered
}

// Symptom: a gang that is slow across racks is spread over them. Sequence: an
// entry without labels, of a worker that isn't there, is on the list. Cause: the
// label of their kind, which all other workers share, looked like a rack's.
func TestStrayEntryMakesNoRack(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 505, 4, 1)
	s.addStray()
	for _, w := range s.workers {
		w.host.Labels = append(w.host.Labels, "kind")
	}
	gang := step(4, 2)
	gang.Gang, gang.SameRack = true, true
	s.length = func(string) time.Duration { return 10 * time.Second }
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{gang}})
	s.owners[0].take()
	s.run(2 * time.Second)
	racks := make(map[string]int)
	for _, w := range s.workers {
		racks[w.host.Labels[0]] += len(w.runs)
	}
	is.Equal(racks["r0"]*racks["r1"], 0)
	is.Equal(racks["r0"]+racks["r1"], 4)
}

// Guards against questions without an end to a worker that never answered and isn't
// listed any more.
func TestStrayEntryIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 506, 3, 1)
	s.addStray()
	asked := 0
	s.owners[0].ordered = func(o provider.HoldOrder) {
		if o.Host.ID == "stray" {
			asked++
		}
	}
	s.owners[0].take()
	s.run(4 * time.Second)
	is.True(asked > 0)
	s.strays = nil
	s.run(8 * time.Second)
	asked = 0
	s.run(20 * time.Second)
	is.Equal(asked, 0)
}
