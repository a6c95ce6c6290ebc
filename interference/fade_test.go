package interference_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/interference"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Symptom: batch work is kept off an idle worker for ever.
// Sequence: a service answers slowly for no reason that is known; then it gets
// no requests, and its reports hold no latency.
// Cause: what slow answers taught isn't corrected by silence about latency.
func TestResidualFadesWithoutRequests(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e := interference.New()
	e.Placed(now, "w1", interference.Task{ID: "quote/w1", Class: "quote", Kind: provider.KindService})
	report := func(n int, latency time.Duration, requests int) {
		for range n {
			now = now.Add(5 * time.Second)
			e.Observe(now, "w1", provider.Usage{Task: "quote/w1", Measured: now, Interval: 5 * time.Second, Latency: latency, Requests: requests})
		}
	}
	report(60, 20*time.Millisecond, 50)
	report(6, 40*time.Millisecond, 50)
	is.True(e.Worst(now, "w1") > 1.08) // slow now
	report(60, 0, 0)
	is.True(e.Worst(now, "w1") < 1.02) // five idle minutes later
}

// Symptom: batch work is kept off a worker that hardly gets requests.
// Sequence: single requests, one of them slow, after a time of many.
// Cause: the slowest of a few answers is taken for the tail.
func TestFewRequestsTeachNothing(t *testing.T) {
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
		u.Measured = now
		e.Observe(now, "w1", u)
	}
	is.True(e.Worst(now, "w1") < 1.02)
}
