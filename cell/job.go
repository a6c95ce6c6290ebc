package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/ranking"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// jobState is a job as its owner sees it.
type jobState struct {
	job         *job.Job
	terms       job.Terms
	progress    *progress.Progress
	arrived     time.Duration
	rounds      map[int]*round
	chains      []time.Duration // longest chain of estimates from each step on
	opened      int             // occurrences that were opened so far
	delays      delay.Account   // of the tasks that ended last, step by step
	claimed     bool            // it is on record that tasks may have been started
	old         bool            // an earlier owner may have started tasks
	unsure      bool            // some of them may have crashed a worker
	changes     uint64          // of progress, so far
	written     uint64          // of them, those on record
	startChange uint64          // the last of them that puts a start on record before it is ordered
}

// round is one occurrence of a job.
type round struct {
	number int
	steps  []*stepState
	left   int // steps that aren't done
	opened time.Duration
}

// stepState is one step of a round.
type stepState struct {
	job       *jobState
	round     *round
	number    int
	spec      *job.Step
	tasks     []*task
	ready     []*task       // waiting to be started
	queued    bool          // in Cell.waiting
	tried     uint64        // number of the last look that found no worker for it, zero if none has
	triedAt   time.Duration // when it was last checked against all workers
	open      bool          // the steps it depends on are done
	left      int           // tasks that aren't done
	need      resource.Vector
	inherited []*task         // tried by an earlier owner, with an outcome that isn't known
	advice    *advice         // where the queue asks for it
	onHost    map[*worker]int // runs by worker, kept for PerWorker
	rank      ranking.Rank
}

// task is one task of a step.
type task struct {
	id          job.Task
	name        string
	step        *stepState
	run         *run // the run that counts, nil while there is none
	done        bool
	queued      bool          // in step.ready
	waits       time.Duration // since when it waits for its start
	delays      delay.Account
	starts      uint64
	attempt     uint64                    // highest one seen or given
	saved       string                    // newest checkpoint
	suspect     bool                      // it may crash the worker that starts it
	unsure      bool                      // its start by an earlier owner is on record, without an outcome
	startChange uint64                    // change of the job's record that tells of its next start, zero if none does
	kept        *keep                     // room that is kept for it while it is moved
	shunned     map[*worker]time.Duration // where it failed or hung, until when
}

// final reports whether nothing is left to do for the job.
func (j *jobState) final() bool {
	return j.progress.State.Final()
}

func (c *Cell) arrived(e catalog.Entry) {
	j := c.jobs[e.Job.ID]
	if j == nil {
		e.Progress = progress.New(e.Job)
		c.addJob(e)
		c.note("job", "job", e.Job.ID, "queue", e.Job.Queue, "tasks", e.Job.Width(), "times", e.Job.Times, "cancelled", e.Cancelled)
		return
	}
	if e.Cancelled && !j.final() {
		c.cancel(j)
	}
}

func (c *Cell) addJob(e catalog.Entry) *jobState {
	j := &jobState{
		job:      e.Job,
		terms:    c.termsOf(e.Job),
		progress: e.Progress,
		arrived:  c.now - c.age(e.Job),
		rounds:   make(map[int]*round),
		claimed:  e.Progress.Claimed,
		old:      e.Progress.Claimed,
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
		c.timed = append(c.timed, j)
		return j
	}
	j.opened = 1
	c.openRound(j, 0)
	return j
}

// age returns how long ago a job was accepted. That was at another instance,
// by the time of day, so it is only a hint.
func (c *Cell) age(j *job.Job) time.Duration {
	if c.wall.IsZero() || j.Accepted == 0 {
		return 0
	}
	return max(0, min(mostAge, c.wall.Sub(time.UnixMilli(j.Accepted))))
}

// mostAge bounds what a clock that is off can do to the order of jobs.
const mostAge = time.Minute

// openOccurrences opens the rounds of scheduled jobs that are due.
func (c *Cell) openOccurrences() {
	kept := c.timed[:0]
	for _, j := range c.timed {
		for !j.final() && j.opened < j.job.Occurrences() && j.job.Due(j.opened) <= c.wall.UnixMilli() {
			c.openRound(j, j.opened)
			j.opened++
		}
		if !j.final() && j.opened < j.job.Occurrences() {
			kept = append(kept, j)
		}
	}
	c.timed = kept
}

func (c *Cell) openRound(j *jobState, number int) {
	if j.progress.IsClosed(number) {
		return
	}
	r := &round{number: number, left: len(j.job.Steps), opened: c.now}
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
		job:    j,
		round:  r,
		number: number,
		spec:   spec,
		left:   spec.Count,
		need:   spec.Reserved(),
		onHost: make(map[*worker]int),
	}
	s.tasks = make([]*task, spec.Count)
	for i := range s.tasks {
		id := job.Task{Job: j.job.ID, Occurrence: r.number, Step: number, Index: i}
		s.tasks[i] = &task{id: id, name: id.String(), step: s}
	}
	return s
}

// restore takes over what is on record of a step.
func (c *Cell) restore(s *stepState) {
	for _, t := range s.tasks {
		t.saved = s.job.progress.Saved(t.id)
		t.restoreCrashes()
		if s.job.progress.IsDone(t.id) {
			t.done = true
			s.left--
		}
	}
	if s.left == 0 {
		s.round.left--
	}
}

// openStep makes a step's tasks ready once the steps before it are done.
func (c *Cell) openStep(s *stepState) {
	if s.open || s.left == 0 {
		return
	}
	for _, a := range s.spec.After {
		if s.round.steps[a].left > 0 {
			return
		}
	}
	s.open = true
	for _, t := range s.tasks {
		c.enqueue(t)
	}
}

// begin returns when a round could begin.
func (j *jobState) begin(r *round) time.Duration {
	if j.job.Scheduled() {
		return r.opened
	}
	return j.arrived
}

// chain returns the estimated length of the longest chain of steps.
func (j *jobState) chain() time.Duration {
	longest := time.Duration(0)
	for i := range j.job.Steps {
		longest = max(longest, j.chainFrom(i))
	}
	return longest
}

// chainFrom returns the estimated length of the longest chain that begins with
// a step.
func (j *jobState) chainFrom(step int) time.Duration {
	if j.chains == nil {
		j.chains = chains(j.job.Steps)
	}
	return j.chains[step]
}

func chains(steps []job.Step) []time.Duration {
	lengths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		lengths[i] += steps[i].Estimate
		for _, a := range steps[i].After {
			lengths[a] = max(lengths[a], lengths[i])
		}
	}
	return lengths
}

// enqueue makes a task wait for its start.
func (c *Cell) enqueue(t *task) {
	s := t.step
	if t.queued || t.done || t.run != nil || !s.open || s.job.final() {
		return
	}
	t.queued = true
	t.waits = c.now
	s.ready = append(s.ready, t)
	c.changed = true
	if !s.queued {
		c.await(s)
	}
}

// doneTask takes note that a task is done.
func (c *Cell) doneTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	c.unqueue(t)
	s := t.step
	s.job.progress.Done(t.id)
	c.saves.dirty(s.job)
	s.left--
	if s.left > 0 {
		return
	}
	s.job.delays.Join(&t.delays)
	s.round.left--
	for _, next := range s.round.steps {
		c.openStep(next)
	}
	c.closeRound(s.job, s.round)
}

// closeRound ends an occurrence that is done, and its job with the last one.
func (c *Cell) closeRound(j *jobState, r *round) {
	if r.left > 0 || j.final() {
		return
	}
	delete(j.rounds, r.number)
	j.progress.Close(r.number)
	c.saves.dirty(j)
	if len(j.progress.Closed) == j.job.Occurrences() {
		c.finish(j, progress.Completed)
	}
}

// finish makes a job's state final.
func (c *Cell) finish(j *jobState, state progress.State) {
	j.progress.State = state
	j.progress.Ended = c.wall.UnixMilli()
	c.saves.dirty(j)
	c.noteEnd(j)
	for _, r := range inOrder(j.rounds) {
		for _, s := range r.steps {
			s.ready = nil
			for _, t := range s.tasks {
				t.queued = false
			}
		}
	}
	c.stopAll(j)
}

func (c *Cell) cancel(j *jobState) {
	c.finish(j, progress.Cancelled)
}

func (c *Cell) stopAll(j *jobState) {
	for _, r := range inOrder(j.rounds) {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					c.stopRun(t.run, "job "+j.progress.State.String())
				}
			}
		}
	}
}

// failTask counts a failed attempt, and fails the job with the last one that
// its queue allows. Lasting tasks have no such bound.
func (c *Cell) failTask(t *task, attempt uint64) {
	s := t.step
	counted := t.id
	if s.spec.Gang {
		counted.Index = 0 // members that fail together count once
	}
	if s.spec.Lasting || !s.job.progress.Fail(counted, attempt) {
		return
	}
	c.saves.dirty(s.job)
	n := s.job.progress.Failures(counted)
	if n < max(1, s.job.terms.Attempts) || s.job.final() {
		return
	}
	c.note("attempts used up", "task", t.name, "failures", n)
	c.finish(s.job, progress.Failed)
}

// find returns a task by its name, nil if it isn't known.
func (c *Cell) find(name string) *task {
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
