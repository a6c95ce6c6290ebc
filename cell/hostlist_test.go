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

// Guards against an owner with a stale list that starts tasks on a worker after it
// announced its leave.
func TestNoStartByAnOldList(t *testing.T) {
	tests := []struct {
		name string
		play func(s *site)
	}{
		{"an instance owns the cell again", func(s *site) {
			s.owners[0].takeOver()
			s.after(time.Second, func() { s.replaceOwner(0, 1) })
			s.after(3*time.Second, func() { s.workers[0].announceLeave(10 * time.Second) })
			s.after(6*time.Second, func() {
				s.owners[1].kill()
				s.owners[0].listDelay = 400 * time.Millisecond
				s.owners[0].takeOver()
			})
		}},
		{"an instance that knows the record alone", func(s *site) {
			s.owners[0].takeOver()
			s.after(400*time.Millisecond, func() { s.workers[0].announceLeave(10 * time.Second) })
			s.after(2500*time.Millisecond, func() {
				s.owners[0].kill()
				s.owners[1].listDelay = 400 * time.Millisecond
				s.owners[1].takeOver()
			})
		}},
		{"reads of the list fail", func(s *site) {
			s.owners[0].takeOver()
			s.after(1900*time.Millisecond, func() { s.owners[0].noList = true })
			s.after(2*time.Second, func() { s.workers[0].announceLeave(10 * time.Second) })
			s.after(8*time.Second, func() { s.owners[0].noList = false })
		}},
		{"reads of the list take long", func(s *site) {
			s.owners[0].takeOver()
			s.after(1900*time.Millisecond, func() { s.owners[0].listDelay = 5 * time.Second })
			s.after(2*time.Second, func() { s.workers[0].announceLeave(10 * time.Second) })
			s.after(8*time.Second, func() { s.owners[0].listDelay = 0 })
		}},
		{"the owner stood still", func(s *site) {
			s.owners[0].listDelay = 50 * time.Millisecond
			s.owners[0].takeOver()
			s.after(1900*time.Millisecond, func() { s.owners[0].freeze(4 * time.Second) })
			s.after(2*time.Second, func() { s.workers[0].announceLeave(10 * time.Second) })
		}},
	}
	for _, tt := range tests {
		s := newSite(t, 500, 3, 2)
		s.duration = func(string) time.Duration { return 700 * time.Millisecond }
		s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{step(80, 2)}}) // more than fit at once
		for n := 1; n < 40; n++ {
			s.submit(&job.Job{ID: jobID(n), Spec: "x", Steps: []job.Step{step(3, 2), step(2, 3, 0)}})
		}
		tt.play(s)
		s.run(3 * settleTime)
		t.Log(tt.name)
		s.mustComplete(40)
	}
}

// Guards against a list of machines that describes a worker's previous incarnation and
// ends the tasks of the next one.
func TestMachineListIsOlderThanTheWorker(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 501, 4, 1)
	s.duration = func(string) time.Duration { return 6 * time.Second }
	s.owners[0].takeOver()
	s.after(2*time.Second, func() { s.workers[0].crash(300*time.Millisecond, 1) })
	s.after(2400*time.Millisecond, func() { submitJobs(s, 4) })
	// The list as it was before the worker came back; the answer takes 1.2 s.
	var stale cell.ListMachinesReply
	s.after(2250*time.Millisecond, func() { stale = s.machineList() })
	s.after(2700*time.Millisecond, func() {
		is.True(len(s.workers[0].runs) > 0) // the new incarnation has tasks
		s.owners[0].unreachable[0] = true
		s.owners[0].step(cell.HoldReply{Host: s.workers[0].host.ID, Err: fault.New(fault.Unavailable, "reset")})
	})
	s.after(3450*time.Millisecond, func() { s.owners[0].step(stale) })
	s.after(3500*time.Millisecond, func() { s.owners[0].unreachable[0] = false })
	s.run(settleTime)
	s.mustComplete(4)
}

// Guards against a new owner that doesn't move the runs it finds on a leaving worker, so
// that their checkpointed work is lost with the worker.
func TestTakeoverEvacuatesWhatItFinds(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 502, 3, 2)
	s.duration = func(string) time.Duration { return 20 * time.Second }
	saving := step(9, 2)
	saving.Checkpoints = true
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{saving}})
	s.owners[0].takeOver()
	s.after(2*time.Second, func() {
		s.owners[0].kill()
		s.workers[0].announceLeave(8 * time.Second)
	})
	s.after(3500*time.Millisecond, s.owners[1].takeOver)
	s.run(5 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(len(s.workers[0].runs), 0)
	is.Equal(len(s.workers[1].runs)+len(s.workers[2].runs), 8) // as many as fit
}

// Guards against starts on a worker whose entry was overwritten, and against lost work
// there.
func TestUnsoundEntryInTheList(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		is := is.New(t)
		s := newSite(t, 503, 3, 2)
		s.duration = func(string) time.Duration { return 700 * time.Millisecond }
		submitJobs(s, 60)
		s.owners[0].takeOver()
		s.after(2*time.Second, func() { s.workers[0].corruptEntry(6 * time.Second) })
		if takeover {
			s.after(4*time.Second, func() { s.replaceOwner(0, 1) })
		}
		endsAtLast := 0
		s.after(12*time.Second, func() { endsAtLast = len(s.workers[0].highestEnded) })
		s.run(2500 * time.Millisecond)
		endsAtFirst := len(s.workers[0].highestEnded)
		s.run(settleTime * 2)
		s.mustComplete(60)
		is.True(endsAtFirst > 0)
		is.True(endsAtLast > endsAtFirst) // used again
	}
}

// Guards against a takeover that waits for a worker that doesn't exist.
func TestTakeoverIgnoresStrayEntry(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 504, 3, 2)
	s.addStrayEntry()
	submitJobs(s, 8)
	s.owners[0].takeOver()
	s.after(2*time.Second, func() { s.replaceOwner(0, 1) })
	s.run(12 * time.Second)
	s.mustComplete(8)
	is.Equal(len(s.store.readCatalog(t).Hosts()), 3) // those that answered
}

// Guards against a gang that is spread over racks because of the labels of a worker that
// doesn't exist.
func TestStrayEntryMakesNoRack(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 505, 4, 1)
	s.addStrayEntry()
	for _, w := range s.workers {
		w.host.Labels = append(w.host.Labels, "kind")
	}
	gang := step(4, 2)
	gang.Gang, gang.SameRack = true, true
	s.duration = func(string) time.Duration { return 10 * time.Second }
	s.submit(&job.Job{ID: jobID(0), Spec: "x", Steps: []job.Step{gang}})
	s.owners[0].takeOver()
	s.run(2 * time.Second)
	racks := make(map[string]int)
	for _, w := range s.workers {
		racks[w.host.Labels[0]] += len(w.runs)
	}
	is.Equal(racks["r0"]*racks["r1"], 0)
	is.Equal(racks["r0"]+racks["r1"], 4)
}

// Guards against endless holds to a worker that never answered and is no longer listed.
func TestStrayEntryIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 506, 3, 1)
	s.addStrayEntry()
	asked := 0
	s.owners[0].onHold = func(o provider.HoldOrder) {
		if o.Host.ID == "stray" {
			asked++
		}
	}
	s.owners[0].takeOver()
	s.run(4 * time.Second)
	is.True(asked > 0)
	s.strayEntries = nil
	s.run(8 * time.Second)
	asked = 0
	s.run(20 * time.Second)
	is.Equal(asked, 0)
}
