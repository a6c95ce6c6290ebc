package cell

import (
	"iter"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// sortWaiting re-sorts the waiting steps, because the standing of jobs changes with time.
func (c *Cell) sortWaiting() {
	if c.waitingSorted && c.now-c.sortedAt < sortInterval {
		return
	}
	c.waitingSorted = true
	c.sortedAt = c.now
	for _, s := range c.waitingSteps {
		s.rank = c.rankOf(s)
	}
	c.ranking = ranking.New(c.ranks())
	slices.SortStableFunc(c.waitingSteps, func(a, b *stepState) int { return c.ranking.Compare(a.rank, b.rank) })
	c.shareFullPools()
}

// ranks iterates over the ranks of the waiting steps.
func (c *Cell) ranks() iter.Seq[ranking.Rank] {
	return func(yield func(ranking.Rank) bool) {
		for _, s := range c.waitingSteps {
			if !yield(s.rank) {
				return
			}
		}
	}
}

// insertWaiting inserts a step into the waiting steps by its rank.
func (c *Cell) insertWaiting(s *stepState) {
	s.queued = true
	s.rank = c.rankOf(s)
	at, _ := slices.BinarySearchFunc(c.waitingSteps, s, func(other, s *stepState) int {
		if c.ranking.Compare(other.rank, s.rank) > 0 {
			return 1
		}
		return -1 // the newest goes last among equal ranks
	})
	c.waitingSteps = slices.Insert(c.waitingSteps, at, s)
}

// sortInterval is the time between two sorts of the waiting steps. Objectives are seconds
// long.
const sortInterval = 200 * time.Millisecond

// lastingDelay is how long a waiting lasting task lets urgent jobs that arrived later go
// first. It serves for a minute or more, so that some seconds cost it little, while the
// urgent job would be late.
const lastingDelay = 20 * time.Second

// rankOf returns the rank of a step, based on rough estimates.
func (c *Cell) rankOf(s *stepState) ranking.Rank {
	j := s.job
	r := ranking.Rank{Priority: j.terms.Priority}
	if s.spec.Lasting {
		r.Due = j.acceptedAt + lastingDelay
		return r
	}
	startable, objective := j.startableSince(s.round), j.objective()
	r.Due = startable + objective - j.criticalPathFrom(s.number)
	r.Standing = ranking.StandingOf(c.now, startable, r.Due, objective)
	if s.spec.Fills {
		r.Work = s.round.remainingWork()
	}
	return r
}

// remainingWork returns the estimated remaining work of a round, in core-seconds.
func (r *round) remainingWork() float64 {
	work := 0.0
	for _, s := range r.steps {
		work += float64(s.tasksLeft) * s.taskWork()
	}
	return work
}

// taskWork returns the estimated work of one task, in core-seconds.
func (s *stepState) taskWork() float64 {
	return float64(s.spec.Need.Processors) / millicoresPerCore * s.spec.Estimate.Seconds()
}

const millicoresPerCore = 1000

// objective returns how long a job may take, based on rough estimates.
func (j *jobState) objective() time.Duration {
	return j.terms.ObjectiveFor(j.criticalPath())
}
