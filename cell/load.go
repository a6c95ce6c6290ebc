package cell

import "time"

// loadLogInterval is the time between two log lines on the cell's load.
const loadLogInterval = time.Second

// logLoad logs the utilization of the workers and the size of the queue.
func (c *Cell) logLoad() {
	if c.now-c.lastLoadLogAt < loadLogInterval {
		return
	}
	c.lastLoadLogAt = c.now
	var processors, memory, wholeProcessors, wholeMemory, filling int64
	usable, serving, images, runs, overTarget := 0, 0, 0, 0, 0
	for _, w := range c.everyWorker() {
		processors += w.used.Processors
		memory += w.used.Memory
		filling += w.fillingProcessors
		wholeProcessors += w.host.Capacity.Processors
		wholeMemory += w.host.Capacity.Memory
		runs += len(w.runs)
		overTarget += w.countOverTarget()
		if c.isUsable(w) {
			usable++
		}
		if w.servingCount > 0 {
			serving++
			images += len(w.images)
		}
	}
	waiting, fillingWaiting := 0, 0
	for _, s := range c.waitingSteps {
		waiting += len(s.ready)
		if s.spec.Fills {
			fillingWaiting += len(s.ready)
		}
	}
	copies := 0
	for _, s := range c.copies.steps {
		copies += s.copyCount()
	}
	c.logEvent("load", "waiting", waiting, "filling_waiting", fillingWaiting, "checks", c.passes.totalChecks, "runs", runs, "copies", copies, "listed", len(c.hosts.latest.Hosts), "workers", len(c.workers), "usable", usable, "serving", serving, "images", images, "over", overTarget,
		"processors", percent(processors, wholeProcessors), "memory", percent(memory, wholeMemory), "filling", percent(filling, wholeProcessors),
		"starts_unanswered", c.startLimiter.inFlight, "starts_bound", c.startLimiter.limit.Value(), "behind", c.backlogReported)
}

func percent(part, whole int64) int64 {
	if whole <= 0 {
		return 0
	}
	return part * 100 / whole
}

// countOverTarget returns how many of a worker's serving tasks exceeded their target in
// the last report.
func (w *worker) countOverTarget() int {
	if w.servingCount == 0 {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		if r.isServing() && r.percent >= fullPercent && r.tail > r.task.step.spec.Target {
			n++
		}
	}
	return n
}
