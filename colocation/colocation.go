// Package colocation tells what it costs to have tasks that serve users on one
// worker, in processors that filling tasks then can't use any more.
//
// Usage:
//
//	plan := colocation.New(estimator.Weight, demand)
//	for _, w := range workers {
//		w.set = plan.Set(w.images)
//		w.set.Count(w.size)
//	}
//	loss := w.set.Loss("quote")             // of putting a further image there
//	cost := w.set.Cost("rebuild", 0.1)      // of filling a tenth of the worker
//	gain, leave := w.set.Spoiled(w.running) // by having some images leave
//
// Which filling images a serving task minds depends on its image, and most
// serving images mind either the same filling ones or quite others. A filling
// task has to be borne by all serving tasks beside it. So a worker on which two
// kinds of images stand together bears only what both bear, and the filling
// images that most serving ones mind are left with few workers or none.
//
// How much that matters depends on what filling tasks want to run: each filling
// image has a price, its demand over what it could use of all workers.
package colocation

import (
	"maps"
	"slices"
	"strings"
)

// Bounds of what a filling image can use of a worker.
const (
	usualSlack  = 1.5  // of a serving task in the mean of its load, above what has to be left to it
	leastWeight = 0.1  // below it a filling image can use any worker whole
	wholeWorker = 1.0  // the most that it can use
	mostPrice   = 3.0  // of an image that hardly any worker bears
	leastUsable = 0.1  // workers; keeps the price of an image that none bears finite
	sameKind    = 0.05 // loss, in workers, below which two images mind the same filling ones
)

// Plan knows how scarce the workers are that bear each filling image.
type Plan struct {
	weight func(served, fill string) float64
	fills  []string
	demand []float64 // processors wanted, in workers
	usable []float64 // processors that could be used, in workers
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

// price is how much a filling image's processors are in demand.
func (p *Plan) price(i int) float64 {
	return min(mostPrice, p.demand[i]/max(p.usable[i], leastUsable))
}

// Set is the images of the serving tasks on a worker. Workers with the same
// images share it. It remembers what it was asked, so that all workers are to
// be counted before the first question.
type Set struct {
	plan   *Plan
	images []string  // in order
	usable []float64 // of a worker, by each filling image
	losses map[string]float64
	costs  map[string]float64 // of a whole worker
}

// Set returns the Set of some images.
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
			s.usable[i] = min(s.usable[i], usualSlack/max(leastWeight, p.weight(image, f)))
		}
	}
	p.sets[key] = s
	return s
}

// Count takes a worker with these images into account; size is in workers of
// the usual size.
func (s *Set) Count(size float64) {
	for i, u := range s.usable {
		s.plan.usable[i] += u * size
	}
}

// Loss returns what a worker with these images loses to filling tasks by
// another image beside them, in workers of the usual size.
func (s *Set) Loss(image string) float64 {
	if slices.Contains(s.images, image) {
		return 0
	}
	loss, ok := s.losses[image]
	if !ok {
		loss = s.above(s.plan.Set(append(slices.Clone(s.images), image)))
		s.losses[image] = loss
	}
	return loss
}

// above returns what filling tasks can use beside this set and can't beside
// another one, weighed by how much it is in demand.
func (s *Set) above(other *Set) float64 {
	total := 0.0
	for i := range s.usable {
		total += s.plan.price(i) * (s.usable[i] - other.usable[i])
	}
	return total
}

// Cost returns what a filling task that uses a share of a worker takes from
// others: the slack of the serving tasks, at what the best other use of that
// slack is worth.
func (s *Set) Cost(fill string, share float64) float64 {
	cost, ok := s.costs[fill]
	if !ok {
		cost = s.worthBeside(fill) * s.most(fill)
		s.costs[fill] = cost
	}
	return cost * share
}

// worthBeside returns what a unit of slack is worth to the filling images other
// than one.
func (s *Set) worthBeside(fill string) float64 {
	worth := 0.0
	for i, f := range s.plan.fills {
		if f != fill {
			worth = max(worth, s.plan.price(i)*s.usable[i]/usualSlack)
		}
	}
	return worth
}

// most returns the greatest weight of a filling image on any of the set.
func (s *Set) most(fill string) float64 {
	most := 0.0
	for _, image := range s.images {
		most = max(most, s.plan.weight(image, fill))
	}
	return most
}

// Spoiled returns what a worker would gain by having some of its images leave,
// for each task that would have to move, and which images these are. Runs is
// the number of tasks of each image.
func (s *Set) Spoiled(runs map[string]int) (gain float64, leave []string) {
	for _, kept := range s.images {
		staying, leaving := s.parted(kept)
		moves := 0
		for _, image := range leaving {
			moves += runs[image]
		}
		if moves == 0 {
			continue
		}
		if g := s.plan.Set(staying).above(s) / float64(moves); g > gain {
			gain, leave = g, leaving
		}
	}
	return gain, leave
}

// parted divides the images into those that cost nothing beside one of them
// and the others.
func (s *Set) parted(kept string) (staying, leaving []string) {
	alone := s.plan.Set([]string{kept})
	for _, image := range s.images {
		if alone.Loss(image) < sameKind {
			staying = append(staying, image)
		} else {
			leaving = append(leaving, image)
		}
	}
	return staying, leaving
}
