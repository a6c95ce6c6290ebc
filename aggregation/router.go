package aggregation

import (
	"maps"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

const (
	// maxCandidates is the number of aggregators that are tried for one record.
	maxCandidates = 3
	// avoidTime is how long a candidate that failed is tried last.
	avoidTime = 2 * time.Second
	// orderKey is the key of the rendezvous hash. All instances use the same one, so that
	// few candidates write at a time.
	orderKey = "aggregator"
)

// Router selects the aggregators for an instance's records. It is safe for concurrent use.
//
// Usage:
//
//	r := aggregation.NewRouter()
//	for _, m := range r.Order(now, members, owner) {
//		// wait less for the answer if r.IsSuspect(m.ID)
//		if result := client.Write(ctx, m, records); result.Outcome == aggregation.Written {
//			r.Succeeded(m.ID)
//			break
//		}
//		r.Failed(now, m.ID)
//	}
type Router struct {
	mu     sync.Mutex
	failed map[string]time.Duration // by ID, until when it is tried last; kept until it succeeds
}

// NewRouter returns a Router without failures.
func NewRouter() *Router {
	return &Router{failed: make(map[string]time.Duration)}
}

// Failed records that a candidate refused records or hasn't answered in time.
func (r *Router) Failed(now time.Duration, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[id] = now + avoidTime
}

// Succeeded records that a candidate acknowledged records, perhaps after it counted as failed
// because of a late answer.
func (r *Router) Succeeded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, id)
}

// IsSuspect reports whether a candidate has failed and not acknowledged records since.
func (r *Router) IsSuspect(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, hasFailed := r.failed[id]
	return hasFailed
}

// Order returns the candidates to try: the owner, which learns of a job that it writes without
// reading it, then the standbys in an order that all instances share. Those that failed a
// moment ago come last.
func (r *Router) Order(now time.Duration, members []roster.Member, owner string) []roster.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	byID := make(map[string]roster.Member, len(members))
	ids := make([]string, 0, len(members))
	for _, m := range members {
		byID[m.ID] = m
		if m.ID != owner {
			ids = append(ids, m.ID)
		}
	}
	maps.DeleteFunc(r.failed, func(id string, _ time.Duration) bool { return byID[id].ID != id })
	ids = rendezvous.Order(orderKey, ids)
	if _, known := byID[owner]; known {
		ids = append([]string{owner}, ids...)
	}
	var order, failed []roster.Member
	for _, id := range ids {
		if until, hasFailed := r.failed[id]; hasFailed && now < until {
			failed = append(failed, byID[id])
		} else {
			order = append(order, byID[id])
		}
	}
	order = append(order, failed...)
	return order[:min(maxCandidates, len(order))]
}
