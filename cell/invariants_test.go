package cell_test

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// leaveNotice is how long a worker may still get tasks after it announced its leave.
const leaveNotice = 2 * time.Second

// Delays of a change of a worker's capacity.
const (
	entryInterval = 1100 * time.Millisecond               // until its list entry shows the change
	shrinkNotice  = 3000*time.Millisecond + entryInterval // until starts have to fit the smaller capacity
)

// listNotice is the time until an owner has read a change of the list, and orders that it
// gave before have arrived.
const listNotice = tickInterval + 2*hopDelay

// checkStart checks a start against the invariants.
func (s *site) checkStart(w *fakeWorker, o provider.StartOrder) {
	if w.leaving && s.now-w.leavingSince > leaveNotice {
		s.recordViolation("leaving: %s on %s, %v after it announced its leave", o.Task, w.host.ID, s.now-w.leavingSince)
	}
	if w.entryCorrupt && s.now-w.corruptSince > listNotice {
		s.recordViolation("unsound: %s on %s, %v after its entry was corrupted", o.Task, w.host.ID, s.now-w.corruptSince)
	}
	used := s.needOf(o.Task)
	for _, r := range w.runs {
		used = used.Add(r.need)
	}
	if !w.fitWithin(used, shrinkNotice) {
		s.recordViolation("capacity: %s on %s: %v", o.Task, w.host.ID, used)
	}
	if s.checkRecords && s.store.readCatalog(s.t).Hosts()[w.host.ID].StartedAt != w.host.StartedAt {
		s.recordViolation("record: %s on %s, of which this incarnation isn't on record", o.Task, w.host.ID)
	}
	s.checkLastStart(w, o)
	s.checkOtherRuns(w, o)
	id, err := job.ParseTask(o.Task)
	if err != nil {
		s.recordViolation("%v", err)
		return
	}
	s.checkDependencies(id)
	for _, c := range s.store.cancelled {
		if c.id == id.Job && s.now-c.at > 3*time.Second {
			s.recordViolation("cancelled: %s %v after its cancellation", o.Task, s.now-c.at)
		}
	}
	if s.completed[o.Task] && !s.isLasting(o.Task) {
		s.restartedAfterDone++
		s.lastRestart[o.Task] = s.now
	}
	if s.acknowledgedDone[o.Task] {
		s.recordViolation("again: %s was done and acknowledged", o.Task)
	}
	s.checkCrashes(o.Task)
	if s.failures[o.Task] >= terms.Attempts && !s.isLasting(o.Task) {
		s.recordViolation("budget: %s after %d failures", o.Task, s.failures[o.Task])
	}
}

// checkLastStart checks that the start of a lasting task is on record.
func (s *site) checkLastStart(w *fakeWorker, o provider.StartOrder) {
	if !s.checkRecords || !s.isLasting(o.Task) || s.stepOf(o.Task).Gang {
		return
	}
	if last := s.lastStart(o.Task); last.Host != w.host.ID {
		s.recordViolation("record: %s on %s, its last start on record is on %q", o.Task, w.host.ID, last.Host)
	}
}

// lastStart returns the last start of a task that is on record.
func (s *site) lastStart(task string) progress.Start {
	id, err := job.ParseTask(task)
	if err != nil {
		s.t.Fatal(err)
	}
	entries, err := s.store.readCatalog(s.t).Entries()
	if err != nil {
		s.t.Fatal(err)
	}
	return entries[id.Job].Progress.LastStart(id)
}

// checkOtherRuns checks that a started task doesn't run elsewhere, or only once if it may
// have copies.
func (s *site) checkOtherRuns(w *fakeWorker, o provider.StartOrder) {
	others := 0
	for _, other := range s.workers {
		r := other.runs[o.Task]
		if !other.up || r == nil {
			continue
		}
		others++
		if others > s.allowedCopies(o.Task) {
			s.recordViolation("twice: %s attempt %d on %s, attempt %d on %s", o.Task, o.Attempt, w.host.ID, r.attempt, other.host.ID)
		}
	}
	if others > 0 {
		s.copyStarts[o.Task]++
	}
}

// allowedCopies returns how many runs a task may have beside another one.
func (s *site) allowedCopies(task string) int {
	if step := s.stepOf(task); s.copies && step.AllowsCopies && !step.Gang && !step.Lasting && !step.Fills {
		return 1
	}
	return 0
}

// Limits for a task that crashes the workers that start it.
const (
	allowedCrashes  = 3 // workers that it may crash
	maxStartsBeyond = 3 // starts after these crashes at which a violation is recorded
)

// checkCrashes checks a start against the number of workers that the task has crashed.
func (s *site) checkCrashes(task string) {
	if s.crashCount[task] < allowedCrashes {
		return
	}
	s.startsBeyondLimit[task]++
	if s.startsBeyondLimit[task] == maxStartsBeyond {
		s.recordViolation("crashes: %s started %d times more after %d workers had crashed under it", task, maxStartsBeyond, allowedCrashes)
	}
}

// checkIncarnation checks a start order against the list that its owner last read: no task
// may be sent to an incarnation of a worker that another one has replaced.
func (s *site) checkIncarnation(list provider.HostList, h provider.Host) {
	successor := ""
	for _, listed := range list.Hosts {
		if listed.ID == h.ID {
			return
		}
		if listed.Machine == h.Machine {
			successor = listed.ID
		}
	}
	if successor != "" {
		s.recordViolation("incarnation: a start on %s, although %s is on the list", h.ID, successor)
	}
}

func (s *site) isLasting(task string) bool {
	id, err := job.ParseTask(task)
	return err == nil && s.jobOf(id.Job).Steps[id.Step].Lasting
}

// checkDependencies checks that the steps that a started task depends on are done.
func (s *site) checkDependencies(id job.Task) {
	j := s.jobOf(id.Job)
	if j == nil {
		s.recordViolation("unknown job: %s", id)
		return
	}
	for _, before := range j.Steps[id.Step].After {
		for i := range j.Steps[before].Count {
			t := job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: before, Index: i}
			if !s.completed[t.String()] {
				s.recordViolation("order: %s before %s", id, t)
			}
		}
	}
}

// recordAcknowledged records an end that a worker may forget. endedAt is when the run ended,
// and lapsedAt when the worker's lease last expired.
func (s *site) recordAcknowledged(e provider.EndedRun, endedAt, lapsedAt time.Duration) {
	switch e.End {
	case provider.EndDone:
		s.acknowledgedDone[e.Task] = !s.isLasting(e.Task)
		if s.lastRestart[e.Task] > endedAt && lapsedAt < endedAt && !s.stepOf(e.Task).AllowsCopies {
			s.recordViolation("twice: %s was started at %v, it had completed at %v", e.Task, s.lastRestart[e.Task], endedAt)
		}
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

// processorsOf returns the processors that a task uses at full speed.
func (s *site) processorsOf(task string) int64 {
	return s.stepOf(task).Need.Processors
}

func (s *site) stepOf(task string) *job.Step {
	id, err := job.ParseTask(task)
	if err != nil {
		s.t.Fatal(err)
	}
	return &s.jobOf(id.Job).Steps[id.Step]
}
