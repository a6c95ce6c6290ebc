package ranking_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/ranking"
)

func TestCompare(t *testing.T) {
	var (
		soon    = ranking.Rank{Priority: 1, Due: time.Second, Work: 90}
		small   = ranking.Rank{Priority: 1, Due: 2 * time.Second, Work: 10}
		late    = ranking.Rank{Priority: 1, Standing: ranking.Late, Work: 5}
		tooLate = ranking.Rank{Priority: 1, Standing: ranking.TooLate, Work: 1}
		first   = ranking.Rank{Priority: 0, Standing: ranking.Late, Work: 500}
	)
	tests := []struct {
		name    string
		waiting []ranking.Rank // in the expected order
	}{
		{"all in time, by due", []ranking.Rank{soon, small}},
		{"some late, by work", []ranking.Rank{small, soon, late, tooLate}},
		{"late work of another priority", []ranking.Rank{first, soon, small}},
		{"late ones by work", []ranking.Rank{late, {Priority: 1, Standing: ranking.Late, Work: 6}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := ranking.New(slices.Values(tt.waiting))
			got := slices.Clone(tt.waiting)
			slices.Reverse(got)
			slices.SortFunc(got, r.Compare)
			is.Equal(got, tt.waiting)
		})
	}
}

// request is a job of one task in the model.
type request struct {
	arrived, length, estimate time.Duration
	startedAt                 time.Duration
}

func (r *request) objective() time.Duration { return 2*r.estimate + time.Second }

func (r *request) rank(now time.Duration) ranking.Rank {
	due := r.arrived + r.objective() - r.estimate
	return ranking.Rank{Standing: ranking.StandingOf(now, r.arrived, due, r.objective()), Due: due, Work: r.estimate.Seconds()}
}

func (r *request) inTime() bool {
	return r.startedAt > 0 && r.startedAt+r.length <= r.arrived+2*r.length+time.Second
}

const (
	slots         = 40 // tasks that run at once
	simulatedTime = 60 * time.Second
	passInterval  = 50 * time.Millisecond
)

// simulate simulates requests that arrive at a multiple of the capacity, and returns them with
// their start times. Waiting requests are sorted by the Ranking that order returns.
func simulate(load float64, order func([]ranking.Rank) ranking.Ranking) []*request {
	rng := rand.New(rand.NewPCG(1, 2))
	var all, waiting []*request
	var ends []time.Duration
	missingLoad := 0.0
	for now := passInterval; now < simulatedTime; now += passInterval {
		for missingLoad += load * slots * passInterval.Seconds(); missingLoad > 0; {
			length := time.Duration((0.5 + 4*rng.Float64()*rng.Float64()) * float64(time.Second))
			estimate := time.Duration((0.6 + 0.8*rng.Float64()) * float64(length))
			r := &request{arrived: now, length: length, estimate: estimate}
			all, waiting = append(all, r), append(waiting, r)
			missingLoad -= length.Seconds()
		}
		ends = slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= now })
		ranks := make([]ranking.Rank, len(waiting))
		for i, r := range waiting {
			ranks[i] = r.rank(now)
		}
		o := order(ranks)
		slices.SortStableFunc(waiting, func(a, b *request) int { return o.Compare(a.rank(now), b.rank(now)) })
		n := min(len(waiting), slots-len(ends))
		for _, r := range waiting[:n] {
			r.startedAt = now
			ends = append(ends, now+r.length)
		}
		waiting = slices.Delete(waiting, 0, n)
	}
	return all
}

// shareInTime returns the share of requests that met their objective, among all and among
// the largest tenth.
func shareInTime(all []*request) (whole, largest float64) {
	share := func(requests []*request) float64 {
		n := 0
		for _, r := range requests {
			if r.inTime() {
				n++
			}
		}
		return float64(n) / float64(len(requests))
	}
	bySize := slices.SortedFunc(slices.Values(all), func(a, b *request) int { return int(b.length - a.length) })
	return share(all), share(bySize[:len(all)/10])
}

// TestCallersAreInTime checks that under overload more requests meet their objective than in
// the order of due times, and not fewer while the capacity suffices.
func TestCallersAreInTime(t *testing.T) {
	byDue := func([]ranking.Rank) ranking.Ranking { return ranking.Ranking{} }
	ranked := func(ranks []ranking.Rank) ranking.Ranking { return ranking.New(slices.Values(ranks)) }
	tests := []struct {
		name string
		load float64
		gain float64 // minimum gain of the share in time
	}{
		{"enough capacity", 0.8, -0.001},
		{"load equal to the capacity", 1, -0.01},
		{"a third above the capacity", 1.33, 0.1},
		{"twice the capacity", 2, 0.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before, largestBefore := shareInTime(simulate(tt.load, byDue))
			after, largestAfter := shareInTime(simulate(tt.load, ranked))
			t.Logf("in time: %.3f by due, %.3f ranked; of the largest tenth %.3f and %.3f", before, after, largestBefore, largestAfter)
			if after < before+tt.gain {
				t.Errorf("%.3f in time, %.3f by due alone", after, before)
			}
		})
	}
}
