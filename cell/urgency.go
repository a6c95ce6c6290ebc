package cell

import (
	"cmp"
	"slices"
	"time"
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
		s.standing, s.due = c.standing(s)
	}
	slices.SortStableFunc(c.waiting, byUrgency)
}

// byUrgency compares steps by their queue's priority, then by how their job
// stands to its objective, then by when they should be done. Under overload
// first come, first served makes every job late; so those that can still be in
// time go before those that can't.
func byUrgency(a, b *stepState) int {
	return cmp.Or(
		cmp.Compare(a.job.terms.Priority, b.job.terms.Priority),
		cmp.Compare(a.standing, b.standing),
		cmp.Compare(a.due, b.due),
	)
}

// await puts a step among those that wait, where its urgency belongs.
func (c *Cell) await(s *stepState) {
	s.queued = true
	s.standing, s.due = c.standing(s)
	at, _ := slices.BinarySearchFunc(c.waiting, s, func(other, s *stepState) int {
		if byUrgency(other, s) > 0 {
			return 1
		}
		return -1 // among equals the newest goes last
	})
	c.waiting = slices.Insert(c.waiting, at, s)
}

// orderEvery is the time between two looks at how jobs stand. Objectives are
// seconds long.
const orderEvery = 200 * time.Millisecond

// standing tells how a job stands to its objective.
type standing uint8

const (
	inTime  standing = iota // it can still be met
	late                    // it can't, but the job is worth something
	tooLate                 // the job has taken a multiple of its objective
)

// lastingPatience is how long a lasting task that waits for room lets urgent
// jobs that came after it go first. It serves for a minute or more, so that
// some seconds cost it little, while the job would be late.
const lastingPatience = 20 * time.Second

// lateFactor is the multiple of its objective from which a job that is late is
// worth nothing to its caller any more.
const lateFactor = 3

// standing returns how a step's job stands, and when the step has to begin for
// the job to be in time, by rough estimates.
func (c *Cell) standing(s *stepState) (standing, time.Duration) {
	j := s.job
	if s.spec.Lasting {
		return inTime, j.arrived + lastingPatience
	}
	begun := j.begin(s.round)
	objective := j.objective()
	due := begun + objective - j.chainFrom(s.number)
	switch {
	case c.now <= due:
		return inTime, due
	case c.now <= begun+lateFactor*objective:
		return late, due
	}
	return tooLate, due
}

// objective returns how long a job may take, by rough estimates.
func (j *jobState) objective() time.Duration {
	return time.Duration(max(j.terms.Stretch, 1)*float64(j.chain())) + j.terms.Objective
}
