package cell

// Weights of a worker's score; the lowest score wins. Load is a fraction of
// the worker, so that a whole point outweighs any load.
const (
	remoteWeight  = 4.0 // a task away from its data takes a multiple of its time
	fillingWeight = 0.5 // work beside filling tasks slows them
	servingWeight = 2.0 // serving tasks of one image together are slowed by fewer filling images
	// mixedWeight is that of each further image of serving tasks. It keeps
	// images apart while nothing is known of what they mind.
	mixedWeight = 1.0
	// costWeight is that of what a filling task takes from others, in
	// workers.
	costWeight = 5.0
	// lossWeight is that of what filling tasks lose by a serving one, in
	// workers. It outweighs any other, as a worker lost to them is lost for as
	// long as the serving task lasts.
	lossWeight = 12.0
)

// scoreOf says how well a worker suits a step's tasks; the lowest score wins.
func (c *Cell) scoreOf(s *stepState, w *worker) float64 {
	score := s.score(w)
	if s.spec.Serves() {
		score += lossWeight * c.imagesOf(w).Loss(s.spec.Image)
	}
	if s.spec.Fills {
		share := w.share(s.spec.Need.Processors)
		score += c.pressure.Cost(w.room, s.spec.Image, share) + costWeight*c.imagesOf(w).Cost(s.spec.Image, share)
	}
	return score
}

// score says how well a worker suits a step's tasks. Batch work is spread, so
// that a lost worker takes little with it. Serving tasks are kept together,
// by image; see servingScore.
func (s *stepState) score(w *worker) float64 {
	whole := float64(max(1, w.host.Capacity.Processors))
	load := float64(w.used.Processors) / whole
	filling := float64(w.filling) / whole
	score := 0.0
	if s.spec.Rack != "" && !w.host.HasLabel(s.spec.Rack) {
		score += remoteWeight
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

// servingScore prefers workers whose serving tasks are of the same image.
// Which filling tasks slow a serving task down depends on its image, so a
// worker with one image bears most of the filling ones, and one with five
// hardly any.
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
