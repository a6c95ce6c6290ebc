package cell

import (
	"iter"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/ranking"
)

// orderSteps puts the steps that wait in order anew, as the time that passes
// changes how jobs stand.
func (c *Cell) orderSteps() {
	if c.sorted && c.now-c.ordered < orderEvery {
		return
	}
	c.sorted = true
	c.ordered = c.now
	for _, s := range c.waiting {
		s.rank = c.rankOf(s)
	}
	c.ranking = ranking.New(c.ranks())
	slices.SortStableFunc(c.waiting, func(a, b *stepState) int { return c.ranking.Compare(a.rank, b.rank) })
}

// ranks ranges over the ranks of what waits.
func (c *Cell) ranks() iter.Seq[ranking.Rank] {
	return func(yield func(ranking.Rank) bool) {
		for _, s := range c.waiting {
			if !yield(s.rank) {
				return
			}
		}
	}
}

// await puts a step among those that wait, where its urgency belongs.
func (c *Cell) await(s *stepState) {
	s.queued = true
	s.rank = c.rankOf(s)
	at, _ := slices.BinarySearchFunc(c.waiting, s, func(other, s *stepState) int {
		if c.ranking.Compare(other.rank, s.rank) > 0 {
			return 1
		}
		return -1 // among equals the newest goes last
	})
	c.waiting = slices.Insert(c.waiting, at, s)
}

// orderEvery is the time between two looks at how jobs stand. Objectives are
// seconds long.
const orderEvery = 200 * time.Millisecond

// lastingPatience is how long a lasting task that waits for room lets urgent
// jobs that came after it go first. It serves for a minute or more, so that
// some seconds cost it little, while the job would be late.
const lastingPatience = 20 * time.Second

// rankOf returns the rank of a step, by rough estimates.
func (c *Cell) rankOf(s *stepState) ranking.Rank {
	j := s.job
	r := ranking.Rank{Priority: j.terms.Priority}
	if s.spec.Lasting {
		r.Due = j.arrived + lastingPatience
		return r
	}
	begun, objective := j.begin(s.round), j.objective()
	r.Due = begun + objective - j.chainFrom(s.number)
	r.Standing = ranking.StandingOf(c.now, begun, r.Due, objective)
	if s.spec.Fills {
		r.Work = s.round.work()
	}
	return r
}

// work returns the work that is left of a round by its estimates, in core-seconds.
func (r *round) work() float64 {
	work := 0.0
	for _, s := range r.steps {
		cores := float64(s.spec.Need.Processors) / milliPerCore
		work += float64(s.left) * cores * s.spec.Estimate.Seconds()
	}
	return work
}

// milliPerCore is how many thousandths a core has.
const milliPerCore = 1000

// objective returns how long a job may take, by rough estimates.
func (j *jobState) objective() time.Duration {
	return time.Duration(max(j.terms.Stretch, 1)*float64(j.chain())) + j.terms.Objective
}
