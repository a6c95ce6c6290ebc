package contention

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/ranking"
)

const (
	// maxWait bounds expected waits, where hardly any work is started.
	maxWait = time.Minute
	// minRetryAfter is the resolution of the header Retry-After.
	minRetryAfter = time.Second
	// retrySpread is the random part of a Retry-After as a multiple of the rest.
	retrySpread = 0.5
)

// Admission is the expected course of a job that is submitted now.
type Admission struct {
	Start      time.Duration // expected time until its first step starts
	End        time.Duration // expected time until its end
	TooLate    bool          // it would end later than ranking.TooLateAfter
	RetryAfter time.Duration // when to submit it again; zero unless it is too late
}

// Judge returns the expected course of a job in a pool, nil for one that isn't full. Random
// is from 0 to 1. Jobs without an objective, lasting jobs and scheduled ones are never
// too late. Estimates are rough, and later steps may wait as well: End is a lower bound.
func Judge(p *overload.Pool, j *job.Job, random float64) Admission {
	length := job.CriticalPath(j.Steps)
	objective := j.Terms.ObjectiveFor(length)
	a := Admission{}
	if p != nil {
		a.Start = expectedWait(p, j)
	}
	a.End = a.Start + length
	if objective <= 0 || j.Lasting() || j.Scheduled() || ranking.StandingOf(a.End, 0, objective, objective) != ranking.TooLate {
		return a
	}
	a.TooLate = true
	latestStart := ranking.TooLateAfter(objective) - length
	rest := max(minRetryAfter, a.Start-latestStart)
	a.RetryAfter = rest + time.Duration(retrySpread*random*float64(rest))
	return a
}

// expectedWait returns the most favorable estimate of the time until a job's first step
// starts. Work of its own that waits is expected to start at the rate at which such work
// has started so far, also while more urgent work waits.
func expectedWait(p *overload.Pool, j *job.Job) time.Duration {
	var ahead, all, priority, queue, zone span
	for i := range p.Lines {
		l := &p.Lines[i]
		if l.Priority > j.Terms.Priority {
			continue
		}
		all.add(l)
		if l.Priority < j.Terms.Priority {
			ahead.work += l.Waiting
			continue
		}
		priority.add(l)
		if l.Queue == j.Queue {
			queue.add(l)
			if l.Zone == j.Zone {
				zone.add(l)
			}
		}
	}
	ahead.rate = all.rate
	wait := min(maxWait, all.wait())
	for _, own := range []span{priority, queue, zone} {
		if own.work <= 0 {
			own = ahead
		}
		wait = min(wait, own.wait())
	}
	return wait
}

// span is some waiting work and the rate at which it is started.
type span struct {
	work float64 // core-seconds
	rate float64 // core-seconds a second
}

func (s *span) add(l *overload.Line) {
	s.work += l.Waiting
	s.rate += l.Rate
}

// wait returns how long the work takes to start.
func (s span) wait() time.Duration {
	if s.work <= 0 {
		return 0
	}
	if s.work >= s.rate*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(s.work / s.rate * float64(time.Second))
}
