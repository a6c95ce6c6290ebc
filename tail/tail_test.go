package tail_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/tail"
)

const pageRecords = 10

// slowLinkStore transfers one response at a time, as over a slow link, and takes a given
// time per page.
type slowLinkStore struct {
	provider.Keyed
	link     chan struct{}
	page     time.Duration
	lostPage int // page whose first transfer fails, -1 for none

	mu         sync.Mutex
	records    []provider.KeyedRecord
	firstKept  uint64 // first offset that is retained
	maxRecords int    // per read, zero for no bound
	pages      int
	reads      int
}

func newSlowLinkStore(records int, page time.Duration) *slowLinkStore {
	s := &slowLinkStore{link: make(chan struct{}, 1), page: page, lostPage: -1}
	for i := range records {
		s.records = append(s.records, provider.KeyedRecord{Key: fmt.Sprintf("%04d", i), Value: []byte{1}, Offset: uint64(i)})
	}
	return s
}

// counts returns how many pages and reads were answered so far.
func (s *slowLinkStore) counts() (pages, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pages, s.reads
}

// transfer occupies the link for the duration of a response.
func (s *slowLinkStore) transfer(ctx context.Context, d time.Duration) error {
	select {
	case s.link <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "link")
	}
	defer func() { <-s.link }()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "answer")
	}
}

func (s *slowLinkStore) Newest(ctx context.Context, _, after string) (provider.KeyedPage, error) {
	if err := s.transfer(ctx, s.page); err != nil {
		return provider.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pages++; s.pages-1 == s.lostPage {
		return provider.KeyedPage{}, fault.New(fault.Unavailable, "lost")
	}
	page := provider.KeyedPage{Next: uint64(len(s.records))}
	for _, r := range s.records {
		if r.Key <= after {
			continue
		}
		if len(page.Records) == pageRecords {
			page.ResumeAfter = page.Records[pageRecords-1].Key
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *slowLinkStore) Read(ctx context.Context, _ string, from uint64, _ provider.ReadLimit) (provider.KeyedPage, error) {
	if err := s.transfer(ctx, time.Millisecond); err != nil {
		return provider.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if from < s.firstKept {
		return provider.KeyedPage{}, fault.New(fault.Expired, "offset %d", from)
	}
	records := s.records[from:]
	if s.maxRecords > 0 {
		records = records[:min(s.maxRecords, len(records))]
	}
	return provider.KeyedPage{Records: records, Next: uint64(len(s.records))}, nil
}

// write adds records.
func (s *slowLinkStore) write(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.records = append(s.records, provider.KeyedRecord{Key: k, Value: []byte{1}, Offset: uint64(len(s.records))})
	}
}

// Checks Batch.AsOf: a load is current as of the request for its first page, a read as of
// its request, and only if it reaches the stream's end.
func TestBatchAsOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlowLinkStore(3*pageRecords, 500*time.Millisecond)
		batches := make(chan tail.Batch, 10)
		reader := tail.New(s, "jobs", func(b tail.Batch) { batches <- b }, tail.WithSpacing(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reader.Run(ctx) }()

		loaded := <-batches // after three pages
		is.True(loaded.IsComplete)
		is.Equal(len(loaded.Records), 3*pageRecords)
		is.Equal(loaded.AsOf, time.Duration(0))

		read := <-batches // at once, as the load took longer than the spacing
		is.Equal(len(read.Records), 0)
		is.Equal(read.AsOf, 1500*time.Millisecond)

		s.maxRecords = 1
		s.write("a", "b")
		truncated := <-batches
		is.Equal(len(truncated.Records), 1)
		is.Equal(truncated.AsOf, read.AsOf) // the page was truncated

		rest := <-batches
		is.Equal(len(rest.Records), 1)
		is.Equal(rest.AsOf, 2501*time.Millisecond) // read on at once, as it was behind
		cancel()
		synctest.Wait()
	})
}

// follow runs a Tail over the store until the test ends.
func follow(t *testing.T, s *slowLinkStore) (*tail.Tail, func() int) {
	var mu sync.Mutex
	keys := make(map[string]bool)
	apply := func(b tail.Batch) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range b.Records {
			keys[r.Key] = true
		}
	}
	reader := tail.New(s, "jobs", apply, tail.WithSpacing(time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = reader.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return reader, func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(keys)
	}
}

// Guards against an instance that never finishes its initial load after a restart on a
// slow link, and answers 503 for every job: the newest records of 2,000 jobs take three
// seconds, more than the timeout of one page, and a retry mustn't start from the first.
func TestLoadOverSlowLink(t *testing.T) {
	tests := []struct {
		name     string
		lostPage int
		pages    int
	}{
		{"all pages arrive", -1, 5},
		{"a page is lost", 3, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSlowLinkStore(5*pageRecords, 700*time.Millisecond)
				s.lostPage = tt.lostPage
				reader, known := follow(t, s)
				time.Sleep(6 * time.Second)
				is.Equal(known(), 5*pageRecords)
				pages, _ := s.counts()
				is.Equal(pages, tt.pages)
				is.True(reader.Age() < 2*time.Second)
			})
		})
	}
}

// Guards against concurrent loads that saturate a slow link so that none completes: after
// a restart, fifty callers ask for jobs that the instance hasn't loaded yet.
func TestRefreshesShareOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlowLinkStore(3*pageRecords, 500*time.Millisecond)
		reader, known := follow(t, s)
		answers := make(chan error, 50)
		for range cap(answers) {
			go func() { answers <- reader.Refresh(t.Context()) }()
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(answers), cap(answers))
		for range cap(answers) {
			is.NoErr(<-answers)
		}
		is.Equal(known(), 3*pageRecords)
		pages, reads := s.counts()
		is.Equal(pages, 3)
		is.True(reads < 6) // one for all refreshes, the others by Run
	})
}

// Guards against a refresh that misses a job accepted before it: a read in progress may
// already have passed the stream's end, so a later call must not join it.
func TestRefreshStartsAfterCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlowLinkStore(1, time.Millisecond)
		reader, known := follow(t, s)
		<-reader.Loaded()
		first := make(chan error, 1)
		go func() { first <- reader.Refresh(t.Context()) }()
		synctest.Wait()
		s.mu.Lock()
		s.records = append(s.records, provider.KeyedRecord{Key: "new", Value: []byte{1}, Offset: 1})
		s.mu.Unlock()
		is.NoErr(reader.Refresh(t.Context()))
		is.Equal(known(), 2)
		is.NoErr(<-first)
	})
}

// stallingStore takes a given time for each read of records.
type stallingStore struct {
	provider.Keyed
	mu     sync.Mutex
	took   time.Duration
	limits []provider.ReadLimit
}

func (s *stallingStore) setTook(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took = d
}

func (s *stallingStore) Newest(context.Context, string, string) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, nil
}

func (s *stallingStore) Read(ctx context.Context, _ string, _ uint64, limit provider.ReadLimit) (provider.KeyedPage, error) {
	s.mu.Lock()
	s.limits = append(s.limits, limit)
	took := s.took
	s.mu.Unlock()
	select {
	case <-time.After(took):
		return provider.KeyedPage{}, nil
	case <-ctx.Done():
		return provider.KeyedPage{}, fault.Wrap(fault.Unavailable, ctx.Err(), "answer")
	}
}

// Guards against a reader that gives an answer up and asks for the same again, without end.
func TestTimedOutReadIsFollowedBySmallerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &stallingStore{took: 2 * time.Second}
		reader := tail.New(s, "jobs", func(tail.Batch) {}, tail.WithWait(0), tail.WithSpacing(100*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reader.Run(ctx) }()
		time.Sleep(10 * time.Second)
		is.True(reader.Age() < 3*time.Second) // a longer read has ended
		s.setTook(time.Millisecond)
		time.Sleep(5 * time.Second)
		is.True(reader.Age() < 200*time.Millisecond)
		cancel()
		synctest.Wait()
		for i, l := range s.limits[1:3] {
			is.True(l.Bytes < s.limits[i].Bytes)
		}
	})
}

// Guards against a reader that never catches up with a stream that is written faster than one
// page in each spacing: an owner's list of thousands of workers, which got too old to start
// tasks by it.
func TestReaderThatIsBehindReadsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlowLinkStore(1, time.Millisecond)
		reader, known := follow(t, s) // reads once a second
		<-reader.Loaded()
		for i := range 100 {
			s.write(fmt.Sprintf("new-%d", i))
		}
		s.mu.Lock()
		s.maxRecords = 5
		s.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		is.Equal(known(), 101)
	})
}

// Guards against standbys that all reject queries while they load a stream again whose history
// the store has dropped.
func TestStateOutlivesLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSlowLinkStore(3*pageRecords, 500*time.Millisecond)
		reader, _ := follow(t, s)
		is.Equal(reader.IsLoaded(), false)
		<-reader.Loaded()
		synctest.Wait()
		s.write("a", "b")
		s.mu.Lock()
		s.firstKept = uint64(len(s.records)) // the reader has missed them
		s.mu.Unlock()
		time.Sleep(1200 * time.Millisecond) // the next read and a part of the load
		is.True(reader.IsLoaded())
		is.True(reader.Lag() > time.Second)
		time.Sleep(3 * time.Second)
		is.True(reader.Lag() < 2*time.Second)
		reader.Reset()
		is.Equal(reader.IsLoaded(), false)
	})
}

// silentStore is an empty store. A call that it takes or would answer while it is silent is lost.
type silentStore struct {
	provider.Keyed
	mu          sync.Mutex
	silentFrom  time.Time
	silentUntil time.Time
	sent        time.Time // first call after the silence that isn't lost
}

func (s *silentStore) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentFrom = time.Now()
	s.silentUntil = s.silentFrom.Add(d)
	s.sent = time.Time{}
}

// firstSent returns when the first call was sent that the silence hasn't swallowed.
func (s *silentStore) firstSent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *silentStore) answer(ctx context.Context, after time.Duration) error {
	sent := time.Now()
	select {
	case <-time.After(after):
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "answer")
	}
	s.mu.Lock()
	lost := sent.Before(s.silentUntil) && !time.Now().Before(s.silentFrom)
	if !lost && s.sent.IsZero() {
		s.sent = sent
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return fault.Wrap(fault.Unavailable, ctx.Err(), "answer")
	}
	return nil
}

func (s *silentStore) Newest(ctx context.Context, _, _ string) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, s.answer(ctx, 0)
}

func (s *silentStore) Read(ctx context.Context, _ string, _ uint64, limit provider.ReadLimit) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, s.answer(ctx, limit.Wait)
}

// Guards against a reader that waits for a lost answer, or its next attempt, long after the store's return.
func TestReturnOfSilentStoreIsNoticed(t *testing.T) {
	tests := []struct {
		name         string
		contactBound time.Duration // from the store's return until an instance has to be current
		wait         time.Duration
		unloaded     bool // whether the store falls silent before the reader has loaded the stream
	}{
		{"short wait", 3 * time.Second, time.Second, false},
		{"wait above the bound", 3 * time.Second, 5 * time.Second, false},
		{"long bound", 6 * time.Second, 2500 * time.Millisecond, false},
		{"first load", 3 * time.Second, time.Second, true},
		{"first load with a long bound", 6 * time.Second, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, silence := range []time.Duration{1, 2, 3, 5, 6, 10} {
				for phase := range 40 {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						s := &silentStore{}
						bound := 2 * tt.contactBound / 3
						reader := tail.New(s, "op", func(tail.Batch) {}, tail.WithWait(tt.wait), tail.WithReturnBound(bound))
						ctx, cancel := context.WithCancel(t.Context())
						until := 5*time.Second + time.Duration(phase)*25*time.Millisecond
						if tt.unloaded {
							s.silence(until + silence*time.Second)
						}
						go func() { _ = reader.Run(ctx) }()
						time.Sleep(until)
						if !tt.unloaded {
							s.silence(silence * time.Second)
						}
						time.Sleep(silence * time.Second)
						returned := time.Now()
						time.Sleep(bound + tt.wait) // the first read after it may wait for records
						is.True(s.firstSent().After(returned))
						is.True(s.firstSent().Sub(returned) <= bound)
						cancel()
						synctest.Wait()
					})
				}
			}
		})
	}
}

// Guards against a deadlock of a reader that applies a batch with others that ask for its state.
func TestStateIsAvailableDuringApply(t *testing.T) {
	const timeout = 20 * time.Second // a successful run takes milliseconds
	is := is.New(t)
	s := newSlowLinkStore(1, 0)
	s.write("new") // read after the load
	var reader *tail.Tail
	states := make(chan bool, 10)
	reader = tail.New(s, "jobs", func(tail.Batch) {
		answered := make(chan bool, 1)
		go func() { answered <- reader.IsLoaded() && reader.Lag() < time.Hour && reader.Next() > 0 }()
		select {
		case loaded := <-answered:
			states <- loaded
		case <-time.After(timeout):
			t.Error("the state isn't available while a batch is applied")
			states <- false
		}
	}, tail.WithSpacing(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = reader.Run(ctx) }()
	is.Equal(<-states, false) // while the load is applied
	if t.Failed() {
		return
	}
	is.NoErr(reader.Refresh(t.Context()))
	is.Equal(<-states, true)
}

// flakyStore has no records, and fails while it is away.
type flakyStore struct {
	provider.Keyed
	mu   sync.Mutex
	away bool
}

func (s *flakyStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *flakyStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return fault.New(fault.Unavailable, "reset")
	}
	return nil
}

func (s *flakyStore) Newest(context.Context, string, string) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, s.err()
}

func (s *flakyStore) Read(context.Context, string, uint64, provider.ReadLimit) (provider.KeyedPage, error) {
	time.Sleep(50 * time.Millisecond)
	return provider.KeyedPage{}, s.err()
}

// Guards against a reader that takes the store for available all the while, although it was
// away or the reader stood still.
func TestUnbrokenSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var suspended time.Duration
		var mu sync.Mutex
		clock := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Second + time.Since(start) + suspended
		}
		store := &flakyStore{}
		r := tail.New(store, "jobs", func(tail.Batch) {}, tail.WithClock(clock))
		is.Equal(r.UnbrokenSince(), time.Duration(0))
		go func() { _ = r.Run(ctx) }()
		time.Sleep(3 * time.Second)
		is.Equal(r.UnbrokenSince(), time.Second)
		store.setAway(true)
		time.Sleep(2 * time.Second)
		store.setAway(false)
		back := clock()
		time.Sleep(3 * time.Second)
		is.True(r.UnbrokenSince() >= back)
		mu.Lock()
		suspended = 5 * time.Second
		mu.Unlock()
		resumed := clock()
		time.Sleep(time.Second)
		is.True(r.UnbrokenSince() >= resumed)
		cancel()
		time.Sleep(time.Second) // for the read in flight
	})
}
