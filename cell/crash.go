package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/crash"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
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
	// massFall is how many workers with a label in common have to go down beside
	// one of them, and half of all that have it, for the cause to be one that they
	// share: a rack without power, or all of a pool.
	massFall = 3
	// recordAtOnce is how many starts of a step wait for their record at once, so
	// that the record of a wide step stays small.
	recordAtOnce = 64
	// fellFor is how long a worker that was lost is compared with others. The loss
	// of those that went at the same moment is noticed within a hold's time-out.
	fellFor = 4 * time.Second
)

// span is the time in which a worker that is silent may have crashed.
type span struct {
	from, to time.Duration
}

// overlaps reports whether two workers may have crashed at the same moment.
func (s span) overlaps(other span) bool {
	return s.from <= other.to && other.from <= s.to
}

// fell returns when a worker that is lost, or may be, has crashed.
func (c *Cell) fell(w *worker) span {
	if w.misses == 0 {
		return span{from: w.heard, to: c.now}
	}
	return span{from: w.heard, to: w.silent}
}

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
// nothing is found.
func (c *Cell) endInherited(s *stepState) {
	inherited := s.inherited
	s.inherited = nil
	for _, t := range inherited {
		h := s.job.progress.Crashes(t.id)
		if t.done || t.run != nil || !h.Trying || t.tried > 0 {
			continue
		}
		h.Vanished()
		c.note("start vanished", "task", t.name, "crashes", h.Crashes)
		c.setCrashes(t, h)
		c.judgeTask(t, &h)
	}
}

// mayTry reports whether a task may be started as far as crashes go. The start of one
// that has crashed a worker, or may have, is put on record first.
func (c *Cell) mayTry(t *task) bool {
	j := t.step.job
	if !t.suspect && !t.unsure && !(j.unsure && t.attempt < c.firstAttempt()) {
		return true
	}
	if t.tried == 0 {
		h := j.progress.Crashes(t.id)
		h.Try()
		c.setCrashes(t, h)
		t.tried = j.changes
		j.tried = j.changes
	}
	return j.written >= t.tried
}

// mayTryAll is mayTry for the members of a gang. All go on record with one write.
func (c *Cell) mayTryAll(tasks []*task) bool {
	may := true
	for _, t := range tasks {
		if !c.mayTry(t) {
			may = false
		}
	}
	return may
}

// quietFor reports whether a worker can take a trial of a job: no task of another one
// has just been started there.
func (w *worker) quietFor(j *jobState, now time.Duration) bool {
	return w.startedJob == j || now-w.startedAt >= soundAfter
}

// beginTrial keeps other starts off a worker while a suspect's one is settled.
func (w *worker) beginTrial(r *run) {
	r.trial = true
	w.trials++
	w.trial = r.task.step.job
}

// adoptTrial takes up a run that an earlier owner started. It was there when the
// worker was asked, so it doesn't count as just started, unless it is a trial.
func (c *Cell) adoptTrial(r *run) {
	t := r.task
	c.seenAlive(t, r.attempt)
	h := t.step.job.progress.Crashes(t.id)
	t.unsure = h.Trying
	if t.suspect {
		r.worker.beginTrial(r)
	}
	if t.watched() {
		return
	}
	r.begunClock = r.worker.clock - soundAfter.Milliseconds()
}

// leaveTrial takes note that a trial is over.
func (w *worker) leaveTrial(r *run) {
	if !r.trial {
		return
	}
	r.trial = false
	if w.trials--; w.trials == 0 {
		w.trial = nil
	}
}

// checkTrial ends a trial that has gone well: its task is no suspect any more.
func (c *Cell) checkTrial(r *run) {
	if r.task == nil || !r.task.watched() || r.justStarted() {
		return
	}
	if r.trial {
		r.worker.leaveTrial(r)
		c.touch(r.worker)
	}
	c.clear(r.task, r.attempt)
}

// watched reports whether what becomes of a task's start matters.
func (t *task) watched() bool {
	return t.suspect || t.unsure || t.tried > 0
}

// clear ends the suspicion against a task whose worker went on, or listed its end.
func (c *Cell) clear(t *task, attempt uint64) {
	if !t.watched() {
		return
	}
	t.tried = 0
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
// on record, if the survey found workers that had crashed: what was started there last
// left no trace. Without it a task is started once more for each owner that is killed
// while a worker crashes under it.
func (c *Cell) doubtOld() {
	if !c.survey.crashed {
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
	h := t.step.job.progress.Crashes(t.id)
	h.Alive(attempt)
	c.setCrashes(t, h)
}

// fall is what is known of the moment at which a worker went down.
type fall struct {
	others int  // workers that may have gone down at the same moment, without a trial
	shared bool // the cause is one that they share
}

// crashed counts a crash of a run's worker against its task if it has just been
// started there.
func (c *Cell) crashed(r *run, f fall) {
	t := r.task
	if t == nil || t.step.job.final() || !r.justStarted() {
		return
	}
	h := t.step.job.progress.Crashes(t.id)
	h.Crashed(r.attempt, f.others == 0 && r.trial)
	t.tried = 0
	t.unsure = false
	c.note("crash", "task", t.name, "attempt", r.attempt, "worker", r.worker.host.ID,
		"trial", r.trial, "others", f.others, "crashes", h.Crashes, "told", h.Alone)
	c.setCrashes(t, h)
	c.judgeTask(t, &h)
}

// judgeTask fails the job of a task that crashes its workers.
func (c *Cell) judgeTask(t *task, h *crash.History) {
	if !h.GiveUp() || t.step.job.final() {
		return
	}
	c.note("given up", "task", t.name, "crashes", h.Crashes, "told", h.Alone)
	c.finish(t.step.job, progress.Failed)
}

// crashAll counts a crash against all that had just been started on a worker.
func (c *Cell) crashAll(w *worker, f fall) {
	if f.shared {
		return
	}
	for _, r := range inOrder(w.runs) {
		c.crashed(r, f)
	}
}

// fallOf returns what is known of the moment at which a worker went down.
func (c *Cell) fallOf(w *worker) fall {
	others := c.fellWith(w)
	return fall{others: len(others), shared: c.sharedCause(w, others)}
}

// fellWith returns the other workers that may have gone down at the same moment as
// this one, leaving out those with a trial of their own.
func (c *Cell) fellWith(w *worker) []*worker {
	fell := c.fell(w)
	var others []*worker
	for other, at := range c.fallen {
		if other != w && at.overlaps(fell) {
			others = append(others, other)
		}
	}
	for _, other := range c.everyWorker() {
		if _, noted := c.fallen[other]; noted || other == w {
			continue
		}
		if other.mayExplain() && other.misses > 0 && c.fell(other).overlaps(fell) {
			others = append(others, other)
		}
	}
	return others
}

// sharedCause reports whether what took a worker down took its like, too. Which label
// is that of a rack isn't said, so any may be: half of all workers of a kind don't go
// at one moment by chance either.
func (c *Cell) sharedCause(w *worker, others []*worker) bool {
	if len(others) < massFall {
		return false
	}
	if 2*len(others) >= len(c.pools[w.host.Service]) {
		return true
	}
	for _, label := range w.host.Labels {
		down, up := 0, 0
		for _, other := range others {
			if other.host.HasLabel(label) {
				down++
			}
		}
		for _, other := range c.pools[w.host.Service] {
			if other != w && other.asked && !slices.Contains(others, other) && other.host.HasLabel(label) {
				up++
			}
		}
		if down >= massFall && down >= up {
			return true
		}
	}
	return false
}

// mayExplain reports whether the end of a worker tells of a cause beside the tasks
// that are tried. One that never answered may be a life that was over before, whose
// entry is still on the list.
func (w *worker) mayExplain() bool {
	return w.asked && w.trial == nil
}

// noteFallen remembers a worker that went down without a trial.
func (c *Cell) noteFallen(w *worker, at span) {
	if w.mayExplain() {
		c.fallen[w] = at
	}
}

// dropFallen forgets those that went down long ago.
func (c *Cell) dropFallen() {
	for w, at := range c.fallen {
		if c.now-at.to > fellFor {
			delete(c.fallen, w)
		}
	}
}

// noteDown remembers the workers that the list of machines says are down and that
// haven't been missed yet: they may have gone with those that were.
func (c *Cell) noteDown(in MachineList, by map[string]*provider.Machine) {
	for _, w := range c.everyWorker() {
		m := by[w.host.Machine]
		if w.misses == 0 && w.heard < in.Sent && m != nil && whyDown(w, m) != "" {
			c.noteFallen(w, span{from: w.heard, to: in.Sent})
		}
	}
}

// noteLost logs the loss of a worker with what tells its cause: the tasks that had
// just been started on it, and whether others went down with it.
func (c *Cell) noteLost(w *worker, reason string, f fall) {
	var started []string
	for name, r := range inOrder(w.runs) {
		if r.justStarted() {
			started = append(started, name)
		}
	}
	c.note("worker lost", "worker", w.host.ID, "reason", reason, "runs", len(w.runs),
		"silent", c.now-w.heard, "just_started", strings.Join(started, ","), "others", f.others, "shared", f.shared)
}
