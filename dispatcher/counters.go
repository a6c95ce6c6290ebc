package dispatcher

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodladder/dogwoodladder/cell"
)

// Range of the latency histograms, in microseconds: a tenth of a millisecond to a minute.
const (
	minLatencyMicros  = 100
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
)

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *Latency {
	return &Latency{h: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Record counts a duration.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(d.Microseconds(), maxLatencyMicros)) // min keeps it in range, so that it can't fail
}

// Quantiles returns the number of durations, some quantiles and the maximum, in microseconds.
func (l *Latency) Quantiles() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{
		"count": l.h.TotalCount(),
		"p50":   l.h.ValueAtQuantile(50),
		"p90":   l.h.ValueAtQuantile(90),
		"p99":   l.h.ValueAtQuantile(99),
		"max":   l.h.Max(),
	}
}

// Counters are the dispatcher's metrics.
type Counters struct {
	vars            *expvar.Map
	owned           expvar.Int
	starts          expvar.Int
	stops           expvar.Int
	holds           expvar.Int
	holdsUnanswered expvar.Int
	saves           expvar.Int
	savesFailed     expvar.Int
	jobs            expvar.Int
	rejected        expvar.Int

	cancelsUnmatched  expvar.Int // cancellations of jobs that weren't on record
	cancelsRejected   expvar.Int // because too many of these were kept
	aggregatedAppends expvar.Int
	aggregatedRefused expvar.Int // records
	writes            writeCounters
	copies            expvar.Int
	copiesWon         expvar.Int
	copiesLost        expvar.Int
	coreSecondsLost   expvar.Float // by copies and by runs whose copy won
	rejectedFor       *expvar.Map  // jobs rejected by admit, by reason
	listAsOf          atomic.Int64 // AsOf of the newest list of workers, nanoseconds on the dispatcher's clock
	startLatency      *Latency
	saveLatency       *Latency
	acceptLatency     *Latency
}

func newCounters(clock func() time.Duration) *Counters {
	c := &Counters{vars: new(expvar.Map).Init(), rejectedFor: new(expvar.Map).Init(), startLatency: newLatency(), saveLatency: newLatency(), acceptLatency: newLatency()}
	for name, v := range map[string]expvar.Var{
		"owned": &c.owned, "starts": &c.starts, "stops": &c.stops, "holds": &c.holds, "holds_unanswered": &c.holdsUnanswered,
		"saves": &c.saves, "saves_failed": &c.savesFailed, "jobs_accepted": &c.jobs, "jobs_rejected": &c.rejected, "jobs_rejected_for": c.rejectedFor,
		"cancels_unmatched": &c.cancelsUnmatched, "cancels_rejected": &c.cancelsRejected,
		"aggregated_appends": &c.aggregatedAppends, "aggregated_refused": &c.aggregatedRefused,
		"copies_started": &c.copies, "copies_won": &c.copiesWon, "copies_lost": &c.copiesLost, "copies_core_seconds_lost": &c.coreSecondsLost,
		"list_age_ms": expvar.Func(func() any { return c.listAge(clock()).Milliseconds() }),
		"start_us":    quantilesVar(c.startLatency), "save_us": quantilesVar(c.saveLatency), "accept_us": quantilesVar(c.acceptLatency),
	} {
		c.vars.Set(name, v)
	}
	c.writes.publish(c.vars)
	return c
}

// listAge returns the age of the list of workers. It grows on an instance that doesn't
// own the cell, since only the owner reads the list.
func (c *Counters) listAge(now time.Duration) time.Duration {
	return now - time.Duration(c.listAsOf.Load())
}

func quantilesVar(l *Latency) expvar.Func {
	return func() any { return l.Quantiles() }
}

// writeCounters are the metrics of the ways on which records are written.
type writeCounters struct {
	direct     expvar.Int // records that the store acknowledged to this instance first
	handedOver expvar.Int // records that an aggregator acknowledged first
	aggregated expvar.Int // records that this instance wrote as aggregator
	rejected   expvar.Int // records that certainly weren't written
	unknown    expvar.Int // records without an acknowledgement whose outcome is unknown
	diversions expvar.Int // changes to state diverted
}

func (w *writeCounters) publish(vars *expvar.Map) {
	for name, v := range map[string]expvar.Var{
		"records_direct": &w.direct, "records_handed_over": &w.handedOver, "records_aggregated": &w.aggregated,
		"records_rejected": &w.rejected, "records_unknown": &w.unknown, "diversions": &w.diversions,
	} {
		vars.Set(name, v)
	}
}

func (c *Counters) recordHold(err error) {
	c.holds.Add(1)
	if err != nil {
		c.holdsUnanswered.Add(1)
	}
}

func (c *Counters) recordSave(took time.Duration, err error) {
	c.saves.Add(1)
	c.saveLatency.Record(took)
	if err != nil {
		c.savesFailed.Add(1)
	}
}

func (c *Counters) recordAccept(took time.Duration, err error) {
	c.acceptLatency.Record(took)
	if err != nil {
		c.rejected.Add(1)
		return
	}
	c.jobs.Add(1)
}

func (c *Counters) recordStart(a cell.Start) {
	c.starts.Add(1)
	if a.Copy {
		c.copies.Add(1)
	}
}

func (c *Counters) recordCopyEnded(a cell.CopyEnded) {
	c.coreSecondsLost.Add(a.CoreSeconds)
	if a.Won {
		c.copiesWon.Add(1)
	} else {
		c.copiesLost.Add(1)
	}
}

// Vars returns the metrics.
func (d *Dispatcher) Vars() *expvar.Map {
	return d.counters.vars
}
