package excess_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/excess"
)

const ms = time.Millisecond

// Guards against a split whose parts are more than the time beyond the estimate.
func TestBeyond(t *testing.T) {
	tests := []struct {
		name     string
		parts    excess.Parts
		estimate time.Duration
		want     excess.Parts
	}{
		{"shorter than estimated", excess.Parts{Interference: 100 * ms, Slow: 100 * ms, Work: 300 * ms}, time.Second, excess.Parts{}},
		{"own work", excess.Parts{Work: 1500 * ms}, time.Second, excess.Parts{Work: 500 * ms}},
		{"all three", excess.Parts{Interference: 100 * ms, Slow: 200 * ms, Work: 1200 * ms}, time.Second, excess.Parts{Interference: 100 * ms, Slow: 200 * ms, Work: 200 * ms}},
		{"interference first", excess.Parts{Interference: 300 * ms, Slow: 400 * ms, Work: 800 * ms}, time.Second, excess.Parts{Interference: 300 * ms, Slow: 200 * ms}},
		{"interference explains all", excess.Parts{Interference: 700 * ms, Work: 800 * ms}, time.Second, excess.Parts{Interference: 500 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.parts.Beyond(tt.estimate), tt.want)
		})
	}
}

// Guards against healthy workers that look slow because of stragglers, long steps or the order
// in which runs end, and against a slow worker that isn't recognized.
func TestSlowWorker(t *testing.T) {
	tests := []struct {
		name     string
		workers  int
		tasks    int // of each step
		took     func(step, worker int) time.Duration
		wantSlow time.Duration // of the last run on worker 0, which took 2 s
	}{
		{"equal workers", 10, 10, func(int, int) time.Duration { return 2 * time.Second }, 0},
		{"one of twice the time", 10, 10, func(_, w int) time.Duration {
			if w == 0 {
				return 2 * time.Second
			}
			return time.Second
		}, time.Second},
		{"one straggler", 10, 10, func(step, w int) time.Duration {
			if step == 4 && w == 0 {
				return 2 * time.Second
			}
			return time.Second
		}, 0},
		{"steps of different lengths", 10, 10, func(step, _ int) time.Duration { return time.Duration(step%5+1) * 400 * ms }, 0},
		{"spread of a tenth, in the order of ends", 10, 10, func(step, w int) time.Duration { return 2*time.Second + time.Duration((w+step)%10)*20*ms }, 0},
		{"small steps are compared within their class", 10, 1, func(_, w int) time.Duration {
			if w == 0 {
				return 2 * time.Second
			}
			return time.Second
		}, time.Second},
		{"no other worker", 1, 10, func(int, int) time.Duration { return 2 * time.Second }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tracker := excess.New()
			for n := range 160 {
				step, index := n/tt.tasks, n%tt.tasks
				w := n % tt.workers
				round := n / tt.workers % 5
				tracker.Split(excess.Run{Step: excess.Step{Job: fmt.Sprint(step)}, Worker: fmt.Sprint(w), Took: tt.took(round, w), Last: index == tt.tasks-1})
			}
			parts := tracker.Split(excess.Run{Step: excess.Step{Job: "last"}, Worker: "0", Took: 2 * time.Second})
			is.Equal(parts.Slow, tt.wantSlow)
			is.Equal(parts.Work, 2*time.Second-tt.wantSlow)
		})
	}
}

// Guards against interference that makes a worker look slow.
func TestInterferenceIsNoSlowWorker(t *testing.T) {
	is := is.New(t)
	tracker := excess.New()
	for step := range 10 {
		for w := range 5 {
			r := excess.Run{Step: excess.Step{Job: fmt.Sprint(step)}, Worker: fmt.Sprint(w), Took: time.Second, Last: w == 4}
			if w == 0 {
				r.Took, r.Slowdown = 2*time.Second, 0.5
			}
			tracker.Split(r)
		}
	}
	is.Equal(tracker.Factor("0"), 1.0)
	is.Equal(tracker.Split(excess.Run{Worker: "0", Took: 2 * time.Second, Slowdown: 0.5}), excess.Parts{Interference: time.Second, Work: time.Second})
}
