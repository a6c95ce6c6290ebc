// Package colocation computes the cost of placing serving tasks together on one
// worker, in processors that filling tasks then can't use any more.
//
// Usage:
//
//	plan := colocation.New(estimator.Weight, demand)
//	for _, w := range workers {
//		w.set = plan.Set(w.images)
//		w.set.AddWorker(w.size)
//	}
//	loss := w.set.Loss("quote")             // of placing a further image there
//	cost := w.set.Cost("rebuild", 0.1)      // of a filling task with a tenth of the worker
//	gain, leave := w.set.BestMove(w.running) // of moving some images away
//
// A serving image is sensitive to some filling images, and two serving images are
// mostly sensitive either to the same filling images or to quite different ones. All
// serving tasks of a worker have to tolerate a filling task there. So a worker with two
// kinds of serving images takes only the filling images that both kinds tolerate, and the
// filling images that disturb most serving images are left with few workers or none.
//
// The cost depends on the demand: each filling image has a price, its demand divided by
// the capacity that it could use on all workers.
package colocation

import (
	"maps"
	"slices"
	"strings"
)

// Bounds of the share of a worker that a filling image can use, and of its price.
const (
	typicalSlack = 1.5  // slack of a serving task at its mean load, above the slack that must be left
	minWeight    = 0.1  // lower bound of a weight, at which a filling image can use the whole worker
	wholeWorker  = 1.0  // upper bound of the usable share
	maxPrice     = 3.0  // price of an image that hardly any worker tolerates
	minUsable    = 0.1  // workers; keeps the price finite for an image that no worker tolerates
	sameKindLoss = 0.05 // loss in workers below which two images are sensitive to the same filling images
)

// Plan holds the demand of each filling image and the capacity that it can use.
type Plan struct {
	weight func(served, fill string) float64
	fills  []string
	demand []float64 // requested processors, in workers
	usable []float64 // usable processors, in workers
	sets   map[string]*Set
}

// New returns a Plan for filling images with their demand, in workers of the
// usual size. Weight is how much slack a serving image loses to a filling one
// that uses a whole worker.
func New(weight func(served, fill string) float64, demand map[string]float64) *Plan {
	p := &Plan{weight: weight, fills: slices.Sorted(maps.Keys(demand)), sets: make(map[string]*Set)}
	for _, f := range p.fills {
		p.demand = append(p.demand, demand[f])
	}
	p.usable = make([]float64, len(p.fills))
	return p
}

// price returns a filling image's demand divided by its usable processors.
func (p *Plan) price(i int) float64 {
	return min(maxPrice, p.demand[i]/max(p.usable[i], minUsable))
}

// Set holds the images of the serving tasks on a worker. Workers with the same images
// share a Set. It caches its results, so all workers must be counted before the first
// call of Loss, Cost or BestMove.
type Set struct {
	plan   *Plan
	images []string           // sorted
	usable []float64          // share of a worker that each filling image can use
	losses map[string]float64 // cached results of Loss
	costs  map[string]float64 // cached costs of a whole worker
}

// Set returns the Set of images, which is created on the first call.
func (p *Plan) Set(images []string) *Set {
	images = slices.Sorted(slices.Values(images))
	key := strings.Join(images, "\n")
	if s := p.sets[key]; s != nil {
		return s
	}
	s := &Set{plan: p, images: images, usable: make([]float64, len(p.fills)), losses: make(map[string]float64), costs: make(map[string]float64)}
	for i, f := range p.fills {
		s.usable[i] = wholeWorker
		for _, image := range images {
			s.usable[i] = min(s.usable[i], typicalSlack/max(minWeight, p.weight(image, f)))
		}
	}
	p.sets[key] = s
	return s
}

// AddWorker adds a worker with these images to the plan's capacity; size is in workers of
// the usual size.
func (s *Set) AddWorker(size float64) {
	for i, u := range s.usable {
		s.plan.usable[i] += u * size
	}
}

// Loss returns the capacity that a worker with these images loses for filling tasks
// when another image is added, in workers of the usual size and weighted by price.
func (s *Set) Loss(image string) float64 {
	if slices.Contains(s.images, image) {
		return 0
	}
	loss, ok := s.losses[image]
	if !ok {
		loss = s.usableAbove(s.plan.Set(append(slices.Clone(s.images), image)))
		s.losses[image] = loss
	}
	return loss
}

// usableAbove returns the difference between the capacity that filling tasks can use beside
// this set and beside another one, weighted by price.
func (s *Set) usableAbove(other *Set) float64 {
	total := 0.0
	for i := range s.usable {
		total += s.plan.price(i) * (s.usable[i] - other.usable[i])
	}
	return total
}

// Cost returns the opportunity cost of a filling task that uses a share of a worker:
// the slack that it takes from the serving tasks, valued at the best other use of it.
func (s *Set) Cost(fill string, share float64) float64 {
	cost, ok := s.costs[fill]
	if !ok {
		cost = s.alternativeValue(fill) * s.maxWeight(fill)
		s.costs[fill] = cost
	}
	return cost * share
}

// alternativeValue returns the highest value of a unit of slack to any filling image other
// than fill.
func (s *Set) alternativeValue(fill string) float64 {
	highest := 0.0
	for i, f := range s.plan.fills {
		if f != fill {
			highest = max(highest, s.plan.price(i)*s.usable[i]/typicalSlack)
		}
	}
	return highest
}

// maxWeight returns the largest weight of a filling image on any image of the set.
func (s *Set) maxWeight(fill string) float64 {
	largest := 0.0
	for _, image := range s.images {
		largest = max(largest, s.plan.weight(image, fill))
	}
	return largest
}

// BestMove returns the largest gain of moving some of a worker's images away, divided by
// the number of tasks to move, and these images. TaskCounts is the number of running
// tasks of each image.
func (s *Set) BestMove(taskCounts map[string]int) (gain float64, leave []string) {
	for _, kept := range s.images {
		staying, leaving := s.splitByKind(kept)
		moves := 0
		for _, image := range leaving {
			moves += taskCounts[image]
		}
		if moves == 0 {
			continue
		}
		if g := s.plan.Set(staying).usableAbove(s) / float64(moves); g > gain {
			gain, leave = g, leaving
		}
	}
	return gain, leave
}

// splitByKind divides the images into those that cost nothing beside kept and the others.
func (s *Set) splitByKind(kept string) (staying, leaving []string) {
	alone := s.plan.Set([]string{kept})
	for _, image := range s.images {
		if alone.Loss(image) < sameKindLoss {
			staying = append(staying, image)
		} else {
			leaving = append(leaving, image)
		}
	}
	return staying, leaving
}
