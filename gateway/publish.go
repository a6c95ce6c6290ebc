package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/budget"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// Publish makes t the table for new requests. The table must not be changed
// afterwards.
func (g *Gateway) Publish(t *route.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.updateBalancers(now, t)
	g.updateGate(now, t)
	g.updateBudgets(t)
	g.pruneConduits(t)
	if g.chooser == nil {
		g.chooser = forward.New(g.seed, t.AvailabilityZone)
	}
	g.startRebalance(t)
	g.table.Store(t)
}

func (g *Gateway) updateBalancers(now time.Time, t *route.Table) {
	for service, backends := range t.Backends {
		b, ok := g.balancers[service]
		if !ok {
			b = balancer.New(g.seed ^ xxhash.Sum64String(service))
			g.balancers[service] = b
		}
		b.Update(now, backends)
	}
	for service := range g.balancers {
		if _, ok := t.Backends[service]; !ok {
			delete(g.balancers, service)
		}
	}
}

func (g *Gateway) updateGate(now time.Time, t *route.Table) {
	slots := make(map[string]int, len(t.Services))
	total := 0
	for service, b := range g.balancers {
		slots[service] = b.Slots(now)
		total += slots[service]
	}
	g.gate.Update(t.Services, total)
	for service := range t.Services {
		g.gate.SetCapacity(service, slots[service])
	}
	g.wakeWaiters(g.gate.Admit(now))
	g.armExpiry(now)
}

func (g *Gateway) updateBudgets(t *route.Table) {
	for service := range t.Services {
		if _, ok := g.budgets[service]; !ok {
			g.budgets[service] = budget.New()
		}
	}
	for service := range g.budgets {
		if _, ok := t.Services[service]; !ok {
			delete(g.budgets, service)
			delete(g.latencies, service)
		}
	}
}

// pruneConduits closes the idle connections to servers that t doesn't list. A
// conduit with requests in flight stays until a later table: its server may be
// listed again, and these connections count towards the bound for the server.
func (g *Gateway) pruneConduits(t *route.Table) {
	inUse := make(map[string]bool)
	for _, backends := range t.Backends {
		for _, backend := range backends {
			inUse[backend.Address] = true
		}
	}
	for _, peer := range t.Peers {
		inUse[peer.Address] = true
	}
	for address, c := range g.conduits {
		if inUse[address] {
			continue
		}
		c.CloseIdleConnections()
		if c.Open() == 0 {
			delete(g.conduits, address)
		}
	}
}
