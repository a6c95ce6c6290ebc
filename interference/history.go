package interference

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// worker is the history of what ran on one worker, in the order of starts.
type worker struct {
	spans []span
	heard time.Time // when the newest accepted report was measured
}

// span is a time during which a task ran at one speed. A zero end says that
// it goes on.
type span struct {
	resident *resident
	from, to time.Time
	activity float64 // 1 is full speed
}

// resident is one stay of a task on a worker.
type resident struct {
	Task
	measured time.Time // of the newest accepted report
	readings [readings]reading
	residual float64   // what the classes beside it don't explain
	learned  time.Time // when the residual was last brought up to date
}

// readings is how many observed ratios a median is taken of.
const readings = 3

// reading is a latency relative to the baseline and the start of the
// interval over which it was measured.
type reading struct {
	from  time.Time
	ratio float64
}

// exposure is how much of a class ran beside a task, where 1 is one task at
// full speed for the whole interval.
type exposure struct {
	class  string
	kind   provider.TaskKind
	amount float64
}

func (w *worker) place(at time.Time, t Task) {
	if w.running(t.ID) != nil {
		return
	}
	w.spans = append(w.spans, span{resident: &resident{Task: t}, from: at, activity: 1})
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
	next := span{resident: s.resident, from: at, activity: activity}
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
		if w.spans[i].to.IsZero() && w.spans[i].resident.ID == task {
			return &w.spans[i]
		}
	}
	return nil
}

func (w *worker) busy() bool {
	return slices.ContainsFunc(w.spans, func(s span) bool { return s.to.IsZero() })
}

// resident returns the stay of a task that was there at the end of the
// interval, or just before.
func (w *worker) resident(task string, from, to time.Time) *resident {
	for i := len(w.spans) - 1; i >= 0; i-- {
		s := &w.spans[i]
		if s.resident.ID == task && s.overlap(from, to) > 0 {
			return s.resident
		}
	}
	return nil
}

// beside appends to list the classes that ran beside r from one time to the
// other.
//
// What goes wrong: a report arrives after the task that caused its latency
// has left, and whoever runs now is blamed. One would notice harmless classes
// that gain a high slowdown whenever they are placed after a harmful one. The
// exposure is taken from the history at the time of measurement, so a task
// that came later has none.
func (w *worker) beside(list []exposure, r *resident, from, to time.Time) []exposure {
	whole := to.Sub(from).Seconds()
	for i := range w.spans {
		s := &w.spans[i]
		if s.resident == r {
			continue
		}
		amount := s.activity * s.overlap(from, to).Seconds() / whole
		list = expose(list, s.resident.Task, amount)
	}
	return list
}

func expose(list []exposure, t Task, amount float64) []exposure {
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

// prune drops spans that ended before the horizon, and the oldest ended ones
// above the limit. Running spans stay; a worker's capacity bounds those.
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

// observed returns the median of the newest readings, and the start of the
// interval from which on most of them were measured. It isn't known before
// all readings are there.
func (r *resident) observed() (ratio float64, from time.Time, ok bool) {
	if r.readings[readings-1].from.IsZero() {
		return 1, time.Time{}, false
	}
	ratios := make([]float64, 0, readings)
	for _, reading := range r.readings {
		ratios = append(ratios, reading.ratio)
	}
	slices.Sort(ratios)
	return ratios[readings/2], r.readings[readings/2].from, true
}

func (r *resident) read(from time.Time, ratio float64) {
	copy(r.readings[1:], r.readings[:readings-1])
	r.readings[0] = reading{from, ratio}
}
