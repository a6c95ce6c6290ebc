// Package usage corrects declared sizes and run times by measurements.
//
// Usage:
//
//	s := usage.New()
//	s.Observe(now, "press/rebuild", declared, report.Used)
//	need := s.Need("press/rebuild", declared)
//	s.Finished(now, "press/rebuild", declaredTime, took)
//	left := s.Duration("press/rebuild", declaredTime)
//
// For each class and resource a Sizes keeps the ratio of measured to declared amounts
// as a moving mean and mean deviation. A need is the declared amount times the sum of
// the mean and a part of the deviation, since tasks seldom peak together. Memory can't
// be overcommitted, so its need also covers a peak that decays slowly. The declared
// amount counts as a number of measurements, so that a class with few reports stays
// near its declaration. Accelerators are whole devices, whose declared number is used.
//
// State is bounded: it has a fixed size for each class, and at most WithMaxClasses
// classes, of which the least recently updated is evicted first. A Sizes isn't safe
// for concurrent use.
package usage

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

const (
	minDeclaredProcessors = 100 // lower bound of a declaration in a ratio, thousandths of a core
	minDeclaredMemory     = 64  // likewise, MiB
	smoothing             = 0.05
	peakDecay             = 0.999 // factor of the memory peak for each report
)

// Sizes learns the actual sizes of classes of tasks.
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

// New returns a Sizes without measurements.
func New(opts ...Option) *Sizes {
	s := &Sizes{options: defaults(), classes: map[string]*class{}}
	for _, opt := range opts {
		opt(&s.options)
	}
	return s
}

// Observe adds a measurement of a running task's usage and reports whether it is valid.
// Negative amounts are counted as ignored. Measurements of throttled tasks must not be
// passed, since their usage is below their need.
func (s *Sizes) Observe(now time.Time, name string, declared, used resource.Vector) bool {
	if used.IsNegative() || declared.IsNegative() {
		s.ignored++
		return false
	}
	c := s.class(now, name)
	c.processors.add(s.quotient(used.Processors, declared.Processors, minDeclaredProcessors))
	memory := s.quotient(used.Memory, declared.Memory, minDeclaredMemory)
	c.memory.add(memory)
	c.peak = max(c.peak*peakDecay, memory)
	return true
}

// Finished adds the run time of a task that ran at full speed from start to end. It
// reports whether the run time is valid.
func (s *Sizes) Finished(now time.Time, name string, declared, took time.Duration) bool {
	if declared < 0 || took <= 0 {
		s.ignored++
		return false
	}
	s.class(now, name).duration.add(s.quotient(int64(took), int64(declared), int64(time.Second)))
	return true
}

// Need returns the estimated need of a task of the class. It differs from the declared
// amount by a factor of at most WithBound.
func (s *Sizes) Need(name string, declared resource.Vector) resource.Vector {
	c := s.classes[name]
	if c == nil || c.processors.count == 0 {
		return declared
	}
	memory := c.memory.upperEstimate(s.prior, s.margin)
	return resource.Vector{
		Processors:   scale(declared.Processors, c.processors.upperEstimate(s.prior, s.margin)),
		Memory:       scale(declared.Memory, max(memory, c.memory.shrink(s.prior, c.peak))),
		Accelerators: declared.Accelerators,
	}
}

// Duration returns the expected total run time of a task of the class.
func (s *Sizes) Duration(name string, declared time.Duration) time.Duration {
	c := s.classes[name]
	if c == nil || c.duration.count == 0 {
		return declared
	}
	return time.Duration(scale(int64(declared), c.duration.upperEstimate(s.prior, 0)))
}

// Ignored returns the number of invalid measurements.
func (s *Sizes) Ignored() uint64 {
	return s.ignored
}

func (s *Sizes) class(now time.Time, name string) *class {
	c := s.classes[name]
	if c == nil {
		s.evictOldest()
		c = &class{}
		s.classes[name] = c
	}
	c.updated = now
	return c
}

func (s *Sizes) evictOldest() {
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
