// Package appender numbers, batches and sends the records that one instance
// writes to its zone's stream, at a bounded rate and in order.
//
// Usage:
//
//	sequence := a.Add(record.Record{Claim: &record.Claim{Tasks: ids}})
//	if batch, ok := a.Next(now); ok {
//		// append batch.Data, then
//		a.HandleResult(now, err)
//	}
//	a.HandleReadBack(now, sequence) // the record was read back
//
// One batch is in flight at a time. A batch whose answer was lost is sent again
// with the same sequences until it has been read back. Readers ignore a sequence
// that they have applied, so a record takes effect once however often it was
// appended.
package appender

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Defaults of the options.
const (
	DefaultInterval        = 250 * time.Millisecond
	DefaultReadBackTimeout = 2 * time.Second
	DefaultMaxBatch        = 256
	DefaultMaxPending      = 8192
	DefaultMaxBytes        = 1 << 20
)

// Appender is the writing side of a zone stream. It isn't safe for concurrent
// use.
type Appender struct {
	writer          record.Writer
	interval        time.Duration // minimum time between batches
	readBackTimeout time.Duration // time after which an appended batch that wasn't read back is sent again
	maxBatch        int           // maximum records in a batch
	maxBytes        int           // maximum encoded bytes in a batch
	maxWaiting      int           // maximum records in waiting

	lastSequence   uint64 // newest assigned sequence
	waiting        []item
	sent           []item // batch that is in flight or not yet read back
	state          state
	stateChangedAt time.Time // of the newest change of state
	batchStartedAt time.Time // of the newest batch
	retries        int
}

type state int

const (
	idle       state = iota // no batch is in flight
	inFlight                // an append call is running
	appended                // the call succeeded; the batch isn't read back yet
	callFailed              // the call failed but may have taken effect
)

type item struct {
	sequence uint64
	data     []byte
}

// Batch holds the records to append in one call.
type Batch struct {
	First, Last uint64 // sequences
	Data        [][]byte
}

// Option sets up an Appender.
type Option func(*Appender)

// WithInterval sets the minimum time between two batches.
func WithInterval(d time.Duration) Option {
	return func(a *Appender) { a.interval = d }
}

// WithReadBackTimeout sets the time after which an appended batch that wasn't
// read back is appended again.
func WithReadBackTimeout(d time.Duration) Option {
	return func(a *Appender) { a.readBackTimeout = d }
}

// WithPending bounds the records that wait to be sent.
func WithPending(n int) Option {
	return func(a *Appender) { a.maxWaiting = n }
}

// New returns an Appender that writes as w.
func New(w record.Writer, opts ...Option) *Appender {
	a := &Appender{
		writer:          w,
		interval:        DefaultInterval,
		readBackTimeout: DefaultReadBackTimeout,
		maxBatch:        DefaultMaxBatch,
		maxBytes:        DefaultMaxBytes,
		maxWaiting:      DefaultMaxPending,
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Writer returns the writer of the records.
func (a *Appender) Writer() record.Writer {
	return a.writer
}

// Add assigns a sequence to r and queues it. It fails with fault.Unavailable if
// the queue is full, which happens while the log can't be reached.
func (a *Appender) Add(r record.Record) (uint64, error) {
	if len(a.waiting) >= a.maxWaiting {
		return 0, fault.New(fault.Unavailable, "%d records wait for the log service", len(a.waiting))
	}
	r.Writer = a.writer
	r.Sequence = a.lastSequence + 1
	data, err := record.Encode(r)
	if err != nil {
		return 0, err
	}
	a.lastSequence++
	a.waiting = append(a.waiting, item{a.lastSequence, data})
	return a.lastSequence, nil
}

// Withdraw removes a record that was never sent and reports whether it did:
// false means that the record may take effect.
func (a *Appender) Withdraw(sequence uint64) bool {
	for i, it := range a.waiting {
		if it.sequence == sequence {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next returns the batch to append now, if there is one. After it has returned
// one, it returns none until HandleResult is called.
func (a *Appender) Next(now time.Time) (Batch, bool) {
	if a.state == inFlight || now.Before(a.batchStartedAt.Add(a.minInterval())) {
		return Batch{}, false
	}
	if a.state == appended && now.Before(a.stateChangedAt.Add(a.readBackTimeout)) {
		return Batch{}, false
	}
	if a.state == idle {
		a.fillBatch()
	}
	if len(a.sent) == 0 {
		return Batch{}, false
	}
	a.state = inFlight
	a.batchStartedAt = now
	return a.currentBatch(), true
}

// HandleResult handles the result of the append call. After any error the batch
// is sent again, whether or not it took effect, unless it has already been read
// back.
func (a *Appender) HandleResult(now time.Time, err error) {
	if a.state != inFlight {
		return
	}
	a.stateChangedAt = now
	if len(a.sent) == 0 {
		a.finishBatch()
		return
	}
	if err != nil {
		a.state = callFailed
		a.retries++
		return
	}
	a.state = appended
}

// HandleReadBack handles that the record with a sequence, and all earlier ones,
// were read back.
func (a *Appender) HandleReadBack(now time.Time, sequence uint64) {
	for len(a.sent) > 0 && a.sent[0].sequence <= sequence {
		a.sent = a.sent[1:]
	}
	if len(a.sent) == 0 && a.state != inFlight {
		a.finishBatch()
	}
}

// finishBatch makes the appender ready for the next batch.
func (a *Appender) finishBatch() {
	a.state = idle
	a.retries = 0
}

// PendingCount returns the number of records that aren't read back yet.
func (a *Appender) PendingCount() int {
	return len(a.waiting) + len(a.sent)
}

// IsSettled reports whether the record with a sequence was read back or
// withdrawn.
func (a *Appender) IsSettled(sequence uint64) bool {
	for _, items := range [][]item{a.sent, a.waiting} {
		if len(items) > 0 && items[0].sequence <= sequence {
			return false
		}
	}
	return true
}

// LastSequence returns the newest assigned sequence.
func (a *Appender) LastSequence() uint64 {
	return a.lastSequence
}

// fillBatch moves waiting records into the next batch.
func (a *Appender) fillBatch() {
	size := 0
	n := 0
	for n < len(a.waiting) && n < a.maxBatch {
		size += len(a.waiting[n].data)
		if n > 0 && size > a.maxBytes {
			break
		}
		n++
	}
	a.sent = append([]item(nil), a.waiting[:n]...)
	a.waiting = a.waiting[n:]
}

// currentBatch returns the batch in sent.
func (a *Appender) currentBatch() Batch {
	b := Batch{First: a.sent[0].sequence, Last: a.sent[len(a.sent)-1].sequence}
	for _, it := range a.sent {
		b.Data = append(b.Data, it.data)
	}
	return b
}

// minInterval returns the minimum time between two batches, which doubles with
// each failed attempt up to 32 times.
func (a *Appender) minInterval() time.Duration {
	const mostDoublings = 5
	return a.interval << min(a.retries, mostDoublings)
}
