package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/colocation"
)

// planEvery is the time between two plans of what stands together. Demand is
// followed over some seconds.
const planEvery = 500 * time.Millisecond

// demandGain is the share of a new reading of the demand for filling images
// that is believed, which smooths it over 5 s.
const demandGain = 0.1

// planColocation works out anew how scarce the workers are that bear each
// filling image, and moves what stands in the wrong place.
func (c *Cell) planColocation() {
	if c.plan != nil && c.now-c.plannedAt < planEvery {
		return
	}
	c.plannedAt = c.now
	whole := c.usualSize()
	c.followDemand(whole)
	c.plan = colocation.New(c.pressure.Weight, c.demand)
	for _, w := range c.everyWorker() {
		w.set = c.plan.Set(slices.Collect(maps.Keys(w.images)))
		w.set.Count(float64(w.host.Capacity.Processors) / whole)
	}
	c.relocate()
}

// usualSize returns the mean processors of a worker.
func (c *Cell) usualSize() float64 {
	total := int64(0)
	for _, w := range c.everyWorker() {
		total += w.host.Capacity.Processors
	}
	return float64(max(1, total)) / float64(max(1, len(c.workers)))
}

// followDemand takes a reading of the processors that filling images want, in
// workers.
func (c *Cell) followDemand(whole float64) {
	wanted := make(map[string]float64, len(c.demand))
	for _, s := range c.waiting {
		if s.spec.Fills {
			wanted[s.spec.Image] += float64(int64(len(s.ready))*s.spec.Need.Processors) / whole
		}
	}
	for _, w := range c.everyWorker() {
		for _, r := range w.runs {
			if r.fills() {
				wanted[r.task.step.spec.Image] += float64(r.task.step.spec.Need.Processors) / whole
			}
		}
	}
	for f := range wanted {
		c.demand[f] += 0
	}
	for f, d := range c.demand {
		c.demand[f] = d + demandGain*(wanted[f]-d)
		if c.demand[f] < leastDemand {
			delete(c.demand, f)
		}
	}
}

// leastDemand is the demand, in workers, below which an image is forgotten.
const leastDemand = 0.01

// imagesOf returns what is known of a worker's serving images together.
func (c *Cell) imagesOf(w *worker) *colocation.Set {
	if w.set == nil {
		w.set = c.plan.Set(slices.Collect(maps.Keys(w.images)))
	}
	return w.set
}
