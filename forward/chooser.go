// Package forward chooses the peer to forward a request to when the workers of
// this instance have no free slot.
//
// Usage:
//
//	c := forward.New(seed, table.AvailabilityZone)
//	peer, ok := c.Choose(now, service, hops, table.Peers, nil)
//	// forward with hops+1; if the peer had no free slot:
//	c.RecordRefused(now, service, peer.ID)
//	// if the peer was unreachable or didn't respond:
//	c.RecordUnreachable(now, peer.ID)
//	// with each response of a peer that reports its free slots:
//	c.RecordFree(now, service, peer.ID, free)
//
// Information about a peer's free slots is always stale. It is discounted by
// its age, requests sent since are subtracted, and the choice is random in
// proportion to the rest, so that instances with the same information don't all
// choose the same peer. Peers in the same availability zone are preferred. If no
// peer is known to have a free slot, one that was full a while ago may be tried
// again. A request is forwarded at most once.
//
// A Chooser holds one small entry for each service and peer that was chosen or
// reported within the maximum age. It isn't safe for concurrent use.
package forward

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Defaults of a Chooser.
const (
	DefaultMaxAge        = 10 * time.Second
	DefaultMinFree       = 1.0
	DefaultRetryInterval = 100 * time.Millisecond
)

// MaxHops is how often one request may be forwarded.
const MaxHops = 1

// maxEntries is the number of entries at which expired ones are deleted.
const maxEntries = 256

// Chooser chooses among peers on stale information about their load.
type Chooser struct {
	random           *rand.Rand
	availabilityZone string
	maxAge           time.Duration
	minFree          float64
	retryInterval    time.Duration
	loads            map[key]load
	lostAt           map[string]time.Time
	weights          []float64 // scratch of Choose
}

type key struct {
	service string
	peer    string
}

// load is the latest known load of a peer.
type load struct {
	reportedAt  time.Time
	free        int       // minus the requests sent since
	lastTriedAt time.Time // last choice or refusal
}

// Option configures a Chooser.
type Option func(*Chooser)

// WithMaxAge sets the age from which a peer's load is ignored, 10 s by default.
func WithMaxAge(d time.Duration) Option {
	return func(c *Chooser) { c.maxAge = d }
}

// WithMinFree sets the minimum discounted number of free slots that a peer must
// have to be chosen, 1 by default.
func WithMinFree(slots float64) Option {
	return func(c *Chooser) { c.minFree = slots }
}

// WithRetryInterval sets the minimum time between requests to a peer that was
// full, 100 ms by default. Zero disables such requests until the peer reports
// free slots.
func WithRetryInterval(d time.Duration) Option {
	return func(c *Chooser) { c.retryInterval = d }
}

// New returns a Chooser for an instance in the given availability zone.
func New(seed uint64, availabilityZone string, opts ...Option) *Chooser {
	c := &Chooser{
		random:           rand.New(rand.NewPCG(seed, seed)),
		availabilityZone: availabilityZone,
		maxAge:           DefaultMaxAge,
		minFree:          DefaultMinFree,
		retryInterval:    DefaultRetryInterval,
		loads:            map[key]load{},
		lostAt:           map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Choose returns the peer to forward a request to, and counts the request as
// sent there. hops is how often the request was forwarded already. Peers for
// which skip reports true are ignored.
func (c *Chooser) Choose(now time.Time, service string, hops int, peers []route.Peer, skip func(peer string) bool) (route.Peer, bool) {
	// On stale information, two full instances could forward a request to each
	// other until it times out without having reached a worker.
	if hops >= MaxHops {
		return route.Peer{}, false
	}
	for _, weigh := range []weigher{c.sameZone, c.otherZone, c.lastFull} {
		i := c.pickWeighted(now, service, peers, weigh, skip)
		if i >= 0 {
			c.recordSent(now, service, peers[i])
			return peers[i], true
		}
	}
	return route.Peer{}, false
}

// weigher returns the weight of a peer in one round of the choice.
type weigher func(now time.Time, service string, p route.Peer) float64

// sameZone weighs the peers in the availability zone of this instance.
func (c *Chooser) sameZone(now time.Time, service string, p route.Peer) float64 {
	if p.AvailabilityZone != c.availabilityZone {
		return 0
	}
	return c.discounted(now, service, p)
}

// otherZone weighs the peers in other availability zones.
func (c *Chooser) otherZone(now time.Time, service string, p route.Peer) float64 {
	if p.AvailabilityZone == c.availabilityZone {
		return 0
	}
	return c.discounted(now, service, p)
}

// lastFull weighs the peers that last reported no free slot.
//
// Without this round, a peer that refused once in a short peak would get no
// request until its next heartbeat, seconds later, and this instance would
// refuse requests while the peer has free slots. Probing it with one request is
// cheap.
func (c *Chooser) lastFull(now time.Time, service string, p route.Peer) float64 {
	l := c.latest(service, p)
	if c.retryInterval == 0 || now.Sub(l.reportedAt) >= c.maxAge || now.Sub(l.lastTriedAt) < c.retryInterval {
		return 0
	}
	return 1
}

// pickWeighted returns the index of a random peer, with probabilities in
// proportion to the weights, or -1.
func (c *Chooser) pickWeighted(now time.Time, service string, peers []route.Peer, weigh weigher, skip func(string) bool) int {
	c.weights = c.weights[:0]
	total := 0.0
	for _, p := range peers {
		weight := 0.0
		if !c.isLost(p) && (skip == nil || !skip(p.ID)) {
			weight = weigh(now, service, p)
		}
		c.weights = append(c.weights, weight)
		total += weight
	}
	if total == 0 {
		return -1
	}
	point := c.random.Float64() * total
	last := -1
	for i, weight := range c.weights {
		if weight == 0 {
			continue
		}
		last = i
		point -= weight
		if point < 0 {
			break
		}
	}
	return last
}

// discounted returns the expected number of free slots at p, or zero if it is
// below the minimum.
func (c *Chooser) discounted(now time.Time, service string, p route.Peer) float64 {
	l := c.latest(service, p)
	free := discount(float64(l.free), now.Sub(l.reportedAt), c.maxAge)
	if free < c.minFree {
		return 0
	}
	return free
}

// latest returns the load of p according to its heartbeat or to a response,
// whichever is later.
func (c *Chooser) latest(service string, p route.Peer) load {
	l, ok := c.loads[key{service, p.ID}]
	if !ok || p.LastContact.After(l.reportedAt) {
		return load{reportedAt: p.LastContact, free: p.Free[service], lastTriedAt: l.lastTriedAt}
	}
	return l
}

// discount reduces a number of free slots linearly with its age, to zero at
// maxAge.
func discount(free float64, age, maxAge time.Duration) float64 {
	if free <= 0 || age >= maxAge {
		return 0
	}
	if age <= 0 {
		return free
	}
	return free * (1 - age.Seconds()/maxAge.Seconds())
}

func (c *Chooser) recordSent(now time.Time, service string, p route.Peer) {
	l := c.latest(service, p)
	l.free--
	l.lastTriedAt = now
	c.store(now, key{service, p.ID}, l)
}

func (c *Chooser) store(now time.Time, k key, l load) {
	if len(c.loads) >= maxEntries {
		c.deleteExpired(now)
	}
	c.loads[k] = l
}

// deleteExpired deletes the entries that have reached the maximum age.
func (c *Chooser) deleteExpired(now time.Time) {
	maps.DeleteFunc(c.loads, func(_ key, l load) bool { return now.Sub(l.reportedAt) >= c.maxAge })
	maps.DeleteFunc(c.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) >= c.maxAge })
}

// RecordFree records the free slots that a peer reported with a response.
func (c *Chooser) RecordFree(now time.Time, service, peer string, free int) {
	k := key{service, peer}
	c.store(now, k, load{reportedAt: now, free: free, lastTriedAt: c.loads[k].lastTriedAt})
}

// RecordRefused records that a peer had no free slot.
func (c *Chooser) RecordRefused(now time.Time, service, peer string) {
	c.store(now, key{service, peer}, load{reportedAt: now, lastTriedAt: now})
}

// RecordUnreachable records that a peer was unreachable or didn't respond. The
// peer is not chosen again until its next heartbeat.
//
// If an availability zone is cut off, the last heartbeats of its peers still
// report free slots, and forwarded requests would time out one after the other
// until these heartbeats expire.
func (c *Chooser) RecordUnreachable(now time.Time, peer string) {
	if len(c.lostAt) >= maxEntries {
		c.deleteExpired(now)
	}
	c.lostAt[peer] = now
}

func (c *Chooser) isLost(p route.Peer) bool {
	at, ok := c.lostAt[p.ID]
	return ok && !p.LastContact.After(at)
}
