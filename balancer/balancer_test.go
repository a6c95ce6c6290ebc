package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const healthyLatency = 10 * time.Millisecond

func replicas(n, slots int) []route.Backend {
	var all []route.Backend
	for i := range n {
		all = append(all, route.Backend{
			Worker:     fmt.Sprintf("w%d", i),
			Slots:      slots,
			LeaseUntil: start.Add(time.Hour),
		})
	}
	return all
}

// concurrency is how many requests play has in flight at once.
const concurrency = 32

// play sends n requests in batches of concurrent ones, with the latency and
// result that answer returns for a worker, and returns the number of requests
// for each worker.
func play(b *balancer.Balancer, now time.Time, n int, answer func(worker string) (time.Duration, balancer.Result)) map[string]int {
	sent := map[string]int{}
	for range n / concurrency {
		var inFlight []string
		for range concurrency {
			if r, ok := b.Pick(now, nil); ok {
				inFlight = append(inFlight, r.Worker)
			}
		}
		for _, worker := range inFlight {
			sent[worker]++
			d, result := answer(worker)
			b.Done(now, worker, d, result)
		}
	}
	return sent
}

func healthy(string) (time.Duration, balancer.Result) { return healthyLatency, balancer.OK }

// unhealthy returns d and result for w0, and a healthy answer for the others.
func unhealthy(d time.Duration, result balancer.Result) func(string) (time.Duration, balancer.Result) {
	return func(worker string) (time.Duration, balancer.Result) {
		if worker == "w0" {
			return d, result
		}
		return healthy(worker)
	}
}

// Guards against a bad replica that keeps its share of the requests, and against
// one that never returns: w0 turns bad, is probed while it is still bad, and
// recovers.
func TestOutlierLeavesAndReturns(t *testing.T) {
	cases := []struct {
		name   string
		answer func(string) (time.Duration, balancer.Result)
	}{
		{"refuses", unhealthy(time.Millisecond, balancer.Refused)},
		{"fails quickly", unhealthy(time.Millisecond, balancer.Failed)},
		{"loses requests", unhealthy(10*healthyLatency, balancer.Lost)},
		{"ten times slower", unhealthy(10*healthyLatency, balancer.OK)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := balancer.New(1)
			b.Update(start, replicas(8, 8))
			play(b, start, 400, healthy)
			sent := play(b, start, 1000, c.answer)
			is.True(sent["w0"] <= 2*8) // ejected
			is.Equal(b.Free(start), 7*8)
			is.Equal(b.Slots(start), 7*8)

			later := start.Add(balancer.DefaultHold)
			is.Equal(b.Slots(later), 7*8+1) // one slot for a probe
			sent = play(b, later, 1000, c.answer)
			is.Equal(sent["w0"], 1) // one probe, then a longer hold
			is.Equal(play(b, later.Add(balancer.DefaultHold), 100, c.answer)["w0"], 0)

			afterMaxHold := later.Add(balancer.DefaultMaxHold)
			sent = play(b, afterMaxHold, 1000, healthy)
			is.True(sent["w0"] > 50) // back in rotation
		})
	}
}

// Guards against ejecting all replicas for a fault that they share: every
// replica fails, or every one refuses.
func TestEjectedPartIsBounded(t *testing.T) {
	cases := []struct {
		result balancer.Result
		left   int
	}{
		{balancer.Failed, 5},
		{balancer.Lost, 5},
		{balancer.Refused, 1},
	}
	for _, c := range cases {
		t.Run(c.result.String(), func(t *testing.T) {
			is := is.New(t)
			b := balancer.New(1)
			b.Update(start, replicas(10, 1))
			play(b, start, 1000, func(string) (time.Duration, balancer.Result) { return healthyLatency, c.result })
			is.Equal(b.Free(start), c.left)
		})
	}
}

// Guards against a service that refuses all requests although a replica is
// alive: one of two replicas is ejected, and the other leaves the table.
func TestLastReplicaReturns(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	both := replicas(2, 8)
	b.Update(start, both)
	play(b, start, 1000, unhealthy(healthyLatency, balancer.Refused))
	is.Equal(b.Slots(start), 8)
	b.Update(start, both[:1])
	is.Equal(b.Slots(start), 8)
	_, ok := b.Pick(start, nil)
	is.True(ok)
}

// Guards against sending to a worker whose lease has lapsed, or more requests
// than it has slots: the lease lapses, and a replica leaves the table and
// returns while its requests still run.
func TestNeverBeyondLeaseOrSlots(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(1, 2))
	_, ok := b.Pick(start, func(string) bool { return true })
	is.True(!ok)
	_, ok = b.Pick(start.Add(time.Hour), nil)
	is.True(!ok) // the lease lapses at this time
	is.Equal(b.Free(start.Add(time.Hour)), 0)

	b.Pick(start, nil)
	b.Pick(start, nil)
	_, ok = b.Pick(start, nil)
	is.True(!ok) // full
	b.Update(start, nil)
	b.Update(start, replicas(1, 2))
	_, ok = b.Pick(start, nil)
	is.True(!ok) // the requests in flight still count after the return
	b.Done(start, "w0", healthyLatency, balancer.OK)
	b.Done(start, "w0", healthyLatency, balancer.OK)
	b.Done(start, "w0", healthyLatency, balancer.OK) // ignored, nothing is in flight
	is.Equal(b.Free(start), 2)
}

// Guards against miscounted slots: no order of choices, results and changes of
// the table may exceed a worker's slots, choose one without a lease, or leak a
// slot.
func TestSlotsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := balancer.New(rapid.Uint64().Draw(t, "seed"))
		now := start
		all := replicas(6, 3)
		b.Update(now, all)
		held := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			worker := rapid.SampledFrom(all).Draw(t, "worker").Worker
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				b.Update(now, all[:rapid.IntRange(0, len(all)).Draw(t, "listed")])
			case 1:
				if held[worker] > 0 {
					held[worker]--
					b.Done(now, worker, healthyLatency, balancer.Result(rapid.IntRange(0, 3).Draw(t, "result")))
				}
			default:
				r, ok := b.Pick(now, func(w string) bool { return w == worker })
				if !ok {
					continue
				}
				held[r.Worker]++
				if r.Worker == worker || held[r.Worker] > r.Slots || !now.Before(r.LeaseUntil) {
					t.Fatalf("picked %v with %d in flight", r, held[r.Worker])
				}
			}
		}
	})
}

// Guards against a replica that stays idle for good after a slow first response:
// at low load the balancer avoids it, so no request corrects its statistics.
func TestStatisticsFadeWithAge(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(2, 8))
	one := func(now time.Time, d time.Duration) string {
		r, _ := b.Pick(now, nil)
		b.Done(now, r.Worker, d, balancer.OK)
		return r.Worker
	}
	first := one(start, 20*healthyLatency)
	firstCount := 0
	for i := range 100 {
		if one(start.Add(time.Duration(i)*100*time.Millisecond), healthyLatency) == first {
			firstCount++
		}
	}
	is.True(firstCount > 20)
}

// Guards against ignoring latency in the choice: w0 takes twice the time of its
// peers, which is not slow enough for ejection, and must get fewer requests.
func TestSlowerReplicaGetsLess(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(8, 8))
	sent := play(b, start, 4000, unhealthy(2*healthyLatency, balancer.OK))
	is.True(sent["w0"] < 4000/8*3/4)
}
