package dispatcher

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

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
	return w.path.Next(w.d.clock(), w.d.intake.outage.duration() > 0), w.path.HedgeDelay()
}

// appended reports the end of a direct append to the path. One without an answer was reported
// as overdue.
func (w *recordWriter) appended(took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.handover == nil || fault.Is(err, fault.MayHaveRun):
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

// write writes one record. After an error of kind fault.Unavailable or fault.Overloaded the
// record is certain not to be written, also not later.
func (w *recordWriter) write(ctx context.Context, record provider.KeyedRecord) error {
	var err error
	if w.handover == nil || len(w.handover.candidates()) == 0 {
		err = w.d.intake.write(ctx, record)
		w.count(&w.d.counters.writes.direct, err)
		return err
	}
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	r := &request{w: w, record: record, acked: make(chan *pendingWrite, 1)}
	e, err := r.run(ctx)
	written := &w.d.counters.writes.direct
	if e != nil && e.handedOver {
		written = &w.d.counters.writes.handedOver
	}
	w.count(written, err)
	return err
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
	direct *pendingWrite   // direct write that hasn't ended; nil without one
	last   error           // of a write that failed
}

// run writes the record. It repeats that until the record is acknowledged, the deadline of ctx
// is near, or the record is certain not to be written and neither way works. It returns the
// write that was acknowledged.
func (r *request) run(ctx context.Context) (*pendingWrite, error) {
	defer r.withdraw()
	for round := 1; ctx.Err() == nil; round++ {
		way, hedgeDelay := r.w.next()
		if way == writepath.Reject && r.withdraw() {
			return nil, r.rejection()
		}
		// A record whose outcome is unknown is written again even while others are
		// rejected, but not beside a direct append without an answer.
		if way != writepath.Reject || r.direct == nil {
			if e := r.race(ctx, way, hedgeDelay); e != nil {
				return e, nil
			}
		}
		if round >= maxIntakeRejections && r.withdraw() {
			return nil, r.rejection()
		}
		select {
		case e := <-r.acked:
			return e, nil
		case err := <-r.directDone():
			if err == nil {
				return r.direct, nil
			}
			r.direct, r.last = nil, err
		case <-time.After(intakeRetryInterval):
		case <-ctx.Done():
		}
	}
	if r.withdraw() {
		return nil, r.rejection()
	}
	return nil, fault.Wrap(fault.MayHaveRun, cmp.Or(r.last, ctx.Err()), "outcome of the write unknown")
}

// rejection returns the error for a record that is certain not to be written.
func (r *request) rejection() error {
	after := retryAfter(r.w.d.intake.outage.duration())
	if r.last == nil {
		return fault.New(fault.Unavailable, "neither the store nor an aggregator writes").After(after)
	}
	return fault.Wrap(fault.Unavailable, r.last, "not written").After(after)
}

// withdraw withdraws the writes that haven't been sent, and reports whether the record is
// certain not to be written by the others.
func (r *request) withdraw() (certain bool) {
	certain = true
	for _, e := range r.writes {
		certain = e.isCertain() && certain
	}
	return certain
}

// directDone returns the channel with the result of the direct write, nil without one.
func (r *request) directDone() <-chan error {
	if r.direct == nil {
		return nil
	}
	return r.direct.done
}

// begin adds a write of the record to a batch. It returns nil if too many records wait there.
func (r *request) begin(b *batcher) *pendingWrite {
	e := newPendingWrite(r.record)
	e.acked = r.acked
	e.handedOver = b == r.w.handover.batches
	if !b.add(e) {
		r.last = fault.New(fault.Overloaded, "%d requests wait to be written already", maxPendingWrites)
		return nil
	}
	r.writes = append(r.writes, e)
	return e
}

// race writes the record by the given way, and by the other one as well when the first fails or
// doesn't answer in time. It returns the write that was acknowledged, or nil once both ways have
// failed or are late. A late write goes on and may be acknowledged in a later round.
func (r *request) race(ctx context.Context, way writepath.Way, hedgeDelay time.Duration) *pendingWrite {
	t := round{request: r, hedgeDelay: hedgeDelay}
	if way == writepath.HandOver || r.direct != nil {
		t.handOver()
	} else {
		t.writeDirectly()
	}
	for t.hedge != nil || t.handed != nil {
		e, ended := t.await(ctx)
		if e != nil || ended {
			return e
		}
		switch {
		case !t.triedHandover:
			t.handOver()
		case t.handed == nil && r.direct == nil && !t.triedDirect:
			t.writeDirectly()
		}
	}
	return nil
}

// round is one round of a request.
type round struct {
	*request
	hedgeDelay    time.Duration
	hedge         <-chan time.Time // while the direct write isn't late; nil otherwise
	handed        *pendingWrite    // write by an aggregator that is neither over nor late; nil without one
	triedDirect   bool
	triedHandover bool
}

func (t *round) writeDirectly() {
	t.triedDirect = true
	t.direct = t.begin(t.w.d.intake.batches)
	if t.direct != nil {
		t.hedge = time.After(t.hedgeDelay)
	}
}

func (t *round) handOver() {
	t.triedHandover = true
	t.handed = t.begin(t.w.handover.batches)
}

// await waits until a write ends or is late. It returns the write that was acknowledged, and
// true if the request has ended.
func (t *round) await(ctx context.Context) (acknowledged *pendingWrite, ended bool) {
	var handedDone <-chan error
	if t.handed != nil {
		handedDone = t.handed.done
	}
	select {
	case e := <-t.acked:
		return e, true
	case err := <-t.directDone():
		if err == nil {
			return t.direct, true
		}
		t.direct, t.hedge, t.last = nil, nil, err
	case <-t.hedge:
		t.hedge = nil
		t.w.overdue()
		if !t.triedHandover && t.direct.withdraw() {
			t.direct, t.triedDirect = nil, false // it waited for an earlier append
		}
	case err := <-handedDone:
		if err == nil {
			return t.handed, true
		}
		t.handed, t.last = nil, err
	case <-ctx.Done():
		return nil, true
	}
	return nil, false
}
