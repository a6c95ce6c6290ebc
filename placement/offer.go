package placement

import "github.com/dogwoodladder/dogwoodladder/resource"

// Offer returns what a worker has room for before the task is known. A
// selection that goes by it chooses few tasks that Choose then lets wait.
func (p *Planner) Offer(c Candidate) resource.Vector {
	if c.Quarantined {
		return resource.Vector{}
	}
	if c.Services == 0 {
		return c.Free
	}
	if c.Silent || c.Now > p.tailLimit {
		return resource.Vector{}
	}
	free := c.Free
	free.Processors -= int64(p.headroom * float64(c.Capacity.Processors))
	return free
}
