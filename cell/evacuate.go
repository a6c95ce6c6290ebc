package cell

// evacuateFound moves what a new owner finds on a worker that leaves. It learned
// that the worker leaves before it knew what runs there, or found it on record:
// without this look the runs would stay until the worker goes, and be lost.
func (c *Cell) evacuateFound(w *worker) {
	if w.host.Draining || w.leaving {
		c.evacuate(w)
	}
}

// evacuate moves what runs on a worker that is about to leave. Lasting tasks
// go at once, though not so many of a step that its users would notice unless
// the worker leaves by itself; others that save their progress are moved, the
// rest may end in the time that is left.
func (c *Cell) evacuate(w *worker) {
	for _, r := range inOrder(w.runs) {
		if r.task == nil || r.state == runStopping {
			continue
		}
		spec := r.task.step.spec
		lasting := spec.Lasting && (w.host.Draining || r.task.step.mayMiss(r))
		if lasting || spec.Checkpoints && !spec.Gang {
			c.stopRun(r, "worker leaves")
		}
	}
}
