// Package appender numbers, batches and sends the records that one instance
// writes to its zone's stream, at a bounded rate and in order.
//
// Usage:
//
//	sequence := a.Add(record.Record{Claim: &record.Claim{Tasks: ids}})
//	if batch, ok := a.Next(now); ok {
//		// append batch.Data, then
//		a.Answered(now, err)
//	}
//	a.Folded(now, sequence) // the record was read back
//
// One batch is under way at a time. A batch whose answer was lost is sent
// again with the same sequences until it has been read back: the fold
// ignores a sequence that it has seen, so the records take effect once
// however often they were appended.
package appender

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/record"
)

// Defaults of the options.
const (
	DefaultInterval = 250 * time.Millisecond
	DefaultPatience = 2 * time.Second
	DefaultBatch    = 256
	DefaultPending  = 8192
	DefaultBytes    = 1 << 20
)

// Appender is the writing side of a zone stream. It isn't safe for use by
// several goroutines.
type Appender struct {
	writer   record.Writer
	interval time.Duration // least time between batches
	patience time.Duration // how long an appended batch may stay unread
	batch    int           // most records in a batch
	bytes    int           // most encoded bytes in a batch
	limit    int           // most records that wait

	last    uint64 // newest sequence given out
	waiting []item
	sent    []item // the batch under way or not yet read back
	state   state
	at      time.Time // of the newest change of state
	started time.Time // of the newest batch
	retries int
}

type state int

const (
	idle     state = iota // nothing is under way
	inFlight              // an append call is running
	appended              // the call succeeded, the batch isn't read back yet
	unsure                // the call failed, and may have taken effect
)

type item struct {
	sequence uint64
	data     []byte
}

// Batch is what to append in one call.
type Batch struct {
	First, Last uint64 // sequences
	Data        [][]byte
}

// Option sets up an Appender.
type Option func(*Appender)

// WithInterval sets the least time between two batches.
func WithInterval(d time.Duration) Option {
	return func(a *Appender) { a.interval = d }
}

// WithPatience sets how long an appended batch may stay unread before it is
// appended again.
func WithPatience(d time.Duration) Option {
	return func(a *Appender) { a.patience = d }
}

// WithPending bounds the records that wait to be sent.
func WithPending(n int) Option {
	return func(a *Appender) { a.limit = n }
}

// New returns an Appender that writes as w.
func New(w record.Writer, opts ...Option) *Appender {
	a := &Appender{
		writer:   w,
		interval: DefaultInterval,
		patience: DefaultPatience,
		batch:    DefaultBatch,
		bytes:    DefaultBytes,
		limit:    DefaultPending,
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Writer returns the name that records are written under.
func (a *Appender) Writer() record.Writer {
	return a.writer
}

// Add numbers r and puts it in line. It gives fault.Unavailable when too
// many records wait, which happens while the log can't be reached.
func (a *Appender) Add(r record.Record) (uint64, error) {
	if len(a.waiting) >= a.limit {
		return 0, fault.New(fault.Unavailable, "%d records wait for the log service", len(a.waiting))
	}
	r.Version = record.Version
	r.Writer = a.writer
	r.Sequence = a.last + 1
	data, err := record.Encode(r)
	if err != nil {
		return 0, err
	}
	a.last++
	a.waiting = append(a.waiting, item{a.last, data})
	return a.last, nil
}

// Withdraw takes back a record that was never sent and reports whether it
// could: false means that the record may take effect.
func (a *Appender) Withdraw(sequence uint64) bool {
	for i, it := range a.waiting {
		if it.sequence == sequence {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Next returns the batch to append now, if there is one. After it returned
// one, it returns none until Answered was called.
func (a *Appender) Next(now time.Time) (Batch, bool) {
	if a.state == inFlight || now.Before(a.started.Add(a.wait())) {
		return Batch{}, false
	}
	if a.state == appended && now.Before(a.at.Add(a.patience)) {
		return Batch{}, false
	}
	if a.state == idle {
		a.fill()
	}
	if len(a.sent) == 0 {
		return Batch{}, false
	}
	a.state = inFlight
	a.started = now
	return a.current(), true
}

// Answered takes the outcome of the append call. An error of any kind leaves
// the batch in place: it is sent again, whether or not it took effect. A batch
// that was read back before its answer came is done.
func (a *Appender) Answered(now time.Time, err error) {
	if a.state != inFlight {
		return
	}
	a.at = now
	if len(a.sent) == 0 {
		a.settle()
		return
	}
	if err != nil {
		a.state = unsure
		a.retries++
		return
	}
	a.state = appended
}

// Folded takes note that the record with a sequence was read back, and with
// it all earlier ones.
func (a *Appender) Folded(now time.Time, sequence uint64) {
	for len(a.sent) > 0 && a.sent[0].sequence <= sequence {
		a.sent = a.sent[1:]
	}
	if len(a.sent) == 0 && a.state != inFlight {
		a.settle()
	}
}

// settle makes room for the next batch.
func (a *Appender) settle() {
	a.state = idle
	a.retries = 0
}

// Waiting returns how many records aren't read back yet.
func (a *Appender) Waiting() int {
	return len(a.waiting) + len(a.sent)
}

// Settled reports whether the record with a sequence was read back or taken
// back.
func (a *Appender) Settled(sequence uint64) bool {
	for _, items := range [][]item{a.sent, a.waiting} {
		if len(items) > 0 && items[0].sequence <= sequence {
			return false
		}
	}
	return true
}

// Last returns the newest sequence given out.
func (a *Appender) Last() uint64 {
	return a.last
}

// fill moves waiting records into the next batch.
func (a *Appender) fill() {
	size := 0
	n := 0
	for n < len(a.waiting) && n < a.batch {
		size += len(a.waiting[n].data)
		if n > 0 && size > a.bytes {
			break
		}
		n++
	}
	a.sent = append([]item(nil), a.waiting[:n]...)
	a.waiting = a.waiting[n:]
}

func (a *Appender) current() Batch {
	b := Batch{First: a.sent[0].sequence, Last: a.sent[len(a.sent)-1].sequence}
	for _, it := range a.sent {
		b.Data = append(b.Data, it.data)
	}
	return b
}

// wait returns the least time between two batches, which doubles with each
// failed try up to 32 times.
func (a *Appender) wait() time.Duration {
	const mostDoublings = 5
	return a.interval << min(a.retries, mostDoublings)
}
