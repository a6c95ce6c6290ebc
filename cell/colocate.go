package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/colocation"
)

// planInterval is the time between two colocation plans. The demand changes over seconds.
const planInterval = 500 * time.Millisecond

// demandSmoothing is the weight of a new sample of the demand in its exponential moving
// average, which smooths it over 5 s.
const demandSmoothing = 0.1

// planColocation recomputes how scarce the workers are that tolerate each filling image,
// and relocates serving tasks that displace filling ones.
func (c *Cell) planColocation() {
	if c.plan != nil && c.now-c.lastPlanAt < planInterval {
		return
	}
	c.lastPlanAt = c.now
	meanSize := c.meanProcessors()
	c.updateDemand(meanSize)
	c.plan = colocation.New(c.pressure.Weight, c.fillingDemand)
	for _, w := range c.everyWorker() {
		w.imageSet = c.plan.Set(slices.Collect(maps.Keys(w.images)))
		w.imageSet.AddWorker(float64(w.host.Capacity.Processors) / meanSize)
	}
	c.relocate()
}

// meanProcessors returns the mean number of processors of a worker.
func (c *Cell) meanProcessors() float64 {
	total := int64(0)
	for _, w := range c.everyWorker() {
		total += w.host.Capacity.Processors
	}
	return float64(max(1, total)) / float64(max(1, len(c.workers)))
}

// updateDemand samples the processors that each filling image's waiting and running tasks
// ask for, in multiples of a worker of mean size, into the moving average.
func (c *Cell) updateDemand(meanSize float64) {
	wanted := make(map[string]float64, len(c.fillingDemand))
	for _, s := range c.waitingSteps {
		if s.spec.Fills {
			wanted[s.spec.Image] += float64(int64(len(s.ready))*s.spec.Need.Processors) / meanSize
		}
	}
	for _, w := range c.everyWorker() {
		for _, r := range w.runs {
			if r.isFilling() {
				wanted[r.task.step.spec.Image] += float64(r.task.step.spec.Need.Processors) / meanSize
			}
		}
	}
	for f := range wanted {
		c.fillingDemand[f] += 0 // adds a missing image, so that the next loop covers it
	}
	for f, d := range c.fillingDemand {
		c.fillingDemand[f] = d + demandSmoothing*(wanted[f]-d)
		if c.fillingDemand[f] < minDemand {
			delete(c.fillingDemand, f)
		}
	}
}

// minDemand is the demand, in workers, below which an image is dropped.
const minDemand = 0.01

// imageSet returns the colocation data of the worker's set of serving images.
func (c *Cell) imageSet(w *worker) *colocation.Set {
	if w.imageSet == nil {
		w.imageSet = c.plan.Set(slices.Collect(maps.Keys(w.images)))
	}
	return w.imageSet
}
