// Package balancer balances requests over the replicas of one service on the
// workers that this instance owns.
//
// Usage:
//
//	b := balancer.New(seed)
//	b.Update(now, table.Backends[service])
//	backend, ok := b.Pick(now, nil)
//	// send the request
//	b.Done(now, backend.Worker, latency, balancer.OK)
//
// It picks the best of all replicas, or the better of two random ones, by slots
// in use, measured latency and failure rate. A replica that fails, refuses or is
// far slower than its peers is ejected from the rotation, and returns after a
// few successful probe requests. Only a bounded fraction of the replicas is
// ejected at any time.
//
// Every method takes the current time as a parameter. A Balancer holds one small
// entry for each replica, and for each removed one until its last request has
// ended. It isn't safe for concurrent use.
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
	DefaultMaxEjectedPart = 0.5
	DefaultMaxRefusedPart = 0.9
	DefaultSlowFactor     = 3.0
	DefaultFailures       = 5
	DefaultRefusals       = 2
	DefaultHold           = time.Second
	DefaultMaxHold        = 30 * time.Second
	DefaultProbes         = 3
)

// Balancer balances requests over the replicas of one service.
type Balancer struct {
	random         *rand.Rand
	choice         Choice
	maxEjectedPart float64
	maxRefusedPart float64
	slowFactor     float64
	maxFailures    int
	maxRefusals    int
	hold           time.Duration
	maxHold        time.Duration
	probes         int

	replicas  map[string]*replica
	order     []*replica // in the table, sorted by worker
	eligible  []*replica // scratch of Pick
	latencies []float64  // scratch of medianLatency
	median    float64    // of all replicas in rotation, in seconds
}

// New returns a Balancer whose random choices are determined by seed.
func New(seed uint64, opts ...Option) *Balancer {
	b := &Balancer{
		random:         rand.New(rand.NewPCG(seed, seed)),
		maxEjectedPart: DefaultMaxEjectedPart,
		maxRefusedPart: DefaultMaxRefusedPart,
		slowFactor:     DefaultSlowFactor,
		maxFailures:    DefaultFailures,
		maxRefusals:    DefaultRefusals,
		hold:           DefaultHold,
		maxHold:        DefaultMaxHold,
		probes:         DefaultProbes,
		replicas:       map[string]*replica{},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Update replaces the set of replicas. A replica that stays keeps its requests
// in flight and its statistics.
func (b *Balancer) Update(now time.Time, backends []route.Backend) {
	for _, r := range b.order {
		r.isListed = false
	}
	b.order = b.order[:0]
	for _, backend := range backends {
		b.addBackend(now, backend)
	}
	b.deleteRemoved()
	slices.SortFunc(b.order, func(x, y *replica) int {
		return cmp.Compare(x.backend.Worker, y.backend.Worker)
	})
	b.restoreExcess()
	b.median = b.medianLatency(nil)
}

func (b *Balancer) addBackend(now time.Time, backend route.Backend) {
	r := b.replicas[backend.Worker]
	if r == nil {
		r = &replica{}
		b.replicas[backend.Worker] = r
	}
	if r.isListed {
		return
	}
	if r.backend.Address != backend.Address {
		r.reset()
	}
	r.backend = backend
	r.isListed = true
	b.order = append(b.order, r)
}

// deleteRemoved deletes the replicas that left the table and have no requests in
// flight.
//
// A removed replica with requests in flight stays, unused, until the last of
// them has ended. If it returned to the table with its count reset to zero, its
// worker would get more requests than it has slots.
func (b *Balancer) deleteRemoved() {
	for worker, r := range b.replicas {
		if !r.isListed && r.inFlight == 0 {
			delete(b.replicas, worker)
		}
	}
}

// Pick chooses a replica and takes one of its slots. It never returns one
// whose lease has lapsed, that has no free slot, or for which skip reports
// true. Each successful Pick must be followed by one Done.
func (b *Balancer) Pick(now time.Time, skip func(worker string) bool) (route.Backend, bool) {
	b.eligible = b.eligible[:0]
	for _, r := range b.order {
		if r.inFlight >= r.usableSlots(now) || skip != nil && skip(r.backend.Worker) {
			continue
		}
		if r.state == probing {
			return r.takeSlot(), true
		}
		b.eligible = append(b.eligible, r)
	}
	if len(b.eligible) == 0 {
		return route.Backend{}, false
	}
	return b.choose(now).takeSlot(), true
}

func (b *Balancer) choose(now time.Time) *replica {
	if b.choice == Least {
		return b.chooseBest(now)
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

func (b *Balancer) chooseBest(now time.Time) *replica {
	start := b.random.IntN(len(b.eligible))
	best := b.eligible[start]
	for i := range b.eligible {
		best = b.better(now, best, b.eligible[(start+i)%len(b.eligible)])
	}
	return best
}

func (b *Balancer) better(now time.Time, x, y *replica) *replica {
	if y.score(now, b.median) < x.score(now, b.median) {
		return y
	}
	return x
}

// Done frees the slot that Pick took on worker and records the result. A worker
// without a request in flight is ignored.
func (b *Balancer) Done(now time.Time, worker string, latency time.Duration, result Result) {
	r := b.replicas[worker]
	if r == nil || r.inFlight == 0 {
		return
	}
	r.inFlight--
	if !r.isListed {
		b.deleteRemoved()
		return
	}
	r.record(now, latency, result)
	b.updateState(now, r, latency, result)
	b.median = b.medianLatency(nil)
}

// Free returns the number of free slots of all replicas.
func (b *Balancer) Free(now time.Time) int {
	free := 0
	for _, r := range b.order {
		free += max(r.usableSlots(now)-r.inFlight, 0)
	}
	return free
}

// Slots returns how many requests the replicas can hold, including those in
// flight. It is the capacity that the admission gate uses. A replica that is
// being probed counts as one slot.
func (b *Balancer) Slots(now time.Time) int {
	slots := 0
	for _, r := range b.order {
		slots += r.usableSlots(now)
	}
	return slots
}

// medianLatency returns the median latency, in seconds, of the replicas in
// rotation other than except, and zero when none has samples.
func (b *Balancer) medianLatency(except *replica) float64 {
	b.latencies = b.latencies[:0]
	for _, r := range b.order {
		if r != except && r.samples > 0 && r.isInRotation() {
			b.latencies = append(b.latencies, r.latency)
		}
	}
	if len(b.latencies) == 0 {
		return 0
	}
	slices.Sort(b.latencies)
	return b.latencies[(len(b.latencies)-1)/2]
}
