package cell

import (
	"cmp"
	"slices"
	"time"
)

// dispatch starts what can be started, the most urgent steps first. A step
// whose next task fits nowhere doesn't hold up the ones after it.
func (c *Cell) dispatch() {
	if !c.mayOrder() {
		return
	}
	c.orderSteps()
	c.findUsable()
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		c.dispatchStep(s)
		if len(s.ready) > 0 {
			kept = append(kept, s)
		} else {
			s.queued = false
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// orderSteps sorts the steps that wait: by their queue's priority, then by how
// their job stands to its objective, then by when it should be done. Under
// overload first come, first served makes every job late; so those that can
// still be in time go before those that can't.
func (c *Cell) orderSteps() {
	if c.sorted && c.now-c.ordered < orderEvery {
		return
	}
	c.sorted = true
	c.ordered = c.now
	for _, s := range c.waiting {
		s.standing, s.due = c.standing(s)
	}
	slices.SortStableFunc(c.waiting, func(a, b *stepState) int {
		return cmp.Or(
			cmp.Compare(a.job.terms.Priority, b.job.terms.Priority),
			cmp.Compare(a.standing, b.standing),
			cmp.Compare(a.due, b.due),
		)
	})
}

// orderEvery is the time between two looks at how jobs stand. Objectives are
// seconds long.
const orderEvery = 200 * time.Millisecond

// standing tells how a job stands to its objective.
type standing uint8

const (
	inTime  standing = iota // it can still be met
	late                    // it can't, but the job is worth something
	tooLate                 // the job has taken a multiple of its objective
)

// lateFactor is the multiple of its objective from which a job that is late is
// worth nothing to its caller any more.
const lateFactor = 3

// standing returns how a step's job stands, and when the step has to begin for
// the job to be in time, by rough estimates.
func (c *Cell) standing(s *stepState) (standing, time.Duration) {
	j := s.job
	if s.spec.Lasting {
		return inTime, j.arrived
	}
	begun := j.begin(s.round)
	objective := time.Duration(max(j.terms.Stretch, 1)*float64(j.chain())) + j.terms.Objective
	due := begun + objective - j.chainFrom(s.number)
	switch {
	case c.now <= due:
		return inTime, due
	case c.now <= begun+lateFactor*objective:
		return late, due
	}
	return tooLate, due
}

// findUsable collects the workers that may get tasks, for this look.
func (c *Cell) findUsable() {
	for service, pool := range c.pools {
		ready := c.ready[service][:0]
		for _, w := range pool {
			if c.usable(w) {
				ready = append(ready, w)
			}
		}
		c.ready[service] = ready
	}
}

func (c *Cell) dispatchStep(s *stepState) {
	j := s.job
	if len(s.ready) == 0 || j.final() || !c.mayStart(j) {
		return
	}
	if s.spec.Gang {
		c.dispatchGang(s)
		return
	}
	for len(s.ready) > 0 {
		t := s.ready[0]
		w := c.choose(t)
		if w == nil {
			c.ask(s)
			return
		}
		if !c.claim(j) {
			return
		}
		s.ready = s.ready[1:]
		c.startRun(t, w, c.nextAttempt(t))
	}
}

// claim puts on record that a job's tasks may have been started, before the
// first of them is. It reports whether that is done. A successor may start the
// tasks of all other jobs at once, without having asked every worker.
func (c *Cell) claim(j *jobState) bool {
	if !j.progress.Claimed {
		j.progress.Claimed = true
		c.saves.dirty(j)
	}
	return j.claimed
}

// choose returns the worker for a task, nil if it fits nowhere.
func (c *Cell) choose(t *task) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.ready[t.step.job.terms.Service] {
		if !c.fits(t, w) {
			continue
		}
		score := t.step.score(w)
		if t.step.spec.Fills {
			score += c.pressure.Cost(w.room, t.step.spec.Image, w.share(t.step.spec.Need.Processors))
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a task may be started on a worker now.
func (c *Cell) fits(t *task, w *worker) bool {
	return c.suits(t, w) && c.hasTicket(t.step, w)
}

// suits is fits but for advice.
func (c *Cell) suits(t *task, w *worker) bool {
	s := t.step
	if !w.used.Add(s.need).Fits(w.host.Capacity) {
		return false
	}
	if s.spec.Label != "" && !w.host.HasLabel(s.spec.Label) {
		return false
	}
	if s.spec.PerWorker > 0 && s.onHost[w] >= s.spec.PerWorker {
		return false
	}
	if w.runs[t.name] != nil || c.now < t.shunned[w] {
		return false
	}
	if s.spec.Fills && !c.bears(w, s) {
		return false
	}
	return true
}

// Weights of a worker's score; the lowest score wins. Load is a fraction of
// the worker, so that a whole point outweighs any load.
const (
	remoteWeight  = 4.0 // a task away from its data takes a multiple of its time
	fillingWeight = 0.5 // work beside filling tasks slows them
	servingWeight = 2.0 // serving tasks of one image together are slowed by fewer filling images
	mixedWeight   = 1.0 // of each further image of serving tasks
)

// score says how well a worker suits a step's tasks. Batch work is spread, so
// that a lost worker takes little with it. Serving tasks are kept together,
// by image; see servingScore.
func (s *stepState) score(w *worker) float64 {
	whole := float64(max(1, w.host.Capacity.Processors))
	load := float64(w.used.Processors) / whole
	filling := float64(w.filling) / whole
	score := 0.0
	if s.spec.Rack != "" && !w.host.HasLabel(s.spec.Rack) {
		score += remoteWeight
	}
	switch {
	case s.spec.Serves():
		score += s.servingScore(w) - load
	case s.spec.Fills:
		score += load + filling
	default:
		score += load + fillingWeight*filling
	}
	return score
}

// servingScore prefers workers whose serving tasks are of the same image.
// Which filling tasks slow a serving task down depends on its image, so a
// worker with one image bears most of the filling ones, and one with five
// hardly any.
func (s *stepState) servingScore(w *worker) float64 {
	score := 0.0
	if w.images[s.spec.Image] > 0 {
		score -= servingWeight
	}
	for image := range w.images {
		if image != s.spec.Image {
			score += mixedWeight
		}
	}
	return score
}

// dispatchGang starts all members of a gang at once, or none.
func (c *Cell) dispatchGang(s *stepState) {
	if len(s.ready) < s.left {
		return
	}
	places := c.placeGang(s)
	if places == nil {
		c.ask(s)
		return
	}
	if !c.claim(s.job) {
		return
	}
	attempt := c.nextAttempt(s.ready[0])
	for _, t := range s.ready {
		attempt = max(attempt, t.attempt+1)
	}
	saved := s.gangCheckpoint()
	members := s.ready
	s.ready = nil
	for i, t := range members {
		t.saved = saved
		c.startRun(t, places[i], attempt)
	}
}

// gangCheckpoint returns the checkpoint that all members start from: any
// member's stands for the gang, and all must carry the same one.
func (s *stepState) gangCheckpoint() string {
	for _, t := range s.tasks {
		if t.saved != "" {
			return t.saved
		}
	}
	return ""
}

// placeGang returns a worker for each member, nil if there isn't room for
// all. A gang that is slow across racks is placed in one where that is
// possible.
func (c *Cell) placeGang(s *stepState) []*worker {
	if s.spec.SameRack {
		for _, rack := range c.racks(s.job.terms.Service) {
			if places := c.placeIn(s, rack); places != nil {
				return places
			}
		}
	}
	return c.placeIn(s, "")
}

func (c *Cell) placeIn(s *stepState, rack string) []*worker {
	pool := c.ready[s.job.terms.Service]
	taken := make(map[*worker]int64)
	places := make([]*worker, 0, len(s.ready))
	for _, t := range s.ready {
		w := c.placeMember(t, pool, taken, rack)
		if w == nil {
			return nil
		}
		taken[w]++
		places = append(places, w)
	}
	return places
}

func (c *Cell) placeMember(t *task, pool []*worker, taken map[*worker]int64, rack string) *worker {
	s := t.step
	var best *worker
	for _, w := range pool {
		n := taken[w]
		if rack != "" && !w.host.HasLabel(rack) || !c.fits(t, w) {
			continue
		}
		if !w.used.Add(s.need.Scale(n + 1)).Fits(w.host.Capacity) {
			continue
		}
		if s.spec.PerWorker > 0 && int(n) >= s.spec.PerWorker {
			continue
		}
		if best == nil || s.score(w)+float64(n) < s.score(best)+float64(taken[best]) {
			best = w
		}
	}
	return best
}

// racks returns the labels of a pool's workers that tell where they stand.
// Which label that is isn't said; one that all share is no rack.
func (c *Cell) racks(service string) []string {
	count := make(map[string]int)
	pool := c.pools[service]
	for _, w := range pool {
		for _, l := range w.host.Labels {
			count[l]++
		}
	}
	var racks []string
	for l, n := range count {
		if n < len(pool) {
			racks = append(racks, l)
		}
	}
	slices.Sort(racks)
	return racks
}

// evacuate moves what runs on a worker that is about to leave. Lasting tasks
// go at once, though not so many of a step that its users would notice unless
// the worker leaves by itself; others that save their progress are moved, the
// rest may end in the time that is left.
func (c *Cell) evacuate(w *worker) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil || r.state == runStopping {
			continue
		}
		spec := r.task.step.spec
		lasting := spec.Lasting && (w.host.Draining || r.task.step.mayMiss(r))
		if lasting || spec.Checkpoints && !spec.Gang {
			c.stopRun(r, "worker leaves")
		}
	}
}
