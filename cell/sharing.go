package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/contention"
	"github.com/dogwoodladder/dogwoodladder/overload"
)

// WithSharing sets whether full pools are shared fairly among queues and availability zones,
// by package contention, and whether their figures are put on record. It is off by default.
func WithSharing(on bool) Option {
	return func(c *Cell) { c.sharing = on }
}

// minFullWait is how long a task waits although a dispatch pass found no worker for it until
// its pool counts as full. A task that is stopped or fails may wait that long beside free
// capacity, for a write or for a worker that was just released.
const minFullWait = 200 * time.Millisecond

// shareFullPools orders the waiting steps of each full pool by contention.Order. They share
// the places that the ranking gives them among the steps of all pools. Lasting steps keep
// theirs: what they hold isn't released.
func (c *Cell) shareFullPools() {
	if !c.sharing {
		return
	}
	c.detectFullPools()
	places := make(map[string][]int)
	for i, s := range c.waitingSteps {
		s.promoted = false
		if service := s.job.terms.Service; !s.spec.Lasting && c.isShared(service) {
			places[service] = append(places[service], i)
		}
	}
	for service, at := range places {
		c.shareFullPool(service, at)
	}
}

// shareFullPool orders the steps at the given places among themselves.
func (c *Cell) shareFullPool(service string, places []int) {
	o := contention.NewOrder()
	for _, w := range c.pools[service] {
		for _, r := range w.runs {
			if r.task != nil && !r.task.step.spec.Lasting {
				s := r.task.step
				o.AddUse(s.job.job.Queue, s.job.job.Zone, s.spec.Need.Processors, r.promoted)
			}
		}
	}
	steps := make([]*stepState, len(places))
	for i, place := range places {
		s := c.waitingSteps[place]
		steps[i] = s
		o.Add(c.contending(s))
	}
	for i, next := range o.Sorted() {
		steps[next].promoted = o.IsPromoted(next)
		c.waitingSteps[places[i]] = steps[next]
	}
}

// contending returns a waiting step as package contention sees it.
func (c *Cell) contending(s *stepState) contention.Step {
	j := s.job
	return contention.Step{
		Queue:     j.job.Queue,
		Zone:      j.job.Zone,
		Rank:      s.rank,
		Demand:    s.spec.Need.Processors * int64(len(s.ready)),
		Waited:    c.now - j.startableSince(s.round),
		Objective: j.objective(),
	}
}

// isShared reports whether a pool is full and shared.
func (c *Cell) isShared(service string) bool {
	f := c.flows[service]
	return f != nil && f.Full()
}

// detectFullPools determines which pools are full: those with waiting steps that found no
// worker.
func (c *Cell) detectFullPools() {
	lacking := make(map[string]map[int]bool) // by service and priority: whether unconstrained steps are among them
	for _, s := range c.waitingSteps {
		if !s.spec.Lasting && s.lastFailedPass > 0 && len(s.ready) > 0 && c.now-s.ready[0].waitingSince >= minFullWait {
			service := s.job.terms.Service
			if lacking[service] == nil {
				lacking[service] = make(map[int]bool)
				c.flow(service) // exists for each full pool
			}
			priority := s.job.terms.Priority
			lacking[service][priority] = lacking[service][priority] || s.isUnconstrained()
		}
	}
	for service, f := range inOrder(c.flows) {
		if f.SetFull(c.now, lacking[service]) {
			p := f.Measure(c.now, c.waitingWork()[service])
			c.logEvent("sharing", "pool", service, "full", f.Full(), "waiting_core_seconds", int64(p.Waiting()), "core_seconds_a_second", int64(p.Rate()))
		}
	}
}

func (c *Cell) flow(service string) *overload.Flow {
	f := c.flows[service]
	if f == nil {
		f = &overload.Flow{}
		c.flows[service] = f
	}
	return f
}

// recordFlow counts the start of a run for the figures of its pool.
func (c *Cell) recordFlow(r *run) {
	s := r.task.step
	if !c.sharing || s.spec.Lasting {
		return
	}
	r.promoted = s.promoted
	c.flow(s.job.terms.Service).RecordStart(c.now, s.origin(), s.taskWork())
}

// origin returns where a step's work comes from.
func (s *stepState) origin() overload.Origin {
	j := s.job
	return overload.Origin{Queue: j.job.Queue, Zone: j.job.Zone, Priority: j.terms.Priority}
}

// isUnconstrained reports whether each worker of the pool could run the step's tasks. What
// other steps wait for may be a single worker, a rack or an accelerator, so their waiting
// doesn't show that the pool has no free capacity for others.
func (s *stepState) isUnconstrained() bool {
	return s.spec.Label == "" && s.spec.Need.Accelerators == 0 && s.spec.PerWorker == 0 && !s.spec.Gang && !s.spec.SameRack
}

// waitingWork returns the core-seconds of unconstrained steps that wait in each pool, by
// origin.
func (c *Cell) waitingWork() map[string]map[overload.Origin]float64 {
	work := make(map[string]map[overload.Origin]float64)
	for _, s := range c.waitingSteps {
		if s.spec.Lasting || !s.isUnconstrained() || len(s.ready) == 0 {
			continue
		}
		service := s.job.terms.Service
		if work[service] == nil {
			work[service] = make(map[overload.Origin]float64)
		}
		work[service][s.origin()] += float64(len(s.ready)) * s.taskWork()
	}
	return work
}

// sharedPools returns the figures of the shared pools, for the other instances.
func (c *Cell) sharedPools() map[string]*overload.Pool {
	if !slices.ContainsFunc(slices.Collect(maps.Keys(c.flows)), c.isShared) {
		return nil
	}
	work := c.waitingWork()
	pools := make(map[string]*overload.Pool)
	for service, f := range c.flows {
		if p := f.Pool(c.now, work[service]); p != nil {
			pools[service] = p
		}
	}
	return overload.LargestPools(pools)
}
