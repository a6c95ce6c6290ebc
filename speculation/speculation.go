// Package speculation decides which running tasks of a step get a speculative copy: a
// second run on another worker, of which the first one to complete counts.
//
// Usage:
//
//	history.Record(kind, took) // for each run that completed
//	step := speculation.Step{Tasks: 10, Ended: took, Similar: history.Median(kind)}
//	for _, d := range step.Decide(runs, pool) {
//		if pool.Admits(processors) {
//			pool.Copying += processors
//			startCopyOf(runs[d.Run])
//		}
//	}
//
// Without copies, a step waits for its slowest run, which may take several times as long as
// the others because of its worker. The decision compares the expected remaining time of each
// run with the expected time of a new run, so that a task which is merely large gets no
// copy: its copy would be as slow.
//
// Duplicate work that isn't used is paid for. So a copy needs evidence from siblings that
// ended, or from runs of the same kind and the run's own progress; it has to save a
// noticeable time, and copies together may take only a small part of the processors that
// are free.
package speculation

import (
	"cmp"
	"slices"
	"time"
)

//go:generate go tool stringer -type=Reason -linecomment

// Reason is why a task gets a copy.
type Reason uint8

// Reasons. Their names are written to logs. Silent, Isolated and Leaving say that the worker
// of the run may not be able to finish it.
const (
	None      Reason = iota // none
	Slow                    // slow
	Silent                  // silent
	Isolated                // isolated
	Leaving                 // leaving
	SlowEarly               // slow-early
)

// Meaning of the names:
//
//	slow        the run takes much longer than a new one would, by its siblings
//	silent      the worker missed a hold
//	isolated    the worker has disappeared from the platform's list
//	leaving     the worker is draining, or its machine is about to go down
//	slow-early  the same as slow, by other steps' runs of the same kind

const (
	// slowRatio is the minimum ratio of the remaining time of a run to the time of a new
	// one. Below 1, the copy would end after the original; the margin covers the errors of
	// both estimates.
	slowRatio = 1.5
	// slowRatioSmallStep is the same for small steps in a pool that is mostly idle, where a
	// copy takes nothing from others.
	slowRatioSmallStep = 1.2
	// slowRatioEarly is the same while too few siblings have ended, where the time of a new
	// run is the median of other steps' runs. The margin is wider because their tasks may be
	// smaller than those of this step.
	slowRatioEarly = 2
	// smallStep is the maximum number of tasks of a small step.
	smallStep = 10
	// minSaving is the minimum time that a copy has to save. It is the constant part of the
	// objective of urgent jobs: a smaller delay rarely makes a job late.
	minSaving = 300 * time.Millisecond
	// minEnded is how many other runs of the step have to have ended, so that their median
	// isn't that of stragglers. Steps of fewer than smallestFullStep tasks need half of
	// their tasks.
	minEnded         = 3
	smallestFullStep = 6
	// maxStarts is how many copies of one task are started in total. A task that is slow on
	// three workers is slow by itself.
	maxStarts = 2
	// budgetPercent is the part of a pool's free processors that copies may take.
	budgetPercent = 5
	// restoreTime is how long a worker takes to load a checkpoint, during which a run makes
	// no progress.
	restoreTime = 200 * time.Millisecond
)

// Run is a running task, as far as its only run is concerned. Times are relative to the
// moment at which the run was ordered.
type Run struct {
	Elapsed      time.Duration // until now
	From         int           // percent of the task's work that was done at FromAt
	FromAt       time.Duration // when the progress was first known
	Percent      int           // percent in the worker's last report, zero if it reports none
	ReportedAt   time.Duration // when that report was made
	Checkpoint   int           // percent of the work that a new run needn't repeat
	Starts       int           // copies of the task that were started so far
	WorkerReason Reason        // Silent, Isolated or Leaving, None for a healthy worker
}

// isAtRisk reports whether the reason is the run's worker, and not the time of the run.
func (r Reason) isAtRisk() bool {
	return r == Silent || r == Isolated || r == Leaving
}

// Step is what is known of a step whose tasks may have copies.
type Step struct {
	Tasks    int
	Ended    []time.Duration // times of the step's runs that completed, ascending
	Similar  time.Duration   // History.Median of the step's kind, zero if unknown
	Estimate time.Duration
}

// Pool holds the processors of a pool's usable workers, in thousandths of a core.
type Pool struct {
	Total   int64
	Free    int64
	Copying int64 // in use by second runs, not included in Free
	Waiting bool  // whether any task waits for a worker
}

// Decision is a task that gets a copy.
type Decision struct {
	Run    int           // index of the run
	Rest   time.Duration // expected remaining time of the run
	Fresh  time.Duration // expected time of a new run
	Reason Reason
}

// Saving returns the time that the copy is expected to save.
func (d *Decision) Saving() time.Duration {
	return d.Rest - d.Fresh
}

// Compare orders decisions: those about workers that may not finish their runs first, then
// by the time that is saved.
func Compare(a, b Decision) int {
	if a.Reason.isAtRisk() != b.Reason.isAtRisk() {
		if a.Reason.isAtRisk() {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.Saving(), a.Saving())
}

// Admits reports whether the budget for copies admits another one.
func (p *Pool) Admits(processors int64) bool {
	return p.Free >= processors && (p.Copying+processors)*100 <= (p.Free+p.Copying)*budgetPercent
}

// Decide returns the runs whose tasks should get a copy, in the order of Compare. The
// caller checks the budget, and leaves out tasks that already have a copy.
func (s *Step) Decide(runs []Run, p Pool) []Decision {
	var decisions []Decision
	for i := range runs {
		if d := s.decide(&runs[i], p); d.Reason != None {
			d.Run = i
			decisions = append(decisions, d)
		}
	}
	slices.SortStableFunc(decisions, Compare)
	return decisions
}

func (s *Step) decide(r *Run, p Pool) Decision {
	d := Decision{Rest: s.rest(r), Fresh: s.fresh(r)}
	switch {
	case r.Starts >= maxStarts:
	case r.WorkerReason != None:
		d.Reason = r.WorkerReason
	case d.Saving() < minSaving:
	case s.hasEvidence():
		if d.isSlower(s.slowRatio(p)) {
			d.Reason = Slow
		}
	case s.Similar > 0 && r.reportsProgress() && d.isSlower(slowRatioEarly):
		d.Reason = SlowEarly
	}
	return d
}

// isSlower reports whether the run's remaining time is longer than a new run, by a ratio.
func (d *Decision) isSlower(ratio float64) bool {
	return float64(d.Rest) > ratio*float64(d.Fresh)
}

// hasEvidence reports whether enough of the step's runs have ended for a decision.
func (s *Step) hasEvidence() bool {
	return len(s.Ended) >= s.minEnded()
}

// minEnded returns how many of the step's runs have to have ended.
func (s *Step) minEnded() int {
	if s.Tasks < smallestFullStep {
		return max(1, (s.Tasks+1)/2)
	}
	return minEnded
}

// slowRatio returns the ratio of the remaining time to that of a new run above which a run
// counts as slow.
func (s *Step) slowRatio(p Pool) float64 {
	if s.Tasks <= smallStep && !p.Waiting && 2*p.Free > p.Total {
		return slowRatioSmallStep
	}
	return slowRatio
}

// fresh returns the expected time of a new run of the task.
func (s *Step) fresh(r *Run) time.Duration {
	typical := s.typical()
	if r.Checkpoint <= 0 {
		return typical
	}
	return typical*time.Duration(100-min(r.Checkpoint, 100))/100 + restoreTime
}

// typical returns the expected time of a run that begins without a checkpoint. The first few
// of a step's runs to end are its fastest, so they count less than the runs of the same kind.
func (s *Step) typical() time.Duration {
	n := len(s.Ended)
	if n > 0 && (s.hasEvidence() || s.Similar == 0) {
		return s.Ended[n/2]
	}
	return cmp.Or(s.Similar, s.Estimate)
}

// reportsProgress reports whether the run has advanced since its progress was first known.
func (r *Run) reportsProgress() bool {
	return r.Percent > r.From && r.ReportedAt > r.FromAt
}

// rest returns the expected remaining time of a run. Progress is reported in whole percent,
// so the run may be one percent further on than its last report says.
func (s *Step) rest(r *Run) time.Duration {
	if !r.reportsProgress() {
		return s.restBySiblings(r)
	}
	gained, span := r.Percent-r.From, r.ReportedAt-r.FromAt
	left := max(0, 100-r.Percent-1)
	return max(0, span*time.Duration(left)/time.Duration(gained+1)-(r.Elapsed-r.ReportedAt))
}

// restBySiblings returns the expected remaining time of a run that reports no progress: how
// much longer the siblings took that had run for as long. If none had, the run is expected
// to take as long again, as run times without an upper bound are.
func (s *Step) restBySiblings(r *Run) time.Duration {
	at, _ := slices.BinarySearch(s.Ended, r.Elapsed)
	longer := s.Ended[at:]
	if len(longer) == 0 {
		return max(r.Elapsed, s.typical()-r.Elapsed)
	}
	sum := time.Duration(0)
	for _, took := range longer {
		sum += took - r.Elapsed
	}
	return sum / time.Duration(len(longer))
}
