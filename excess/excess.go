// Package excess splits the time of a run into the parts that are due to filling tasks beside
// it, to a slow worker, and to the work of the task itself.
//
// Usage:
//
//	t := excess.New()
//	parts := t.Split(excess.Run{Step: step, Class: class, Worker: id, Took: took, Slowdown: 0.1, Last: true})
//	beyond := parts.Beyond(estimate)
//
// A worker is slow if its recent runs take longer than their siblings on other workers.
// Siblings are runs of the same step, or of the same class (queue and image) for a step with
// too few of them. They are compared in batches once the step has ended or a batch is full.
// Comparing a run with those that ended before it would make all workers look slow, as the
// fast runs of a step end first.
//
// The state is bounded by the number of batches and workers that are kept; the least recently
// used ones are dropped.
package excess

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the state.
const (
	batchSize   = 16   // runs that are compared with each other
	maxBatches  = 4096 // steps and classes with runs that wait for their comparison
	maxWorkers  = 8192 // above the number of workers of a cell
	recentCount = 8    // runs by which a worker is judged
)

const (
	// minSiblings is the minimum number of runs elsewhere that a run is compared with. The
	// median of fewer may be a straggler's time.
	minSiblings = 3
	// minRecent is the minimum number of runs by which a worker is judged. One straggler among
	// them doesn't change the median.
	minRecent = 3
	// minFactor is the factor below which a worker doesn't count as slow. Run times of equal
	// tasks on equal workers differ as well.
	minFactor = 1.2
)

// Step identifies a step of a job's occurrence.
type Step struct {
	Job        string
	Occurrence int
	Number     int
}

// Class identifies runs of several jobs that are expected to take equally long.
type Class struct {
	Queue, Image string
}

// Run is a run that completed its task.
type Run struct {
	Step     Step
	Class    Class
	Worker   string
	Took     time.Duration // without the time lost to throttling
	Slowdown float64       // part of the time that filling tasks beside the run cost it, from 0 to 1
	Last     bool          // the step has no more runs
	Partial  bool          // it resumed from a checkpoint, so its time can't be compared
}

// Parts are the parts of a run's time.
type Parts struct {
	Interference time.Duration // due to filling tasks beside it
	Slow         time.Duration // due to a slow worker
	Work         time.Duration // the rest, which an undisturbed worker would take
}

// Beyond returns the parts of the time by which a run took longer than estimated. Work is what
// interference and the slow worker don't explain.
func (p Parts) Beyond(estimate time.Duration) Parts {
	rest := max(0, p.Interference+p.Slow+p.Work-estimate)
	var b Parts
	b.Interference = min(p.Interference, rest)
	rest -= b.Interference
	b.Slow = min(p.Slow, rest)
	b.Work = rest - b.Slow
	return b
}

// sample is the time of a run, less interference.
type sample struct {
	worker string
	took   time.Duration
}

// Tracker compares the runs of workers. It isn't safe for concurrent use.
type Tracker struct {
	bySteps   *simplelru.LRU[Step, []sample]
	byClasses *simplelru.LRU[Class, []sample]
	workers   *simplelru.LRU[string, *recent]
	elsewhere []time.Duration // buffer of medianElsewhere
}

// recent holds the times of a worker's last runs as multiples of those elsewhere.
type recent struct {
	ratios [recentCount]float64
	count  int // of all runs; the next one replaces the oldest
}

// New returns a Tracker without runs.
func New() *Tracker {
	return &Tracker{bySteps: newLRU[Step, []sample](maxBatches), byClasses: newLRU[Class, []sample](maxBatches), workers: newLRU[string, *recent](maxWorkers)}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // only for a size that isn't positive
	}
	return l
}

// Split records a run and returns the parts of its time.
func (t *Tracker) Split(r Run) Parts {
	var p Parts
	p.Interference = time.Duration(float64(r.Took) * min(1, max(0, r.Slowdown)))
	rest := r.Took - p.Interference
	if !r.Partial {
		t.add(r, sample{worker: r.Worker, took: rest})
	}
	p.Work = time.Duration(float64(rest) / t.Factor(r.Worker))
	p.Slow = rest - p.Work
	return p
}

// add adds a run to the batch of its step, and compares the batch once it is complete. A
// batch with too few runs elsewhere joins the batch of its class.
func (t *Tracker) add(r Run, s sample) {
	batch, ok := t.bySteps.Get(r.Step)
	if !ok {
		batch = make([]sample, 0, batchSize)
	}
	batch = append(batch, s)
	if len(batch) < batchSize && !r.Last {
		t.bySteps.Add(r.Step, batch)
		return
	}
	t.bySteps.Remove(r.Step)
	if len(batch) > minSiblings {
		t.compare(batch)
		return
	}
	byClass, _ := t.byClasses.Get(r.Class)
	byClass = append(byClass, batch...)
	if len(byClass) < batchSize {
		t.byClasses.Add(r.Class, byClass)
		return
	}
	t.byClasses.Remove(r.Class)
	t.compare(byClass)
}

// compare records how long each run of a batch took as a multiple of the median elsewhere.
func (t *Tracker) compare(batch []sample) {
	slices.SortFunc(batch, func(a, b sample) int { return cmp.Compare(a.took, b.took) })
	for _, s := range batch {
		elsewhere := t.medianElsewhere(batch, s.worker)
		if elsewhere <= 0 {
			continue
		}
		w, ok := t.workers.Get(s.worker)
		if !ok {
			w = &recent{}
			t.workers.Add(s.worker, w)
		}
		w.ratios[w.count%recentCount] = float64(s.took) / float64(elsewhere)
		w.count++
	}
}

// medianElsewhere returns the median time of the runs of a sorted batch on other workers,
// zero if there are too few.
func (t *Tracker) medianElsewhere(sorted []sample, worker string) time.Duration {
	others := t.elsewhere[:0]
	for _, s := range sorted {
		if s.worker != worker {
			others = append(others, s.took)
		}
	}
	t.elsewhere = others
	if len(others) < minSiblings {
		return 0
	}
	return others[len(others)/2]
}

// Factor returns how many times as long as elsewhere a worker's recent runs took, 1 for a
// worker that isn't slow.
func (t *Tracker) Factor(worker string) float64 {
	w, ok := t.workers.Get(worker)
	if !ok || w.count < minRecent {
		return 1
	}
	ratios := w.ratios
	known := ratios[:min(w.count, recentCount)]
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	if median < minFactor {
		return 1
	}
	return median
}
