// Package placement chooses the worker for a task.
//
// Usage:
//
//	p := placement.New(placement.WithTailLimit(1.08))
//	worker, ok := p.Choose(now, task, candidates)
//	if !ok {
//		// no worker fits, or each would slow a service too much: the task waits
//	}
//
// A candidate must hold the need. Batch tasks leave a share of the processors
// free beside services, stay off workers whose reports stopped, and wait
// rather than push a service above the tail limit. Among the rest the lowest
// cost wins: slowdown of services, replicas of the same service in the rack
// and on the worker, a lopsided rest that fits nothing, and free room that a
// large request could have used. A task that runs already stays unless the
// gain is worth the move. Ties go by name, so the same input gives the same
// answer. A Planner keeps no state between calls.
package placement

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Task is a task that wants a worker.
type Task struct {
	ID      string
	Class   string
	Kind    provider.TaskKind
	Need    resource.Vector
	Current string // the worker it runs on, empty for a new task
}

// Candidate is a worker as the task would find it. Slowdown and Confidence
// are for the task added; the other figures are without it.
type Candidate struct {
	Worker      string
	Rack        string
	Capacity    resource.Vector
	Free        resource.Vector
	Services    int     // replicas of any service on the worker
	SameWorker  int     // replicas of the task's service on the worker
	SameRack    int     // replicas of the task's service in the rack
	Slowdown    float64 // worst level of a service there, 1 for none
	Now         float64 // worst level there without the task
	Confidence  float64 // in Slowdown, from 0 to 1
	Silent      bool    // its reports stopped
	Quarantined bool    // it fails what it starts
}

// Planner weighs workers.
type Planner struct {
	options
}

// New returns a Planner.
func New(opts ...Option) *Planner {
	p := &Planner{options: defaults()}
	for _, opt := range opts {
		opt(&p.options)
	}
	return p
}

// Choose returns the best worker for a task, and false when none will do: a
// new task then waits, a running one stays.
func (p *Planner) Choose(_ time.Time, t Task, candidates []Candidate) (worker string, ok bool) {
	var best, current *Candidate
	bestCost, currentCost := 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !p.admits(t, c) {
			continue
		}
		cost := p.Cost(t, *c)
		if c.Worker == t.Current {
			current, currentCost = c, cost
		}
		if best == nil || cost < bestCost || cost == bestCost && c.Worker < best.Worker {
			best, bestCost = c, cost
		}
	}
	if best == nil {
		return "", false
	}
	if current != nil && currentCost-bestCost < p.moveGain {
		return current.Worker, true
	}
	return best.Worker, true
}

// admits reports whether a worker may take the task at all.
//
// What goes wrong: a worker whose reports stopped shows its last, good
// figures, and every waiting task goes there. One would notice services on
// silent workers drown. Such a worker takes no batch task beside services.
func (p *Planner) admits(t Task, c *Candidate) bool {
	if c.Quarantined || !t.Need.Fits(c.Free) {
		return false
	}
	if t.Kind == provider.KindService || c.Services == 0 {
		return true
	}
	if c.Silent {
		return false
	}
	rest := c.Free.Sub(t.Need)
	if float64(rest.Processors) < p.headroom*float64(c.Capacity.Processors) {
		return false
	}
	return c.Slowdown <= p.tailLimit || c.Slowdown <= c.Now*harmless
}

// Cost returns what placing a task on a worker costs; the lower the better.
func (p *Planner) Cost(t Task, c Candidate) float64 {
	rest := c.Free.Sub(t.Need)
	cost := p.tailWeight * max(c.Slowdown-max(c.Now, 1), 0)
	cost += p.spreadWeight * (float64(c.SameRack) + workerSpread*float64(c.SameWorker))
	cost += p.fitWeight * (stranded(rest, c.Capacity) + rest.Dominant(c.Capacity))
	if c.Silent {
		cost += silentCost
	}
	if t.Need.Accelerators == 0 && c.Free.Accelerators > 0 {
		cost += p.fitWeight * blockedAccelerators
	}
	return cost
}

// stranded is how unequal the free shares of processors and memory are: the
// surplus of one is of no use without the other.
func stranded(rest, capacity resource.Vector) float64 {
	processors := resource.Vector{Processors: rest.Processors}.Dominant(capacity)
	memory := resource.Vector{Memory: rest.Memory}.Dominant(capacity)
	return max(processors-memory, memory-processors)
}
