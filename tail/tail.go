// Package tail follows a keyed stream: first the newest record of each key,
// then every record as it is written.
//
// Usage:
//
//	t := tail.New(store, "jobs", apply, tail.WithSpacing(100*time.Millisecond))
//	go t.Run(ctx)
//	err := t.Refresh(ctx) // read to the end now
//
// Records reach apply in the stream's order, but for the first ones, of which
// only the newest of each key is given. A reader that fell behind what the
// stream keeps starts anew with the newest records.
package tail

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Times of reads. A read that is silent for longer than it was allowed to
// wait has lost its connection; the store answers in milliseconds, and in a
// quarter of a second when it is slow.
const (
	defaultWait  = time.Second
	slack        = 900 * time.Millisecond
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Apply takes records. Whole says that they are the newest record of every
// key, so that a key which isn't among them is gone.
type Apply func(records []provider.KeyedRecord, whole bool)

// Tail follows one stream. It may be used by several goroutines.
type Tail struct {
	store  provider.Keyed
	stream string
	apply  Apply
	wait   time.Duration

	spacing atomic.Int64 // least time between two reads
	read    atomic.Int64 // when the last good answer came, nanoseconds since begun
	begun   time.Time
	loaded  chan struct{}
	onError func(error)
	paused  atomic.Bool
	resume  chan struct{}

	loadOnce sync.Once  // closes loaded
	mu       sync.Mutex // guards next and the order of apply
	next     uint64
	have     bool
}

// Option sets up a Tail.
type Option func(*Tail)

// WithSpacing sets the least time between two reads, which bounds what the
// reader costs the store. The default is no pause.
func WithSpacing(d time.Duration) Option {
	return func(t *Tail) { t.spacing.Store(int64(d)) }
}

// WithWait sets how long a read waits for a record.
func WithWait(d time.Duration) Option {
	return func(t *Tail) { t.wait = d }
}

// WithPause has the reader begin paused.
func WithPause() Option {
	return func(t *Tail) { t.paused.Store(true) }
}

// WithErrors sets what is told of reads that fail.
func WithErrors(f func(error)) Option {
	return func(t *Tail) { t.onError = f }
}

// New returns a Tail that hands records to apply.
func New(store provider.Keyed, stream string, apply Apply, opts ...Option) *Tail {
	t := &Tail{
		store:   store,
		stream:  stream,
		apply:   apply,
		wait:    defaultWait,
		begun:   time.Now(),
		loaded:  make(chan struct{}),
		onError: func(error) {},
		resume:  make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetSpacing changes the least time between two reads.
func (t *Tail) SetSpacing(d time.Duration) {
	t.spacing.Store(int64(d))
}

// Pause has the reader stop, or go on. One that goes on starts anew with the
// newest records, as those between may not be kept any more.
func (t *Tail) Pause(paused bool) {
	if t.paused.Swap(paused) == paused || paused {
		return
	}
	t.mu.Lock()
	t.have = false
	t.mu.Unlock()
	select {
	case t.resume <- struct{}{}:
	default:
	}
}

// waitResumed waits while the reader is paused.
func (t *Tail) waitResumed(ctx context.Context) {
	for t.paused.Load() && ctx.Err() == nil {
		select {
		case <-t.resume:
		case <-ctx.Done():
		}
	}
}

// Loaded is closed once the newest records were applied.
func (t *Tail) Loaded() <-chan struct{} {
	return t.loaded
}

// Age returns the time since the last good answer. It is an hour or more
// before the first one.
func (t *Tail) Age() time.Duration {
	read := t.read.Load()
	if read == 0 {
		return time.Hour
	}
	return time.Since(t.begun) - time.Duration(read)
}

// Next returns the offset after the last record applied.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Run follows the stream until ctx is done.
func (t *Tail) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		t.waitResumed(ctx)
		sent := time.Now()
		err := t.once(ctx, t.wait)
		if err != nil && ctx.Err() == nil {
			t.onError(err)
			failures++
			sleep(ctx, min(longestPause, firstPause<<min(failures, 4)))
			continue
		}
		failures = 0
		sleep(ctx, time.Duration(t.spacing.Load())-time.Since(sent))
	}
	return nil
}

// Refresh reads until it has seen the stream's end.
func (t *Tail) Refresh(ctx context.Context) error {
	return t.once(ctx, 0)
}

// once reads the newest records, or those after the last.
func (t *Tail) once(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	from, have := t.position()
	if !have {
		return t.load(ctx)
	}
	for {
		page, err := t.store.Read(ctx, t.stream, from, wait)
		if fault.Is(err, fault.Expired) {
			return t.load(ctx)
		}
		if err != nil {
			return err
		}
		t.accept(from, page)
		t.read.Store(int64(time.Since(t.begun)))
		last := from + uint64(len(page.Records))
		if wait > 0 || last >= page.Next {
			return nil
		}
		from = last
	}
}

func (t *Tail) position() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.have
}

func (t *Tail) load(ctx context.Context) error {
	page, err := t.store.Newest(ctx, t.stream)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(page.Records, true)
	t.next = max(t.next, page.Next)
	t.read.Store(int64(time.Since(t.begun)))
	t.have = true
	t.loadOnce.Do(func() { close(t.loaded) })
	return nil
}

// accept applies the records that no other read has brought.
func (t *Tail) accept(from uint64, page provider.KeyedPage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := page.Records
	if from < t.next {
		records = records[min(uint64(len(records)), t.next-from):]
	}
	if len(records) > 0 {
		t.apply(records, false)
	}
	t.next = max(t.next, from+uint64(len(page.Records)))
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
