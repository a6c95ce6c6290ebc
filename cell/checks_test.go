package cell_test

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// leaveNotice is how long a worker that has said that it leaves may still get
// tasks.
const leaveNotice = 2 * time.Second

// Times of a worker whose capacity changes.
const (
	hostBeat   = 1100 * time.Millisecond          // until its entry says so
	roomNotice = 3000*time.Millisecond + hostBeat // until starts have to go by it, if it shrank
)

// listNotice is the time until an owner has read a change of the list, and an
// order that it gave before has arrived.
const listNotice = tickTime + 2*hop

// checkStart holds a start against what must never happen.
func (s *site) checkStart(w *fakeWorker, o provider.StartOrder) {
	if w.leaves && s.now-w.leavesAt > leaveNotice {
		s.violate("leaving: %s on %s, %v after it said that it leaves", o.Task, w.host.ID, s.now-w.leavesAt)
	}
	if w.unsound && s.now-w.spoiled > listNotice {
		s.violate("unsound: %s on %s, %v after its entry was spoiled", o.Task, w.host.ID, s.now-w.spoiled)
	}
	used := s.needOf(o.Task)
	for _, r := range w.runs {
		used = used.Add(r.need)
	}
	if !w.fits(used, roomNotice) {
		s.violate("capacity: %s on %s: %v", o.Task, w.host.ID, used)
	}
	if s.onRecord && s.store.fold(s.t).Hosts()[w.host.ID].Born != w.host.Born {
		s.violate("record: %s on %s, of which this incarnation isn't on record", o.Task, w.host.ID)
	}
	for _, other := range s.workers {
		if r := other.runs[o.Task]; other.up && r != nil {
			s.violate("twice: %s attempt %d on %s, attempt %d on %s", o.Task, o.Attempt, w.host.ID, r.attempt, other.host.ID)
		}
	}
	id, err := job.ParseTask(o.Task)
	if err != nil {
		s.violate("%v", err)
		return
	}
	s.checkOrder(id)
	for _, c := range s.store.cancelled {
		if c.id == id.Job && s.now-c.at > 3*time.Second {
			s.violate("cancelled: %s %v after its cancellation", o.Task, s.now-c.at)
		}
	}
	if s.ran[o.Task] && !s.lasts(o.Task) {
		s.again++
	}
	if s.done[o.Task] {
		s.violate("again: %s was done and acknowledged", o.Task)
	}
	s.checkCrashes(o.Task)
	if s.failures[o.Task] >= terms.Attempts {
		s.violate("budget: %s after %d failures", o.Task, s.failures[o.Task])
	}
}

// Bounds on a task that crashes the workers that start it.
const (
	crashesFree = 3 // workers that may crash under it
	startsAfter = 3 // starts after these that are one too many
)

// checkCrashes holds a start against the workers that the task has crashed.
func (s *site) checkCrashes(task string) {
	if s.crashes[task] < crashesFree {
		return
	}
	s.beyond[task]++
	if s.beyond[task] == startsAfter {
		s.violate("crashes: %s started %d times more after %d workers had crashed under it", task, startsAfter, crashesFree)
	}
}

// checkLife holds an order to start against the list that its owner last read: no
// task goes to a life of a worker that another one has followed.
func (s *site) checkLife(list provider.HostList, h provider.Host) {
	followed := ""
	for _, listed := range list.Hosts {
		if listed.ID == h.ID {
			return
		}
		if listed.Machine == h.Machine {
			followed = listed.ID
		}
	}
	if followed != "" {
		s.violate("life: a start on %s, though %s is on the list", h.ID, followed)
	}
}

// endGang ends the other members of a gang with the first that is done.
func (s *site) endGang(name string, attempt uint64) {
	id, err := job.ParseTask(name)
	if err != nil || !s.jobOf(id.Job).Steps[id.Step].Gang {
		return
	}
	for i := range s.jobOf(id.Job).Steps[id.Step].Count {
		id.Index = i
		s.ran[id.String()] = true
		for _, w := range s.workers {
			if r := w.runs[id.String()]; r != nil && r.attempt == attempt {
				w.end(id.String(), provider.EndDone)
			}
		}
	}
}

func (s *site) lasts(task string) bool {
	id, err := job.ParseTask(task)
	return err == nil && s.jobOf(id.Job).Steps[id.Step].Lasting
}

// checkOrder holds a start against the steps that have to be done before it.
func (s *site) checkOrder(id job.Task) {
	j := s.jobOf(id.Job)
	if j == nil {
		s.violate("unasked: %s", id)
		return
	}
	for _, before := range j.Steps[id.Step].After {
		for i := range j.Steps[before].Count {
			t := job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: before, Index: i}
			if !s.ran[t.String()] {
				s.violate("order: %s before %s", id, t)
			}
		}
	}
}

// acknowledged takes note of an end that a worker may forget.
func (s *site) acknowledged(e provider.Ended) {
	switch e.How {
	case provider.EndDone:
		s.done[e.Task] = !s.lasts(e.Task)
	case provider.EndFailed:
		s.failures[e.Task]++
	}
}

func (s *site) jobOf(id string) *job.Job {
	return s.jobs[id]
}

func (s *site) needOf(task string) resource.Vector {
	return s.stepOf(task).Reserved()
}

// uses returns the processors that a task uses at full speed.
func (s *site) uses(task string) int64 {
	return s.stepOf(task).Need.Processors
}

func (s *site) stepOf(task string) *job.Step {
	id, err := job.ParseTask(task)
	if err != nil {
		s.t.Fatal(err)
	}
	return &s.jobOf(id.Job).Steps[id.Step]
}
