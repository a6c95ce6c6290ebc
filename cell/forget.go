package cell

import "time"

// Bounds on the deletion of old jobs.
const (
	forgetInterval       = 10 * time.Second
	maxForgottenPerWrite = 200 // jobs, which keeps a write small
)

// forgetOld deletes jobs that ended long ago: the store keeps the latest record of each
// key indefinitely and would fill up within hours. A job's acceptance record is deleted
// before its progress. In the other order, a reader in between would see a job without
// progress and run it again.
func (c *Cell) forgetOld() {
	if c.forgetInFlight || c.now-c.lastForgetAt < forgetInterval {
		return
	}
	c.lastForgetAt = c.now
	cutoff := c.wall.Add(-c.timing.JobRetention).UnixMilli()
	var ids []string
	for id, j := range inOrder(c.jobs) {
		if j.final() && j.progress.Ended > 0 && j.progress.Ended < cutoff && len(ids) < maxForgottenPerWrite && !j.hasRuns() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	c.forgetInFlight = true
	c.emit(Forget{IDs: ids})
}

// hasRuns reports whether any task of the job may still run.
func (j *jobState) hasRuns() bool {
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

// handleForgotten deletes the progress of jobs whose acceptance records are gone.
func (c *Cell) handleForgotten(in Forgotten) {
	c.forgetInFlight = false
	c.logEvent("jobs forgotten", "jobs", len(in.IDs), "err", in.Err)
	if in.Err != nil {
		return // retried after forgetInterval
	}
	for _, id := range in.IDs {
		delete(c.jobs, id)
		c.writer.dropProgress(id)
	}
}
