package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// pickPeer chooses a peer that has the service, by what is known of its load.
func (g *Gateway) pickPeer(c *call) (*target, bool) {
	peer, ok := g.choosePeer(c)
	if !ok {
		return nil, false
	}
	g.counts.forwards.Add(1)
	return &target{
		conduit: g.conduitTo(peer.Address),
		root:    "/forward/",
		worker:  peer.ID,
		peer:    true,
	}, true
}

func (g *Gateway) choosePeer(c *call) (route.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	without := make(map[string]bool)
	for _, p := range c.table.Peers {
		if _, has := p.Free[c.service.Name]; !has || p.ID == c.table.Instance {
			without[p.ID] = true
		}
	}
	skip := func(id string) bool { return without[id] || c.skip(id) }
	return g.chooser.Choose(time.Now(), c.service.Name, c.hops, c.table.Peers, skip)
}

// peerDone tells the chooser how a forwarded request ended; g.mu is held.
func (g *Gateway) peerDone(c *call, t *target, o outcome) {
	now := time.Now()
	switch {
	case o.err == nil:
		return
	case !o.reported:
		if !o.final && o.result != balancer.OK {
			g.chooser.Lost(now, t.worker)
		}
	case o.err.Kind == fault.Leaving:
		g.chooser.Lost(now, t.worker)
	case o.err.Answer().Ran == fault.NotRun:
		g.chooser.Refused(now, c.service.Name, t.worker)
	}
}

// hearPeer takes the free slots that a peer tells with its answer.
func (g *Gateway) hearPeer(c *call, t *target, header http.Header) {
	free, err := strconv.Atoi(header.Get(HeaderFree))
	if err != nil || free < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Heard(time.Now(), c.service.Name, t.worker, free)
}

// tellFree adds the free slots to the answer to a forwarded request.
func (g *Gateway) tellFree(c *call, header http.Header) {
	if c.hops > 0 {
		header.Set(HeaderFree, strconv.Itoa(g.replicas(c).free))
	}
}
