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
	reportInterval = 5 * time.Second // between reports asked of one worker
	fullSpeed      = 100             // percent
)

// neighbors holds what was learnt of how tasks on the owned workers disturb
// each other, and of their real sizes.
type neighbors struct {
	estimator *interference.Estimator
	planner   *placement.Planner
	ladder    *mitigation.Ladder
	sizes     *usage.Sizes
	wanted    uint64 // moves of replicas that the ladder asked for
}

func newNeighbors() *neighbors {
	return &neighbors{
		estimator: interference.New(),
		planner:   placement.New(),
		ladder:    mitigation.New(),
		sizes:     usage.New(),
	}
}

// noted is what the estimator was told of a task on a worker.
type noted struct {
	class   string
	percent int
	since   time.Time // of the newest checkpoint
	mark    string    // the newest checkpoint
}

// classOf returns what tasks of the same kind of work have in common.
func classOf(t zone.Task) string {
	if t.Job == "" {
		return t.Group
	}
	return t.Group + "/" + t.Job
}

// note tells the estimator what changed on a worker.
func (c *Controller) note(now time.Time, h *holding) {
	present := make(map[string]bool)
	for _, p := range sortedAssignments(h.replicas) {
		if p.stage == running {
			present[p.id] = true
			c.noteTask(now, h, interference.Task{ID: p.id, Class: p.service, Kind: provider.KindService})
		}
	}
	for _, p := range sortedAssignments(h.tasks) {
		t, ok := c.State().Task(p.id)
		if !ok || p.stage != running {
			continue
		}
		present[p.id] = true
		c.noteTask(now, h, interference.Task{ID: p.id, Class: classOf(t), Kind: provider.KindBatch})
		n := h.noted[p.id]
		if p.spec.Checkpoint != n.mark {
			n.mark = p.spec.Checkpoint
			n.since = now
		}
	}
	for _, id := range sortedKeys(h.noted) {
		if !present[id] {
			delete(h.noted, id)
			c.neighbors.estimator.Removed(now, h.id, id)
		}
	}
}

func (c *Controller) noteTask(now time.Time, h *holding, t interference.Task) {
	if h.noted[t.ID] != nil {
		return
	}
	h.noted[t.ID] = &noted{class: t.Class, percent: fullSpeed, since: now}
	c.neighbors.estimator.Placed(now, h.id, t)
}

// forgetNeighbors tells the estimator that a worker isn't watched any more.
func (c *Controller) forgetNeighbors(now time.Time, h *holding) {
	for _, id := range sortedKeys(h.noted) {
		c.neighbors.estimator.Removed(now, h.id, id)
	}
	h.noted = make(map[string]*noted)
}

// report takes a worker's usage measurements, which tell of the past.
func (c *Controller) report(now time.Time, in Reported) {
	h, ok := c.holdings[in.Worker]
	if !ok || h.phase != adopted {
		return
	}
	for _, u := range in.Report.Usage {
		outcome := c.neighbors.estimator.Observe(now, h.id, u)
		n, known := h.noted[u.Task]
		if outcome != interference.Used || !known {
			continue
		}
		if p, ok := h.tasks[u.Task]; ok && n.percent == fullSpeed {
			c.neighbors.sizes.Observe(now, n.class, p.need, u.Used)
		}
	}
}

// askReports asks each owned worker for a report when one is due.
func (c *Controller) askReports(now time.Time) {
	for _, h := range c.sorted() {
		if h.phase != adopted || now.Before(h.reportAt) {
			continue
		}
		h.reportAt = now.Add(reportInterval)
		c.do(Poll{Worker: h.id, Address: h.address})
		c.mitigate(now, h)
	}
}

// mitigate protects the services on a worker from the batch tasks there.
func (c *Controller) mitigate(now time.Time, h *holding) {
	in := mitigation.Worker{
		ID:      h.id,
		Silent:  c.neighbors.estimator.Silent(now, h.id),
		Load:    c.load(h),
		Victims: c.neighbors.estimator.Pressure(now, h.id),
		Tasks:   c.mitigable(now, h),
	}
	for _, a := range c.neighbors.ladder.Decide(now, in) {
		c.mitigateBy(now, h, a)
	}
}

func (c *Controller) mitigateBy(now time.Time, h *holding, a mitigation.Action) {
	c.log(Info, "mitigation", "worker", h.id, "action", a.Kind.String(), "task", a.Task, "percent", a.Percent, "reason", a.Reason)
	p, ok := h.tasks[a.Task]
	switch {
	case a.Kind == mitigation.Move:
		c.neighbors.wanted++ // plans are the same at every instance, so one instance can't move a replica
	case !ok || p.stage != running:
	case a.Kind == mitigation.Evict:
		p.stage = stopping
		c.call(h, Call{Verb: Stop, Epoch: h.epoch, Task: a.Task, Checkpoint: true})
	default:
		h.noted[a.Task].percent = a.Percent
		c.neighbors.estimator.Throttled(now, h.id, a.Task, a.Percent)
		c.call(h, Call{Verb: Throttle, Epoch: h.epoch, Task: a.Task, Percent: a.Percent})
	}
}

// load returns what the tasks on a worker need of its processors at their
// present speeds. It goes by learnt sizes, since measurements lag: a throttle
// would be repeated until they show it.
func (c *Controller) load(h *holding) float64 {
	var need int64
	for _, p := range h.replicas {
		need += p.need.Processors
	}
	for id, p := range h.tasks {
		if n := h.noted[id]; n != nil && p.stage == running {
			need += c.neighbors.sizes.Need(n.class, p.need).Processors * int64(n.percent) / fullSpeed
		}
	}
	return resource.Vector{Processors: need}.Dominant(h.capacity)
}

// mitigable returns the batch tasks on a worker that may be throttled or
// evicted.
func (c *Controller) mitigable(now time.Time, h *holding) []mitigation.Task {
	var all []mitigation.Task
	for _, p := range sortedAssignments(h.tasks) {
		t, ok := c.State().Task(p.id)
		n := h.noted[p.id]
		if !ok || n == nil || p.stage != running {
			continue
		}
		left := c.neighbors.sizes.Duration(n.class, t.Duration) - now.Sub(p.started)
		all = append(all, mitigation.Task{
			ID:        p.id,
			Job:       n.class,
			Group:     t.Group,
			Percent:   n.percent,
			Share:     resource.Vector{Processors: c.neighbors.sizes.Need(n.class, p.need).Processors}.Dominant(h.capacity),
			Lost:      now.Sub(n.since),
			Remaining: max(left, 0),
		})
	}
	return all
}

// excess returns by how much the batch tasks on a worker are measured to need
// more than they declared. Less than declared is not given away, since a
// worker goes by what was declared.
func (c *Controller) excess(h *holding) resource.Vector {
	var sum resource.Vector
	for id, n := range h.noted {
		p, ok := h.tasks[id]
		if !ok || p.stage == ended {
			continue
		}
		over := c.neighbors.sizes.Need(n.class, p.need).Sub(p.need)
		sum.Processors += max(over.Processors, 0)
		sum.Memory += max(over.Memory, 0)
	}
	return sum
}

// avoids reports whether a task that failed on a worker should be put on
// another one. It tells a bad worker from a task that can't run, as long as
// the zone has workers that it hasn't failed on.
func (c *Controller) avoids(t zone.Task, worker string) bool {
	if !slices.Contains(t.FailedOn, worker) {
		return false
	}
	sound := 0
	for w := range c.State().Workers() {
		if !w.Quarantined && !w.Lapsed {
			sound++
		}
	}
	return len(t.FailedOn) < sound
}

// choose returns the worker that suits a task best, or nil.
func (c *Controller) choose(now time.Time, room map[string]resource.Vector, t zone.Task) *holding {
	add := interference.Task{ID: t.ID, Class: classOf(t), Kind: provider.KindBatch}
	var candidates []placement.Candidate
	for _, id := range sortedKeys(room) {
		if t.Need.Fits(room[id]) && !c.avoids(t, id) {
			candidates = append(candidates, c.candidate(now, c.holdings[id], room[id], add))
		}
	}
	task := placement.Task{ID: t.ID, Class: add.Class, Kind: provider.KindBatch, Need: t.Need}
	id, ok := c.neighbors.planner.Choose(now, task, candidates)
	if !ok {
		return nil
	}
	return c.holdings[id]
}

// candidate returns a worker as it is with tasks added.
func (c *Controller) candidate(now time.Time, h *holding, free resource.Vector, add ...interference.Task) placement.Candidate {
	e := c.neighbors.estimator
	candidate := placement.Candidate{
		Worker:   h.id,
		Rack:     h.rack,
		Capacity: h.capacity,
		Free:     free,
		Services: len(h.replicas),
		Slowdown: 1,
		Now:      1,
		Silent:   e.Silent(now, h.id),
	}
	if len(h.replicas) > 0 {
		candidate.Now = e.Worst(now, h.id)
		candidate.Slowdown = e.Worst(now, h.id, add...)
	}
	return candidate
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
