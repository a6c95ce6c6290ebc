// Package balancer chooses among the replicas of one service on the workers
// that this instance owns.
//
// Usage:
//
//	b := balancer.New(seed)
//	b.Update(now, table.Backends[service])
//	backend, ok := b.Pick(now, nil)
//	// send the request
//	b.Done(now, backend.Worker, latency, balancer.OK)
//
// The choice is the best of all, or of two at random, by slots in use and by
// measured latency. A replica that fails, refuses or is far slower than its peers
// leaves the rotation, and comes back after a few requests sent as probes.
// Only a bounded part is ever out of rotation.
//
// Every method gets the time as a parameter. A Balancer holds one small
// entry for each replica, and for each former one until its last request
// has ended. It isn't safe for concurrent use.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Defaults of a Balancer.
const (
	DefaultEjectedPart = 0.5
	DefaultRefusedPart = 0.9
	DefaultSlowFactor  = 3.0
	DefaultFailures    = 5
	DefaultRefusals    = 2
	DefaultHold        = time.Second
	DefaultLongestHold = 30 * time.Second
	DefaultProbes      = 3
)

// Balancer chooses among the replicas of one service.
type Balancer struct {
	random      *rand.Rand
	choice      Choice
	ejectedPart float64
	refusedPart float64
	slowFactor  float64
	failures    int
	refusals    int
	hold        time.Duration
	longestHold time.Duration
	probes      int

	replicas map[string]*replica
	order    []*replica // in service, sorted by worker
	eligible []*replica // scratch of Pick
	times    []float64  // scratch of peerLatency
	peer     float64    // peerLatency of all
}

// New returns a Balancer whose random choices follow from seed.
func New(seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		random:      rand.New(rand.NewPCG(seed, seed)),
		ejectedPart: DefaultEjectedPart,
		refusedPart: DefaultRefusedPart,
		slowFactor:  DefaultSlowFactor,
		failures:    DefaultFailures,
		refusals:    DefaultRefusals,
		hold:        DefaultHold,
		longestHold: DefaultLongestHold,
		probes:      DefaultProbes,
		replicas:    map[string]*replica{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Update replaces the replicas. Requests in flight and statistics of those
// that stay are kept.
func (b *Balancer) Update(now time.Time, backends []route.Backend) {
	for _, r := range b.order {
		r.listed = false
	}
	b.order = b.order[:0]
	for _, backend := range backends {
		b.list(now, backend)
	}
	b.forget()
	slices.SortFunc(b.order, func(x, y *replica) int {
		return cmp.Compare(x.backend.Worker, y.backend.Worker)
	})
	b.keepSome()
	b.peer = b.peerLatency(nil)
}

func (b *Balancer) list(now time.Time, backend route.Backend) {
	r := b.replicas[backend.Worker]
	if r == nil {
		r = &replica{}
		b.replicas[backend.Worker] = r
	}
	if r.listed {
		return
	}
	if r.backend.Address != backend.Address {
		r.reset()
	}
	r.backend = backend
	r.listed = true
	b.order = append(b.order, r)
}

// forget drops the replicas that left, but for those with requests in flight.
//
// What goes wrong: a replica leaves the table and returns while old requests
// still run on it; with its count dropped it would be given its full number
// of slots again. One would see more requests on a worker than it has slots.
// The entry stays, out of use, until its last request has ended.
func (b *Balancer) forget() {
	for worker, r := range b.replicas {
		if !r.listed && r.inFlight == 0 {
			delete(b.replicas, worker)
		}
	}
}

// Pick chooses a replica and takes one of its slots. It never returns one
// whose lease has lapsed, that has no free slot, or for which skip reports
// true. Each successful Pick is to be followed by one Done.
func (b *Balancer) Pick(now time.Time, skip func(worker string) bool) (route.Backend, bool) {
	b.eligible = b.eligible[:0]
	for _, r := range b.order {
		if r.inFlight >= r.bound(now) || skip != nil && skip(r.backend.Worker) {
			continue
		}
		if r.state == probing {
			return r.take(), true
		}
		b.eligible = append(b.eligible, r)
	}
	if len(b.eligible) == 0 {
		return route.Backend{}, false
	}
	return b.choose(now).take(), true
}

func (b *Balancer) choose(now time.Time) *replica {
	if b.choice == Least {
		return b.least(now)
	}
	n := len(b.eligible)
	if n == 1 {
		return b.eligible[0]
	}
	i := b.random.IntN(n)
	j := b.random.IntN(n - 1)
	if j >= i {
		j++
	}
	return b.better(now, b.eligible[i], b.eligible[j])
}

func (b *Balancer) least(now time.Time) *replica {
	start := b.random.IntN(len(b.eligible))
	best := b.eligible[start]
	for i := range b.eligible {
		best = b.better(now, best, b.eligible[(start+i)%len(b.eligible)])
	}
	return best
}

func (b *Balancer) better(now time.Time, x, y *replica) *replica {
	if y.score(now, b.peer) < x.score(now, b.peer) {
		return y
	}
	return x
}

// Done frees the slot that Pick took on worker and takes the outcome into
// account. A worker without a request in flight is ignored.
func (b *Balancer) Done(now time.Time, worker string, latency time.Duration, result Result) {
	r := b.replicas[worker]
	if r == nil || r.inFlight == 0 {
		return
	}
	r.inFlight--
	if !r.listed {
		b.forget()
		return
	}
	r.record(now, latency, result)
	b.judge(now, r, latency, result)
	b.peer = b.peerLatency(nil)
}

// Free returns how many requests could be picked now.
func (b *Balancer) Free(now time.Time) int {
	free := 0
	for _, r := range b.order {
		free += max(r.bound(now)-r.inFlight, 0)
	}
	return free
}

// Slots returns how many requests the replicas can hold, with those in
// flight: what the gate may admit. A replica that is probed counts for one.
func (b *Balancer) Slots(now time.Time) int {
	slots := 0
	for _, r := range b.order {
		slots += r.bound(now)
	}
	return slots
}

// peerLatency returns the median of the replicas' latencies but for one, in
// seconds, and zero when none is known.
func (b *Balancer) peerLatency(but *replica) float64 {
	b.times = b.times[:0]
	for _, r := range b.order {
		if r != but && r.samples > 0 && r.inRotation() {
			b.times = append(b.times, r.latency)
		}
	}
	if len(b.times) == 0 {
		return 0
	}
	slices.Sort(b.times)
	return b.times[(len(b.times)-1)/2]
}
