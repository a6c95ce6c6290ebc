package cell

import (
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/crash"
	"github.com/dogwoodladder/dogwoodladder/progress"
)

// Package crash says what is done about tasks that crash their workers; here is what
// the owner sees of them, and where their trials go.
const (
	// soundAfter is how long a worker has to go on after a task began on it until
	// the task counts as one that doesn't crash it. It is well above the time that
	// a crash takes on a worker that is slow.
	soundAfter = 300 * time.Millisecond
	// trialWait is how long a worker with a trial may keep a hold, so that the
	// trial's good end frees the worker for other starts.
	trialWait = 100 * time.Millisecond
	// recordAtOnce is how many starts of a step wait for their record at once, so
	// that the record of a wide step stays small.
	recordAtOnce = 64
)

// justStarted reports whether the worker hasn't been seen going on for long enough
// since a run began. All times are on the worker's clock: by ours, answers that were
// held up on a full link would make a run look older than it was.
func (r *run) justStarted() bool {
	return r.begunClock == 0 || r.listedClock-r.begunClock < soundAfter.Milliseconds()
}

// seenBegun takes note that a run has begun by a time of its worker's clock.
func (r *run) seenBegun(clock int64) {
	if r.begunClock == 0 {
		r.begunClock = clock
	}
}

// listed takes note that a report of its worker shows a run.
func (r *run) listed(clock int64) {
	r.seenBegun(clock)
	r.listedClock = clock
}

// setCrashes records what is known of the workers that crashed under a task.
func (c *Cell) setCrashes(t *task, h crash.History) {
	j := t.step.job
	j.progress.SetCrashes(t.id, h)
	t.suspect = h.Suspect()
	c.saves.dirty(j)
}

// restoreCrashes takes over what is on record of a task. What became of a start of an
// earlier owner is known once the workers are surveyed.
func (t *task) restoreCrashes() {
	h := t.step.job.progress.Crashes(t.id)
	t.suspect = h.Suspect()
	if h.Trying {
		t.step.inherited = append(t.step.inherited, t)
	}
}

// endInherited ends the starts of an earlier owner that are on record and of which
// nothing is found. Where the worker is there, or another one was meant, the owner
// didn't come to order them.
func (c *Cell) endInherited(s *stepState) {
	inherited := s.inherited
	s.inherited = nil
	for _, t := range inherited {
		h := s.job.progress.Crashes(t.id)
		if t.done || t.run != nil || !h.Trying || t.startChange > 0 {
			continue
		}
		if c.survey.mayHaveCrashed(h.Host) {
			c.note("start vanished", "task", t.name, "worker", h.Host, "crashes", h.Crashes+1)
			h.Vanished()
		} else {
			h.Untried()
		}
		c.setCrashes(t, h)
		c.judgeTask(t, &h)
	}
}

// mustRecord reports whether a task's start has to be on record before it is ordered:
// it has crashed a worker, or may have.
func (c *Cell) mustRecord(t *task) bool {
	return t.suspect || t.unsure || t.step.job.unsure && t.attempt < c.firstAttempt()
}

// recorded reports whether that is done.
func (t *task) recorded() bool {
	return t.startChange > 0 && t.step.job.written >= t.startChange
}

// record puts a task's start on record.
func (c *Cell) record(t *task, incarnation string) {
	j := t.step.job
	h := j.progress.Crashes(t.id)
	h.Try(incarnation)
	c.setCrashes(t, h)
	t.startChange = j.changes
	j.startChange = j.changes
}

// recordFor puts a task's start on a worker on record, and keeps room for it there
// until that is done. See startKept.
func (c *Cell) recordFor(t *task, w *worker) {
	c.record(t, w.incarnation())
	c.keepRoom(t, w)
	if t.suspect {
		t.kept.trial = true
		w.beginTrial(t.step.job)
	}
}

// recordAll puts the starts of a gang on record with one write, and reports whether
// that is done. Where the members go is decided when they are started, as it has to
// fit for all of them.
func (c *Cell) recordAll(members []*task) bool {
	done := true
	for _, t := range members {
		if !c.mustRecord(t) || t.recorded() {
			continue
		}
		done = false
		if t.startChange == 0 {
			c.record(t, "")
		}
	}
	return done
}

// quietFor reports whether a worker can take a trial of a job: no task of another one
// has just been started there.
func (w *worker) quietFor(j *jobState, now time.Duration) bool {
	return w.startedJob == j || now-w.startedAt >= soundAfter
}

// beginTrial keeps starts of other jobs off a worker while one of this one is settled.
func (w *worker) beginTrial(j *jobState) {
	w.trials++
	w.trial = j
}

// endTrial takes note that it is.
func (w *worker) endTrial() {
	if w.trials--; w.trials == 0 {
		w.trial = nil
	}
}

// try has a run show whether its task crashes workers.
func (r *run) try() {
	r.trial = true
	r.worker.beginTrial(r.task.step.job)
}

// adoptTrial takes up a run that an earlier owner started. It was there when the
// worker was asked, so it doesn't count as just started, unless it is a trial.
func (c *Cell) adoptTrial(r *run) {
	t := r.task
	c.seenAlive(t, r.attempt)
	h := t.step.job.progress.Crashes(t.id)
	t.unsure = h.Trying
	if t.suspect {
		r.try()
	}
	if t.watched() {
		return
	}
	r.begunClock = r.worker.clock - soundAfter.Milliseconds()
}

// settle takes note that a run has shown it, or is over.
func (r *run) settle() {
	if r.trial {
		r.trial = false
		r.worker.endTrial()
	}
}

// checkTrial ends a trial that has gone well: its task is no suspect any more.
func (c *Cell) checkTrial(r *run) {
	if r.task == nil || !r.task.watched() || r.justStarted() {
		return
	}
	if r.trial {
		r.settle()
		c.touch(r.worker)
	}
	c.clear(r.task, r.attempt)
}

// watched reports whether what becomes of a task's start matters.
func (t *task) watched() bool {
	return t.suspect || t.unsure || t.startChange > 0
}

// clear ends the suspicion against a task whose worker went on, or listed its end.
func (c *Cell) clear(t *task, attempt uint64) {
	if !t.watched() {
		return
	}
	t.startChange = 0
	t.unsure = false
	if t.step.job.progress.Crashes(t.id) == (crash.History{}) {
		return
	}
	if t.suspect {
		c.note("cleared", "task", t.name, "attempt", attempt)
	}
	c.setCrashes(t, crash.History{})
}

// doubtOld has the first starts of tasks that an earlier owner may have started put
// on record, if the survey found workers that had crashed, or that of an owner not long
// before: what was started there last left no trace. Without it a task is started once
// more for each owner that is killed while a worker crashes under it.
func (c *Cell) doubtOld() {
	if !c.survey.mayHaveCrashed("") {
		return
	}
	for _, j := range c.jobs {
		j.unsure = j.old
	}
}

// seenAlive takes back a crash that wasn't one: the attempt is running, or a worker
// lists its end.
func (c *Cell) seenAlive(t *task, attempt uint64) {
	if !t.suspect || t.step.job.final() {
		return
	}
	counted := t.step.job.progress.Crashes(t.id)
	h := counted
	h.Alive(attempt)
	if h != counted {
		c.setCrashes(t, h)
	}
}

// crashed counts a crash of a run's worker against its task if it has just been
// started there. A start that may never have begun is no trial.
func (c *Cell) crashed(r *run, f failure) {
	t := r.task
	if t == nil || t.step.job.final() || !r.justStarted() {
		return
	}
	h := t.step.job.progress.Crashes(t.id)
	h.Crashed(r.attempt, f.others == 0 && r.trial && r.begunClock != 0)
	t.startChange = 0
	t.unsure = false
	c.note("crash", "task", t.name, "attempt", r.attempt, "worker", r.worker.host.ID,
		"trial", r.trial, "others", f.others, "crashes", h.Crashes, "alone", h.Alone)
	c.setCrashes(t, h)
	c.judgeTask(t, &h)
}

// judgeTask fails the job of a task that crashes its workers.
func (c *Cell) judgeTask(t *task, h *crash.History) {
	if !h.GiveUp() || t.step.job.final() {
		return
	}
	c.note("given up", "task", t.name, "crashes", h.Crashes, "alone", h.Alone)
	c.finish(t.step.job, progress.Failed)
}

// crashAll counts a crash against all that had just been started on a worker.
func (c *Cell) crashAll(w *worker, f failure) {
	if f.correlated {
		return
	}
	for _, r := range inOrder(w.runs) {
		c.crashed(r, f)
	}
}

// noteLost logs the loss of a worker with what tells its cause: the tasks that had
// just been started on it, and whether others went down with it.
func (c *Cell) noteLost(w *worker, reason string, f failure) {
	var started []string
	for name, r := range inOrder(w.runs) {
		if r.justStarted() {
			started = append(started, name)
		}
	}
	c.note("worker lost", "worker", w.host.ID, "born", w.born, "reason", reason, "runs", len(w.runs),
		"silent", c.now-w.heard, "just_started", strings.Join(started, ","), "others", f.others, "correlated", f.correlated)
}
