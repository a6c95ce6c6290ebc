package interference_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Guards against batch work kept off an idle worker for ever: a service was slow for an
// unknown reason, and then gets no requests, so that no latency corrects its residual.
func TestResidualFadesWithoutRequests(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e := interference.New()
	e.Placed(now, "w1", interference.Task{ID: "quote/w1", Class: "quote", Kind: provider.KindService})
	report := func(n int, latency time.Duration, requests int) {
		for range n {
			now = now.Add(5 * time.Second)
			e.Observe(now, "w1", provider.Usage{Task: "quote/w1", MeasuredAt: now, Interval: 5 * time.Second, Latency: latency, Requests: requests})
		}
	}
	report(60, 20*time.Millisecond, 50)
	report(6, 40*time.Millisecond, 50)
	is.True(e.Worst(now, "w1") > 1.08) // slow now
	report(60, 0, 0)
	is.True(e.Worst(now, "w1") < 1.02) // five idle minutes later
}

// Guards against batch work kept off a worker that hardly gets requests: the latency of
// single slow requests isn't a tail.
func TestFewRequestsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e := interference.New()
	e.Placed(now, "w1", interference.Task{ID: "quote/w1", Class: "quote", Kind: provider.KindService})
	for i := range 60 {
		u := provider.Usage{Task: "quote/w1", Interval: 5 * time.Second, Latency: 20 * time.Millisecond, Requests: 50}
		if i >= 50 {
			u.Latency = 90 * time.Millisecond
			u.Requests = 1
		}
		now = now.Add(5 * time.Second)
		u.MeasuredAt = now
		e.Observe(now, "w1", u)
	}
	is.True(e.Worst(now, "w1") < 1.02)
}
