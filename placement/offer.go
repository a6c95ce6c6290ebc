package placement

import "github.com/dogwoodladder/dogwoodladder/resource"

// Offer returns what a worker has room for before the task is known. A
// selection that goes by it chooses few tasks that Choose then lets wait.
func (p *Planner) Offer(c Candidate) resource.Vector {
	if !p.Open(c) {
		return resource.Vector{}
	}
	free := c.Free
	if c.Services > 0 {
		free.Processors -= int64(p.headroom * float64(c.Capacity.Processors))
	}
	return free
}

// Open reports whether a worker may take batch tasks at all, had it room.
func (p *Planner) Open(c Candidate) bool {
	if c.Quarantined {
		return false
	}
	return c.Services == 0 || !c.Silent && c.Now <= p.tailLimit
}
