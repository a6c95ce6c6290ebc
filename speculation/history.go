package speculation

import (
	"slices"
	"time"
)

// Kind identifies runs that are expected to take equally long.
type Kind struct {
	Queue string
	Image string
}

// Bounds of a History.
const (
	maxKinds       = 256
	samplesPerKind = 31 // odd, so that the median is one of them
	// minSamples is how many times a median needs. A step of ten tasks with a straggler
	// gives nine, so that the median covers several steps.
	minSamples = 10
)

// History holds the times of the latest completed runs by kind. It serves steps of which
// too few runs have ended. The zero value is empty.
type History struct {
	samples map[Kind]*samples
	kinds   []Kind // in the order in which they were first recorded
}

// samples is a ring of run times.
type samples struct {
	times  []time.Duration
	next   int
	median time.Duration // of times, zero if they have changed since it was computed
}

// Record adds the time of a completed run. The kind that was recorded first is dropped if
// there are too many.
func (h *History) Record(k Kind, took time.Duration) {
	s := h.samples[k]
	if s == nil {
		s = h.add(k)
	}
	s.median = 0
	if len(s.times) < samplesPerKind {
		s.times = append(s.times, took)
		return
	}
	s.times[s.next] = took
	s.next = (s.next + 1) % samplesPerKind
}

func (h *History) add(k Kind) *samples {
	if h.samples == nil {
		h.samples = make(map[Kind]*samples)
	}
	if len(h.kinds) == maxKinds {
		delete(h.samples, h.kinds[0])
		h.kinds = h.kinds[1:]
	}
	s := &samples{}
	h.samples[k] = s
	h.kinds = append(h.kinds, k)
	return s
}

// Median returns the median time of the latest runs of a kind, zero if fewer than minSamples
// are known.
func (h *History) Median(k Kind) time.Duration {
	s := h.samples[k]
	if s == nil || len(s.times) < minSamples {
		return 0
	}
	if s.median == 0 {
		s.median = slices.Sorted(slices.Values(s.times))[len(s.times)/2]
	}
	return s.median
}
