package cell

// evacuateIfLeaving moves the runs that a new owner finds on a leaving worker. The owner
// learned that the worker is leaving before it knew the worker's runs; without this call
// they would stay until the worker goes, and be lost.
func (c *Cell) evacuateIfLeaving(w *worker) {
	if w.host.Draining || w.leaving {
		c.evacuate(w)
	}
}

// evacuate moves runs off a worker that is about to leave. Lasting tasks are moved at
// once, limited to MaxStopped tasks of a step unless the worker itself is draining. Other
// tasks are moved if they have checkpoints; the rest may finish in the time that is left.
func (c *Cell) evacuate(w *worker) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil || r.state.isEnding() {
			continue
		}
		spec := r.task.step.spec
		lasting := spec.Lasting && (w.host.Draining || r.task.step.canMiss(r))
		if lasting || spec.Checkpoints && !spec.Gang {
			c.stopRun(r, "worker is leaving")
		}
	}
}
