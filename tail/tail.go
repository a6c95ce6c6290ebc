// Package tail follows a keyed stream: it loads the newest record of each key,
// page by page, and then reads every record as it is written.
//
// Usage:
//
//	t := tail.New(store, "jobs", apply, tail.WithSpacing(100*time.Millisecond))
//	go t.Run(ctx)
//	err := t.Refresh(ctx) // returns once all records written so far are applied
//
// After the initial load, records reach apply in the stream's order. A reader that
// falls behind the records that the stream retains loads the newest records
// again. Each batch carries the time up to which all writes have been applied, so
// that a decision knows the maximum age of its data. Reads of a congested store become
// smaller, longer and rarer, as package pacing decides.
package tail

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/pacing"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Times of reads. Package pacing has their timeouts and those of reads that fail.
const (
	defaultWait = time.Second
	// maxReadGap is how long after a read's wait the next one may be answered without a
	// break, as after a suspension of the machine.
	maxReadGap = time.Second
	// maxPartialAge is the maximum age of a load's first page when the load is resumed.
	// The stream must still retain all records written since; it does so for 20 s.
	maxPartialAge = 10 * time.Second
)

// Batch is the result of a successful read. It has no records if none were written.
type Batch struct {
	Records []provider.KeyedRecord
	// IsComplete means that Records holds the newest record of every key, so that keys not
	// among them have been deleted.
	IsComplete bool
	// AsOf is a time on the reader's clock. With this batch, all records written before
	// that time have been applied.
	AsOf time.Duration
}

// Apply processes the batches of a stream, one at a time and in order. The Tail's state counts
// a batch only once it is applied. Apply may call the methods that return that state, and wait
// for locks under which others call them.
type Apply func(Batch)

// Tail follows one stream. It is safe for concurrent use.
type Tail struct {
	store  provider.Keyed
	stream string
	apply  Apply
	wait   time.Duration

	spacing        atomic.Int64 // least time between two reads
	lastAnswer     atomic.Int64 // time of the last successful read, on clock
	unbrokenSince  atomic.Int64 // time of the first successful read since the last one that failed, on clock
	clock          func() time.Duration
	loadedSignal   chan struct{}
	outages        Outages
	paused         atomic.Bool
	lastReadFailed atomic.Bool // whether the last read of Run failed
	resumeSignal   chan struct{}

	loadOnce      sync.Once     // closes loadedSignal
	loadSemaphore chan struct{} // held while loading; no mutex, as the virtual time of synctest doesn't advance while one is waited for
	partial       *partialLoad  // guarded by loadSemaphore; nil without an unfinished load
	applyMu       sync.Mutex    // held while a batch is applied; taken before mu
	mu            sync.Mutex    // guards the fields up to asOf, never held during a call of apply
	next          uint64
	isLoaded      bool
	hasState      bool          // whether any load has been completed since the start or the last Reset
	asOf          time.Duration // all records written before it have been applied
	streamEnd     atomic.Uint64 // end offset of the stream in the last response

	catchUpSemaphore chan struct{} // held by a read of records that are known to exist, so that they are transmitted once
	pacerMu          sync.Mutex    // guards pacer
	pacer            *pacing.Pacer

	refreshSemaphore chan struct{} // held while a refresh runs, like loadSemaphore
	upcomingMu       sync.Mutex    // guards upcoming
	upcoming         *refresh
}

// Option configures a Tail.
type Option func(*Tail)

// WithSpacing sets the least time between the starts of two reads, which bounds the load
// on the store. A reader that is behind reads on without it. The default is zero.
func WithSpacing(d time.Duration) Option {
	return func(t *Tail) { t.spacing.Store(int64(d)) }
}

// WithWait sets how long a read waits for new records.
func WithWait(d time.Duration) Option {
	return func(t *Tail) { t.wait = d }
}

// WithReturnBound sets the longest time for which the store's return may go unnoticed after
// it was silent. Waits for new records are shortened accordingly.
func WithReturnBound(d time.Duration) Option {
	return func(t *Tail) { t.pacer = pacing.New(rand.Float64, pacing.WithReturnBound(d)) }
}

// WithPause starts the reader paused.
func WithPause() Option {
	return func(t *Tail) { t.paused.Store(true) }
}

// WithClock sets the clock of Batch.AsOf and Age. The default clock excludes time in
// which the machine is suspended, so that records read before a suspension look recent
// after it.
func WithClock(clock func() time.Duration) Option {
	return func(t *Tail) { t.clock = clock }
}

// Outages gets to know which reads fail and which are answered.
type Outages interface {
	// Failed is called with the error of a read of Run, how long it was waited for, and the
	// delay until the next one.
	Failed(err error, waited, delay time.Duration)
	// Answered is called after each answer, before its records are applied.
	Answered()
}

// WithOutages sets who gets to know of failed reads.
func WithOutages(o Outages) Option {
	return func(t *Tail) { t.outages = o }
}

type noOutages struct{}

func (noOutages) Failed(error, time.Duration, time.Duration) {}
func (noOutages) Answered()                                  {}

// New returns a Tail that passes the stream's records to apply.
func New(store provider.Keyed, stream string, apply Apply, opts ...Option) *Tail {
	start := time.Now()
	t := &Tail{
		store:            store,
		stream:           stream,
		apply:            apply,
		wait:             defaultWait,
		clock:            func() time.Duration { return time.Since(start) },
		loadedSignal:     make(chan struct{}),
		outages:          noOutages{},
		resumeSignal:     make(chan struct{}, 1),
		loadSemaphore:    make(chan struct{}, 1),
		refreshSemaphore: make(chan struct{}, 1),
		catchUpSemaphore: make(chan struct{}, 1),
		pacer:            pacing.New(rand.Float64),
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

// Pause pauses or resumes the reader. A resumed reader reads the records written
// meanwhile, or loads the newest records if those aren't retained any more. Refresh also
// reads while the reader is paused.
func (t *Tail) Pause(paused bool) {
	if t.paused.Swap(paused) == paused || paused {
		return
	}
	select {
	case t.resumeSignal <- struct{}{}:
	default:
	}
}

// waitUntilResumed waits while the reader is paused.
func (t *Tail) waitUntilResumed(ctx context.Context) {
	for t.paused.Load() && ctx.Err() == nil {
		select {
		case <-t.resumeSignal:
		case <-ctx.Done():
		}
	}
}

// Loaded returns a channel that is closed after the initial load.
func (t *Tail) Loaded() <-chan struct{} {
	return t.loadedSignal
}

// Age returns the time since the last successful read, and at least an hour before the
// first one.
func (t *Tail) Age() time.Duration {
	read := t.lastAnswer.Load()
	if read == 0 {
		return time.Hour
	}
	return t.clock() - time.Duration(read)
}

// UnbrokenSince returns the time on the reader's clock since which no read of Run has failed
// or stayed out, zero before the first read.
func (t *Tail) UnbrokenSince() time.Duration {
	return time.Duration(t.unbrokenSince.Load())
}

// recordAnswer records a successful read.
func (t *Tail) recordAnswer() {
	now := t.clock()
	last := time.Duration(t.lastAnswer.Load())
	if t.lastReadFailed.Load() || last == 0 || now-last > t.wait+maxReadGap {
		t.unbrokenSince.Store(int64(now))
	}
	t.lastAnswer.Store(int64(now))
}

// Lag returns the age of the state that results from the records applied: all records
// written before that time have been applied. It is at least an hour before the initial load.
func (t *Tail) Lag() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasState {
		return time.Hour
	}
	return t.clock() - t.asOf
}

// Failing reports whether the last read of Run failed.
func (t *Tail) Failing() bool {
	return t.lastReadFailed.Load()
}

// IsLoaded reports whether the stream was loaded since the start or the last Reset. It stays
// true while the stream is loaded again because the next records aren't retained any more.
func (t *Tail) IsLoaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasState
}

// Reset makes the next read load the newest records again. A paused reader needs it when the
// state that results from its records is dropped. It waits for a batch that is being applied.
func (t *Tail) Reset() {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isLoaded = false
	t.hasState = false
}

// Next returns the offset after the last record applied.
func (t *Tail) Next() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Run follows the stream until ctx is done.
func (t *Tail) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		t.waitUntilResumed(ctx)
		sent := time.Now()
		wait := t.wait
		if t.lastReadFailed.Load() {
			wait = 0 // detect immediately when reads succeed again
		}
		retryDelay, err := t.readOnce(ctx, wait)
		t.lastReadFailed.Store(err != nil)
		if err != nil && ctx.Err() == nil {
			t.outages.Failed(err, time.Since(sent), retryDelay)
			sleep(ctx, retryDelay)
			continue
		}
		if !t.isBehind() {
			sleep(ctx, time.Duration(t.spacing.Load())-time.Since(sent))
		}
	}
	return nil
}

// isBehind reports whether there are records that weren't read yet, as far as this reader
// knows. It reads on at once then: the spacing bounds the number of reads, not the rate at
// which a stream can be read.
func (t *Tail) isBehind() bool {
	from, loaded := t.nextOffset()
	return loaded && from < t.streamEnd.Load()
}

// Refresh reads up to the end that the stream has at the time of the call. Calls made
// during a refresh share the next one, which starts after all of them. Over a slow link
// one shared response arrives in time where many concurrent ones wouldn't.
func (t *Tail) Refresh(ctx context.Context) error {
	t.upcomingMu.Lock()
	r := t.upcoming
	if r == nil {
		r = &refresh{done: make(chan struct{})}
		t.upcoming = r
		go t.runRefresh(r)
	}
	t.upcomingMu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "wait for a read of %s", t.stream)
	}
}

// refresh is a read to the stream's end, shared by several calls of Refresh.
type refresh struct {
	done chan struct{}
	err  error
}

// runRefresh runs a refresh after the one in progress has ended.
func (t *Tail) runRefresh(r *refresh) {
	t.refreshSemaphore <- struct{}{}
	t.upcomingMu.Lock()
	t.upcoming = nil
	t.upcomingMu.Unlock()
	r.err = t.readToEnd()
	<-t.refreshSemaphore
	close(r.done)
}

// readToEnd reads up to the stream's end. It is bounded by the timeouts of its reads, not
// by the contexts of the calls that wait for it. A load is followed by a read, since it
// may have started before those calls.
func (t *Tail) readToEnd() error {
	ctx := context.Background()
	if _, loaded := t.nextOffset(); !loaded {
		if err := t.load(ctx); err != nil {
			return err
		}
	}
	for {
		if _, err := t.readOnce(ctx, 0); err != nil {
			return err
		}
		if from, _ := t.nextOffset(); from >= t.streamEnd.Load() {
			return nil
		}
	}
}

// readOnce reads the records after the last one applied, or loads the newest records. With
// an error it returns the time until the next read.
func (t *Tail) readOnce(ctx context.Context, wait time.Duration) (retryDelay time.Duration, err error) {
	if t.isBehind() {
		t.catchUpSemaphore <- struct{}{}
		defer func() { <-t.catchUpSemaphore }()
	}
	from, loaded := t.nextOffset()
	if !loaded {
		return t.recordOutcome(t.load(ctx), false, 0)
	}
	isBehind := from < t.streamEnd.Load()
	if isBehind {
		wait = 0 // there are records
	}
	limit, maxWait := t.limit()
	wait = min(wait, maxWait)
	readCtx, cancel := context.WithTimeout(ctx, wait+limit.Timeout)
	defer cancel()
	sent := t.clock()
	page, err := t.store.Read(readCtx, t.stream, from, provider.ReadLimit{Wait: wait, Bytes: limit.Bytes})
	if fault.Is(err, fault.Expired) {
		t.requireLoad()
		return t.recordOutcome(t.load(ctx), false, 0)
	}
	took := time.Duration(0) // unknown after a wait for new records
	if isBehind {
		took = t.clock() - sent
	}
	if err == nil {
		t.applyPage(from, page, sent)
	}
	return t.recordOutcome(err, readCtx.Err() != nil, took)
}

// limit returns the bounds of the next read and of its wait for new records.
func (t *Tail) limit() (limit pacing.Limit, maxWait time.Duration) {
	t.pacerMu.Lock()
	defer t.pacerMu.Unlock()
	return t.pacer.Limit(), t.pacer.MaxWait()
}

// recordOutcome records the outcome of a read, and returns it with the time until the next
// read.
func (t *Tail) recordOutcome(err error, timedOut bool, took time.Duration) (retryDelay time.Duration, _ error) {
	t.pacerMu.Lock()
	defer t.pacerMu.Unlock()
	switch {
	case err == nil:
		t.pacer.Succeeded(took)
		return 0, nil
	case timedOut:
		return t.pacer.Failed(pacing.TimedOut), err
	}
	return t.pacer.Failed(pacing.Rejected), err
}

func (t *Tail) nextOffset() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.isLoaded
}

// requireLoad makes the next read load the newest records.
func (t *Tail) requireLoad() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isLoaded = false
}

// load reads the newest records, page by page. After a failure the next load resumes
// with the failed page, as long as the stream retains the records written since the
// first page.
func (t *Tail) load(ctx context.Context) error {
	t.loadSemaphore <- struct{}{}
	defer func() { <-t.loadSemaphore }()
	if _, loaded := t.nextOffset(); loaded {
		return nil // another goroutine has loaded them meanwhile
	}
	l := t.partial
	if l == nil || t.clock()-l.startedAt > maxPartialAge {
		l = &partialLoad{startedAt: t.clock()}
		t.partial = l
	}
	for first := len(l.records) == 0; ; first = false {
		page, err := t.readPage(ctx, l.after)
		if err != nil {
			return err
		}
		if first {
			l.next = page.Next
		}
		l.records = append(l.records, page.Records...)
		l.after = page.ResumeAfter
		if page.ResumeAfter == "" {
			break
		}
	}
	t.partial = nil
	t.finishLoad(l)
	return nil
}

// partialLoad is an unfinished load with the pages read so far.
type partialLoad struct {
	startedAt time.Duration // time on the reader's clock
	records   []provider.KeyedRecord
	after     string // key of the last record
	next      uint64 // offset at which reading continues
}

func (t *Tail) readPage(ctx context.Context, after string) (provider.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, t.pacer.LongestTimeout())
	defer cancel()
	return t.store.Newest(ctx, t.stream, after)
}

func (t *Tail) finishLoad(l *partialLoad) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	t.outages.Answered()
	asOf := l.startedAt // records written since then may be missing in the first page
	t.apply(Batch{Records: l.records, IsComplete: true, AsOf: asOf})
	t.streamEnd.Store(l.next)
	t.recordAnswer()
	t.markLoaded(l.next, asOf)
	t.loadOnce.Do(func() { close(t.loadedSignal) })
}

// markLoaded records that a load has been applied.
func (t *Tail) markLoaded(next uint64, asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
	t.asOf = asOf
	t.isLoaded = true
	t.hasState = true
}

// applyPage applies those records of a page that no other read has applied. A page that
// reaches the stream's end covers all records written before the read was sent; a page
// truncated by its size doesn't.
func (t *Tail) applyPage(from uint64, page provider.KeyedPage, sent time.Duration) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
	t.outages.Answered()
	applied, asOf := t.position()
	records := page.Records
	if from < applied {
		records = records[min(uint64(len(records)), applied-from):]
	}
	next := max(applied, from+uint64(len(page.Records)))
	if next >= page.Next {
		asOf = max(asOf, sent)
	}
	t.apply(Batch{Records: records, AsOf: asOf})
	t.advance(next, asOf)
	t.streamEnd.Store(max(t.streamEnd.Load(), page.Next)) // responses may arrive out of order
	t.recordAnswer()
}

// position returns the offset after the last record applied, and the time before which all
// records written have been applied.
func (t *Tail) position() (next uint64, asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next, t.asOf
}

// advance records that a page has been applied.
func (t *Tail) advance(next uint64, asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
	t.asOf = asOf
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
