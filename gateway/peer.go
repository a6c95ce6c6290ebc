package gateway

import (
	"math"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/route"
)

const (
	loadHalfLife = 2 * time.Second  // after which half of a peer's free slots are believed
	loadMaxAge   = 10 * time.Second // after which none are
	minFree      = 0.5              // believed free slots of a peer worth asking
)

// peerService names a service at a peer.
type peerService struct {
	peer    string
	service string
}

// peerLoad is what this instance did to a peer since it heard of its load.
type peerLoad struct {
	heard    time.Time
	sent     int
	inFlight int
	refused  bool
}

// done notes how a forwarded request ended.
func (l *peerLoad) done(o outcome) {
	l.inFlight--
	if o.result == balancer.Refused || o.result == balancer.Lost {
		l.refused = true
	}
}

// free returns the slots that are believed free at age.
//
// What a peer said of itself is old when it is used, and all instances heard
// the same. It would show as a herd: everyone forwards to the one that was
// idle a second ago. So requests sent since are taken off, and the rest
// counts for less the older it is.
func (l *peerLoad) free(told int, age time.Duration) float64 {
	if age > loadMaxAge || l.refused {
		return 0
	}
	decay := math.Exp2(-float64(age) / float64(loadHalfLife))
	return float64(told-l.sent) * decay
}

// pickPeer chooses a peer with free slots, of the same availability zone
// where there is one. With evenFull it takes a peer that has the service
// though all its slots may be taken.
func (g *Gateway) pickPeer(c *call, evenFull bool) (*target, bool) {
	best, ok := g.choosePeer(c, evenFull)
	if !ok {
		return nil, false
	}
	return &target{
		conduit: g.conduitTo(best.peer.Address),
		root:    "/forward/",
		worker:  best.peer.ID,
		peer:    best.load,
	}, true
}

type candidate struct {
	peer *route.Peer
	load *peerLoad
	free float64
	near bool
}

func (g *Gateway) choosePeer(c *call, evenFull bool) (candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := g.candidates(c, evenFull)
	if len(candidates) == 0 {
		return candidate{}, false
	}
	best := candidates[g.random.IntN(len(candidates))]
	other := candidates[g.random.IntN(len(candidates))]
	if other.free > best.free {
		best = other
	}
	best.load.sent++
	best.load.inFlight++
	g.counts.forwards.Add(1)
	return best, true
}

// candidates returns the peers worth asking, only those of the own
// availability zone if there are any; g.mu is held.
func (g *Gateway) candidates(c *call, evenFull bool) []candidate {
	now := time.Now()
	var near, far, full []candidate
	for i := range c.table.Peers {
		peer := &c.table.Peers[i]
		told, has := peer.Free[c.service.Name]
		if !has || peer.ID == c.table.Instance || c.skip(peer.ID) {
			continue
		}
		load := g.loadOf(peerService{peer.ID, c.service.Name}, peer.Heard)
		k := candidate{peer: peer, load: load, free: load.free(told, now.Sub(peer.Heard))}
		k.near = peer.AvailabilityZone == c.table.AvailabilityZone
		switch {
		case k.free < minFree:
			full = append(full, k)
		case k.near:
			near = append(near, k)
		default:
			far = append(far, k)
		}
	}
	if len(near) > 0 {
		return near
	}
	if len(far) > 0 || !evenFull {
		return far
	}
	return full
}

// loadOf returns the load noted since heard; g.mu is held.
func (g *Gateway) loadOf(key peerService, heard time.Time) *peerLoad {
	load, ok := g.loads[key]
	if !ok {
		load = &peerLoad{heard: heard}
		g.loads[key] = load
	}
	if heard.After(load.heard) {
		load.heard = heard
		load.sent = load.inFlight
		load.refused = false
	}
	return load
}

// pruneLoads drops the load of peers that t doesn't name; g.mu is held.
func (g *Gateway) pruneLoads(t *route.Table) {
	named := make(map[string]bool, len(t.Peers))
	for _, peer := range t.Peers {
		named[peer.ID] = true
	}
	for key := range g.loads {
		if !named[key.peer] {
			delete(g.loads, key)
		}
	}
}
