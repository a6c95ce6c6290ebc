package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Bounds of a batch. A window of a few milliseconds batches records into one write, as the
// store takes only a few hundred writes a second.
const (
	intakeWindow     = 3 * time.Millisecond
	maxIntakeBatch   = 64
	maxPendingWrites = 1024
)

// batcher collects records into batches. Records that arrive during a write wait for the next
// one: a store that is fifty times slower than usual takes 9 writes a second from all instances
// together. A concurrent write begins only when none has finished for some time.
type batcher struct {
	d        *Dispatcher
	pending  chan *pendingWrite
	done     chan struct{} // gets a value for each finished write
	inFlight int           // number of writes in flight; used by run only
	next     *pendingWrite // first of the next batch, as it didn't fit into the last one; nil for none; used by run only
	max      int           // maximum of inFlight
	spacing  time.Duration // time without a finished write after which a concurrent one may begin
	write    func(ctx context.Context, batch []*pendingWrite)
}

func newBatcher(d *Dispatcher, maxInFlight int, spacing time.Duration, write func(context.Context, []*pendingWrite)) *batcher {
	return &batcher{
		d:       d,
		pending: make(chan *pendingWrite, maxPendingWrites),
		done:    make(chan struct{}, maxInFlight),
		max:     maxInFlight,
		spacing: spacing,
		write:   write,
	}
}

// add enqueues a record. It returns false if too many wait already.
func (b *batcher) add(e *pendingWrite) bool {
	select {
	case b.pending <- e:
		return true
	default:
		return false
	}
}

func (b *batcher) run(ctx context.Context) error {
	for {
		first := b.first(ctx)
		if first == nil || !b.awaitSlot(ctx) {
			return nil
		}
		batch := b.collect(ctx, first)
		b.d.tomb.Go(func() error {
			if sent := markSent(batch); len(sent) > 0 {
				b.write(ctx, sent)
			}
			b.done <- struct{}{}
			return nil
		})
	}
}

// first waits for the first record of the next batch. It returns nil once ctx is done.
func (b *batcher) first(ctx context.Context) *pendingWrite {
	if e := b.next; e != nil {
		b.next = nil
		return e
	}
	select {
	case e := <-b.pending:
		return e
	case <-ctx.Done():
		return nil
	}
}

// awaitSlot waits until a write may begin: no write is in flight, or none has finished within
// spacing and fewer than max are in flight.
func (b *batcher) awaitSlot(ctx context.Context) bool {
	for {
		delay := time.After(b.spacing)
		if b.inFlight == 0 {
			b.inFlight++
			return true
		}
		if b.inFlight >= b.max {
			delay = nil
		}
		select {
		case <-b.done:
			b.inFlight--
		case <-delay:
			b.inFlight++
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// collect adds the records that arrive within intakeWindow to a batch. Its size is at most what an
// aggregator takes, which also is less than the store takes in one call.
func (b *batcher) collect(ctx context.Context, first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	size := first.size()
	window := time.NewTimer(intakeWindow)
	defer window.Stop()
	for len(batch) < maxIntakeBatch {
		select {
		case e := <-b.pending:
			size += e.size()
			if size > aggregation.MaxBytes {
				b.next = e
				return batch
			}
			batch = append(batch, e)
		case <-window.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// States of a pendingWrite. One that was withdrawn before it was sent is certain not to
// be on record.
const (
	writeWaiting int32 = iota
	writeSent
	writeWithdrawn
	writeFailed // sent, and certain not to be on record
)

// pendingWrite is a record that waits to be written.
type pendingWrite struct {
	record     provider.KeyedRecord
	handedOver bool // whether an aggregator is to write it
	state      atomic.Int32
	done       chan error           // gets errLate at most once, then the result
	acked      chan<- *pendingWrite // gets the first write of a request that was acknowledged; may be nil
}

// errLate tells that a write has had no answer in time. Its result may follow.
var errLate = fault.New(fault.MayHaveRun, "no answer yet")

func newPendingWrite(record provider.KeyedRecord) *pendingWrite {
	return &pendingWrite{record: record, done: make(chan error, 2)}
}

func (e *pendingWrite) size() int {
	return aggregation.Size([]provider.KeyedRecord{e.record})
}

// withdraw takes a record back. It returns false if the record was sent already.
func (e *pendingWrite) withdraw() bool {
	return e.state.CompareAndSwap(writeWaiting, writeWithdrawn)
}

func (e *pendingWrite) isWithdrawn() bool {
	return e.state.Load() == writeWithdrawn
}

// isCertain withdraws the record if it waits, and reports whether it is certain that the
// record neither is nor will be written by this write.
func (e *pendingWrite) isCertain() bool {
	e.withdraw()
	state := e.state.Load()
	return state == writeWithdrawn || state == writeFailed
}

// finish sets the result of the write; see provider.Keyed for the kinds of errors.
func (e *pendingWrite) finish(err error) {
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded) {
		e.state.Store(writeFailed)
	}
	if err == nil {
		select {
		case e.acked <- e:
		default:
		}
	}
	e.done <- err
}

// markSent returns the records of a batch that weren't withdrawn. They can't be withdrawn
// from then on.
func markSent(batch []*pendingWrite) []*pendingWrite {
	var sent []*pendingWrite
	for _, e := range batch {
		if e.state.CompareAndSwap(writeWaiting, writeSent) {
			sent = append(sent, e)
		}
	}
	return sent
}

func recordsOf(batch []*pendingWrite) []provider.KeyedRecord {
	records := make([]provider.KeyedRecord, 0, len(batch))
	for _, e := range batch {
		records = append(records, e.record)
	}
	return records
}
