package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// minStall is how long a call may wait for its caller before it may be
	// ended in favour of others.
	minStall = time.Second
	// stallSearchInterval is the least time after a search without result.
	stallSearchInterval = 100 * time.Millisecond
)

// callerWait is the time that a call waits for its caller: for bytes of the
// body, or to have those of the response read.
type callerWait struct {
	since atomic.Int64 // Unix nanoseconds, zero when not waiting
	ended atomic.Bool
}

func (w *callerWait) start() { w.since.Store(time.Now().UnixNano()) }

func (w *callerWait) stop() { w.since.Store(0) }

// endStalledCall ends the call that has waited longest for its caller, if one
// has for minStall. Only calls to service count, or all if service is empty.
//
// A streamed body or response holds a slot while the caller sends or reads it.
// Callers that stop in the middle would hold all slots until their deadlines,
// so they give way once another request is refused for want of a slot.
func (g *Gateway) endStalledCall(service string) {
	if c := g.findStalledCall(service); c != nil {
		g.counters.stalled.Add(1)
		control := http.NewResponseController(c.w)
		_ = control.SetReadDeadline(time.Unix(1, 0)) // both fail if the connection is closed
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	}
}

func (g *Gateway) findStalledCall(service string) *call {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Before(g.nextStallSearch) {
		return nil
	}
	var longest *call
	oldest := now.Add(-minStall).UnixNano()
	for c := range g.calls {
		since := c.callerWait.since.Load()
		if since != 0 && since <= oldest && !c.callerWait.ended.Load() && (service == "" || service == c.service.Name) {
			longest, oldest = c, since
		}
	}
	if longest == nil {
		g.nextStallSearch = now.Add(stallSearchInterval)
		return nil
	}
	longest.callerWait.ended.Store(true)
	return longest
}
