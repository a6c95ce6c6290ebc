package gateway

import (
	"context"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Drain refuses new requests with Leaving, waits for those in flight,
// forwarded ones included, and passes the idempotency keys on. It fails with
// TimedOut when ctx ends first.
//
// Callers may be about to send on idle keep-alive connections. Keep the
// listeners open while Drain runs, and a little longer: each such request is
// then refused as not run, with Connection: close, rather than cut off.
func (g *Gateway) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.draining {
		g.draining = true
		g.leaving.Store(true)
		if len(g.calls) == 0 {
			close(g.drained)
		}
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		g.handOver(ctx)
		g.closeIdle()
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return fault.New(fault.TimedOut, "%d requests still in flight", len(g.calls))
}

func (g *Gateway) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conduits {
		c.Renew()
	}
}

// isLeaving reports whether new requests are refused.
func (g *Gateway) isLeaving() bool {
	if g.leaving.Load() {
		return true
	}
	table := g.table.Load()
	return table != nil && table.Leaving
}
