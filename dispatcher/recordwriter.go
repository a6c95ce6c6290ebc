package dispatcher

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/writepath"
)

// recordWriter writes records directly, through aggregators or by both ways.
type recordWriter struct {
	d        *Dispatcher
	handover *handover // nil without aggregation

	mu   sync.Mutex
	path *writepath.Path // guarded by mu
}

// WithAggregation lets the instance hand records over to aggregators while the store is slow or
// rejects its writes. It has an effect only together with WithPeers.
func WithAggregation(client AggregationClient) Option {
	return func(d *Dispatcher) { d.recordWriter.handover = newHandover(d, client) }
}

// init completes the construction once the options are applied.
func (w *recordWriter) init() {
	w.path = writepath.New(rand.Float64, writepath.WithChanges(w.logChange))
	if w.handover != nil {
		w.handover.written, w.handover.failed = w.handedOver, w.handoverFailed
	}
}

func (w *recordWriter) run(ctx context.Context) {
	if w.handover != nil {
		w.d.tomb.Go(func() error { return w.handover.batches.run(ctx) })
	}
}

func (w *recordWriter) logChange(c writepath.Change) {
	if c.State == writepath.Diverted {
		w.d.counters.writes.diversions.Add(1)
	}
	w.d.logger.Info("write path", zap.Stringer("state", c.State), zap.Stringer("reason", c.Reason), zap.Duration("append_time", c.AppendTime))
}

// next returns how the next record is written, and the hedge delay.
func (w *recordWriter) next() (writepath.Way, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	silence := writepath.Silence{Store: w.d.intake.outage.duration() > 0, Aggregators: w.handover.outage.duration() > 0}
	return w.path.Next(w.d.clock(), silence), w.path.HedgeDelay()
}

// appended reports the end of a direct append to the path. One that had no answer within the hedge
// delay was reported as overdue then, and tells nothing about the store now.
func (w *recordWriter) appended(took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.handover == nil:
	case fault.Is(err, fault.MayHaveRun):
		if took < w.path.HedgeDelay() { // the connection broke
			w.path.Overdue(w.d.clock())
		}
	case err != nil:
		w.path.Rejected(w.d.clock())
	default:
		w.path.Appended(w.d.clock(), took)
	}
}

func (w *recordWriter) overdue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.path.Overdue(w.d.clock())
}

func (w *recordWriter) handedOver(appendTime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.path.HandedOver(w.d.clock(), appendTime)
}

func (w *recordWriter) handoverFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.path.HandoverFailed(w.d.clock())
}

// write writes one record and returns the stream that has it. After an error of kind
// fault.Unavailable or fault.Overloaded the record is certain not to be written, also not later.
func (w *recordWriter) write(ctx context.Context, record provider.KeyedRecord) (stream string, err error) {
	if w.handover == nil || !w.handover.takes(record) {
		err = w.d.intake.write(ctx, record)
		w.count(&w.d.counters.writes.direct, err)
		return catalog.Accepts, err
	}
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	r := &request{w: w, record: record, acked: make(chan *pendingWrite, 1)}
	e, err := r.run(ctx)
	if e != nil && e.handedOver {
		w.count(&w.d.counters.writes.handedOver, err)
		return catalog.Aggregated, err
	}
	w.count(&w.d.counters.writes.direct, err)
	return catalog.Accepts, err
}

func (w *recordWriter) count(written *expvar.Int, err error) {
	switch {
	case err == nil:
		written.Add(1)
	case fault.Is(err, fault.MayHaveRun):
		w.d.counters.writes.unknown.Add(1)
	default:
		w.d.counters.writes.rejected.Add(1)
	}
}

// request is a record that is written by one way or both, repeatedly if necessary.
type request struct {
	w      *recordWriter
	record provider.KeyedRecord
	acked  chan *pendingWrite
	writes []*pendingWrite // all writes that were begun
	// direct and handed are the writes of each way that haven't ended, nil without one. A way
	// isn't begun again before that.
	direct, handed *pendingWrite
	hedge          <-chan time.Time // until direct is late; nil then, or without it
	handedIsLate   bool
	last           error // of a write that failed
}

// run writes the record. It repeats that until the record is acknowledged, the deadline of ctx
// is near, or the record is certain not to be written and neither way works. It returns the
// write that was acknowledged.
func (r *request) run(ctx context.Context) (*pendingWrite, error) {
	defer r.withdrawWaiting()
	for round := 1; ctx.Err() == nil; round++ {
		way, hedgeDelay := r.w.next()
		if way == writepath.Reject && r.withdraw() {
			return nil, r.rejection()
		}
		// A record whose outcome is unknown is written again although others are rejected,
		// but not while an older write of it may still be answered.
		if way != writepath.Reject || r.direct == nil && r.handed == nil {
			if e := r.race(ctx, way, hedgeDelay); e != nil {
				return e, nil
			}
		}
		if round >= maxIntakeRejections && r.withdraw() {
			return nil, r.rejection()
		}
		if e := r.await(ctx, time.After(intakeRetryInterval)); e != nil {
			return e, nil
		}
	}
	if r.withdraw() {
		return nil, r.rejection()
	}
	return nil, fault.Wrap(fault.MayHaveRun, cmp.Or(r.last, ctx.Err()), "outcome of the write unknown")
}

// rejection returns the error for a record that is certain not to be written.
func (r *request) rejection() error {
	silence := r.w.d.intake.outage.duration()
	after := retryAfter(silence)
	if r.last != nil {
		return fault.Wrap(fault.Unavailable, r.last, "not written").After(after)
	}
	err := fault.New(fault.Unavailable, "neither the store nor an aggregator writes").After(after)
	if silence > 0 || len(r.writes) > 0 { // the writes waited for earlier ones in vain
		err = err.Because(fault.StoreSilent)
	}
	return err
}

// withdraw reports whether the record is certain not to be written, and withdraws the writes that
// haven't been sent for that. It leaves them in their queues if another write may be on record:
// the request goes on then, and needs each of them.
func (r *request) withdraw() (certain bool) {
	for _, e := range r.writes {
		if e.state.Load() == writeSent {
			return false
		}
	}
	return r.withdrawWaiting()
}

// withdrawWaiting withdraws the writes that haven't been sent. It reports whether the record is
// certain not to be written by the others.
func (r *request) withdrawWaiting() (certain bool) {
	certain = true
	for _, e := range r.writes {
		certain = e.isCertain() && certain
	}
	// A withdrawn write gets no result. Its way can be begun again.
	if r.direct != nil && r.direct.isWithdrawn() {
		r.direct, r.hedge = nil, nil
	}
	if r.handed != nil && r.handed.isWithdrawn() {
		r.handed = nil
	}
	return certain
}

// begin adds a write of the record to a batch. It returns nil if too many records wait there.
func (r *request) begin(b *batcher) *pendingWrite {
	e := newPendingWrite(r.record)
	e.acked = r.acked
	e.handedOver = b == r.w.handover.batches
	if !b.add(e) {
		r.last = fault.New(fault.Overloaded, "%d requests wait to be written already", maxPendingWrites).Because(fault.Overload)
		return nil
	}
	r.writes = append(r.writes, e)
	return e
}

func (r *request) writeDirectly(hedgeDelay time.Duration) {
	r.direct = r.begin(r.w.d.intake.batches)
	if r.direct != nil {
		r.hedge = time.After(hedgeDelay)
	}
}

func (r *request) handOver() {
	r.handed = r.begin(r.w.handover.batches)
	r.handedIsLate = false
}

// race writes the record by the given way, and by the other one as well when the first fails or
// doesn't answer in time. It returns the write that was acknowledged, or nil once both ways have
// failed or are late. Late writes go on.
func (r *request) race(ctx context.Context, way writepath.Way, hedgeDelay time.Duration) *pendingWrite {
	triesDirect, triesHandover := r.direct != nil, r.handed != nil
	if !triesHandover && (way == writepath.HandOver || triesDirect) {
		triesHandover = true
		r.handOver()
	} else if !triesDirect {
		triesDirect = true
		r.writeDirectly(hedgeDelay)
	}
	for ctx.Err() == nil && (r.hedge != nil || r.handed != nil && !r.handedIsLate) {
		if e := r.await(ctx, nil); e != nil {
			return e
		}
		switch {
		case ctx.Err() != nil:
		case !triesHandover:
			triesHandover = true
			if r.direct != nil && r.direct.withdraw() { // it waits for an earlier append
				r.direct, triesDirect = nil, false
			}
			r.handOver()
		case !triesDirect && (r.handed == nil || r.handedIsLate):
			triesDirect = true
			r.writeDirectly(hedgeDelay)
		}
	}
	return nil
}

// await waits until a write ends or is late, or a timer fires. It returns the write that was
// acknowledged.
func (r *request) await(ctx context.Context, timer <-chan time.Time) (acknowledged *pendingWrite) {
	// Nil channels leave out the ways that aren't in use.
	var directDone, handedDone <-chan error
	if r.direct != nil {
		directDone = r.direct.done
	}
	if r.handed != nil {
		handedDone = r.handed.done
	}
	select {
	case e := <-r.acked:
		return e
	case err := <-directDone:
		if err == nil {
			return r.direct
		}
		r.direct, r.hedge, r.last = nil, nil, err
	case <-r.hedge:
		r.hedge = nil
		r.w.overdue()
	case err := <-handedDone:
		if err == nil {
			return r.handed
		}
		r.last = err
		if err == errLate {
			r.handedIsLate = true
		} else {
			r.handed = nil
		}
	case <-timer:
	case <-ctx.Done():
	}
	return nil
}
