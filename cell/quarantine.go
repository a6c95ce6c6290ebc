package cell

import "time"

// A worker on which several tasks failed or hung in a row gets none for a while, and is on
// probation then, like a half-open circuit breaker: it gets a task from time to time until one
// completes, or has been at work for longer than those that failed. The others may be long ones,
// and whoever waits for the worker must not wait for their end.

const (
	// quarantineThreshold is how many tasks in a row have to fail on a worker before it is
	// quarantined. A single failure is usually the task's own fault.
	quarantineThreshold = 2

	// probeInterval is the time between two starts on a worker on probation, and the least time
	// that a run has to be at work there to end the probation.
	probeInterval = 500 * time.Millisecond
)

// quarantineIfFailing quarantines a worker on which several tasks failed in a row.
func (c *Cell) quarantineIfFailing(w *worker) {
	if w.failures < quarantineThreshold {
		return
	}
	w.noStartsUntil = c.now + c.timing.Quarantine
	w.onProbation = true
	w.failures = quarantineThreshold - 1 // the next failure leads to quarantine at once
	c.logEvent("quarantine", "worker", w.host.ID, "for", c.timing.Quarantine)
}

// recordFailure counts a task that failed or hung on a worker.
func (c *Cell) recordFailure(w *worker, ran time.Duration) {
	w.failures++
	w.longestFailure = max(w.longestFailure, ran)
	c.quarantineIfFailing(w)
}

// recordSuccess resets the failure count of a worker on which a task completed, and ends
// its quarantine. An unhealthy worker completes no tasks, while on a healthy one about one
// task in twenty fails by its own fault, so that two failures in a row also happen by
// chance.
func (c *Cell) recordSuccess(w *worker) {
	w.failures = 0
	w.longestFailure = 0
	if w.onProbation {
		w.noStartsUntil = 0
		c.endProbation(w)
	}
}

func (c *Cell) endProbation(w *worker) {
	w.onProbation = false
	c.logEvent("quarantine ended", "worker", w.host.ID)
	c.markChanged(w)
}

// admitsProbe reports whether the worker may get a task of the step. The members of a gang
// start together, so they don't wait for each other.
func (c *Cell) admitsProbe(w *worker, s *stepState) bool {
	return !w.onProbation || s.spec.Gang || c.now >= w.nextProbeAt
}

// checkProbation ends a worker's probation once a run there has outlasted those that failed.
// The next failure leads to quarantine at once.
func (c *Cell) checkProbation(w *worker) {
	if w.nextProbeAt != 0 && c.now >= w.nextProbeAt {
		w.nextProbeAt = 0
		c.markChanged(w)
	}
	for _, r := range w.runs {
		if r.probe && r.state == runRunning && r.isAtWork() && c.now-r.orderedAt >= c.probationTime(w) {
			c.endProbation(w)
			return
		}
	}
}

// isAtWork reports whether a run has made progress since its worker first reported it.
func (r *run) isAtWork() bool {
	return r.fromKnown && (r.percent > r.from || r.percent >= fullPercent)
}

// probationTime returns for how long a run has to be at work to end a worker's probation.
func (c *Cell) probationTime(w *worker) time.Duration {
	return max(probeInterval, min(w.longestFailure, c.timing.Quarantine))
}
