package cell

import "slices"

// dispatchGang starts all members of a gang at once, or none.
func (c *Cell) dispatchGang(s *stepState) {
	places := c.placeGang(s)
	if places == nil {
		c.recordNoFit(s)
		return
	}
	if !c.ensureClaimed(s.job) || !c.recordGangStarts(s.ready) {
		return
	}
	attempt := c.nextAttempt(s.ready[0])
	for _, t := range s.ready {
		attempt = max(attempt, t.attempt+1)
	}
	checkpoint := s.gangCheckpoint()
	members := s.ready
	s.ready = nil
	for i, t := range members {
		t.checkpoint = checkpoint
		c.startRun(t, places[i], attempt)
	}
}

// gangCheckpoint returns the checkpoint that all members start from. Any member's
// checkpoint stands for the whole gang, and all members have to resume from the same one.
func (s *stepState) gangCheckpoint() string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// placeGang returns a worker for each member, nil if there isn't enough free capacity for
// all. A gang with SameRack is placed in a single rack where possible.
func (c *Cell) placeGang(s *stepState) []*worker {
	if s.spec.SameRack {
		for _, rack := range c.racks(s.job.terms.Service) {
			if places := c.placeInRack(s, rack); places != nil {
				return places
			}
		}
	}
	return c.placeInRack(s, "")
}

// placeInRack returns a worker with the rack's label for each member of a gang, nil if
// they don't fit. An empty label allows all workers.
func (c *Cell) placeInRack(s *stepState, rack string) []*worker {
	pool := c.usableWorkers(s.job.terms.Service)
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

// placeMember returns the worker with the lowest score for one member of a gang, nil if
// none fits. taken counts the members already placed on each worker.
func (c *Cell) placeMember(t *task, pool []*worker, taken map[*worker]int64, rack string) *worker {
	s := t.step
	var best *worker
	for _, w := range pool {
		n := taken[w]
		if rack != "" && !w.host.HasLabel(rack) || !c.fits(s, w) || !c.mayRunOn(t, w) {
			continue
		}
		if !w.used.Add(s.need.Scale(n + 1)).Fits(w.host.Capacity) {
			continue
		}
		if s.spec.PerWorker > 0 && int(n) >= s.spec.PerWorker {
			continue
		}
		if best == nil || s.baseScore(w)+float64(n) < s.baseScore(best)+float64(taken[best]) {
			best = w
		}
	}
	return best
}

// racks returns the labels that may stand for a rack. The platform doesn't say which
// labels do; a label that all workers of the pool share doesn't. Workers that never
// answered are left out: otherwise a stray entry on the list, with no worker behind it,
// would turn a label that all the others share into a rack.
func (c *Cell) racks(service string) []string {
	count := make(map[string]int)
	answered := 0
	for _, w := range c.pools[service] {
		if !w.answered {
			continue
		}
		answered++
		for _, l := range w.host.Labels {
			count[l]++
		}
	}
	var racks []string
	for l, n := range count {
		if n < answered {
			racks = append(racks, l)
		}
	}
	slices.Sort(racks)
	return racks
}
