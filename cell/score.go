package cell

// Weights of a worker's score; the lowest score wins. Load is a fraction of the worker,
// so a weight of 1 outweighs any load.
const (
	remoteWeight  = 4.0 // a task away from its data takes several times as long
	fillingWeight = 0.5 // filling tasks slow down the tasks beside them
	servingWeight = 2.0 // serving tasks of one image are sensitive to fewer filling images
	// mixedWeight is the weight of each other serving image on the worker. It keeps images
	// apart while it isn't known which filling images interfere with them.
	mixedWeight = 1.0
	// costWeight is the weight of the capacity that a filling task takes from others, in
	// workers.
	costWeight = 5.0
	// lossWeight is the weight of the capacity that filling tasks lose to a serving one,
	// in workers. It outweighs those above, as the capacity is lost for as long as the
	// serving task lasts.
	lossWeight = 12.0
	// probationWeight is the weight of a worker's probation for lasting tasks and gangs,
	// whose failure is the most expensive. It outweighs all others.
	probationWeight = 20.0
)

// placementScore rates a worker for a step's tasks, including the interference between
// serving and filling tasks; the lowest score wins.
func (c *Cell) placementScore(s *stepState, w *worker) float64 {
	score := s.baseScore(w)
	if s.spec.Serves() {
		score += lossWeight * c.imageSet(w).Loss(s.spec.Image)
	}
	if s.spec.Fills {
		share := w.share(s.spec.Need.Processors)
		score += c.pressure.Cost(w.slack, s.spec.Image, share) + costWeight*c.imageSet(w).Cost(s.spec.Image, share)
	}
	return score
}

// baseScore rates a worker for a step's tasks by load, locality and serving images; the
// lowest score wins. Batch tasks are spread, so that the loss of a worker affects few of
// them. Serving tasks are packed by image; see servingScore.
func (s *stepState) baseScore(w *worker) float64 {
	capacity := float64(max(1, w.host.Capacity.Processors))
	load := float64(w.used.Processors) / capacity
	filling := float64(w.fillingProcessors) / capacity
	score := 0.0
	if s.spec.Rack != "" && !w.host.HasLabel(s.spec.Rack) {
		score += remoteWeight
	}
	if w.onProbation && (s.spec.Lasting || s.spec.Gang) {
		score += probationWeight
	}
	switch {
	case s.spec.Serves():
		score += s.servingScore(w) - load
	case s.spec.Fills:
		score += load + filling
	default:
		score += load + fillingWeight*filling
	}
	return score
}

// servingScore prefers workers whose serving tasks have the same image. Which filling
// tasks slow down a serving task depends on its image, so a worker with one serving image
// tolerates most filling images, and one with five hardly any.
func (s *stepState) servingScore(w *worker) float64 {
	score := 0.0
	if w.images[s.spec.Image] > 0 {
		score -= servingWeight
	}
	for image := range w.images {
		if image != s.spec.Image {
			score += mixedWeight
		}
	}
	return score
}
