package cell

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/speculation"
)

// A task of a step with AllowsCopies may have a second run on another worker. Package
// speculation decides which tasks get one; this file places it. task.run and task.copy are
// the two runs, and task.copy is nil while task.run is. The first run that ends done
// completes the task, and the other one is stopped. A run that ends otherwise leaves the
// task to the other run. Only the workers know which runs there are; a new owner adopts up
// to two runs of such a task, and stops any further one.

// copyInterval is the time between two scans for tasks that need a copy. It adds to the time
// of each copy, and the objective of an urgent job leaves 300 ms beyond its work.
const copyInterval = 50 * time.Millisecond

// Bounds on the cost of a scan, which is part of a dispatch pass: the pause after the pass
// grows with all of its checks.
const (
	// maxRunsPerScan is how many runs a scan compares. The next scan continues with the
	// steps that this one didn't reach. It is half of maxChecksPerPass, so that as many
	// checks are left to place copies.
	maxRunsPerScan = maxChecksPerPass / 2
	// noTargetPause is how long no worker is looked for after a scan found none for a copy
	// of the step. Without it, steps whose copies fit nowhere would use up the checks of
	// each scan. It is well below the 300 ms that a copy has to save.
	noTargetPause = 200 * time.Millisecond
)

// sharedRackWeight is the weight, in a copy's placement, of each label that may stand for a
// rack and that the worker shares with that of the task's other run. A slow or lost worker
// may have its cause in the rack. The weight outweighs any load.
const sharedRackWeight = 1.0

// copyState is the state of speculative copies.
type copyState struct {
	enabled bool
	steps   []*stepState // open steps whose tasks may have copies, the next one to scan first
	history speculation.History
	lastAt  time.Duration // when tasks that need a copy were last looked for
}

// pair is an original and its copy while both are known.
type pair struct {
	original    *run
	copy        *run
	winner      *run          // the run that completed the task, nil while none has
	saved       time.Duration // estimated time that the copy saved, if it won
	expectedEnd time.Duration // of the original, as estimated when the copy was started; zero if unknown
}

// allowsCopies reports whether the step's tasks may have a second run.
func (c *Cell) allowsCopies(s *stepState) bool {
	return c.copies.enabled && s.spec.AllowsCopies && !s.spec.Gang && !s.spec.Lasting && !s.spec.Fills
}

// wants reports whether another run of the task is needed, or allowed as its copy.
func (c *Cell) wants(t *task) bool {
	if t.done || t.step.job.final() {
		return false
	}
	return t.run == nil || t.copy == nil && c.allowsCopies(t.step)
}

// attach makes a run one of the task's runs. The run with the higher attempt is the copy.
func (t *task) attach(r *run) {
	if t.run == nil {
		t.run = r
		return
	}
	t.copy = r
	if t.copy.attempt < t.run.attempt {
		t.run, t.copy = t.copy, t.run
	}
	p := &pair{original: t.run, copy: t.copy}
	t.run.pair, t.copy.pair = p, p
}

// detach removes a run from the task's runs.
func (t *task) detach(r *run) {
	switch r {
	case t.run:
		t.run, t.copy = t.copy, nil
	case t.copy:
		t.copy = nil
	}
}

// stopTask stops the runs of a task.
func (c *Cell) stopTask(t *task, reason string) {
	if t.run != nil {
		c.stopRun(t.run, reason)
	}
	if t.copy != nil {
		c.stopRun(t.copy, reason)
	}
}

// recordProgress records a report of the run's progress. The progress of a run that resumed
// from a checkpoint, or that an earlier owner started, counts from the first report on.
func (r *run) recordProgress(percent int, reportedAt time.Duration) {
	if !r.fromKnown {
		r.fromKnown = true
		r.from, r.fromAt = percent, reportedAt
	}
	r.reportedAt = max(r.reportedAt, reportedAt)
}

// recordRunTime records how long a run took that did all of its task's work.
func (c *Cell) recordRunTime(r *run) {
	s := r.task.step
	if !c.copies.enabled || !r.complete || r.task.done || s.spec.Gang || s.spec.Fills {
		return
	}
	took := c.now - r.orderedAt
	c.copies.history.Record(s.kind(), took)
	if c.allowsCopies(s) {
		at, _ := slices.BinarySearch(s.ended, took)
		s.ended = slices.Insert(s.ended, at, took)
	}
}

func (s *stepState) kind() speculation.Kind {
	return speculation.Kind{Queue: s.job.job.Queue, Image: s.spec.Image}
}

// recordCheckpoint records a checkpoint that a run's worker lists. A worker repeats the newest
// checkpoint, so only the report that first lists it tells how far the run was.
func (c *Cell) recordCheckpoint(r *run, checkpoint string, percent int) {
	if checkpoint == r.checkpoint {
		return
	}
	r.checkpoint = checkpoint
	c.acceptCheckpoint(r.task, checkpoint, percent)
}

// acceptCheckpoint keeps a checkpoint of a run for the next start. Of two runs, the
// checkpoint of the one that is further on is kept.
func (c *Cell) acceptCheckpoint(t *task, checkpoint string, percent int) {
	if checkpoint == "" || checkpoint == t.checkpoint || t.done {
		return
	}
	if c.allowsCopies(t.step) && t.checkpoint != "" && percent < t.checkpointPercent {
		return
	}
	t.checkpoint, t.checkpointPercent = checkpoint, percent
}

// untrackedPercent returns the progress to assume for a checkpoint of a run that this owner
// doesn't track. It may be older than that of a run that it tracks.
func (t *task) untrackedPercent() int {
	if t.run != nil {
		return -1
	}
	return t.checkpointPercent
}

// startCopies starts copies of tasks whose runs are slow or at risk. It is called after the
// waiting tasks have been started.
func (c *Cell) startCopies() {
	k := &c.copies
	if !k.enabled || c.now-k.lastAt < copyInterval {
		return
	}
	k.lastAt = c.now
	k.steps = slices.DeleteFunc(k.steps, (*stepState).isOver)
	scan := copyScan{pools: c.copyPools(), racks: make(map[string][]string), preceding: make(map[poolPriority][]*stepState)}
	for _, choice := range c.chooseCopies(scan.pools) {
		if c.startLimiter.full() || c.passes.checks >= maxChecksPerPass {
			return
		}
		c.placeCopy(&scan, &choice)
	}
}

// copyScan is the state of one scan for tasks that need a copy.
type copyScan struct {
	pools     map[string]*speculation.Pool
	racks     map[string][]string // labels that stand for racks, by service
	preceding map[poolPriority][]*stepState
}

// poolPriority identifies the steps whose copies have the same preceding steps.
type poolPriority struct {
	service  string
	priority int
}

// placeCopy starts a copy if the budget admits it and a worker is found.
func (c *Cell) placeCopy(scan *copyScan, choice *copyChoice) {
	t := choice.task
	s := t.step
	p := scan.pools[s.job.terms.Service]
	if !p.Admits(s.need.Processors) || c.now < s.noTargetUntil {
		return
	}
	w := c.copyTarget(scan, t)
	if w == nil {
		if c.passes.checks < maxChecksPerPass { // the search was complete
			s.noTargetUntil = c.now + noTargetPause
		}
		c.askAdviser(t)
		return
	}
	p.Copying += s.need.Processors
	p.Free -= s.need.Processors
	c.startCopy(t, w, &choice.Decision)
}

// isOver reports whether the step needs no copies any more, and none of its runs counts
// against the budget.
func (s *stepState) isOver() bool {
	return (s.job.final() || s.tasksLeft == 0) && len(s.runsByWorker) == 0
}

// copyPools returns the state of the pools of all steps that may have copies.
func (c *Cell) copyPools() map[string]*speculation.Pool {
	pools := make(map[string]*speculation.Pool)
	for _, s := range c.copies.steps {
		service := s.job.terms.Service
		p := pools[service]
		if p == nil {
			p = c.copyPool(service)
			pools[service] = p
		}
		p.Copying += s.need.Processors * int64(s.copyCount())
	}
	return pools
}

func (c *Cell) copyPool(service string) *speculation.Pool {
	p := &speculation.Pool{}
	for _, w := range c.usableWorkers(service) {
		p.Total += w.host.Capacity.Processors
		p.Free += max(0, w.host.Capacity.Processors-w.used.Processors)
	}
	p.Waiting = slices.ContainsFunc(c.waitingSteps, func(s *stepState) bool {
		return len(s.ready) > 0 && s.job.terms.Service == service
	})
	return p
}

// copyCount returns how many of the step's runs are second runs, or are still being stopped
// after their task was completed.
func (s *stepState) copyCount() int {
	n := 0
	if len(s.runsByWorker) == 0 {
		return n
	}
	for _, t := range s.tasks {
		if t.copy != nil || t.done && t.run != nil {
			n++
		}
	}
	return n
}

// copyChoice is a task that should get a copy.
type copyChoice struct {
	speculation.Decision
	task *task
}

// chooseCopies returns the tasks that should get a copy, the most urgent first, of as many
// steps as a scan may compare.
func (c *Cell) chooseCopies(pools map[string]*speculation.Pool) []copyChoice {
	k := &c.copies
	var choices []copyChoice
	compared, reached := 0, 0
	for _, s := range k.steps {
		if compared >= maxRunsPerScan || c.passes.checks >= maxChecksPerPass {
			break
		}
		reached++
		if len(s.runsByWorker) == 0 || s.job.final() || !c.canStart(s) || c.isClaimPending(s.job) {
			continue
		}
		runs := 0
		choices, runs = c.chooseInStep(s, pools[s.job.terms.Service], choices)
		compared += runs
		c.passes.checks += runs
	}
	if reached > 0 && reached < len(k.steps) {
		k.steps = slices.Concat(k.steps[reached:], k.steps[:reached])
	}
	slices.SortStableFunc(choices, func(a, b copyChoice) int { return speculation.Compare(a.Decision, b.Decision) })
	return choices
}

// chooseInStep appends the step's tasks that should get a copy to the choices. It also
// returns the number of runs that were compared.
func (c *Cell) chooseInStep(s *stepState, p *speculation.Pool, choices []copyChoice) ([]copyChoice, int) {
	var tasks []*task
	var runs []speculation.Run
	for _, t := range s.tasks {
		if c.mayGetCopy(t) {
			tasks = append(tasks, t)
			runs = append(runs, c.observe(t))
		}
	}
	step := speculation.Step{Tasks: s.spec.Count, Ended: s.ended, Similar: c.copies.history.Median(s.kind()), Estimate: s.spec.Estimate}
	for _, d := range step.Decide(runs, *p) {
		choices = append(choices, copyChoice{d, tasks[d.Run]})
	}
	return choices, len(runs)
}

// mayGetCopy reports whether a task has a single run of which a copy may be started now.
// A task whose next failure would be the last one that its queue allows gets none, nor does
// one whose starts have to be recorded. A run that is being stopped gets none, because the
// task resumes from the checkpoint that the stop returns, nor does one whose end isn't
// listed yet, unless its worker is silent. A run
// that may have silenced its worker gets none.
func (c *Cell) mayGetCopy(t *task) bool {
	r := t.run
	if t.done || r == nil || t.copy != nil || t.reservation != nil || c.needsRecordedStart(t) {
		return false
	}
	silent := c.workerReason(r.worker) == speculation.Silent
	if r.state.isEnding() && !silent || silent && c.mayHaveCrashed(r) {
		return false
	}
	return t.step.job.progress.Failures(t.id)+1 < max(1, t.step.job.terms.Attempts)
}

// mayHaveCrashed reports whether a run on a silent worker may have crashed it, in which case
// its copy would crash another one before the crash is counted.
func (c *Cell) mayHaveCrashed(r *run) bool {
	return r.justStarted() && !r.worker.machineUp
}

// observe returns what is known of a task's single run.
func (c *Cell) observe(t *task) speculation.Run {
	r := t.run
	return speculation.Run{
		Elapsed:      c.now - r.orderedAt,
		From:         r.from,
		FromAt:       r.fromAt - r.orderedAt,
		Percent:      r.percent,
		ReportedAt:   r.reportedAt - r.orderedAt,
		Checkpoint:   t.checkpointPercent,
		Starts:       t.copyStarts,
		WorkerReason: c.workerReason(r.worker),
	}
}

// workerReason returns why a worker may be unable to finish its runs.
func (c *Cell) workerReason(w *worker) speculation.Reason {
	switch {
	case w.missedHolds > 0 || w.lost:
		return speculation.Silent
	case !c.isListed(w):
		return speculation.Isolated
	case w.leaving || w.host.Draining:
		return speculation.Leaving
	}
	return speculation.None
}

// copyTarget returns the worker for a copy of a task, nil if there is none.
func (c *Cell) copyTarget(scan *copyScan, t *task) *worker {
	s, other := t.step, t.run.worker
	racks := c.racksOf(scan, s.job.terms.Service)
	preceding := c.precedingSteps(scan, s)
	var best *worker
	bestScore := 0.0
	for _, w := range c.usableWorkers(s.job.terms.Service) {
		c.passes.checks++
		if w.host.ID == other.host.ID || w.onProbation || !c.fits(s, w) || !c.mayRunOn(t, w) {
			continue
		}
		score := s.baseScore(w) + sharedRackWeight*float64(sharedLabels(w, other, racks))
		if (best == nil || score < bestScore) && c.leavesRoom(w, preceding) {
			best, bestScore = w, score
		}
	}
	return best
}

// sharedLabels returns how many of the sorted labels two workers have in common.
func sharedLabels(a, b *worker, labels []string) int {
	n := 0
	for _, l := range a.host.Labels {
		if _, found := slices.BinarySearch(labels, l); found && b.host.HasLabel(l) {
			n++
		}
	}
	return n
}

// racksOf returns the labels that stand for racks among a service's workers.
func (c *Cell) racksOf(scan *copyScan, service string) []string {
	racks, known := scan.racks[service]
	if !known {
		racks = c.racks(service)
		scan.racks[service] = racks
	}
	return racks
}

// precedingSteps returns the waiting steps that go before a copy of the step's tasks.
func (c *Cell) precedingSteps(scan *copyScan, s *stepState) []*stepState {
	key := poolPriority{s.job.terms.Service, s.job.terms.Priority}
	preceding, known := scan.preceding[key]
	if known {
		return preceding
	}
	for _, other := range c.waitingSteps {
		if len(other.ready) > 0 && other.job.terms.Service == key.service && other.job.terms.Priority <= key.priority {
			preceding = append(preceding, other)
		}
	}
	scan.preceding[key] = preceding
	return preceding
}

// leavesRoom reports whether a copy on the worker takes no capacity that a waiting task
// could be started on. A waiting step that fits on the worker, because its job's claim isn't
// on record yet or it needs a ticket, has to fit on as many other workers as tasks wait. Once
// the pass has made too many checks, no copy is admitted.
func (c *Cell) leavesRoom(w *worker, preceding []*stepState) bool {
	waiting := 0
	for _, s := range preceding {
		waiting += len(s.ready)
	}
	for _, s := range preceding {
		if c.passes.checks >= maxChecksPerPass {
			return false
		}
		c.passes.checks++
		if c.fitsWithoutTicket(s, w) && c.countFitting(s, w, waiting) < waiting {
			return false
		}
	}
	return true
}

// countFitting returns on how many workers other than w the step's tasks fit, up to a limit.
func (c *Cell) countFitting(s *stepState, w *worker, limit int) int {
	n := 0
	for _, other := range c.usableWorkers(s.job.terms.Service) {
		if n >= limit || c.passes.checks >= maxChecksPerPass {
			break
		}
		c.passes.checks++
		if other != w && c.fitsWithoutTicket(s, other) {
			n++
		}
	}
	return n
}

// startCopy starts the second run of a task.
func (c *Cell) startCopy(t *task, w *worker, d *speculation.Decision) {
	t.copyStarts++
	r := c.orderRun(t, w, c.nextAttempt(t))
	r.pair.expectedEnd = c.now + d.Rest
	c.logEvent("copy", "task", t.name, "attempt", r.attempt, "worker", w.host.ID, "rest", d.Rest, "fresh", d.Fresh, "reason", d.Reason.String())
}

// endPair accounts for the end of a run that has, or had, another run beside it. The cost of
// a pair is known once the run that isn't used has ended.
func (c *Cell) endPair(r *run, end provider.End) {
	p := r.pair
	if p == nil {
		return
	}
	r.pair = nil
	t := r.task
	open := !t.done && !t.step.job.final()
	if open && end == provider.EndDone {
		p.winner = r
		if r == p.copy {
			p.saved = max(0, p.expectedEnd-c.now)
		}
		return
	}
	if p.winner == nil && open {
		p.winner = p.other(r) // it continues alone
		if r == p.original {
			p.saved = c.now - p.copy.orderedAt // the head start over a new run
		}
	}
	p.original.pair, p.copy.pair = nil, nil
	lost := c.wasted(p, r, open)
	c.emit(CopyEnded{Won: p.winner == p.copy, CoreSeconds: lost})
	c.logEvent("copy ended", "task", t.name, "won", p.winnerName(), "saved", p.saved, "core_seconds_lost", lost)
}

// other returns the other run of the pair.
func (p *pair) other(r *run) *run {
	if r == p.copy {
		return p.original
	}
	return p.copy
}

// winnerName returns which run won, for the log.
func (p *pair) winnerName() string {
	switch p.winner {
	case nil:
		return "none"
	case p.copy:
		return "copy"
	}
	return "original"
}

// wasted returns the core-seconds of a run that weren't used although its task had another
// run. The work of an original that fails or is lost would be lost without a copy as well.
// In a job that ends before its task does, the copy is what was wasted.
func (c *Cell) wasted(p *pair, r *run, open bool) float64 {
	if open && r == p.original {
		return 0
	}
	if p.winner == nil {
		r = p.copy
	}
	if r.startedClock == 0 {
		return 0 // it isn't known to have begun
	}
	return coreSeconds(r.need, c.now-r.orderedAt)
}

func coreSeconds(need resource.Vector, span time.Duration) float64 {
	return float64(need.Processors) / millicoresPerCore * span.Seconds()
}
