package interference_test

import (
	"math"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// FuzzObserve checks that no report leads to an estimate that isn't a number or to a
// slowdown below 1, and that only used reports change estimates.
func FuzzObserve(f *testing.F) {
	f.Add("r-w1", int64(0), int64(interval), int64(10*time.Millisecond), 500, int64(1000))
	f.Add("r-w1", int64(time.Hour), int64(interval), int64(time.Millisecond), 1, int64(0))
	f.Add("r-w1", int64(-time.Hour), int64(interval), int64(time.Millisecond), 1, int64(0))
	f.Add("w1loud", int64(0), int64(interval), int64(0), 0, int64(-5))
	f.Add("nobody", int64(0), int64(1), int64(1), 1, int64(1))
	f.Add("r-w1", int64(0), int64(math.MaxInt64), int64(math.MaxInt64), math.MaxInt, int64(math.MaxInt64))
	f.Add("r-w1", int64(math.MinInt64), int64(1), int64(1), math.MaxInt, int64(0))
	f.Fuzz(func(t *testing.T, task string, offset, length, latency int64, requests int, processors int64) {
		w := newSimulation()
		w.placeReplica("w1", "loud")
		w.run(5, "w1")
		w.now = w.now.Add(interval)
		before := w.slowdown("loud")
		outcome := w.e.Observe(w.now, "w1", provider.Usage{
			Task: task, MeasuredAt: w.now.Add(time.Duration(offset)), Interval: time.Duration(length),
			Latency: time.Duration(latency), Requests: requests, Used: resource.Vector{Processors: processors},
		})
		if after := w.slowdown("loud"); outcome != interference.Used && after != before {
			t.Errorf("%v changed %v to %v", outcome, before, after)
		}
		w.run(5, "w1")
		for _, v := range w.e.Pressure(w.now, "w1") {
			if !(v.Level >= 1) || math.IsInf(v.Level, 0) || math.IsNaN(v.Observed) || !(v.Confidence >= 0 && v.Confidence <= 1) {
				t.Errorf("%v gave %+v", outcome, v)
			}
		}
	})
}
