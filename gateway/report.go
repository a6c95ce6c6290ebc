package gateway

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Bounds of the latency histograms, in units of latencyUnit.
const (
	latencyUnit   = 10 * time.Microsecond
	maxLatency    = 10 * time.Minute
	latencyDigits = 1
	latencyWindow = 10 * time.Second

	minP99Samples = 50
	p99Quantile   = 99
)

// Report holds the counters since the start, the current gauges and the recent
// latencies.
type Report struct {
	Answered    uint64 // complete responses relayed
	Refused     map[fault.Kind]uint64
	Retries     uint64
	Unbudgeted  uint64 // retries denied by the budget
	Forwards    uint64
	Dropped     uint64 // responses that belonged to another request, or to none
	Truncated   uint64 // responses that ended early
	Silent      uint64 // connections closed as silent
	Probes      uint64
	Lapsed      uint64 // attempts stopped by a lapsed lease
	Abandoned   uint64 // callers that disconnected
	Stalled     uint64 // calls ended for others because they waited for their caller
	InFlight    int
	Waiting     int
	Keys        int
	Connections map[string]int // open ones by address
	Services    map[string]Latency
}

// Latency summarizes the latency of one service's responses, from the start of
// the attempt to the first bytes (to the last byte for a short response).
type Latency struct {
	Window  uint64 // responses in the last 10 to 20 seconds
	Mean    time.Duration
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	Workers map[string]Sum // since the start
}

// Sum is the number and the total of latencies.
type Sum struct {
	Count uint64
	Total time.Duration
}

// counters are the counters of a Report.
type counters struct {
	answered, retries, unbudgeted, forwards atomic.Uint64
	dropped, truncated, silent, probes      atomic.Uint64
	lapsed, abandoned, stalled              atomic.Uint64
	refused                                 [fault.TooLarge + 1]atomic.Uint64
}

func (c *counters) countRefusal(k fault.Kind) {
	if k < 0 || int(k) >= len(c.refused) {
		k = fault.Internal
	}
	c.refused[k].Add(1)
}

// latency records the latencies of one service in two alternating windows.
type latency struct {
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
	workers           map[string]Sum
}

// latencyOf returns the latencies of a service, creating them on first use.
// g.mu is held.
func (g *Gateway) latencyOf(service string) *latency {
	l, ok := g.latencies[service]
	if !ok {
		l = &latency{
			current:     newHistogram(),
			previous:    newHistogram(),
			windowStart: time.Now(),
			workers:     make(map[string]Sum),
		}
		g.latencies[service] = l
	}
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

// record adds the latency of an answered attempt.
func (l *latency) record(worker string, o outcome) {
	if !o.relayed || (o.result != balancer.OK && o.result != balancer.Failed) {
		return
	}
	l.rotate(time.Now())
	_ = l.current.RecordValue(int64(min(o.latency, maxLatency) / latencyUnit))
	sum := l.workers[worker]
	sum.Count++
	sum.Total += o.latency
	l.workers[worker] = sum
}

// rotate starts a new window when the current one is over.
func (l *latency) rotate(now time.Time) {
	age := now.Sub(l.windowStart)
	if age < latencyWindow {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if age >= 2*latencyWindow {
		l.previous.Reset()
	}
	l.windowStart = now
}

// p99Latency returns the 99th percentile of a service's recent latencies, and
// zero when there are too few samples.
func (g *Gateway) p99Latency(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.latencies[service]
	if !ok {
		return 0
	}
	l.rotate(time.Now())
	if l.current.TotalCount()+l.previous.TotalCount() < minP99Samples {
		return 0
	}
	p99 := max(l.current.ValueAtQuantile(p99Quantile), l.previous.ValueAtQuantile(p99Quantile))
	return time.Duration(p99) * latencyUnit
}

// report summarizes the latencies of both windows.
func (l *latency) report(now time.Time) Latency {
	l.rotate(now)
	all := newHistogram()
	all.Merge(l.previous)
	all.Merge(l.current)
	r := Latency{
		Window:  uint64(all.TotalCount()),
		Mean:    time.Duration(all.Mean() * float64(latencyUnit)),
		P50:     time.Duration(all.ValueAtQuantile(50)) * latencyUnit,
		P99:     time.Duration(all.ValueAtQuantile(99)) * latencyUnit,
		P999:    time.Duration(all.ValueAtQuantile(99.9)) * latencyUnit,
		Workers: make(map[string]Sum, len(l.workers)),
	}
	for worker, sum := range l.workers {
		r.Workers[worker] = sum
	}
	return r
}

// Report returns the counters and latencies.
func (g *Gateway) Report() Report {
	r := g.counters.report()
	r.Keys = g.keys.len()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.InFlight = len(g.calls)
	r.Waiting = len(g.waiters)
	r.Connections = make(map[string]int, len(g.conduits))
	for address, c := range g.conduits {
		r.Connections[address] = c.Open()
	}
	r.Services = make(map[string]Latency, len(g.latencies))
	for service, l := range g.latencies {
		r.Services[service] = l.report(now)
	}
	return r
}

func (c *counters) report() Report {
	r := Report{
		Answered:   c.answered.Load(),
		Refused:    make(map[fault.Kind]uint64),
		Retries:    c.retries.Load(),
		Unbudgeted: c.unbudgeted.Load(),
		Forwards:   c.forwards.Load(),
		Dropped:    c.dropped.Load(),
		Truncated:  c.truncated.Load(),
		Silent:     c.silent.Load(),
		Probes:     c.probes.Load(),
		Lapsed:     c.lapsed.Load(),
		Abandoned:  c.abandoned.Load(),
		Stalled:    c.stalled.Load(),
	}
	for k := range c.refused {
		if n := c.refused[k].Load(); n > 0 {
			r.Refused[fault.Kind(k)] = n
		}
	}
	return r
}
