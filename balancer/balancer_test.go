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

const quick = 10 * time.Millisecond

func replicas(n, slots int) []route.Backend {
	var all []route.Backend
	for i := range n {
		all = append(all, route.Backend{
			Worker: fmt.Sprintf("w%d", i),
			Slots:  slots,
			Until:  start.Add(time.Hour),
		})
	}
	return all
}

// together is how many requests play has in flight at once.
const together = 32

// play sends n requests, many at once, each answered as answer says, and
// returns how many went to each worker.
func play(b *balancer.Balancer, now time.Time, n int, answer func(worker string) (time.Duration, balancer.Result)) map[string]int {
	sent := map[string]int{}
	for range n / together {
		var flying []string
		for range together {
			if r, ok := b.Pick(now, nil); ok {
				flying = append(flying, r.Worker)
			}
		}
		for _, worker := range flying {
			sent[worker]++
			d, result := answer(worker)
			b.Done(now, worker, d, result)
		}
	}
	return sent
}

func healthy(string) (time.Duration, balancer.Result) { return quick, balancer.OK }

// ill answers for w0 as given and well for the others.
func ill(d time.Duration, result balancer.Result) func(string) (time.Duration, balancer.Result) {
	return func(worker string) (time.Duration, balancer.Result) {
		if worker == "w0" {
			return d, result
		}
		return healthy(worker)
	}
}

// Symptom: a bad replica keeps its part of the requests, or never returns.
// Sequence: w0 turns bad; its hold ends while it still is bad; it recovers.
// Cause: outliers aren't ejected, probes aren't limited, or nothing probes.
func TestOutlierLeavesAndReturns(t *testing.T) {
	cases := []struct {
		name   string
		answer func(string) (time.Duration, balancer.Result)
	}{
		{"refuses", ill(time.Millisecond, balancer.Refused)},
		{"fails quickly", ill(time.Millisecond, balancer.Failed)},
		{"loses requests", ill(10*quick, balancer.Lost)},
		{"ten times slower", ill(10*quick, balancer.OK)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := balancer.New(1)
			b.Update(start, replicas(8, 8))
			play(b, start, 400, healthy)
			sent := play(b, start, 1000, c.answer)
			is.True(sent["w0"] <= 2*8)    // out of rotation
			is.Equal(b.Free(start), 7*8)  // and out of the count
			is.Equal(b.Slots(start), 7*8) // that the gate gets

			later := start.Add(balancer.DefaultHold)
			is.Equal(b.Slots(later), 7*8+1) // and one probe
			sent = play(b, later, 1000, c.answer)
			is.Equal(sent["w0"], 1) // one probe, then a longer hold
			is.Equal(play(b, later.Add(balancer.DefaultHold), 100, c.answer)["w0"], 0)

			much := later.Add(balancer.DefaultLongestHold)
			sent = play(b, much, 1000, healthy)
			is.True(sent["w0"] > 50) // back in rotation
		})
	}
}

// Symptom: a fault that all replicas share takes the service down.
// Sequence: every replica fails, or every one refuses.
// Cause: the part that may be ejected has no bound.
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
			play(b, start, 1000, func(string) (time.Duration, balancer.Result) { return quick, c.result })
			is.Equal(b.Free(start), c.left)
		})
	}
}

// Symptom: a service refuses everything beside live replicas.
// Sequence: one of two replicas is ejected; the other leaves the table.
// Cause: what was ejected stays out although nothing else is left.
func TestLastReplicaReturns(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	both := replicas(2, 8)
	b.Update(start, both)
	play(b, start, 1000, ill(quick, balancer.Refused))
	is.Equal(b.Slots(start), 8)
	b.Update(start, both[:1])
	is.Equal(b.Slots(start), 8)
	_, ok := b.Pick(start, nil)
	is.True(ok)
}

// Symptom: requests go to a worker that another instance owns by now, or
// above its slots.
// Sequence: the lease lapses; a replica leaves the table and returns while
// its requests still run; skip names the only free one.
// Cause: the lease isn't checked at the choice, or counts are dropped.
func TestNeverBeyondLeaseOrSlots(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(1, 2))
	_, ok := b.Pick(start, func(string) bool { return true })
	is.True(!ok)
	_, ok = b.Pick(start.Add(time.Hour), nil)
	is.True(!ok) // the lease lapsed at this very moment
	is.Equal(b.Free(start.Add(time.Hour)), 0)

	b.Pick(start, nil)
	b.Pick(start, nil)
	_, ok = b.Pick(start, nil)
	is.True(!ok) // full
	b.Update(start, nil)
	b.Update(start, replicas(1, 2))
	_, ok = b.Pick(start, nil)
	is.True(!ok) // still full after its return
	b.Done(start, "w0", quick, balancer.OK)
	b.Done(start, "w0", quick, balancer.OK)
	b.Done(start, "w0", quick, balancer.OK) // one too many is ignored
	is.Equal(b.Free(start), 2)
}

// Symptom: some order of events puts more on a worker than its slots, on one
// out of lease, or leaks a slot.
// Sequence: random choices, results, changes of the table and passing time.
// Cause: a path that forgets to count.
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
					b.Done(now, worker, quick, balancer.Result(rapid.IntRange(0, 3).Draw(t, "result")))
				}
			default:
				r, ok := b.Pick(now, func(w string) bool { return w == worker })
				if !ok {
					continue
				}
				held[r.Worker]++
				if r.Worker == worker || held[r.Worker] > r.Slots || !now.Before(r.Until) {
					t.Fatalf("picked %v with %d in flight", r, held[r.Worker])
				}
			}
		}
	})
}

// Symptom: one slow answer to the first request starves a replica for good.
// Sequence: the first answer of w0 is slow, and the load stays low.
// Cause: a bad mark is only corrected by requests, which it keeps away.
func TestBadMarkFades(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(2, 8))
	one := func(now time.Time, d time.Duration) string {
		r, _ := b.Pick(now, nil)
		b.Done(now, r.Worker, d, balancer.OK)
		return r.Worker
	}
	first := one(start, 20*quick)
	again := 0
	for i := range 100 {
		if one(start.Add(time.Duration(i)*100*time.Millisecond), quick) == first {
			again++
		}
	}
	is.True(again > 20)
}

// Symptom: a slower replica, not slow enough to be ejected, gets as much as
// the others and sets the tail.
// Sequence: w0 answers in twice the time of its peers.
// Cause: the choice looks at requests in flight only.
func TestSlowerReplicaGetsLess(t *testing.T) {
	is := is.New(t)
	b := balancer.New(1)
	b.Update(start, replicas(8, 8))
	sent := play(b, start, 4000, ill(2*quick, balancer.OK))
	is.True(sent["w0"] < 4000/8*3/4)
}
