// Package tail follows a keyed stream: first the newest record of each key,
// page by page, then every record as it is written.
//
// Usage:
//
//	t := tail.New(store, "jobs", apply, tail.WithSpacing(100*time.Millisecond))
//	go t.Run(ctx)
//	err := t.Refresh(ctx) // read to the end now
//
// Records reach apply in the stream's order, but for the first ones, of which
// only the newest of each key is given. A reader that fell behind what the
// stream keeps starts anew with the newest records. Each batch says as of when
// what was applied is whole, so that a decision can tell how old what it leans
// on may be.
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
	// pageTimeout is for a page of the newest records, of up to 1 MB: a link of
	// 10 Mbit/s takes 0.8 s for it, and other streams are loaded beside.
	pageTimeout = 3 * time.Second
	// partialAge is how old the first page of a load may be when it goes on.
	// What was written since must still be kept, which is 20 s here.
	partialAge = 10 * time.Second
)

// Batch is what a good read brought; nothing, if nothing was written.
type Batch struct {
	Records []provider.KeyedRecord
	// Whole says that Records are the newest record of every key, so that a
	// key which isn't among them is gone.
	Whole bool
	// AsOf is a time on the reader's clock. With this batch, all that was
	// written before it has been applied.
	AsOf time.Duration
}

// Apply takes the batches of a stream, one at a time and in order.
type Apply func(Batch)

// Tail follows one stream. It may be used by several goroutines.
type Tail struct {
	store  provider.Keyed
	stream string
	apply  Apply
	wait   time.Duration

	spacing atomic.Int64 // least time between two reads
	read    atomic.Int64 // when the last good answer came, on clock
	clock   func() time.Duration
	loaded  chan struct{}
	onError func(error)
	paused  atomic.Bool
	failing atomic.Bool // the reader's last read failed
	resume  chan struct{}

	loadOnce sync.Once     // closes loaded
	loading  chan struct{} // held by the one that loads; no mutex, as virtual time stands still for those who wait for one
	partial  *partial      // of the one that holds loading
	mu       sync.Mutex    // guards next, have, asOf and the order of apply
	next     uint64
	have     bool
	asOf     time.Duration // all that was written before it was applied
	end      atomic.Uint64 // of the stream, as of the last answer

	reading    chan struct{} // held by the one that reads to the end; the same
	refreshing sync.Mutex    // guards upcoming
	upcoming   *refresh
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

// WithClock sets the clock of Batch.AsOf and Age. The default stands still while
// the machine is suspended, so that what was read before counts as new after it.
func WithClock(clock func() time.Duration) Option {
	return func(t *Tail) { t.clock = clock }
}

// WithErrors sets what is told of reads that fail.
func WithErrors(f func(error)) Option {
	return func(t *Tail) { t.onError = f }
}

// New returns a Tail that hands records to apply.
func New(store provider.Keyed, stream string, apply Apply, opts ...Option) *Tail {
	begun := time.Now()
	t := &Tail{
		store:   store,
		stream:  stream,
		apply:   apply,
		wait:    defaultWait,
		clock:   func() time.Duration { return time.Since(begun) },
		loaded:  make(chan struct{}),
		onError: func(error) {},
		resume:  make(chan struct{}, 1),
		loading: make(chan struct{}, 1),
		reading: make(chan struct{}, 1),
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

// Pause has the reader stop, or go on. One that goes on reads what was written
// in between, or the newest records if that isn't kept any more. While it is
// paused, Refresh reads all the same.
func (t *Tail) Pause(paused bool) {
	if t.paused.Swap(paused) == paused || paused {
		return
	}
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
	return t.clock() - time.Duration(read)
}

// Failing reports whether the last read of Run failed.
func (t *Tail) Failing() bool {
	return t.failing.Load()
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
		wait := t.wait
		if failures > 0 {
			wait = 0 // it is to be known at once that reads are answered again
		}
		err := t.once(ctx, wait)
		t.failing.Store(err != nil)
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

// Refresh reads until it has seen the stream's end as of now. Those that ask
// while a read is under way share the next one: it begins after they have
// asked, and a narrow link carries one answer to its end rather than many to
// none.
func (t *Tail) Refresh(ctx context.Context) error {
	t.refreshing.Lock()
	f := t.upcoming
	if f == nil {
		f = &refresh{done: make(chan struct{})}
		t.upcoming = f
		go t.serve(f)
	}
	t.refreshing.Unlock()
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "read to the end of %s", t.stream)
	}
}

// refresh is a read that several wait for.
type refresh struct {
	done chan struct{}
	err  error
}

// serve does the read once the one under way has ended.
func (t *Tail) serve(f *refresh) {
	t.reading <- struct{}{}
	t.refreshing.Lock()
	t.upcoming = nil
	t.refreshing.Unlock()
	f.err = t.readToEnd()
	<-t.reading
	close(f.done)
}

// readToEnd reads what there is. It isn't bound to any of those who wait for
// it, only to the time-outs of its reads. A load may have begun before they
// asked, so a read follows it.
func (t *Tail) readToEnd() error {
	ctx := context.Background()
	if _, have := t.position(); !have {
		if err := t.load(ctx); err != nil {
			return err
		}
	}
	for {
		if err := t.once(ctx, 0); err != nil {
			return err
		}
		if from, _ := t.position(); from >= t.end.Load() {
			return nil
		}
	}
}

// once reads the next records after the last, or all of the newest ones.
func (t *Tail) once(ctx context.Context, wait time.Duration) error {
	from, have := t.position()
	if !have {
		return t.load(ctx)
	}
	timed, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	sent := t.clock()
	page, err := t.store.Read(timed, t.stream, from, wait)
	if fault.Is(err, fault.Expired) {
		t.restart()
		return t.load(ctx)
	}
	if err != nil {
		return err
	}
	t.accept(from, page, sent)
	return nil
}

func (t *Tail) position() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.have
}

// restart has the next read begin with the newest records.
func (t *Tail) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.have = false
}

// load reads the newest records, page by page. One that fails goes on where
// the last one ended, as long as what was written since its first page is kept.
func (t *Tail) load(ctx context.Context) error {
	t.loading <- struct{}{}
	defer func() { <-t.loading }()
	if _, have := t.position(); have {
		return nil // loaded while this one waited
	}
	l := t.partial
	if l == nil || t.clock()-l.begun > partialAge {
		l = &partial{begun: t.clock()}
		t.partial = l
	}
	for first := len(l.records) == 0; ; first = false {
		page, err := t.page(ctx, l.after)
		if err != nil {
			return err
		}
		if first {
			l.next = page.Next
		}
		l.records = append(l.records, page.Records...)
		l.after = page.After
		if page.After == "" {
			break
		}
	}
	t.partial = nil
	t.loadedAll(l)
	return nil
}

// partial is a load that has read some pages.
type partial struct {
	begun   time.Duration // on the reader's clock
	records []provider.KeyedRecord
	after   string // key of the last one
	next    uint64 // offset from which to read on
}

func (t *Tail) page(ctx context.Context, after string) (provider.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return t.store.Newest(ctx, t.stream, after)
}

func (t *Tail) loadedAll(l *partial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = l.begun // its first page may lack all that was written since
	t.apply(Batch{Records: l.records, Whole: true, AsOf: t.asOf})
	t.next = max(t.next, l.next)
	t.end.Store(l.next)
	t.read.Store(int64(t.clock()))
	t.have = true
	t.loadOnce.Do(func() { close(t.loaded) })
}

// accept applies the records that no other read has brought. A read that was
// answered up to the stream's end has brought all that was written before it
// was sent; one that was cut off by its size has not.
func (t *Tail) accept(from uint64, page provider.KeyedPage, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := page.Records
	if from < t.next {
		records = records[min(uint64(len(records)), t.next-from):]
	}
	t.next = max(t.next, from+uint64(len(page.Records)))
	if t.next >= page.Next {
		t.asOf = max(t.asOf, sent)
	}
	t.apply(Batch{Records: records, AsOf: t.asOf})
	t.end.Store(max(t.end.Load(), page.Next)) // an older answer may come after a newer one
	t.read.Store(int64(t.clock()))
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
