package cell

// quarantineIfFailing quarantines a worker on which several tasks failed in a row. After
// the quarantine, the worker gets one task at a time until one completes.
func (c *Cell) quarantineIfFailing(w *worker) {
	if w.failures < quarantineThreshold {
		return
	}
	w.noStartsUntil = c.now + c.timing.Quarantine
	w.onProbation = true
	w.failures = quarantineThreshold - 1 // the next failure leads to quarantine at once
	c.logEvent("quarantine", "worker", w.host.ID, "for", c.timing.Quarantine)
}

// quarantineThreshold is how many tasks in a row have to fail on a worker before it is
// quarantined. A single failure is usually the task's own fault.
const quarantineThreshold = 2

// recordSuccess resets the failure count of a worker on which a task completed, and ends
// its quarantine. An unhealthy worker completes no tasks, while on a healthy one about one
// task in twenty fails by its own fault, so that two failures in a row also happen by
// chance.
func (c *Cell) recordSuccess(w *worker) {
	w.failures = 0
	if w.onProbation {
		w.onProbation = false
		w.noStartsUntil = 0
		c.logEvent("quarantine ended", "worker", w.host.ID)
	}
}

// admitsProbe reports whether the worker may get a task of the step. A worker on probation
// is like a half-open circuit breaker: it gets one task at a time, and no lasting task or
// gang, whose end would tell nothing about the worker.
func (w *worker) admitsProbe(s *stepState) bool {
	return !w.onProbation || w.probeCount == 0 && !s.spec.Lasting && !s.spec.Gang
}
