package dispatcher

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Latencies are counted from a tenth of a millisecond to a minute.
const (
	leastLatency  = 100
	longestMicros = 60_000_000
	digits        = 2
)

// Latency is a histogram of durations. It may be used by several goroutines.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *Latency {
	return &Latency{h: hdrhistogram.New(leastLatency, longestMicros, digits)}
}

// Record counts a duration.
func (l *Latency) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(d.Microseconds(), longestMicros)) // in range by min
}

// Quantiles returns the count and some quantiles, in microseconds.
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
	vars       *expvar.Map
	owned      expvar.Int
	starts     expvar.Int
	stops      expvar.Int
	holds      expvar.Int
	holdsLost  expvar.Int
	saves      expvar.Int
	savesLost  expvar.Int
	jobs       expvar.Int
	rejected   expvar.Int
	listed     atomic.Int64 // as of when the list of workers is known, on the dispatcher's clock
	startTime  *Latency
	saveTime   *Latency
	acceptTime *Latency
}

func newCounters(clock func() time.Duration) *Counters {
	c := &Counters{vars: new(expvar.Map).Init(), startTime: newLatency(), saveTime: newLatency(), acceptTime: newLatency()}
	for name, v := range map[string]expvar.Var{
		"owned": &c.owned, "starts": &c.starts, "stops": &c.stops, "holds": &c.holds, "holds_unanswered": &c.holdsLost,
		"saves": &c.saves, "saves_failed": &c.savesLost, "jobs_accepted": &c.jobs, "jobs_rejected": &c.rejected,
		"list_age_ms": expvar.Func(func() any { return c.listAge(clock()).Milliseconds() }),
		"start_us":    quantiles(c.startTime), "save_us": quantiles(c.saveTime), "accept_us": quantiles(c.acceptTime),
	} {
		c.vars.Set(name, v)
	}
	return c
}

// listAge returns how old the list of workers is, of which an instance that
// doesn't own the cell reads none.
func (c *Counters) listAge(now time.Duration) time.Duration {
	return now - time.Duration(c.listed.Load())
}

func quantiles(l *Latency) expvar.Func {
	return func() any { return l.Quantiles() }
}

func (c *Counters) held(err error) {
	c.holds.Add(1)
	if err != nil {
		c.holdsLost.Add(1)
	}
}

func (c *Counters) saved(took time.Duration, err error) {
	c.saves.Add(1)
	c.saveTime.Record(took)
	if err != nil {
		c.savesLost.Add(1)
	}
}

func (c *Counters) accepted(took time.Duration, err error) {
	c.acceptTime.Record(took)
	if err != nil {
		c.rejected.Add(1)
		return
	}
	c.jobs.Add(1)
}

// Vars returns the metrics.
func (d *Dispatcher) Vars() *expvar.Map {
	return d.counters.vars
}

// reporter logs that a dependency gives no answer, a line in reportEvery, and
// that it answers again.
type reporter struct {
	logger     *zap.Logger
	dependency string
	part       string

	mu    sync.Mutex
	since time.Time // of the first failure after an answer, zero if there is none
	last  time.Time // line
}

func (r *reporter) failed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.since.IsZero() {
		r.since = now
	}
	if now.Sub(r.last) < reportEvery {
		return
	}
	r.last = now
	r.logger.Warn("no answer", zap.String("from", r.dependency), zap.String("part", r.part),
		zap.Stringer("kind", fault.KindOf(err)), zap.Error(err))
}

func (r *reporter) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		return
	}
	r.logger.Info("answers again", zap.String("from", r.dependency), zap.String("part", r.part),
		zap.Duration("after", time.Since(r.since)))
	r.since = time.Time{}
}

// reportEvery bounds the lines about a dependency that stays away.
const reportEvery = time.Second
