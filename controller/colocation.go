package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/mitigation"
	"github.com/dogwoodladder/dogwoodladder/placement"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/usage"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

const (
	reportInterval = 5 * time.Second // between reports requested from one worker
	fullSpeed      = 100             // percent
)

// colocation holds the learnt interference between tasks on the owned workers,
// and their measured sizes.
type colocation struct {
	estimator    *interference.Estimator
	planner      *placement.Planner
	ladder       *mitigation.Ladder
	sizes        *usage.Sizes
	moveRequests uint64 // moves of replicas that the ladder requested
}

func newColocation() *colocation {
	return &colocation{
		estimator: interference.New(),
		planner:   placement.New(),
		ladder:    mitigation.New(),
		sizes:     usage.New(),
	}
}

// trackedTask is a task on a worker as last given to the estimator.
type trackedTask struct {
	class        string
	percent      int
	checkpointAt time.Time // time of the newest checkpoint
	checkpoint   string    // the newest checkpoint
}

// classOf returns the class that tasks of the same job share in the estimator.
func classOf(t zone.Task) string {
	if t.Job == "" {
		return t.Group
	}
	return t.Group + "/" + t.Job
}

// updateEstimator gives the estimator the tasks that were added to or removed
// from a worker.
func (c *Controller) updateEstimator(now time.Time, w *worker) {
	present := make(map[string]bool)
	for _, a := range sortedAssignments(w.replicas) {
		if a.stage == running {
			present[a.id] = true
			c.trackTask(now, w, interference.Task{ID: a.id, Class: a.service, Kind: provider.KindService})
		}
	}
	for _, a := range sortedAssignments(w.tasks) {
		t, ok := c.State().Task(a.id)
		if !ok || a.stage != running {
			continue
		}
		present[a.id] = true
		c.trackTask(now, w, interference.Task{ID: a.id, Class: classOf(t), Kind: provider.KindBatch})
		tracked := w.tracked[a.id]
		if a.spec.Checkpoint != tracked.checkpoint {
			tracked.checkpoint = a.spec.Checkpoint
			tracked.checkpointAt = now
		}
	}
	for _, id := range sortedKeys(w.tracked) {
		if !present[id] {
			delete(w.tracked, id)
			c.colocation.estimator.Removed(now, w.id, id)
		}
	}
}

func (c *Controller) trackTask(now time.Time, w *worker, t interference.Task) {
	if w.tracked[t.ID] != nil {
		return
	}
	w.tracked[t.ID] = &trackedTask{class: t.Class, percent: fullSpeed, checkpointAt: now}
	c.colocation.estimator.Placed(now, w.id, t)
}

// untrackTasks removes a worker's tasks from the estimator.
func (c *Controller) untrackTasks(now time.Time, w *worker) {
	for _, id := range sortedKeys(w.tracked) {
		c.colocation.estimator.Removed(now, w.id, id)
	}
	w.tracked = make(map[string]*trackedTask)
}

// handleReport feeds a worker's usage measurements, which lag behind, to the
// estimator.
func (c *Controller) handleReport(now time.Time, in Reported) {
	w, ok := c.workers[in.Worker]
	if !ok || w.phase != adopted {
		return
	}
	for _, u := range in.Report.Usage {
		outcome := c.colocation.estimator.Observe(now, w.id, u)
		tracked, known := w.tracked[u.Task]
		if outcome != interference.Used || !known {
			continue
		}
		if a, ok := w.tasks[u.Task]; ok && tracked.percent == fullSpeed {
			c.colocation.sizes.Observe(now, tracked.class, a.need, u.Used)
		}
	}
}

// requestReports polls each owned worker whose report is due, and applies
// mitigations to it.
func (c *Controller) requestReports(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if w.phase != adopted || now.Before(w.nextReportAt) {
			continue
		}
		w.nextReportAt = now.Add(reportInterval)
		c.emit(Poll{Worker: w.id, Address: w.address})
		c.mitigate(now, w)
	}
}

// mitigate protects the services on a worker from the batch tasks there.
func (c *Controller) mitigate(now time.Time, w *worker) {
	in := mitigation.Worker{
		ID:      w.id,
		Silent:  c.colocation.estimator.Silent(now, w.id),
		Load:    c.processorLoad(w),
		Victims: c.colocation.estimator.Pressure(now, w.id),
		Tasks:   c.mitigableTasks(now, w),
	}
	for _, action := range c.colocation.ladder.Decide(now, in) {
		c.applyMitigation(now, w, action)
	}
}

func (c *Controller) applyMitigation(now time.Time, w *worker, action mitigation.Action) {
	c.logEvent(Info, "mitigation", "worker", w.id, "action", action.Kind.String(), "task", action.Task, "percent", action.Percent, "reason", action.Reason)
	a, ok := w.tasks[action.Task]
	switch {
	case action.Kind == mitigation.Move:
		c.colocation.moveRequests++ // all instances compute the same plan, so one alone can't move a replica
	case !ok || a.stage != running:
	case action.Kind == mitigation.Evict:
		a.stage = stopping
		c.enqueueCall(w, Call{Verb: Stop, Epoch: w.epoch, Task: action.Task, Checkpoint: true})
	default:
		w.tracked[action.Task].percent = action.Percent
		c.colocation.estimator.Throttled(now, w.id, action.Task, action.Percent)
		c.enqueueCall(w, Call{Verb: Throttle, Epoch: w.epoch, Task: action.Task, Percent: action.Percent})
	}
}

// processorLoad returns the share of a worker's processors that its tasks need
// at their present speeds. It uses learnt sizes: measurements lag, and a
// throttle would be repeated until they show its effect.
func (c *Controller) processorLoad(w *worker) float64 {
	var need int64
	for _, a := range w.replicas {
		need += a.need.Processors
	}
	for id, a := range w.tasks {
		if tracked := w.tracked[id]; tracked != nil && a.stage == running {
			need += c.colocation.sizes.Need(tracked.class, a.need).Processors * int64(tracked.percent) / fullSpeed
		}
	}
	return resource.Vector{Processors: need}.Dominant(w.capacity)
}

// mitigableTasks returns the batch tasks on a worker that may be throttled or
// evicted.
func (c *Controller) mitigableTasks(now time.Time, w *worker) []mitigation.Task {
	var all []mitigation.Task
	for _, a := range sortedAssignments(w.tasks) {
		t, ok := c.State().Task(a.id)
		tracked := w.tracked[a.id]
		if !ok || tracked == nil || a.stage != running {
			continue
		}
		left := c.colocation.sizes.Duration(tracked.class, t.Duration) - now.Sub(a.startedAt)
		all = append(all, mitigation.Task{
			ID:             a.id,
			Job:            tracked.class,
			Group:          t.Group,
			Percent:        tracked.percent,
			ProcessorShare: resource.Vector{Processors: c.colocation.sizes.Need(tracked.class, a.need).Processors}.Dominant(w.capacity),
			LostWork:       now.Sub(tracked.checkpointAt),
			Remaining:      max(left, 0),
		})
	}
	return all
}

// undeclaredNeed returns how much more than declared the batch tasks on a
// worker are measured to need. Unused declared capacity isn't given to other
// tasks, since a worker admits tasks by what they declare.
func (c *Controller) undeclaredNeed(w *worker) resource.Vector {
	var sum resource.Vector
	for id, tracked := range w.tracked {
		a, ok := w.tasks[id]
		if !ok || a.stage == ended {
			continue
		}
		over := c.colocation.sizes.Need(tracked.class, a.need).Sub(a.need)
		sum.Processors += max(over.Processors, 0)
		sum.Memory += max(over.Memory, 0)
	}
	return sum
}

// shouldAvoid reports whether a task that failed on a worker should go to
// another one. This distinguishes a bad worker from a task that can't run, as
// long as the zone has healthy workers that the task hasn't failed on.
func (c *Controller) shouldAvoid(t zone.Task, worker string) bool {
	if !slices.Contains(t.FailedOn, worker) {
		return false
	}
	healthy := 0
	for recorded := range c.State().Workers() {
		if !recorded.Quarantined && !recorded.Lapsed {
			healthy++
		}
	}
	return len(t.FailedOn) < healthy
}

// chooseWorker returns the best worker for a task, or nil.
func (c *Controller) chooseWorker(now time.Time, free map[string]resource.Vector, t zone.Task) *worker {
	add := interference.Task{ID: t.ID, Class: classOf(t), Kind: provider.KindBatch}
	var candidates []placement.Candidate
	for _, id := range sortedKeys(free) {
		if t.Need.Fits(free[id]) && !c.shouldAvoid(t, id) {
			candidates = append(candidates, c.placementCandidate(now, c.workers[id], free[id], add))
		}
	}
	task := placement.Task{ID: t.ID, Class: add.Class, Kind: provider.KindBatch, Need: t.Need}
	id, ok := c.colocation.planner.Choose(now, task, candidates)
	if !ok {
		return nil
	}
	return c.workers[id]
}

// placementCandidate describes a worker, with tasks added to it, to the
// placement planner.
func (c *Controller) placementCandidate(now time.Time, w *worker, free resource.Vector, add ...interference.Task) placement.Candidate {
	e := c.colocation.estimator
	candidate := placement.Candidate{
		Worker:          w.id,
		Rack:            w.rack,
		Capacity:        w.capacity,
		Free:            free,
		Services:        len(w.replicas),
		Slowdown:        1,
		CurrentSlowdown: 1,
		Silent:          e.Silent(now, w.id),
	}
	if len(w.replicas) > 0 {
		candidate.CurrentSlowdown = e.Worst(now, w.id)
		candidate.Slowdown = e.Worst(now, w.id, add...)
	}
	return candidate
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
