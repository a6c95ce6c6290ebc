package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/inquiry"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bounds of the intake.
const (
	concurrentWriteDelay = 400 * time.Millisecond // time without a finished write after which a concurrent one may begin
	maxIntakeWrites      = 3                      // maximum number of concurrent writes
	intakeTimeout        = 1800 * time.Millisecond
	intakeRetryInterval  = 50 * time.Millisecond
	maxIntakeRejections  = 2                      // rejections after which the request fails, so that its caller can try another instance
	rejectionPause       = 300 * time.Millisecond // after such a failure new requests are rejected for this time
	maxAnswerReserve     = 250 * time.Millisecond // maximum part of a request's time that is reserved for its answer
)

// intake writes the records of submitted and cancelled jobs to the store, in batches.
type intake struct {
	d              *Dispatcher
	batches        *batcher
	startedAt      time.Time
	lastRejectedAt atomic.Int64 // time of the last request that failed by rejections, nanoseconds since startedAt
	outage         outageDetector
}

func newIntake(d *Dispatcher) *intake {
	i := &intake{d: d, startedAt: time.Now()}
	i.batches = newBatcher(d, maxIntakeWrites, concurrentWriteDelay, i.writeBatch)
	return i
}

func (i *intake) writeBatch(ctx context.Context, batch []*pendingWrite) {
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	number := i.outage.beginWrite()
	startedAt := time.Now()
	err := i.d.platform.Store.Append(ctx, catalog.Accepts, nil, recordsOf(batch))
	i.outage.endWrite(number, !fault.Is(err, fault.MayHaveRun))
	i.d.recordWriter.appended(time.Since(startedAt), err)
	for _, e := range batch {
		e.finish(err)
	}
}

// write writes one record. It retries until the record is stored, the deadline of ctx
// is near, or the store has rejected it maxIntakeRejections times. Writes are idempotent.
// A record that the store only ever rejected fails before the caller's deadline, as
// another instance may reach the store.
func (i *intake) write(ctx context.Context, record provider.KeyedRecord) error {
	ctx, cancel := withAnswerReserve(ctx)
	defer cancel()
	if i.storeRejects() {
		return fault.New(fault.Unavailable, "the store rejects writes").After(rejectedRetryAfter)
	}
	if d := i.outage.duration(); d > 0 {
		return fault.New(fault.Unavailable, "the store hasn't answered writes for %v", d.Round(time.Millisecond)).After(retryAfter(d)).Because(fault.StoreSilent)
	}
	ambiguous := false
	rejections := 0
	var last error
	for ctx.Err() == nil {
		last = i.tryWrite(ctx, record)
		if last == nil {
			return nil
		}
		if fault.Is(last, fault.MayHaveRun) {
			ambiguous = true
		} else {
			rejections++
		}
		if rejections >= maxIntakeRejections && !ambiguous {
			i.lastRejectedAt.Store(int64(time.Since(i.startedAt)))
			break
		}
		wait(ctx, intakeRetryInterval)
	}
	if ambiguous {
		return fault.Wrap(fault.MayHaveRun, last, "outcome of the write unknown")
	}
	return fault.Wrap(fault.Unavailable, last, "not written").After(rejectedRetryAfter)
}

// rejectedRetryAfter is the Retry-After for a request whose record the store rejected. Most
// outages are over by then, or callers have moved to other instances.
const rejectedRetryAfter = time.Second

// storeRejects reports whether the store rejected writes within the last rejectionPause.
func (i *intake) storeRejects() bool {
	at := i.lastRejectedAt.Load()
	return at > 0 && time.Since(i.startedAt)-time.Duration(at) < rejectionPause
}

// tryWrite enqueues a record for one write and waits for its result.
func (i *intake) tryWrite(ctx context.Context, record provider.KeyedRecord) error {
	e := newPendingWrite(record)
	if !i.batches.add(e) {
		return fault.New(fault.Overloaded, "%d requests wait to be written already", maxPendingWrites).Because(fault.Overload)
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		if e.withdraw() {
			return fault.Wrap(fault.Unavailable, ctx.Err(), "not sent to the store, waiting for earlier writes").Because(fault.StoreSilent)
		}
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write not answered by the store")
	}
}

// withAnswerReserve returns a context that ends before its parent's deadline, so that time
// is left for the answer: a quarter of the remaining time, at most maxAnswerReserve.
func withAnswerReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	reserve := min(maxAnswerReserve, time.Until(deadline)/4)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Submit writes a job to the store. It is idempotent, also across instances. After an
// error of kind fault.Unavailable or fault.Overloaded the job will never run; after one
// of kind fault.MayHaveRun it may.
func (d *Dispatcher) Submit(ctx context.Context, j *job.Job) error {
	if _, known := d.catalog.State(j.ID); known && d.standbys.isCurrent() {
		return nil
	}
	record, err := catalog.AcceptRecord(j)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	var stream string
	err = d.admit(ctx, j)
	if err == nil {
		stream, err = d.recordWriter.write(ctx, record)
	}
	d.counters.recordAccept(time.Since(startedAt), err)
	d.logger.Info("accept", append(outcomeFields(err), zap.String("job", j.ID), zap.String("queue", j.Queue), zap.Duration("took", time.Since(startedAt)), zap.Error(err))...)
	if err != nil {
		return err
	}
	return d.applyRecord(stream, record)
}

// admit sheds load by rejecting the jobs that reject tells. A job that is on record already
// is never rejected, since its caller may have lost the first answer; nor is a scheduled
// job, as it doesn't start now.
func (d *Dispatcher) admit(ctx context.Context, j *job.Job) error {
	r := d.reject(j)
	if r.cause == admitted {
		return nil
	}
	_, err := d.State(ctx, j.ID)
	if err != nil && !fault.Is(err, fault.NotFound) {
		d.logger.Debug("looking up a repeated job failed", zap.String("job", j.ID), zap.Error(err))
	}
	if !fault.Is(err, fault.NotFound) {
		return nil
	}
	d.counters.rejectedFor.Add(r.cause.String(), 1)
	return fault.New(fault.Overloaded, "%s", r.reason).After(r.retryAfter).Because(r.cause.reason())
}

// backlog returns the owner's backlog of starts and its full pools. It is nil if the
// owner keeps up and has free capacity, or if the last read of its records is too old.
func (d *Dispatcher) backlog() *overload.Backlog {
	if !d.standbys.isCurrent() {
		return d.standbys.backlogOfRoster()
	}
	if d.progress.Age() > maxBacklogAge {
		return nil
	}
	return d.catalog.Backlog()
}

// maxBacklogAge is the maximum age of the last read for which the owner's backlog still
// leads to rejections. It is above the interval between two reads.
const maxBacklogAge = time.Second

// applyRecord applies a record that was just written to a stream to the catalog, so that this instance
// knows it before its next read. An instance that doesn't follow the stream keeps nothing.
func (d *Dispatcher) applyRecord(stream string, r provider.KeyedRecord) error {
	if !d.standbys.isCurrent() {
		return nil
	}
	defer d.notifyUpdate()
	return d.catalog.Written(stream, r)
}

// State returns the state of a job. It returns fault.NotFound for a job that isn't on record,
// and fault.Unavailable if that can't be found out. A job that isn't on record may still come
// there: the store may carry out a write seconds after its answer was given up.
func (d *Dispatcher) State(ctx context.Context, id string) (progress.State, error) {
	a, err := d.lookUp(ctx, id)
	if err != nil {
		return progress.Queued, err
	}
	if !a.Known {
		return progress.Queued, fault.New(fault.NotFound, "no job %s", id)
	}
	return a.State, nil
}

// lookUp returns what is on record of a job, as this instance or a standby has read it.
func (d *Dispatcher) lookUp(ctx context.Context, id string) (inquiry.Answer, error) {
	if d.standbys.isCurrent() {
		return d.lookUpLocally(ctx, id)
	}
	return d.standbys.ask(ctx, inquiry.Question{Job: id})
}

func (d *Dispatcher) lookUpLocally(ctx context.Context, id string) (inquiry.Answer, error) {
	state, err := d.localState(ctx, id)
	if fault.Is(err, fault.NotFound) {
		if !d.standbys.isCurrent() {
			return inquiry.Answer{}, fault.New(fault.Unavailable, "stopped following the streams of jobs meanwhile")
		}
		return inquiry.Answer{
			Cancelled: d.catalog.IsCancelled(id),
			Full:      d.catalog.UnmatchedCount() >= maxUnmatchedCancellations,
		}, nil
	}
	if err != nil {
		return inquiry.Answer{}, err
	}
	return inquiry.Answer{Known: true, State: state, Age: d.stateAge()}, nil
}

// localState returns the state of a job as this instance has read it. For an unknown job it
// reads the store first.
func (d *Dispatcher) localState(ctx context.Context, id string) (progress.State, error) {
	if s, known := d.catalog.State(id); known {
		if s.Final() || !d.refreshProgress(ctx) {
			return s, nil
		}
		s, _ = d.catalog.State(id)
		return s, nil
	}
	if err := d.accepts.Refresh(ctx); err != nil {
		return progress.Queued, fault.Wrap(fault.Unavailable, err, "look up job %s", id)
	}
	s, known := d.catalog.State(id)
	if !known {
		return s, fault.New(fault.NotFound, "no job %s", id)
	}
	return s, nil
}

// refreshProgress reads the newest progress records and reports whether it did. Without it
// a caller that asks just after its job's last task ended would see the job as running,
// and poll again much later.
func (d *Dispatcher) refreshProgress(ctx context.Context) bool {
	age := d.progress.Age()
	if age < maxStateAge || age > progressSpacing+progressWait {
		return false // fresh enough, or the store is unreachable and the reader retries already
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := d.progress.Refresh(ctx); err != nil {
		d.logger.Debug("refreshing job states failed", zap.Duration("age", age), zap.Error(err))
		return false
	}
	return true
}

// Pending returns the number of a queue's jobs that haven't started. It returns
// fault.Unavailable if that can't be found out.
func (d *Dispatcher) Pending(ctx context.Context, queue string) (int, error) {
	if d.standbys.isCurrent() {
		return d.catalog.Pending(queue), nil
	}
	a, err := d.standbys.ask(ctx, inquiry.Question{Queue: queue})
	return a.Pending, err
}
