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
// A candidate must have free capacity for the task's need. Beside services, batch tasks
// leave a share of the processors free, aren't placed on workers whose reports stopped,
// and wait rather than push a service above the tail limit. Among the remaining
// candidates the lowest cost wins. The cost counts the slowdown of services, replicas of
// the same service in the rack and on the worker, an imbalance of free processors and
// memory that strands capacity, and free capacity that a large request could have used.
// A running task stays unless the gain is worth the move. Ties are broken by name, so
// that the result is deterministic. A Planner keeps no state between calls.
package placement

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Task is a task to be placed.
type Task struct {
	ID      string
	Class   string
	Kind    provider.TaskKind
	Need    resource.Vector
	Current string // worker of a running task, empty for a new one
}

// Candidate is the state of a worker. Slowdown and Confidence are predictions with the
// task placed there; the other fields are without it.
type Candidate struct {
	Worker          string
	Rack            string
	Capacity        resource.Vector
	Free            resource.Vector
	Services        int     // replicas of any service on the worker
	SameWorker      int     // replicas of the task's service on the worker
	SameRack        int     // replicas of the task's service in the rack
	Slowdown        float64 // predicted worst slowdown of a service on the worker, 1 for none
	CurrentSlowdown float64 // current worst slowdown, without the task
	Confidence      float64 // in Slowdown, from 0 to 1
	Silent          bool    // the worker's reports stopped
	Quarantined     bool    // tasks fail to start on the worker
}

// Planner compares workers by their cost for a task.
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

// Choose returns the best worker for a task, and false when no candidate is admissible:
// a new task then waits, a running one stays.
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

// admits reports whether a worker may take the task.
//
// A worker whose reports stopped takes no batch task beside services. Its last figures
// may look good while they are stale; otherwise all waiting tasks would be placed there
// and overload its services.
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
	return c.Slowdown <= p.tailLimit || c.Slowdown <= c.CurrentSlowdown*harmlessFactor
}

// Cost returns the cost of placing a task on a worker; lower is better.
func (p *Planner) Cost(t Task, c Candidate) float64 {
	rest := c.Free.Sub(t.Need)
	cost := p.tailWeight * max(c.Slowdown-max(c.CurrentSlowdown, 1), 0)
	cost += p.spreadWeight * (float64(c.SameRack) + sameWorkerFactor*float64(c.SameWorker))
	cost += p.fitWeight * (strandedShare(rest, c.Capacity) + rest.Dominant(c.Capacity))
	if c.Silent {
		cost += silentCost
	}
	if t.Need.Accelerators == 0 && c.Free.Accelerators > 0 {
		cost += p.fitWeight * idleAcceleratorsCost
	}
	return cost
}

// strandedShare returns the difference between the free shares of processors and memory. The
// surplus of one can't be used without the other.
func strandedShare(rest, capacity resource.Vector) float64 {
	processors := resource.Vector{Processors: rest.Processors}.Dominant(capacity)
	memory := resource.Vector{Memory: rest.Memory}.Dominant(capacity)
	return max(processors-memory, memory-processors)
}
