package cell

import "time"

// reportEvery is the time between two lines on the cell's load.
const reportEvery = time.Second

// reportLoad logs how full the workers are and what waits.
func (c *Cell) reportLoad() {
	if c.now-c.reported < reportEvery {
		return
	}
	c.reported = c.now
	var processors, memory, wholeProcessors, wholeMemory, filling int64
	usable, serving, images, runs, over := 0, 0, 0, 0, 0
	for _, w := range c.everyWorker() {
		processors += w.used.Processors
		memory += w.used.Memory
		filling += w.filling
		wholeProcessors += w.host.Capacity.Processors
		wholeMemory += w.host.Capacity.Memory
		runs += len(w.runs)
		over += w.overTarget()
		if c.usable(w) {
			usable++
		}
		if w.serving > 0 {
			serving++
			images += len(w.images)
		}
	}
	waiting, fills := 0, 0
	for _, s := range c.waiting {
		waiting += len(s.ready)
		if s.spec.Fills {
			fills += len(s.ready)
		}
	}
	c.note("load", "waiting", waiting, "filling_waiting", fills, "checks", c.looks.total, "runs", runs, "listed", len(c.list.newest.Hosts), "workers", len(c.workers), "usable", usable, "serving", serving, "images", images, "over", over,
		"processors", percent(processors, wholeProcessors), "memory", percent(memory, wholeMemory), "filling", percent(filling, wholeProcessors),
		"starts_unanswered", c.flow.inFlight, "starts_bound", c.flow.bound.Value(), "behind", c.toldBacklog)
}

func percent(part, whole int64) int64 {
	if whole <= 0 {
		return 0
	}
	return part * 100 / whole
}

// overTarget returns how many of a worker's serving tasks were last reported
// over their target.
func (w *worker) overTarget() int {
	if w.serving == 0 {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		if r.serves() && r.percent >= wholePercent && r.tail > r.task.step.spec.Target {
			n++
		}
	}
	return n
}
