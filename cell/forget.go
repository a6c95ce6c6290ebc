package cell

import "time"

// Bounds of forgetting.
const (
	forgetEvery  = 10 * time.Second
	forgetAtOnce = 200 // jobs, so that a write stays small
)

// forgetOld has jobs dropped that ended long ago: the store keeps the newest
// record of each key for good, and would fill up within hours. The job's own
// record goes first. If its progress went first, a reader in between would take
// the job for one that hasn't begun, and run it again.
func (c *Cell) forgetOld() {
	if c.forgetting || c.now-c.forgotAt < forgetEvery {
		return
	}
	c.forgotAt = c.now
	before := c.wall.Add(-c.timing.Keep).UnixMilli()
	var ids []string
	for id, j := range inOrder(c.jobs) {
		if j.final() && j.progress.Ended > 0 && j.progress.Ended < before && len(ids) < forgetAtOnce && !j.runs() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	c.forgetting = true
	c.do(Forget{IDs: ids})
}

// runs reports whether anything of the job may still run.
func (j *jobState) runs() bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					return true
				}
			}
		}
	}
	return false
}

// forgotten takes note that jobs' own records are gone, and drops their
// progress.
func (c *Cell) forgotten(in Forgotten) {
	c.forgetting = false
	c.note("jobs forgotten", "jobs", len(in.IDs), "err", in.Err)
	if in.Err != nil {
		return // the next look tries again
	}
	for _, id := range in.IDs {
		delete(c.jobs, id)
		c.saves.drop(id)
	}
}
