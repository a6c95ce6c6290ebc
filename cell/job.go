package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/ranking"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// jobState is the owner's state of a job.
type jobState struct {
	job             *job.Job
	terms           job.Terms
	progress        *progress.Progress
	acceptedAt      time.Duration
	rounds          map[int]*round
	chains          []time.Duration // longest chain of estimates from each step on
	openedCount     int             // occurrences opened so far
	delays          delay.Account   // delays of the last task of each step
	longestRound    time.Duration   // longest time from the opening of an occurrence to its end
	workChain       time.Duration   // longest chain of work that an occurrence took, zero if it isn't known
	claimRecorded   bool            // it is on record that tasks may have been started
	inherited       bool            // an earlier owner may have started tasks
	mayHaveCrashed  bool            // one of them may have crashed a worker
	changeCount     uint64          // changes of progress so far
	savedChanges    uint64          // how many of them are on record
	lastStartChange uint64          // number of the last change that puts a start on record before it is ordered
}

// round is one occurrence of a job.
type round struct {
	number    int
	steps     []*stepState
	stepsLeft int // steps that aren't done
	openedAt  time.Duration
}

// stepState is one step of a round.
type stepState struct {
	job             *jobState
	round           *round
	number          int
	spec            *job.Step
	tasks           []*task
	ready           []*task       // tasks waiting to be started
	queued          bool          // whether it is in Cell.waitingSteps
	lastFailedPass  uint64        // number of the last dispatch pass that found no worker for it, zero if none has
	lastFullCheckAt time.Duration // when it was last checked against all workers
	open            bool          // the steps it depends on are done
	tasksLeft       int           // tasks that aren't done
	longestWork     time.Duration // longest work of a run that completed a task, without interference and slow workers
	need            resource.Vector
	inheritedStarts []*task         // tasks with a recorded start by an earlier owner whose outcome is unknown
	ended           []time.Duration // times of its runs that completed, ascending; only if its tasks may have copies
	noTargetUntil   time.Duration   // until when no worker is looked for that takes a copy
	advice          *advice         // nil unless the queue requires advice
	runsByWorker    map[*worker]int // number of runs and reservations by worker, for PerWorker
	rank            ranking.Rank
	promoted        bool // overdue and first of its queue, by the last sort
}

// task is one task of a step.
type task struct {
	id                job.Task
	name              string
	step              *stepState
	run               *run // the current run, nil while there is none
	copy              *run // the second run, nil while there is none
	copyStarts        int  // second runs that this owner has started
	done              bool
	queued            bool // whether it is in step.ready
	waitingSince      time.Duration
	delays            delay.Account
	startCount        uint64
	attempt           uint64                    // highest attempt number seen or given out
	checkpoint        string                    // newest checkpoint
	checkpointPercent int                       // progress of the run that wrote it, when it was first reported; zero if unknown
	suspect           bool                      // it may crash the worker that starts it
	inheritedStart    bool                      // a start by an earlier owner is on record without an outcome
	startChange       uint64                    // number of the job's change that records its next start, zero if none does
	lastStart         progress.Start            // by an earlier owner, the zero Start if the task doesn't wait for its outcome
	strays            []strayStart              // starts that a later incarnation of their worker may carry out
	strayChange       uint64                    // number of the job's change that records them, zero if none does
	reservation       *reservation              // capacity reserved for its next start, nil if none is
	stalls            int                       // runs that were stopped because they showed no progress
	avoidUntil        map[*worker]time.Duration // workers on which it failed or hung, and until when they are avoided
}

// final reports whether the job has reached a final state.
func (j *jobState) final() bool {
	return j.progress.State.Final()
}

func (c *Cell) handleJobChanged(e catalog.Entry) {
	j := c.jobs[e.Job.ID]
	if j == nil {
		e.Progress = progress.New(e.Job)
		c.addJob(e)
		c.logEvent("job", "job", e.Job.ID, "queue", e.Job.Queue, "tasks", e.Job.TaskCount(), "times", e.Job.Times, "cancelled", e.Cancelled)
		return
	}
	if e.Cancelled && !j.final() {
		c.cancel(j)
	}
}

func (c *Cell) addJob(e catalog.Entry) *jobState {
	j := &jobState{
		job:           e.Job,
		terms:         c.termsOf(e.Job),
		progress:      e.Progress,
		acceptedAt:    c.now - c.age(e.Job),
		rounds:        make(map[int]*round),
		claimRecorded: e.Progress.Claimed,
		inherited:     e.Progress.Claimed,
	}
	c.jobs[e.Job.ID] = j
	if j.final() {
		return j
	}
	if e.Cancelled {
		c.cancel(j)
		return j
	}
	if j.job.Scheduled() {
		c.scheduledJobs = append(c.scheduledJobs, j)
		return j
	}
	j.openedCount = 1
	c.openRound(j, 0)
	return j
}

// age returns how long ago a job was accepted. The acceptance time is a time of day at
// another instance, so the age is only approximate.
func (c *Cell) age(j *job.Job) time.Duration {
	if c.wall.IsZero() || j.Accepted == 0 {
		return 0
	}
	return max(0, min(maxAge, c.wall.Sub(time.UnixMilli(j.Accepted))))
}

// maxAge limits the effect of a wrong clock on the order of jobs.
const maxAge = time.Minute

// openOccurrences opens the rounds of scheduled jobs that are due.
func (c *Cell) openOccurrences() {
	kept := c.scheduledJobs[:0]
	for _, j := range c.scheduledJobs {
		for !j.final() && j.openedCount < j.job.Occurrences() && j.job.Due(j.openedCount) <= c.wall.UnixMilli() {
			c.openRound(j, j.openedCount)
			j.openedCount++
		}
		if !j.final() && j.openedCount < j.job.Occurrences() {
			kept = append(kept, j)
		}
	}
	c.scheduledJobs = kept
}

// openRound opens an occurrence of a job unless the record says that it is closed.
func (c *Cell) openRound(j *jobState, number int) {
	if j.progress.IsClosed(number) {
		return
	}
	r := &round{number: number, stepsLeft: len(j.job.Steps), openedAt: c.now}
	for i := range j.job.Steps {
		r.steps = append(r.steps, newStep(j, r, i))
	}
	j.rounds[number] = r
	for _, s := range r.steps {
		c.restore(s)
	}
	for _, s := range r.steps {
		c.openStep(s)
	}
	c.closeRound(j, r)
}

func newStep(j *jobState, r *round, number int) *stepState {
	spec := &j.job.Steps[number]
	s := &stepState{
		job:          j,
		round:        r,
		number:       number,
		spec:         spec,
		tasksLeft:    spec.Count,
		need:         spec.Reserved(),
		runsByWorker: make(map[*worker]int),
	}
	s.tasks = make([]*task, spec.Count)
	for i := range s.tasks {
		id := job.Task{Job: j.job.ID, Occurrence: r.number, Step: number, Index: i}
		s.tasks[i] = &task{id: id, name: id.String(), step: s}
	}
	return s
}

// releasePlace records that a run or reservation of the step on a worker has ended.
func (s *stepState) releasePlace(w *worker) {
	if s.runsByWorker[w]--; s.runsByWorker[w] <= 0 {
		delete(s.runsByWorker, w)
	}
}

// restore restores a step's state from the record. If a member of a gang is done, all are.
func (c *Cell) restore(s *stepState) {
	isDone := func(t *task) bool { return s.job.progress.IsDone(t.id) }
	gangDone := s.spec.Gang && slices.ContainsFunc(s.tasks, isDone)
	for _, t := range s.tasks {
		t.checkpoint = s.job.progress.Checkpoint(t.id)
		t.restoreCrashes()
		c.restoreStrays(t)
		c.restoreLastStart(t)
		if gangDone || isDone(t) {
			s.job.progress.RecordDone(t.id)
			t.done = true
			s.tasksLeft--
		}
	}
	if s.tasksLeft == 0 {
		s.round.stepsLeft--
	}
}

// openStep queues a step's tasks once the steps it depends on are done.
func (c *Cell) openStep(s *stepState) {
	if s.open || s.tasksLeft == 0 {
		return
	}
	for _, a := range s.spec.After {
		if s.round.steps[a].tasksLeft > 0 {
			return
		}
	}
	s.open = true
	if c.allowsCopies(s) {
		c.copies.steps = append(c.copies.steps, s)
	}
	for _, t := range s.tasks {
		c.enqueue(t)
	}
}

// startableSince returns since when a round could have been started.
func (j *jobState) startableSince(r *round) time.Duration {
	if j.job.Scheduled() {
		return r.openedAt
	}
	return j.acceptedAt
}

// criticalPath returns the estimated length of the longest chain of steps.
func (j *jobState) criticalPath() time.Duration {
	longest := time.Duration(0)
	for i := range j.job.Steps {
		longest = max(longest, j.criticalPathFrom(i))
	}
	return longest
}

// criticalPathFrom returns the estimated length of the longest chain of steps that begins with
// a step.
func (j *jobState) criticalPathFrom(step int) time.Duration {
	if j.chains == nil {
		j.chains = job.ChainLengths(j.job.Steps, job.EstimateOf(j.job.Steps))
	}
	return j.chains[step]
}

// enqueue queues a task for its start.
func (c *Cell) enqueue(t *task) {
	s := t.step
	if t.queued || t.done || t.run != nil || !s.open || s.job.final() {
		return
	}
	c.inheritStart(t)
	t.queued = true
	t.waitingSince = c.now
	s.ready = append(s.ready, t)
	c.needsDispatch = true
	if !s.queued {
		c.insertWaiting(s)
	}
}

// completeTask marks a task as done, and its step and round if it was the last one.
func (c *Cell) completeTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	c.unqueue(t)
	s := t.step
	s.job.progress.RecordDone(t.id)
	c.writer.markDirty(s.job)
	s.tasksLeft--
	if s.tasksLeft > 0 {
		return
	}
	s.job.delays.Merge(&t.delays)
	s.round.stepsLeft--
	for _, next := range s.round.steps {
		c.openStep(next)
	}
	c.closeRound(s.job, s.round)
}

// closeRound closes an occurrence if it is done, and completes its job with the last one.
func (c *Cell) closeRound(j *jobState, r *round) {
	if r.stepsLeft > 0 || j.final() {
		return
	}
	delete(j.rounds, r.number)
	j.longestRound = max(j.longestRound, c.now-r.openedAt)
	j.workChain = max(j.workChain, r.workChain())
	j.progress.Close(r.number)
	c.writer.markDirty(j)
	if len(j.progress.Closed) == j.job.Occurrences() {
		c.finish(j, progress.Completed)
	}
}

// finish puts a job into a final state and stops its runs.
func (c *Cell) finish(j *jobState, state progress.State) {
	j.progress.State = state
	j.progress.Ended = c.wall.UnixMilli()
	c.writer.markDirty(j)
	c.logJobEnd(j)
	for _, r := range inOrder(j.rounds) {
		for _, s := range r.steps {
			s.ready = nil
			for _, t := range s.tasks {
				t.queued = false
			}
		}
	}
	c.stopRuns(j)
}

func (c *Cell) cancel(j *jobState) {
	c.finish(j, progress.Cancelled)
}

func (c *Cell) stopRuns(j *jobState) {
	for _, r := range inOrder(j.rounds) {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				c.stopTask(t, "job "+j.progress.State.String())
			}
		}
	}
}

// failTask counts a failed attempt, and fails the job when the attempts that its queue
// allows are used up. Lasting tasks may fail any number of times, and the failure of a
// second run doesn't matter once the task is done.
func (c *Cell) failTask(t *task, attempt uint64) {
	s := t.step
	countedTask := t.id
	if s.spec.Gang {
		countedTask.Index = 0 // members that fail together count once
	}
	if s.spec.Lasting || t.done || !s.job.progress.RecordFailure(countedTask, attempt) {
		return
	}
	c.writer.markDirty(s.job)
	n := s.job.progress.Failures(countedTask)
	if n < max(1, s.job.terms.Attempts) || s.job.final() {
		return
	}
	c.logEvent("attempts used up", "task", t.name, "failures", n)
	c.finish(s.job, progress.Failed)
}

// findTask returns a task by its name, nil if it isn't known.
func (c *Cell) findTask(name string) *task {
	id, err := job.ParseTask(name)
	if err != nil {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	r := j.rounds[id.Occurrence]
	if r == nil || id.Step >= len(r.steps) || id.Index >= len(r.steps[id.Step].tasks) {
		return nil
	}
	return r.steps[id.Step].tasks[id.Index]
}
