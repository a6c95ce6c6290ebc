package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bounds of accepting. A window of a few milliseconds puts what arrives
// together into one write, of which the store takes a few hundred a second.
// While a write is under way, what arrives waits for the next one: a store that
// is fifty times slower than usual takes 9 writes a second from all instances
// together, and a write beside it only for an answer that may be lost.
const (
	intakeWindow   = 3 * time.Millisecond
	intakeBatch    = 64
	intakeFlights  = 3                      // writes under way at the most
	intakePatience = 400 * time.Millisecond // with a write under way before another one begins beside it
	intakeTimeout  = 1800 * time.Millisecond
	intakeRetry    = 50 * time.Millisecond
	intakeRejects  = 2                      // rejections by the store after which a caller is better off elsewhere
	intakePause    = 300 * time.Millisecond // for which the store is taken to reject after that
	intakeReserve  = 250 * time.Millisecond // most of a request's time that is left to answer it
)

// intake writes what callers hand in.
type intake struct {
	d        *Dispatcher
	pending  chan entry
	landed   chan struct{} // a value for each write that has ended
	under    int           // writes under way; of run alone
	begun    time.Time
	rejected atomic.Int64 // when the store last rejected a record for good, nanoseconds since begun
	silence  silence
}

// entry is a record on its way to the store.
type entry struct {
	record provider.KeyedRecord
	state  *atomic.Int32
	done   chan error
}

// States of an entry. One that its caller withdrew before it was sent has
// provably not run.
const (
	entryWaits int32 = iota
	entrySent
	entryWithdrawn
)

func newIntake(d *Dispatcher) *intake {
	return &intake{d: d, pending: make(chan entry, 1024), landed: make(chan struct{}, intakeFlights), begun: time.Now()}
}

func (i *intake) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.pending:
			if !i.board(ctx) {
				return nil
			}
			batch := i.collect(ctx, first)
			i.d.tomb.Go(func() error {
				i.write(ctx, batch)
				i.landed <- struct{}{}
				return nil
			})
		}
	}
}

// board waits until a write may begin: none is under way, or the last one has
// been for a while.
func (i *intake) board(ctx context.Context) bool {
	for {
		patience := time.After(intakePatience)
		if i.under == 0 {
			i.under++
			return true
		}
		if i.under >= intakeFlights {
			patience = nil
		}
		select {
		case <-i.landed:
			i.under--
		case <-patience:
			i.under++
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (i *intake) collect(ctx context.Context, first entry) []entry {
	batch := []entry{first}
	window := time.NewTimer(intakeWindow)
	defer window.Stop()
	for len(batch) < intakeBatch {
		select {
		case e := <-i.pending:
			batch = append(batch, e)
		case <-window.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (i *intake) write(ctx context.Context, batch []entry) {
	var records []provider.KeyedRecord
	var sent []entry
	for _, e := range batch {
		if e.state.CompareAndSwap(entryWaits, entrySent) {
			sent = append(sent, e)
			records = append(records, e.record)
		}
	}
	if len(sent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	number := i.silence.begin()
	err := i.d.platform.Store.Put(ctx, catalog.Accepts, nil, records)
	i.silence.end(number, !fault.Is(err, fault.MayHaveRun))
	for _, e := range sent {
		e.done <- err
	}
}

// put writes one record and repeats it until it is on record, ctx has nearly
// run out, or the store rejects it. Writing a record twice does no harm. A
// record that the store only ever rejected isn't held back until the caller's
// time is up: the next instance that the caller asks may reach the store.
func (i *intake) put(ctx context.Context, record provider.KeyedRecord) error {
	ctx, cancel := reserve(ctx)
	defer cancel()
	if i.rejecting() {
		return fault.New(fault.Unavailable, "the store rejects writes").After(rejectedRetry)
	}
	if lasted := i.silence.lasts(); lasted > 0 {
		return fault.New(fault.Unavailable, "the store has given no answer for %v", lasted.Round(time.Millisecond)).After(retryAfter(lasted))
	}
	ambiguous := false
	rejections := 0
	var last error
	for ctx.Err() == nil {
		last = i.try(ctx, record)
		if last == nil {
			return nil
		}
		if fault.Is(last, fault.MayHaveRun) {
			ambiguous = true
		} else {
			rejections++
		}
		if rejections >= intakeRejects && !ambiguous {
			i.rejected.Store(int64(time.Since(i.begun)))
			break
		}
		wait(ctx, intakeRetry)
	}
	if ambiguous {
		return fault.Wrap(fault.MayHaveRun, last, "not known to be on record")
	}
	return fault.Wrap(fault.Unavailable, last, "not on record").After(rejectedRetry)
}

// rejectedRetry is when a caller should come back whose job the store
// rejected. Most outages are over, or have moved callers elsewhere, by then.
const rejectedRetry = time.Second

// rejecting reports whether the store rejected writes a moment ago.
func (i *intake) rejecting() bool {
	at := i.rejected.Load()
	return at > 0 && time.Since(i.begun)-time.Duration(at) < intakePause
}

// try has a record written once.
func (i *intake) try(ctx context.Context, record provider.KeyedRecord) error {
	e := entry{record: record, state: new(atomic.Int32), done: make(chan error, 1)}
	select {
	case i.pending <- e:
	default:
		return fault.New(fault.Overloaded, "too many requests wait to be written")
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		if e.state.CompareAndSwap(entryWaits, entryWithdrawn) {
			return fault.Wrap(fault.Unavailable, ctx.Err(), "waited for other writes")
		}
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write without an answer")
	}
}

// reserve returns a context that ends some time before its parent's deadline.
func reserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	left := min(intakeReserve, time.Until(deadline)/4)
	return context.WithDeadline(ctx, deadline.Add(-left))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Submit puts a job on record. A job that is on record already, by whichever
// instance, is accepted again. An error of kind fault.Unavailable or
// fault.Overloaded says that the job will never run, one of kind
// fault.MayHaveRun that it may.
func (d *Dispatcher) Submit(ctx context.Context, j *job.Job) error {
	if _, known := d.catalog.State(j.ID); known {
		return nil
	}
	record, err := catalog.AcceptRecord(j)
	if err != nil {
		return err
	}
	begun := time.Now()
	err = d.admit(ctx, j)
	if err == nil {
		err = d.intake.put(ctx, record)
	}
	d.counters.accepted(time.Since(begun), err)
	d.logger.Info("accept", zap.String("job", j.ID), zap.String("queue", j.Queue), zap.Duration("took", time.Since(begun)), zap.Error(err))
	if err != nil {
		return err
	}
	return d.remember(record)
}

// admit rejects a job that the cell's owner won't order in time, since it doesn't
// keep up with what it is asked for, and a lasting one that would take the room that
// urgent ones wait for. A repeat of a job that is on record is no new one: its caller
// may have lost the first answer. One with a schedule isn't for now.
func (d *Dispatcher) admit(ctx context.Context, j *job.Job) error {
	b := d.backlog()
	lag := b.Lag(j.Terms.Priority)
	reason := rejection(b, lag, j)
	if reason == "" {
		return nil
	}
	if err := d.accepts.Refresh(ctx); err != nil {
		d.logger.Debug("not known whether it is a repeat", zap.String("job", j.ID), zap.Error(err))
		return nil
	}
	if _, known := d.catalog.State(j.ID); known {
		return nil
	}
	return fault.New(fault.Overloaded, "%s", reason).After(overload.RetryAfter(lag, rand.Float64()))
}

// rejection says why a job isn't accepted, nothing if it is.
func rejection(b *overload.Backlog, lag time.Duration, j *job.Job) string {
	switch {
	case j.Scheduled():
		return ""
	case overload.Rejects(lag, j.Width(), rand.Float64()):
		return fmt.Sprintf("what was accepted before waits %v for its orders", lag)
	case j.Lasting() && !b.HasRoom(j.Terms.Service, j.Terms.Priority):
		return "urgent jobs wait for the room that it would take"
	}
	return ""
}

// backlog returns what the owner has to order and which pools are full, nil if it
// keeps up, has room or isn't heard.
func (d *Dispatcher) backlog() *overload.Backlog {
	if d.progress.Age() > backlogAge {
		return nil
	}
	return d.catalog.Backlog()
}

// backlogAge is how old what is known of the owner may be for its backlog to be held
// against a job. It is above the time between two reads.
const backlogAge = time.Second

// remember folds a record that was just written, so that this instance knows
// it before its next read.
func (d *Dispatcher) remember(r provider.KeyedRecord) error {
	defer d.wake()
	return d.catalog.Accept(r)
}

// State returns the state of a job. A job that isn't known is looked for in
// the store first. It returns fault.NotFound for one that was never accepted,
// and fault.Unavailable where that can't be told.
func (d *Dispatcher) State(ctx context.Context, id string) (progress.State, error) {
	if s, known := d.catalog.State(id); known {
		if s.Final() || !d.freshen(ctx) {
			return s, nil
		}
		s, _ = d.catalog.State(id)
		return s, nil
	}
	if err := d.accepts.Refresh(ctx); err != nil {
		return progress.Queued, fault.Wrap(fault.Unavailable, err, "look for job %s", id)
	}
	s, known := d.catalog.State(id)
	if !known {
		return s, fault.New(fault.NotFound, "no job %s", id)
	}
	return s, nil
}

// freshen reads what was written of jobs since the last read, and reports
// whether it did. A caller that asks just after its job's last task has ended
// would otherwise be told that the job runs, and ask again much later.
func (d *Dispatcher) freshen(ctx context.Context) bool {
	age := d.progress.Age()
	if age < stateAge || age > progressSpacing+progressWait {
		return false // fresh enough, or the store is away and the reader is at it
	}
	ctx, cancel := context.WithTimeout(ctx, freshenTimeout)
	defer cancel()
	if err := d.progress.Refresh(ctx); err != nil {
		d.logger.Debug("state not read anew", zap.Duration("age", age), zap.Error(err))
		return false
	}
	return true
}

// Cancel puts the cancellation of a job on record, unless it has ended.
func (d *Dispatcher) Cancel(ctx context.Context, id string) error {
	s, err := d.State(ctx, id)
	if err != nil || s.Final() {
		return err
	}
	record := catalog.CancelRecord(id)
	err = d.intake.put(ctx, record)
	d.logger.Info("cancel", zap.String("job", id), zap.String("state", s.String()), zap.Error(err))
	if err != nil {
		return err
	}
	return d.remember(record)
}

// Pending returns the number of a queue's jobs that haven't begun.
func (d *Dispatcher) Pending(queue string) int {
	return d.catalog.Pending(queue)
}
