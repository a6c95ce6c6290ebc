package interference

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// worker is the history of the tasks on one worker, in the order of starts.
type worker struct {
	spans        []span
	lastMeasured time.Time // measurement time of the newest accepted report
}

// span is an interval in which a task ran at one speed. The end of a running span is
// zero.
type span struct {
	run      *taskRun
	from, to time.Time
	activity float64 // 1 is full speed
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	Task
	lastMeasured    time.Time // of the newest accepted report
	readings        [medianWindow]reading
	residual        float64   // logarithm of the slowdown that the classes beside it don't explain
	residualUpdated time.Time // last update of the residual
}

// medianWindow is the number of observed ratios for a median.
const medianWindow = 3

// reading is a latency relative to the baseline and the start of the
// interval over which it was measured.
type reading struct {
	from  time.Time
	ratio float64
}

// exposure is the amount of a class that ran beside a task. 1 is one task at full speed
// for the whole interval.
type exposure struct {
	class  string
	kind   provider.TaskKind
	amount float64
}

func (w *worker) place(at time.Time, t Task) {
	if w.running(t.ID) != nil {
		return
	}
	w.spans = append(w.spans, span{run: &taskRun{Task: t}, from: at, activity: 1})
}

func (w *worker) remove(at time.Time, task string) {
	if s := w.running(task); s != nil {
		s.end(at)
	}
}

func (w *worker) throttle(at time.Time, task string, activity float64) {
	s := w.running(task)
	if s == nil || s.activity == activity {
		return
	}
	next := span{run: s.run, from: at, activity: activity}
	s.end(at)
	w.spans = append(w.spans, next)
}

func (s *span) end(at time.Time) {
	s.to = at
	if at.Before(s.from) {
		s.to = s.from
	}
}

func (w *worker) running(task string) *span {
	for i := range w.spans {
		if w.spans[i].to.IsZero() && w.spans[i].run.ID == task {
			return &w.spans[i]
		}
	}
	return nil
}

func (w *worker) busy() bool {
	return slices.ContainsFunc(w.spans, func(s span) bool { return s.to.IsZero() })
}

// findRun returns the newest run of a task that overlaps with an interval, nil if there
// is none.
func (w *worker) findRun(task string, from, to time.Time) *taskRun {
	for i := len(w.spans) - 1; i >= 0; i-- {
		s := &w.spans[i]
		if s.run.ID == task && s.overlap(from, to) > 0 {
			return s.run
		}
	}
	return nil
}

// exposures appends the exposures of r to the classes that ran beside it in an interval.
//
// They come from the history of the measured interval, so that a task that started later
// has none. If a late report were attributed to the current tasks, harmless classes that
// are placed after a harmful one would get a high slowdown.
func (w *worker) exposures(list []exposure, r *taskRun, from, to time.Time) []exposure {
	whole := to.Sub(from).Seconds()
	for i := range w.spans {
		s := &w.spans[i]
		if s.run == r {
			continue
		}
		amount := s.activity * s.overlap(from, to).Seconds() / whole
		list = addExposure(list, s.run.Task, amount)
	}
	return list
}

func addExposure(list []exposure, t Task, amount float64) []exposure {
	if amount <= 0 {
		return list
	}
	for i := range list {
		if list[i].class == t.Class {
			list[i].amount += amount
			return list
		}
	}
	return append(list, exposure{t.Class, t.Kind, amount})
}

func (s *span) overlap(from, to time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if !s.to.IsZero() && s.to.Before(to) {
		to = s.to
	}
	return max(to.Sub(from), 0)
}

// prune removes spans that ended before the horizon, and the oldest ended spans
// above the limit. Running spans stay; their number is bounded by the worker's capacity.
func (w *worker) prune(horizon time.Time, limit int) {
	excess := len(w.spans) - limit
	w.spans = slices.DeleteFunc(w.spans, func(s span) bool {
		if s.to.IsZero() {
			return false
		}
		if s.to.Before(horizon) || excess > 0 {
			excess--
			return true
		}
		return false
	})
}

// observed returns the median of the newest readings, and the start of the interval in
// which most of them were measured. Ok is false until there are enough readings.
func (r *taskRun) observed() (ratio float64, from time.Time, ok bool) {
	if r.readings[medianWindow-1].from.IsZero() {
		return 1, time.Time{}, false
	}
	ratios := make([]float64, 0, medianWindow)
	for _, reading := range r.readings {
		ratios = append(ratios, reading.ratio)
	}
	slices.Sort(ratios)
	return ratios[medianWindow/2], r.readings[medianWindow/2].from, true
}

func (r *taskRun) addReading(from time.Time, ratio float64) {
	copy(r.readings[1:], r.readings[:medianWindow-1])
	r.readings[0] = reading{from, ratio}
}
