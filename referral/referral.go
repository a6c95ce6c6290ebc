// Package referral decides which standbys an instance asks for the state of a job, and in
// which order.
//
// Usage:
//
//	r := referral.New("edge-1", "zone-a", rand.Shuffle)
//	for _, m := range r.Order(now, members, owner) {
//		answer, err := ask(m)
//		if err != nil {
//			r.Failed(now, m.ID)
//			continue
//		}
//		...
//	}
package referral

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/roster"
)

const (
	// maxAttempts is the number of standbys that are asked for one answer.
	maxAttempts = 5
	// nearAttempts is the number of standbys in the own zone that are asked before others.
	nearAttempts = 2
	// avoidTime is how long a standby that didn't answer is asked last.
	avoidTime = 2 * time.Second
)

// Router orders standbys for one instance. It is safe for concurrent use.
type Router struct {
	instance string
	zone     string
	shuffle  func(n int, swap func(i, j int))

	mu     sync.Mutex
	failed map[string]time.Duration // by ID, until when it is asked last
}

// New returns a Router for an instance in an availability zone. Shuffle permutes n
// elements at random.
func New(instance, zone string, shuffle func(n int, swap func(i, j int))) *Router {
	return &Router{instance: instance, zone: zone, shuffle: shuffle, failed: make(map[string]time.Duration)}
}

// Failed records that a standby didn't answer.
func (r *Router) Failed(now time.Duration, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[id] = now + avoidTime
}

// Order returns the standbys to ask. It begins with some in the instance's own zone and goes
// on with those of other zones, in random order. The owner comes after them, as its time is
// spent on deciding, and those that failed a moment ago come last. The instance itself is
// left out.
func (r *Router) Order(now time.Duration, members []roster.Member, owner string) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.failed, func(_ string, until time.Duration) bool { return now >= until })
	shuffled := slices.Clone(members)
	r.shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var near, far, last, failed []roster.Member
	for _, m := range shuffled {
		_, hasFailed := r.failed[m.ID]
		switch {
		case m.ID == r.instance:
		case hasFailed:
			failed = append(failed, m)
		case m.ID == owner:
			last = append(last, m)
		case m.AvailabilityZone == r.zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	first := min(nearAttempts, len(near))
	order := slices.Concat(near[:first], far, near[first:], last, failed)
	return order[:min(maxAttempts, len(order))]
}
