package placement

import "github.com/dogwoodladder/dogwoodladder/resource"

// BatchCapacity returns the free capacity of a worker for batch tasks before the task is known.
// A selection based on it picks few tasks that Choose then leaves waiting.
func (p *Planner) BatchCapacity(c Candidate) resource.Vector {
	if !p.AcceptsBatch(c) {
		return resource.Vector{}
	}
	free := c.Free
	if c.Services > 0 {
		free.Processors -= int64(p.headroom * float64(c.Capacity.Processors))
	}
	return free
}

// AcceptsBatch reports whether a worker may take batch tasks, apart from its free capacity.
func (p *Planner) AcceptsBatch(c Candidate) bool {
	if c.Quarantined {
		return false
	}
	return c.Services == 0 || !c.Silent && c.CurrentSlowdown <= p.tailLimit
}
