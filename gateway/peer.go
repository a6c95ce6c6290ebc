package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// pickPeer chooses a peer that offers the service, based on its last known
// load.
func (g *Gateway) pickPeer(c *call) (*target, bool) {
	peer, ok := g.choosePeer(c)
	if !ok {
		return nil, false
	}
	g.counters.forwards.Add(1)
	return &target{
		conduit:    g.conduitTo(peer.Address),
		pathPrefix: "/forward/",
		id:         peer.ID,
		isPeer:     true,
	}, true
}

func (g *Gateway) choosePeer(c *call) (route.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	excluded := make(map[string]bool)
	for _, p := range c.table.Peers {
		if _, offered := p.Free[c.service.Name]; !offered || p.ID == c.table.Instance {
			excluded[p.ID] = true
		}
	}
	skip := func(id string) bool { return excluded[id] || c.wasTried(id) }
	return g.chooser.Choose(time.Now(), c.service.Name, c.hops, c.table.Peers, skip)
}

// recordPeerOutcome reports the outcome of a forwarded request to the chooser.
// g.mu is held.
func (g *Gateway) recordPeerOutcome(c *call, t *target, o outcome) {
	now := time.Now()
	switch {
	case o.err == nil:
		return
	case !o.reportedByTarget:
		if !o.final && o.result != balancer.OK {
			g.chooser.RecordUnreachable(now, t.id)
		}
	case o.err.Kind == fault.Leaving:
		g.chooser.RecordUnreachable(now, t.id)
	case o.err.Answer().Ran == fault.NotRun:
		g.chooser.RecordRefused(now, c.service.Name, t.id)
	}
}

// recordPeerFree updates the free slots of a peer from its response header.
func (g *Gateway) recordPeerFree(c *call, t *target, header http.Header) {
	free, err := strconv.Atoi(header.Get(HeaderFree))
	if err != nil || free < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.RecordFree(time.Now(), c.service.Name, t.id, free)
}

// setFreeHeader adds the number of free slots to the response to a forwarded
// request.
func (g *Gateway) setFreeHeader(c *call, header http.Header) {
	if c.hops > 0 {
		header.Set(HeaderFree, strconv.Itoa(g.serviceCapacity(c).free))
	}
}
