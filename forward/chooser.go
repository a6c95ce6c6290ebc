// Package forward chooses the peer that a request goes to when the workers of
// its own instance are full.
//
// Usage:
//
//	c := forward.New(seed, table.AvailabilityZone)
//	peer, ok := c.Choose(now, service, hops, table.Peers, nil)
//	// forward with hops+1; when the peer had no slot after all:
//	c.Refused(now, service, peer.ID)
//	// when it couldn't be reached or didn't answer:
//	c.Lost(now, peer.ID)
//	// with each answer of a peer, where it tells its free slots:
//	c.Heard(now, service, peer.ID, free)
//
// What is known of a peer's free slots is always late. It counts for less
// the older it is, requests sent since it was heard are subtracted, and the
// choice is random in proportion to what remains, so that instances with the
// same late information don't all choose the same peer. Peers of the own
// availability zone go first. When no peer is known to have a free slot, one
// that was full a while ago may be tried again. A request is forwarded at most
// once.
//
// A Chooser holds one small entry for each service and peer that was chosen
// or heard within the age limit. It isn't safe for concurrent use.
package forward

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/route"
)

// Defaults of a Chooser.
const (
	DefaultMaxAge = 10 * time.Second
	DefaultLeast  = 1.0
	DefaultAgain  = 100 * time.Millisecond
)

// MaxHops is how often one request may be forwarded.
const MaxHops = 1

// entryBound is the number of entries from which old ones are dropped.
const entryBound = 256

// Chooser chooses among peers whose load is known late.
type Chooser struct {
	random           *rand.Rand
	availabilityZone string
	maxAge           time.Duration
	least            float64
	again            time.Duration
	known            map[key]load
	lost             map[string]time.Time
	weights          []float64 // scratch of Choose
}

type key struct {
	service string
	peer    string
}

// load is the newest that is known of a peer.
type load struct {
	heard time.Time
	free  int       // less what was sent since
	tried time.Time // last choice or refusal
}

// Option changes a Chooser.
type Option func(*Chooser)

// WithMaxAge sets the age from which a peer's load counts for nothing, 10 s by
// default.
func WithMaxAge(d time.Duration) Option {
	return func(c *Chooser) { c.maxAge = d }
}

// WithLeast sets how many free slots a peer must have, by the discounted
// count, 1 by default.
func WithLeast(slots float64) Option {
	return func(c *Chooser) { c.least = slots }
}

// WithAgain sets how long a peer that was full isn't tried again, 100 ms by
// default; zero is until it is heard.
func WithAgain(d time.Duration) Option {
	return func(c *Chooser) { c.again = d }
}

// New returns a Chooser for an instance in the given availability zone.
func New(seed uint64, availabilityZone string, opts ...Option) *Chooser {
	c := &Chooser{
		random:           rand.New(rand.NewPCG(seed, seed)),
		availabilityZone: availabilityZone,
		maxAge:           DefaultMaxAge,
		least:            DefaultLeast,
		again:            DefaultAgain,
		known:            map[key]load{},
		lost:             map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Choose returns the peer to forward a request to, and counts the request as
// sent there. Hops is how often the request was forwarded already. Peers for
// which skip reports true are left out.
func (c *Chooser) Choose(now time.Time, service string, hops int, peers []route.Peer, skip func(peer string) bool) (route.Peer, bool) {
	// What goes wrong: two full instances forward the same request to each
	// other on stale information. One would see requests that time out
	// without ever having reached a worker. The bound ends it.
	if hops >= MaxHops {
		return route.Peer{}, false
	}
	for _, weigh := range []weigher{c.near, c.far, c.unsure} {
		i := c.draw(now, service, peers, weigh, skip)
		if i >= 0 {
			c.count(now, service, peers[i])
			return peers[i], true
		}
	}
	return route.Peer{}, false
}

// weigher returns the weight of a peer in one round of the choice.
type weigher func(now time.Time, service string, p route.Peer) float64

// near weighs the peers of the own availability zone.
func (c *Chooser) near(now time.Time, service string, p route.Peer) float64 {
	if p.AvailabilityZone != c.availabilityZone {
		return 0
	}
	return c.discounted(now, service, p)
}

// far weighs the other peers.
func (c *Chooser) far(now time.Time, service string, p route.Peer) float64 {
	if p.AvailabilityZone == c.availabilityZone {
		return 0
	}
	return c.discounted(now, service, p)
}

// unsure weighs the peers that were full when last heard.
//
// What goes wrong: a peer refuses once in a short peak and then gets nothing
// until its next heartbeat, seconds later. One would see refusals at one
// instance while others have free slots. One request is a cheap question.
func (c *Chooser) unsure(now time.Time, service string, p route.Peer) float64 {
	l := c.newest(service, p)
	if c.again == 0 || now.Sub(l.heard) >= c.maxAge || now.Sub(l.tried) < c.again {
		return 0
	}
	return 1
}

// draw returns the index of a peer in proportion to the weights, or -1.
func (c *Chooser) draw(now time.Time, service string, peers []route.Peer, weigh weigher, skip func(string) bool) int {
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

// discounted returns the free slots to expect at p, and zero when they are
// too few.
func (c *Chooser) discounted(now time.Time, service string, p route.Peer) float64 {
	l := c.newest(service, p)
	free := discount(float64(l.free), now.Sub(l.heard), c.maxAge)
	if free < c.least {
		return 0
	}
	return free
}

// newest returns the later of p's heartbeat and what an answer told.
func (c *Chooser) newest(service string, p route.Peer) load {
	l, ok := c.known[key{service, p.ID}]
	if !ok || p.Heard.After(l.heard) {
		return load{heard: p.Heard, free: p.Free[service], tried: l.tried}
	}
	return l
}

// discount returns what a number of free slots is worth at an age.
func discount(free float64, age, maxAge time.Duration) float64 {
	if free <= 0 || age >= maxAge {
		return 0
	}
	if age <= 0 {
		return free
	}
	return free * (1 - age.Seconds()/maxAge.Seconds())
}

func (c *Chooser) count(now time.Time, service string, p route.Peer) {
	l := c.newest(service, p)
	l.free--
	l.tried = now
	c.keep(now, key{service, p.ID}, l)
}

func (c *Chooser) keep(now time.Time, k key, l load) {
	if len(c.known) >= entryBound {
		c.forget(now)
	}
	c.known[k] = l
}

// forget drops entries that no longer count.
func (c *Chooser) forget(now time.Time) {
	maps.DeleteFunc(c.known, func(_ key, l load) bool { return now.Sub(l.heard) >= c.maxAge })
	maps.DeleteFunc(c.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= c.maxAge })
}

// Heard takes the free slots that a peer told with an answer.
func (c *Chooser) Heard(now time.Time, service, peer string, free int) {
	k := key{service, peer}
	c.keep(now, k, load{heard: now, free: free, tried: c.known[k].tried})
}

// Refused tells that a peer had no slot after all.
func (c *Chooser) Refused(now time.Time, service, peer string) {
	c.keep(now, key{service, peer}, load{heard: now, tried: now})
}

// Lost tells that a peer couldn't be reached or didn't answer: it gets nothing
// until a heartbeat of it is heard.
//
// What goes wrong: an availability zone is cut off and its peers' last
// heartbeats still promise free slots. One would see forwarded requests time
// out one after the other until the heartbeats are too old.
func (c *Chooser) Lost(now time.Time, peer string) {
	if len(c.lost) >= entryBound {
		c.forget(now)
	}
	c.lost[peer] = now
}

func (c *Chooser) isLost(p route.Peer) bool {
	at, ok := c.lost[p.ID]
	return ok && !p.Heard.After(at)
}
