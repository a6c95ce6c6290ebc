package colocation_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/colocation"
)

// weight models two kinds of serving images: a1 and a2 are sensitive to rebuilds, b to
// scans, and none to copies.
func weight(served, fill string) float64 {
	sensitiveTo := map[string]string{"a1": "rebuild", "a2": "rebuild", "b": "scan"}
	if sensitiveTo[served] == fill {
		return 12
	}
	return 1
}

// newPlan returns a plan of ten workers. Only two of them tolerate rebuilds, which have the
// highest demand.
func newPlan() *colocation.Plan {
	plan := colocation.New(weight, map[string]float64{"rebuild": 4, "scan": 0.5, "copy": 1})
	for _, images := range [][]string{{"a1"}, {"a1"}, {"a2"}, {"a1", "a2"}, {"a2"}, {"a1"}, {"a2"}, {"a1"}, {"b"}, {"b"}} {
		plan.Set(images).AddWorker(1)
	}
	return plan
}

func TestLoss(t *testing.T) {
	tests := []struct {
		name   string
		beside []string
		image  string
		min    float64
		max    float64
	}{
		{"the same image", []string{"a1"}, "a1", 0, 0},
		{"another image of the same kind", []string{"a1"}, "a2", 0, 0.001},
		{"the common kind on a scarce worker, which tolerates the image in demand", []string{"b"}, "a1", 1, 2},
		{"the scarce kind on a common worker", []string{"a1"}, "b", 0.01, 0.1},
		{"a worker with both kinds", []string{"a1", "b"}, "a2", 0, 0.001},
		{"an empty worker", nil, "a1", 1, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			loss := newPlan().Set(test.beside).Loss(test.image)
			is.True(loss >= test.min)
			is.True(loss <= test.max)
		})
	}
}

func TestCost(t *testing.T) {
	is := is.New(t)
	plan := newPlan()
	scarce := plan.Set([]string{"b"})
	common := plan.Set([]string{"a1"})
	is.Equal(plan.Set(nil).Cost("copy", 0.1), 0.0)                       // no serving task loses slack
	is.True(scarce.Cost("copy", 0.1) > 3*common.Cost("copy", 0.1))       // rebuilds need that slack
	is.True(scarce.Cost("rebuild", 0.1) < 2*common.Cost("rebuild", 0.1)) // other images need little of either slack
}

func TestBestMove(t *testing.T) {
	tests := []struct {
		name       string
		taskCounts map[string]int
		leave      []string
	}{
		{"one kind", map[string]int{"a1": 2, "a2": 3}, nil},
		{"one task of the common kind among the scarce", map[string]int{"b": 4, "a1": 1}, []string{"a1"}},
		{"two images of the common kind among the scarce", map[string]int{"b": 4, "a1": 1, "a2": 1}, []string{"a1", "a2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			plan := newPlan()
			var images []string
			for image := range test.taskCounts {
				images = append(images, image)
			}
			gain, leave := plan.Set(images).BestMove(test.taskCounts)
			is.Equal(leave, test.leave)
			is.Equal(gain > 0, test.leave != nil)
		})
	}
}

// TestNoDemand checks that without demand of filling tasks there are no losses or costs.
func TestNoDemand(t *testing.T) {
	is := is.New(t)
	plan := colocation.New(weight, nil)
	set := plan.Set([]string{"a1"})
	set.AddWorker(1)
	is.Equal(set.Loss("b"), 0.0)
	is.Equal(set.Cost("copy", 0.5), 0.0)
}
