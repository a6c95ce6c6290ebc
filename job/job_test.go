package job_test

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

func TestCheck(t *testing.T) {
	one := []job.Step{{Count: 1}}
	tests := []struct {
		name    string
		job     job.Job
		wantErr string // part of the error, empty for a valid job
	}{
		{"valid", job.Job{Steps: []job.Step{{Count: 2}, {Count: 1, After: []int{0}}}}, ""},
		{"no steps", job.Job{}, "1 to 256 steps"},
		{"no tasks", job.Job{Steps: []job.Step{{}}}, "step 0: count 0"},
		{"depends on itself", job.Job{Steps: []job.Step{{Count: 1, After: []int{0}}}}, "step 0 depends on step 0"},
		{"depends on a later step", job.Job{Steps: []job.Step{{Count: 1, After: []int{1}}, {Count: 1}}}, "depends on step 1"},
		{"depends on an unknown step", job.Job{Steps: []job.Step{{Count: 1, After: []int{-1}}}}, "depends on step -1"},
		{"too many tasks", job.Job{Steps: []job.Step{{Count: 20_000}, {Count: 1}}}, "20001 tasks"},
		{"a long command", job.Job{Spec: strings.Repeat("x", 4001), Steps: one}, "4001 bytes"},
		{"negative times", job.Job{Times: -1, Steps: one}, "-1 occurrences"},
		{"an interval whose multiples overflow", job.Job{Times: 3, Interval: math.MaxInt64 / 2, Steps: one}, "invalid schedule"},
		{"a start beyond all times", job.Job{Times: 3, First: math.MaxInt64, Interval: 1, Steps: one}, "invalid schedule"},
		{"processors whose sums overflow", job.Job{Steps: []job.Step{{Count: 2, Need: resource.Vector{Processors: math.MaxInt64}}}}, "more than any worker has"},
		{"memory whose sums overflow", job.Job{Steps: []job.Step{{Count: 2, Need: resource.Vector{Memory: math.MaxInt64}}}}, "more than any worker has"},
		{"accelerators whose sums overflow", job.Job{Steps: []job.Step{{Count: 2, Need: resource.Vector{Accelerators: math.MaxInt64}}}}, "more than any worker has"},
		{"a negative amount", job.Job{Steps: []job.Step{{Count: 1, MaxStopped: -1}}}, "negative"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := test.job.Check()
			if test.wantErr == "" {
				is.NoErr(err)
				return
			}
			is.True(fault.Is(err, fault.Invalid))
			is.True(strings.Contains(err.Error(), test.wantErr))
		})
	}
}

func FuzzParseTask(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Add("a.-1.0.0")
	f.Add("...")
	f.Fuzz(func(t *testing.T, name string) {
		task, err := job.ParseTask(name)
		if err != nil {
			return
		}
		again, err := job.ParseTask(task.String())
		if err != nil || again != task {
			t.Fatalf("%q: %v, %v, %v", name, task, again, err)
		}
	})
}
