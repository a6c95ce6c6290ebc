package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/placement"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

var capacity = resource.Vector{Processors: 64000, Memory: 250000}

func cores(n int64) resource.Vector {
	return resource.Vector{Processors: n * 1000, Memory: n * 4000}
}

// worker returns a candidate without services and with a number of free cores.
func worker(name string, free int64, change ...func(c *placement.Candidate)) placement.Candidate {
	c := placement.Candidate{Worker: name, Rack: "a", Capacity: capacity, Free: cores(free), Slowdown: 1, CurrentSlowdown: 1, Confidence: 1}
	for _, f := range change {
		f(&c)
	}
	return c
}

func serving(slowdown, now float64) func(c *placement.Candidate) {
	return func(c *placement.Candidate) { c.Services, c.Slowdown, c.CurrentSlowdown = 1, slowdown, now }
}

func silent(c *placement.Candidate)      { c.Silent = true }
func quarantined(c *placement.Candidate) { c.Quarantined = true }

func replicas(rack, worker int) func(c *placement.Candidate) {
	return func(c *placement.Candidate) { c.SameRack, c.SameWorker = rack, worker }
}

func TestChoose(t *testing.T) {
	batch := placement.Task{ID: "t", Class: "g/j", Kind: provider.KindBatch, Need: cores(4)}
	service := placement.Task{ID: "r", Class: "price", Kind: provider.KindService, Need: cores(4)}
	running := batch
	running.Current = "b"
	cases := []struct {
		name       string
		task       placement.Task
		candidates []placement.Candidate
		want       string
	}{
		{"none", batch, nil, ""},
		{"too full", batch, []placement.Candidate{worker("a", 3)}, ""},
		{"best fit keeps room for large requests", batch, []placement.Candidate{worker("a", 60), worker("b", 5)}, "b"},
		{"a tie goes by name", batch, []placement.Candidate{worker("b", 5), worker("a", 5)}, "a"},
		{"least harm", batch, []placement.Candidate{worker("a", 10, serving(1.07, 1)), worker("b", 12, serving(1.01, 1))}, "b"},
		{"waits rather than harm", batch, []placement.Candidate{worker("a", 20, serving(1.3, 1))}, ""},
		{"harmless beside a service that suffers already", batch, []placement.Candidate{worker("a", 20, serving(1.3, 1.3))}, "a"},
		{"headroom beside a service", batch, []placement.Candidate{worker("a", 5, serving(1, 1))}, ""},
		{"headroom isn't kept from services", service, []placement.Candidate{worker("a", 5, serving(1, 1))}, "a"},
		{"silent worker with a service", batch, []placement.Candidate{worker("a", 20, serving(1, 1), silent)}, ""},
		{"silent worker without services", batch, []placement.Candidate{worker("a", 20, silent)}, "a"},
		{"quarantined", batch, []placement.Candidate{worker("a", 20, quarantined)}, ""},
		{"spread over racks", service, []placement.Candidate{worker("a", 20, replicas(2, 0)), worker("b", 40, replicas(1, 0))}, "b"},
		{"spread over workers of a rack", service, []placement.Candidate{worker("a", 20, replicas(1, 1)), worker("b", 40, replicas(1, 0))}, "b"},
		{"stays for a small gain", running, []placement.Candidate{worker("a", 5), worker("b", 10)}, "b"},
		{"moves for a large one", running, []placement.Candidate{worker("a", 5), worker("b", 10, serving(1.07, 1))}, "a"},
		{"leaves where it harms too much", running, []placement.Candidate{worker("a", 60), worker("b", 10, serving(1.5, 1))}, "a"},
		{"a lopsided rest strands memory", batch, []placement.Candidate{
			worker("a", 10, func(c *placement.Candidate) { c.Free.Memory = 200000 }), worker("b", 30)}, "b"},
		{"accelerators are left for those who need them", batch, []placement.Candidate{
			worker("a", 10, func(c *placement.Candidate) { c.Capacity.Accelerators, c.Free.Accelerators = 2, 2 }), worker("b", 12)}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := placement.New().Choose(time.Time{}, c.task, c.candidates)
			is.Equal(ok, c.want != "")
			is.Equal(got, c.want)
		})
	}
}

func TestOptionsWeigh(t *testing.T) {
	is := is.New(t)
	task := placement.Task{ID: "t", Kind: provider.KindBatch, Need: cores(4)}
	harmed := []placement.Candidate{worker("a", 20, serving(1.3, 1))}
	_, ok := placement.New(placement.WithTailLimit(1.5)).Choose(time.Time{}, task, harmed)
	is.True(ok)
	crowded := []placement.Candidate{worker("a", 20, serving(1, 1))}
	_, ok = placement.New(placement.WithHeadroom(0.5)).Choose(time.Time{}, task, crowded)
	is.True(!ok)
}
