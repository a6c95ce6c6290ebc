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
	latencyUnit    = 10 * time.Microsecond
	latencyMax     = 10 * time.Minute
	latencyFigures = 1
	latencyWindow  = 10 * time.Second

	usualSamples  = 50
	usualQuantile = 99
)

// Report holds counters since the start, and the latencies of late.
type Report struct {
	Answered    uint64 // whole answers passed
	Refused     map[fault.Kind]uint64
	Retries     uint64
	Unbudgeted  uint64 // retries that the budget refused
	Forwards    uint64
	Dropped     uint64 // answers that belonged to another request, or to none
	Truncated   uint64 // answers that ended early
	Silent      uint64 // connections given up as silent
	Probes      uint64
	Lapsed      uint64 // attempts stopped by a lapsed lease
	Abandoned   uint64 // callers that went away
	InFlight    int
	Waiting     int
	Keys        int
	Connections map[string]int // open ones by address
	Services    map[string]Latency
}

// Latency is what the answers to one service took, from the attempt's start
// to the first bytes (to the last for a short answer).
type Latency struct {
	Window  uint64 // answers in the last one to two windows of ten seconds
	Mean    time.Duration
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	Workers map[string]Sum // since the start
}

// Sum adds up latencies.
type Sum struct {
	Count uint64
	Total time.Duration
}

// counts are the counters of a Report.
type counts struct {
	answered, retries, unbudgeted, forwards atomic.Uint64
	dropped, truncated, silent, probes      atomic.Uint64
	lapsed, abandoned                       atomic.Uint64
	refused                                 [fault.TooLarge + 1]atomic.Uint64
}

func (c *counts) refuse(k fault.Kind) {
	if k < 0 || int(k) >= len(c.refused) {
		k = fault.Internal
	}
	c.refused[k].Add(1)
}

// latency collects the latencies of one service in two windows that take turns.
type latency struct {
	now, before *hdrhistogram.Histogram
	since       time.Time // when now began
	workers     map[string]Sum
}

// latencyOf returns the latencies of a service; g.mu is held.
func (g *Gateway) latencyOf(service string) *latency {
	l, ok := g.latencies[service]
	if !ok {
		l = &latency{
			now:     newHistogram(),
			before:  newHistogram(),
			since:   time.Now(),
			workers: make(map[string]Sum),
		}
		g.latencies[service] = l
	}
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyFigures)
}

// add notes an attempt that was answered.
func (l *latency) add(worker string, o outcome) {
	if !o.done || (o.result != balancer.OK && o.result != balancer.Failed) {
		return
	}
	l.turn(time.Now())
	_ = l.now.RecordValue(int64(min(o.latency, latencyMax) / latencyUnit))
	sum := l.workers[worker]
	sum.Count++
	sum.Total += o.latency
	l.workers[worker] = sum
}

// turn starts a new window when the present one is over.
func (l *latency) turn(now time.Time) {
	age := now.Sub(l.since)
	if age < latencyWindow {
		return
	}
	l.now, l.before = l.before, l.now
	l.now.Reset()
	if age >= 2*latencyWindow {
		l.before.Reset()
	}
	l.since = now
}

// usualLatency returns the latency that few answers of a service exceed, and
// zero when too few are known.
func (g *Gateway) usualLatency(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.latencies[service]
	if !ok {
		return 0
	}
	l.turn(time.Now())
	if l.now.TotalCount()+l.before.TotalCount() < usualSamples {
		return 0
	}
	slow := max(l.now.ValueAtQuantile(usualQuantile), l.before.ValueAtQuantile(usualQuantile))
	return time.Duration(slow) * latencyUnit
}

// report returns a copy of the latencies.
func (l *latency) report(now time.Time) Latency {
	l.turn(now)
	all := newHistogram()
	all.Merge(l.before)
	all.Merge(l.now)
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
	r := g.counts.report()
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

func (c *counts) report() Report {
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
	}
	for k := range c.refused {
		if n := c.refused[k].Load(); n > 0 {
			r.Refused[fault.Kind(k)] = n
		}
	}
	return r
}
