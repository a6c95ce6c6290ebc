package cell

import (
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/crash"
	"github.com/dogwoodladder/dogwoodladder/progress"
)

// Package crash decides what is done about tasks that crash their workers. This file
// detects such crashes and places the trials of suspect tasks.
const (
	// crashWindow is how long a worker has to stay up after a task began on it until the
	// task counts as one that doesn't crash it. It is well above the time that a crash
	// takes on a slow worker.
	crashWindow = 300 * time.Millisecond
	// shortHoldWait is how long a worker may delay the answer to a hold while it has a trial,
	// or starts to resolve. It is short, so that a successful trial frees the worker for
	// other starts soon.
	shortHoldWait = 100 * time.Millisecond
	// maxUnrecordedStarts is how many starts of a step may wait for their record in one
	// pass, so that the record of a wide step stays small.
	maxUnrecordedStarts = 64
)

// justStarted reports whether the run began so recently that a crash of its worker may be
// its fault. All times are on the worker's clock: by the owner's clock, answers that are
// delayed on a congested link would make a run look older than it was.
func (r *run) justStarted() bool {
	return r.startedClock == 0 || r.lastListedClock-r.startedClock < crashWindow.Milliseconds()
}

// recordStarted records that the run had begun by a time on its worker's clock.
func (r *run) recordStarted(clock int64) {
	if r.startedClock == 0 {
		r.startedClock = clock
	}
}

// recordListed records that a report of the worker, made at the given time on its clock,
// lists the run.
func (r *run) recordListed(clock int64) {
	r.recordStarted(clock)
	r.listed = true
	r.lastListedClock = clock
}

// setCrashes stores the crash history of a task with its job's progress.
func (c *Cell) setCrashes(t *task, h crash.History) {
	j := t.step.job
	j.progress.SetCrashes(t.id, h)
	t.suspect = h.Suspect()
	c.writer.markDirty(j)
}

// restoreCrashes restores the task's crash history from the record. The outcome of a start
// by an earlier owner is known once the workers are surveyed.
func (t *task) restoreCrashes() {
	h := t.step.job.progress.Crashes(t.id)
	t.suspect = h.Suspect()
	if h.StartPending {
		t.step.inheritedStarts = append(t.step.inheritedStarts, t)
	}
}

// resolveInheritedStarts resolves the recorded starts of an earlier owner for which no
// worker lists a run. If the recorded worker may have crashed, the start counts as a
// crash. Otherwise the earlier owner was replaced before it sent the order.
func (c *Cell) resolveInheritedStarts(s *stepState) {
	inherited := s.inheritedStarts
	s.inheritedStarts = nil
	for _, t := range inherited {
		h := s.job.progress.Crashes(t.id)
		if t.done || t.run != nil || !h.StartPending || t.startChange > 0 {
			continue
		}
		if c.awaitsLastWorker(t) {
			s.inheritedStarts = append(s.inheritedStarts, t)
			continue
		}
		if c.survey.mayHaveCrashed(h.Incarnation) {
			c.logEvent("start vanished", "task", t.name, "worker", h.Incarnation, "crashes", h.Crashes+1)
			h.ResolveCrashedStart()
		} else {
			h.RetractStart()
		}
		c.setCrashes(t, h)
		c.failIfCrashing(t)
	}
}

// needsRecordedStart reports whether a task's start has to be on record before it is
// ordered, because the task crashed a worker or may have crashed one.
func (c *Cell) needsRecordedStart(t *task) bool {
	mayHaveCrashed := t.step.job.mayHaveCrashed || t.step.job.inherited && !c.survey.done
	return t.suspect || t.inheritedStart || mayHaveCrashed && t.attempt < c.firstAttempt()
}

// isStartRecorded reports whether the task's next start is on record.
func (t *task) isStartRecorded() bool {
	return t.startChange > 0 && t.step.job.savedChanges >= t.startChange
}

// needsRecord reports whether a record has to be written before a task's next start is ordered.
func (c *Cell) needsRecord(t *task) bool {
	return c.needsRecordedStart(t) || t.step.recordsStarts()
}

// isRecorded reports whether all records are written that a task's next start needs, on the
// worker that capacity is reserved on.
func (c *Cell) isRecorded(t *task) bool {
	if c.needsRecordedStart(t) && !t.isStartRecorded() {
		return false
	}
	return !t.step.recordsStarts() || t.reservation.recorded && t.step.job.savedChanges >= t.reservation.change
}

// recordReserved puts a task's next start on the worker that capacity is reserved on on record.
func (c *Cell) recordReserved(t *task) {
	w := t.reservation.worker
	if c.needsRecordedStart(t) && t.startChange == 0 {
		c.recordStart(t, w.incarnation())
	}
	if t.step.recordsStarts() && !t.reservation.recorded {
		c.recordLastStart(t, w)
	}
}

// recordStart puts a task's next start on record.
func (c *Cell) recordStart(t *task, incarnation string) {
	j := t.step.job
	h := j.progress.Crashes(t.id)
	h.RecordStart(incarnation)
	c.setCrashes(t, h)
	t.startChange = j.changeCount
	j.lastStartChange = j.changeCount
}

// reserveAndRecord puts a task's start on a worker on record and reserves capacity there
// until the record is written. See startReserved.
func (c *Cell) reserveAndRecord(t *task, w *worker) {
	if c.needsRecordedStart(t) {
		t.startChange = 0
	}
	c.reserve(t, w)
	c.recordReserved(t)
	if t.suspect {
		t.reservation.trial = true
		w.beginTrial(t.step.job)
	}
}

// recordGangStarts puts the starts of a gang on record with one write, and reports whether
// that is done. The members' workers are chosen when they are started, as there has to be
// capacity for all of them at the same time.
func (c *Cell) recordGangStarts(members []*task) bool {
	done := true
	for _, t := range members {
		if !c.needsRecordedStart(t) || t.isStartRecorded() {
			continue
		}
		done = false
		if t.startChange == 0 {
			c.recordStart(t, "")
		}
	}
	return done
}

// canTakeTrial reports whether a trial of the job may start on the worker: no task of
// another job has just been started there.
func (w *worker) canTakeTrial(j *jobState, now time.Duration) bool {
	return w.lastStartJob == j || now-w.lastStartAt >= crashWindow
}

// beginTrial keeps starts of other jobs off the worker while a trial of this job runs.
func (w *worker) beginTrial(j *jobState) {
	w.trialCount++
	w.trialJob = j
}

// endTrial ends one trial. Starts of other jobs are allowed again after the last one.
func (w *worker) endTrial() {
	if w.trialCount--; w.trialCount == 0 {
		w.trialJob = nil
	}
}

// beginTrial makes the run a trial, which shows whether its task crashes workers.
func (r *run) beginTrial() {
	r.trial = true
	r.worker.beginTrial(r.task.step.job)
}

// adoptTrial restores the crash state of a run that an earlier owner started. The worker
// listed it when it was asked, so it doesn't count as just started unless its task is
// watched.
func (c *Cell) adoptTrial(r *run) {
	t := r.task
	c.retractCrash(t, r.attempt)
	h := t.step.job.progress.Crashes(t.id)
	t.inheritedStart = h.StartPending
	if t.suspect {
		r.beginTrial()
	}
	if t.isWatched() {
		return
	}
	r.startedClock = r.worker.clock - crashWindow.Milliseconds()
}

// endTrial ends the run's trial, if it is one.
func (r *run) endTrial() {
	if r.trial {
		r.trial = false
		r.worker.endTrial()
	}
}

// checkTrial clears the suspicion against a run's task once its worker has stayed up for
// long enough.
func (c *Cell) checkTrial(r *run) {
	if r.task == nil || !r.task.isWatched() || r.justStarted() {
		return
	}
	if r.trial {
		r.endTrial()
		c.markChanged(r.worker)
	}
	c.clearSuspicion(r.task, r.attempt)
}

// isWatched reports whether the outcome of the task's start has to be tracked.
func (t *task) isWatched() bool {
	return t.suspect || t.inheritedStart || t.startChange > 0
}

// clearSuspicion resets the crash history of a task whose worker stayed up, or listed the
// end of the run.
func (c *Cell) clearSuspicion(t *task, attempt uint64) {
	if !t.isWatched() {
		return
	}
	t.startChange = 0
	t.inheritedStart = false
	if t.step.job.progress.Crashes(t.id) == (crash.History{}) {
		return
	}
	if t.suspect {
		c.logEvent("cleared", "task", t.name, "attempt", attempt)
	}
	c.setCrashes(t, crash.History{})
}

// requireRecordedStarts requires, for each task that an earlier owner may have started,
// that this owner's first start of it is on record before it is ordered, if the survey or
// a recent owner found a crashed worker: the last start on such a worker left no trace.
// Without this a task that crashes its worker is started once more for each owner that is
// killed during the crash.
func (c *Cell) requireRecordedStarts() {
	if !c.survey.mayHaveCrashed("") {
		return
	}
	for _, j := range c.jobs {
		j.mayHaveCrashed = j.inherited
	}
}

// retractCrash takes back a crash that was counted against an attempt which turned out to
// be running, or whose end a worker lists.
func (c *Cell) retractCrash(t *task, attempt uint64) {
	if !t.suspect || t.step.job.final() {
		return
	}
	before := t.step.job.progress.Crashes(t.id)
	h := before
	h.RetractCrash(attempt)
	if h != before {
		c.setCrashes(t, h)
	}
}

// countCrash counts a crash of a run's worker against its task if the run had just been
// started there, unless the failure is correlated. A start that may never have begun doesn't
// count as a trial.
func (c *Cell) countCrash(r *run, f workerFailure) {
	t := r.task
	if f.correlated || t == nil || t.done || t.step.job.final() || !r.justStarted() {
		return
	}
	h := t.step.job.progress.Crashes(t.id)
	h.RecordCrash(r.attempt, f.simultaneous == 0 && r.trial && r.startedClock != 0)
	t.startChange = 0
	t.inheritedStart = false
	c.logEvent("crash", "task", t.name, "attempt", r.attempt, "worker", r.worker.host.ID,
		"trial", r.trial, "others", f.simultaneous, "crashes", h.Crashes, "alone", h.CrashesInTrials)
	c.setCrashes(t, h)
}

// failIfCrashing fails the job of a task that has crashed too many workers.
func (c *Cell) failIfCrashing(t *task) {
	if t == nil || t.done || t.step.job.final() {
		return
	}
	h := t.step.job.progress.Crashes(t.id)
	if !h.GiveUp() {
		return
	}
	c.logEvent("given up", "task", t.name, "crashes", h.Crashes, "alone", h.CrashesInTrials)
	c.finish(t.step.job, progress.Failed)
}

// logWorkerLost logs the loss of a worker with hints at its cause: the tasks that had just
// been started on it, and whether others went down with it. Starts that were accepted and
// never listed may have been accepted by the next incarnation.
func (c *Cell) logWorkerLost(w *worker, reason string, f workerFailure) {
	var started, unlisted []string
	for name, r := range inOrder(w.runs) {
		if r.justStarted() {
			started = append(started, name)
		}
		if r.accepted && !r.listed {
			unlisted = append(unlisted, name)
		}
	}
	c.logEvent("worker lost", "worker", w.host.ID, "born", w.startedAt, "reason", reason, "runs", len(w.runs),
		"silent", c.now-w.lastContact, "just_started", strings.Join(started, ","), "unlisted", strings.Join(unlisted, ","),
		"others", f.simultaneous, "correlated", f.correlated)
}
