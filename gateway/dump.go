package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// maxDumpCalls bounds the requests that a dump lists.
const maxDumpCalls = 50

// Dump returns the state as human-readable lines.
func (g *Gateway) Dump() string {
	var b strings.Builder
	r := g.Report()
	fmt.Fprintf(&b, "gateway leaving=%t in_flight=%d waiting=%d answered=%d keys=%d\n",
		g.isLeaving(), r.InFlight, r.Waiting, r.Answered, r.Keys)
	fmt.Fprintf(&b, "retries=%d unbudgeted=%d forwards=%d dropped=%d truncated=%d silent=%d probes=%d lapsed=%d abandoned=%d stalled=%d\n",
		r.Retries, r.Unbudgeted, r.Forwards, r.Dropped, r.Truncated, r.Silent, r.Probes, r.Lapsed, r.Abandoned, r.Stalled)
	for _, kind := range slices.Sorted(maps.Keys(r.Refused)) {
		fmt.Fprintf(&b, "refused kind=%s count=%d\n", kind, r.Refused[kind])
	}
	for _, service := range slices.Sorted(maps.Keys(r.Services)) {
		l := r.Services[service]
		fmt.Fprintf(&b, "service name=%s window=%d p50=%s p99=%s p999=%s\n", service, l.Window, l.P50, l.P99, l.P999)
	}
	for _, address := range slices.Sorted(maps.Keys(r.Connections)) {
		fmt.Fprintf(&b, "connections address=%s open=%d\n", address, r.Connections[address])
	}
	g.dumpCalls(&b)
	return b.String()
}

// dumpCalls lists requests in flight, the oldest first.
func (g *Gateway) dumpCalls(b *strings.Builder) {
	g.mu.Lock()
	calls := slices.Collect(maps.Keys(g.calls))
	g.mu.Unlock()
	slices.SortFunc(calls, func(x, y *call) int { return x.startedAt.Compare(y.startedAt) })
	now := time.Now()
	for _, c := range calls[:min(len(calls), maxDumpCalls)] {
		fmt.Fprintf(b, "request id=%s service=%s method=%s hops=%d age=%s left=%s\n",
			c.id, c.service.Name, c.r.Method, c.hops, now.Sub(c.startedAt), c.deadline.Sub(now))
	}
}

func callFields(c *call, t *target) []zap.Field {
	return []zap.Field{
		zap.String("request", c.id),
		zap.String("service", c.service.Name),
		zap.String("target", t.id),
	}
}
