package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/resource"
	"github.com/dogwoodladder/dogwoodladder/usage"
)

var (
	now      = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	declared = resource.Vector{Processors: 4000, Memory: 8000, Accelerators: 1}
)

func TestNeedFollowsMeasurements(t *testing.T) {
	cases := []struct {
		name  string
		used  resource.Vector
		times int
		min   resource.Vector
		max   resource.Vector
	}{
		{"none keep the declaration", resource.Vector{}, 0, declared, declared},
		{"one moves it a little", resource.Vector{Processors: 1000, Memory: 2000}, 1,
			resource.Vector{Processors: 3000, Memory: 6000, Accelerators: 1}, resource.Vector{Processors: 3500, Memory: 7000, Accelerators: 1}},
		{"four times too large", resource.Vector{Processors: 1000, Memory: 2000}, 200,
			resource.Vector{Processors: 1000, Memory: 2000, Accelerators: 1}, resource.Vector{Processors: 1100, Memory: 2200, Accelerators: 1}},
		{"four times too small", resource.Vector{Processors: 16000, Memory: 32000}, 200,
			resource.Vector{Processors: 15700, Memory: 31400, Accelerators: 1}, resource.Vector{Processors: 16000, Memory: 32000, Accelerators: 1}},
		{"never beyond the bound", resource.Vector{Processors: 400_000_000, Memory: 1}, 1000,
			resource.Vector{Processors: 31000, Memory: 1000, Accelerators: 1}, resource.Vector{Processors: 32000, Memory: 1100, Accelerators: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := usage.New()
			for range c.times {
				is.True(s.Observe(now, "press/rebuild", declared, c.used))
			}
			need := s.Need("press/rebuild", declared)
			is.True(c.min.Fits(need)) // need >= min
			is.True(need.Fits(c.max)) // need <= max
			is.Equal(s.Need("another", declared), declared)
		})
	}
}

// Guards against a worker that runs out of memory although all needs fit: a class seldom
// peaks and has a low mean, but unlike processors memory can't be overcommitted at the
// peak.
func TestMemoryKeepsItsPeak(t *testing.T) {
	is := is.New(t)
	s := usage.New()
	s.Observe(now, "c", declared, resource.Vector{Processors: 8000, Memory: 16000})
	for range 50 {
		s.Observe(now, "c", declared, resource.Vector{Processors: 1000, Memory: 2000})
	}
	need := s.Need("c", declared)
	is.True(need.Memory > 14000)
	is.True(need.Processors < 3000)
}

func TestBadMeasurementsAreCounted(t *testing.T) {
	is := is.New(t)
	s := usage.New()
	is.True(!s.Observe(now, "c", declared, resource.Vector{Processors: -1}))
	is.True(!s.Observe(now, "c", resource.Vector{Memory: -1}, declared))
	is.True(!s.Finished(now, "c", time.Minute, 0))
	is.Equal(s.Ignored(), uint64(3))
	is.Equal(s.Need("c", declared), declared)
	is.Equal(s.Duration("c", time.Minute), time.Minute)
}

func TestDurationFollowsRuns(t *testing.T) {
	is := is.New(t)
	s := usage.New()
	for range 100 {
		s.Finished(now, "c", time.Minute, 4*time.Minute)
	}
	took := s.Duration("c", time.Minute)
	is.True(took > 230*time.Second)
	is.True(took <= 241*time.Second)
}

func TestClassesAreBounded(t *testing.T) {
	is := is.New(t)
	s := usage.New(usage.WithMaxClasses(10))
	half := resource.Vector{Processors: 2000, Memory: 4000}
	for i := range 30 {
		s.Observe(now.Add(time.Duration(i)*time.Second), fmt.Sprint(i), declared, half)
	}
	is.Equal(s.Need("19", declared), declared)  // evicted
	is.True(s.Need("20", declared) != declared) // kept
}
