// Package usage corrects declared sizes and run times by what was measured.
//
// Usage:
//
//	s := usage.New()
//	s.Observe(now, "press/rebuild", declared, report.Used)
//	need := s.Need("press/rebuild", declared)
//	s.Finished(now, "press/rebuild", declaredTime, took)
//	left := s.Duration("press/rebuild", declaredTime)
//
// For each class and resource a Sizes keeps the ratio of measured to declared
// as a moving mean and mean deviation. A need is the declared amount times the
// mean plus a part of the deviation, since tasks seldom peak together; memory,
// which can't be squeezed, also keeps a peak that decays slowly. The declared
// amount counts as a number of measurements, so a class with few reports stays
// near what was declared. Accelerators are whole devices and are taken as
// declared.
//
// State is bounded: a fixed amount for each class, and WithMaxClasses classes,
// of which the one without news for the longest goes first. A Sizes isn't safe
// for concurrent use.
package usage

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	smallestProcessors = 100 // thousandths of a core that a smaller declaration counts as
	smallestMemory     = 64  // MiB, likewise
	gain               = 0.05
	peakDecay          = 0.999 // of the memory peak for each report
)

// Sizes learns the real sizes of classes of tasks.
type Sizes struct {
	options
	classes map[string]*class
	ignored uint64
}

type class struct {
	processors ratio
	memory     ratio
	duration   ratio
	peak       float64
	updated    time.Time
}

// New returns a Sizes that takes every declaration as it is.
func New(opts ...Option) *Sizes {
	s := &Sizes{options: defaults(), classes: map[string]*class{}}
	for _, opt := range opts {
		opt(&s.options)
	}
	return s
}

// Observe takes what a running task was measured to use and reports whether
// it counted. Negative amounts are counted as ignored. Leave out what a
// throttled task was measured to use: it isn't what the task needs.
func (s *Sizes) Observe(now time.Time, name string, declared, used resource.Vector) bool {
	if used.IsNegative() || declared.IsNegative() {
		s.ignored++
		return false
	}
	c := s.class(now, name)
	c.processors.add(s.quotient(used.Processors, declared.Processors, smallestProcessors))
	memory := s.quotient(used.Memory, declared.Memory, smallestMemory)
	c.memory.add(memory)
	c.peak = max(c.peak*peakDecay, memory)
	return true
}

// Finished takes how long a task ran at full speed from start to end.
func (s *Sizes) Finished(now time.Time, name string, declared, took time.Duration) bool {
	if declared < 0 || took <= 0 {
		s.ignored++
		return false
	}
	s.class(now, name).duration.add(s.quotient(int64(took), int64(declared), int64(time.Second)))
	return true
}

// Need returns what a task of the class should be given. It is never more
// than WithBound times off the declared amount.
func (s *Sizes) Need(name string, declared resource.Vector) resource.Vector {
	c := s.classes[name]
	if c == nil || c.processors.count == 0 {
		return declared
	}
	memory := c.memory.high(s.prior, s.margin)
	return resource.Vector{
		Processors:   scale(declared.Processors, c.processors.high(s.prior, s.margin)),
		Memory:       scale(declared.Memory, max(memory, c.memory.blend(s.prior, c.peak))),
		Accelerators: declared.Accelerators,
	}
}

// Duration returns how long a task of the class is expected to run in all.
func (s *Sizes) Duration(name string, declared time.Duration) time.Duration {
	c := s.classes[name]
	if c == nil || c.duration.count == 0 {
		return declared
	}
	return time.Duration(scale(int64(declared), c.duration.high(s.prior, 0)))
}

// Ignored returns how many bad measurements were counted.
func (s *Sizes) Ignored() uint64 {
	return s.ignored
}

func (s *Sizes) class(now time.Time, name string) *class {
	c := s.classes[name]
	if c == nil {
		s.shed()
		c = &class{}
		s.classes[name] = c
	}
	c.updated = now
	return c
}

func (s *Sizes) shed() {
	if len(s.classes) < s.maxClasses {
		return
	}
	oldest := ""
	for name, c := range s.classes {
		o := s.classes[oldest]
		if o == nil || c.updated.Before(o.updated) || c.updated.Equal(o.updated) && name < oldest {
			oldest = name
		}
	}
	delete(s.classes, oldest)
}

func (s *Sizes) quotient(measured, declared, smallest int64) float64 {
	q := float64(measured) / float64(max(declared, smallest))
	return min(max(q, 1/s.bound), s.bound)
}

func scale(amount int64, by float64) int64 {
	return int64(math.Ceil(float64(amount) * by))
}
