package gateway

import (
	"context"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Drain refuses new requests with Leaving, waits for those in flight,
// including forwarded ones, and transfers the idempotency keys to other
// instances. It fails with TimedOut when ctx ends first.
//
// Callers may be about to send on idle keep-alive connections. Keep the
// listeners open while Drain runs, and a little longer: such a request is then
// refused as not run, with Connection: close, instead of seeing its connection
// break.
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
		g.handOverKeys(ctx)
		g.closeIdleConnections()
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return fault.New(fault.TimedOut, "%d requests still in flight", len(g.calls))
}

func (g *Gateway) closeIdleConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conduits {
		c.CloseIdleConnections()
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
