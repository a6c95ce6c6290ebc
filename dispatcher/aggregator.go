package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/limit"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bounds of an aggregator's writes.
const (
	maxAggregatedAppends = 4    // in flight
	maxAggregatedWaiting = 4096 // records
	// maxAggregatedBytes bounds the size of the records that wait. 4,096 large records would not
	// fit into the memory of a small instance.
	maxAggregatedBytes = 8 * aggregation.MaxBytes
	// aggregatedSamples is the number of appends after which the number in flight is adjusted.
	// A slow store answers few of them in a second.
	aggregatedSamples     = 4
	aggregatedLogInterval = time.Second
	// maxIdleAggregatedLag is the greatest lag of the tail of an idle stream whose reads are
	// answered: the read in flight and the one before it wait for records.
	maxIdleAggregatedLag = 2*aggregatedWait + time.Second
)

// aggregator writes records of other instances to stream catalog.Aggregated. It puts all
// records that have arrived into one append.
//
// While the store rejects its appends or doesn't answer them, it refuses further records, so
// that its callers try another instance at once.
type aggregator struct {
	d       *Dispatcher
	changed chan struct{} // gets a value when a write arrives or an append ends
	outage  outageDetector

	mu             sync.Mutex
	isStopped      bool
	waiting        []*aggregatedWrite
	waitingRecords int
	waitingBytes   int
	inFlight       int // appends
	appendLimit    *limit.Limit
	rejectedAt     time.Time // of the last rejected append, zero before the first
	summary        aggregatedSummary
}

// aggregatedWrite is a call of Write. The aggregator's mutex guards isSent.
type aggregatedWrite struct {
	ctx     context.Context
	records []provider.KeyedRecord
	size    int // bytes
	isSent  bool
	result  chan aggregation.Result // with room for the result
}

// aggregatedSummary is what the aggregator has written since its last log line.
type aggregatedSummary struct {
	records    int
	appends    int
	instances  map[string]bool
	appendTime time.Duration // sum
	inFlight   int           // maximum
}

func newAggregator(d *Dispatcher) *aggregator {
	return &aggregator{d: d, changed: make(chan struct{}, 1), appendLimit: newAppendLimit()}
}

func newAppendLimit() *limit.Limit {
	return limit.New(limit.WithAlgorithm(limit.AIMD), limit.WithMin(1), limit.WithInitial(1), limit.WithMax(maxAggregatedAppends),
		limit.WithSamples(aggregatedSamples))
}

// Aggregator returns the Sink that writes records on behalf of other instances. It refuses all
// records without the option WithAggregator.
func (d *Dispatcher) Aggregator() aggregation.Sink {
	return d.aggregator
}

// Write implements aggregation.Sink.
func (a *aggregator) Write(ctx context.Context, records []provider.KeyedRecord) aggregation.Result {
	w := &aggregatedWrite{ctx: ctx, records: records, size: aggregation.Size(records), result: make(chan aggregation.Result, 1)}
	if reason := a.enqueue(w); reason != "" {
		a.d.counters.aggregatedRefused.Add(int64(len(records)))
		a.d.logger.Debug("records refused", zap.String("reason", reason), zap.String("from", aggregation.Caller(ctx)))
		return aggregation.Result{Outcome: aggregation.NotWritten}
	}
	select {
	case r := <-w.result:
		return r
	case <-ctx.Done():
		return a.abandon(w)
	}
}

// enqueue adds a write to those that wait. Otherwise it returns the reason of its refusal.
func (a *aggregator) enqueue(w *aggregatedWrite) (refusal string) {
	if err := aggregation.Check(w.records); err != nil {
		return err.Error()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.d.isAggregator || a.isStopped || a.d.isLeaving():
		return "not an aggregator"
	case a.isRejected():
		return "the store rejects writes"
	case a.outage.duration() > 0:
		return "the store doesn't answer writes"
	case a.waitingRecords+len(w.records) > maxAggregatedWaiting || a.waitingBytes+w.size > maxAggregatedBytes:
		return "too many records wait"
	}
	a.waiting = append(a.waiting, w)
	a.waitingRecords += len(w.records)
	a.waitingBytes += w.size
	a.notify()
	return ""
}

// isRejected reports whether the store rejected an append within the last rejectionPause.
func (a *aggregator) isRejected() bool {
	return !a.rejectedAt.IsZero() && time.Since(a.rejectedAt) < rejectionPause
}

// notify wakes run up.
func (a *aggregator) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// abandon ends a write whose caller's time is over. Unless it was sent, it never will be.
func (a *aggregator) abandon(w *aggregatedWrite) aggregation.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.result:
		return r
	default:
	}
	if w.isSent {
		return aggregation.Result{Outcome: aggregation.Unknown}
	}
	if i := slices.Index(a.waiting, w); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
		a.waitingRecords -= len(w.records)
		a.waitingBytes -= w.size
	}
	return aggregation.Result{Outcome: aggregation.NotWritten}
}

// run writes until ctx is done.
func (a *aggregator) run(ctx context.Context) error {
	var logDue <-chan time.Time
	for {
		for batch := a.nextBatch(); len(batch) > 0; batch = a.nextBatch() {
			a.d.tomb.Go(func() error {
				a.append(ctx, batch)
				return nil
			})
		}
		if logDue == nil && a.hasWritten() {
			logDue = time.After(aggregatedLogInterval)
		}
		select {
		case <-ctx.Done():
			a.stop()
			return nil
		case <-a.changed:
		case <-logDue:
			logDue = nil
			a.logSummary()
		}
	}
}

// nextBatch takes the waiting writes for the next append, none if no append may begin.
func (a *aggregator) nextBatch() []*aggregatedWrite {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight >= a.appendLimit.Value() {
		return nil
	}
	var batch []*aggregatedWrite
	records, size := 0, 0
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		if !isOver(w.ctx) {
			records += len(w.records)
			size += w.size
			if records > aggregation.MaxRecords || size > aggregation.MaxBytes {
				break
			}
			w.isSent = true
			batch = append(batch, w)
		}
		a.waiting = a.waiting[1:]
		a.waitingRecords -= len(w.records)
		a.waitingBytes -= w.size
	}
	if len(batch) > 0 {
		a.inFlight++
	}
	return batch
}

// isOver reports whether the time of a call is over. After a process was stopped and resumed,
// the context's timer may not have fired yet.
func isOver(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// append writes a batch and sends the result to the callers.
func (a *aggregator) append(ctx context.Context, batch []*aggregatedWrite) {
	var records []provider.KeyedRecord
	for _, w := range batch {
		records = append(records, w.records...)
	}
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	number := a.outage.beginWrite()
	startedAt := time.Now()
	err := a.d.platform.Store.Append(ctx, catalog.Aggregated, nil, records)
	took := time.Since(startedAt)
	a.outage.endWrite(number, !fault.Is(err, fault.MayHaveRun))
	result := aggregation.Result{Outcome: outcomeOf(err)}
	if result.Outcome == aggregation.Written {
		result.AppendTime = took
		a.applyRecords(records)
		a.d.counters.writes.aggregated.Add(int64(len(records)))
	}
	a.d.counters.aggregatedAppends.Add(1)
	a.finish(batch, len(records), took, result.Outcome)
	for _, w := range batch {
		w.result <- result
	}
	a.notify()
}

// outcomeOf returns the outcome of an append.
func outcomeOf(err error) aggregation.Outcome {
	switch {
	case err == nil:
		return aggregation.Written
	case fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded):
		return aggregation.NotWritten
	}
	return aggregation.Unknown
}

// applyRecords applies records that were just written to the catalog, so that this instance
// knows them before its next read. An instance that doesn't follow the streams keeps nothing.
func (a *aggregator) applyRecords(records []provider.KeyedRecord) {
	if !a.d.standbys.isCurrent() {
		return
	}
	for _, r := range records {
		if err := a.d.catalog.Written(catalog.Aggregated, r); err != nil {
			a.d.logger.Warn("record not understood", zap.String("stream", catalog.Aggregated), zap.String("key", r.Key), zap.Error(err))
		}
	}
	a.d.notifyUpdate()
}

// finish adjusts the number of appends in flight to an append that has ended. After a rejection
// only one append may be in flight, and the writes that wait are refused. The time of a rejected
// append isn't observed: rejections are quick and would raise the limit.
func (a *aggregator) finish(batch []*aggregatedWrite, records int, took time.Duration, outcome aggregation.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inFlight := a.inFlight
	if len(a.waiting) == 0 {
		inFlight-- // no write waits for the limit to grow
	}
	a.summary.inFlight = max(a.summary.inFlight, a.inFlight)
	a.inFlight--
	a.summary.appends++
	a.summary.appendTime += took
	if outcome != aggregation.NotWritten {
		a.appendLimit.Observe(time.Now(), inFlight, took, outcome == aggregation.Written)
	}
	switch outcome {
	case aggregation.NotWritten:
		a.appendLimit = newAppendLimit()
		a.rejectedAt = time.Now()
		a.refuseWaiting()
	case aggregation.Written:
		a.summary.records += records
		if a.summary.instances == nil {
			a.summary.instances = make(map[string]bool)
		}
		for _, w := range batch {
			a.summary.instances[aggregation.Caller(w.ctx)] = true
		}
	}
}

// refuseWaiting refuses all writes that wait. The caller holds the mutex.
func (a *aggregator) refuseWaiting() {
	a.d.counters.aggregatedRefused.Add(int64(a.waitingRecords))
	for _, w := range a.waiting {
		w.result <- aggregation.Result{Outcome: aggregation.NotWritten}
	}
	a.waiting = nil
	a.waitingRecords = 0
	a.waitingBytes = 0
}

// stop refuses all further writes.
func (a *aggregator) stop() {
	a.logSummary()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isStopped = true
	a.refuseWaiting()
}

func (a *aggregator) hasWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.summary.appends > 0
}

// logSummary logs what was written since the last call.
func (a *aggregator) logSummary() {
	a.mu.Lock()
	s := a.summary
	a.summary = aggregatedSummary{}
	a.mu.Unlock()
	if s.appends == 0 {
		return
	}
	a.d.logger.Info("aggregated", zap.Int("records", s.records), zap.Int("appends", s.appends), zap.Int("instances", len(s.instances)),
		zap.Duration("append_time", s.appendTime/time.Duration(s.appends)), zap.Int("in_flight", s.inFlight))
}

// possiblyAggregated returns those of the jobs that stream catalog.Aggregated may have: all if
// it wasn't read recently.
func (d *Dispatcher) possiblyAggregated(ids []string) []string {
	switch {
	case !d.followsAggregated:
		return nil
	case d.accepts.aggregated.Lag() > maxIdleAggregatedLag:
		return ids
	}
	var aggregated []string
	for _, id := range ids {
		if d.catalog.IsAggregated(id) {
			aggregated = append(aggregated, id)
		}
	}
	return aggregated
}
