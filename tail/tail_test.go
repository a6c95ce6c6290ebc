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

// narrowStore sends one answer at a time, as over a narrow link, and takes a
// while for a page.
type narrowStore struct {
	provider.Keyed
	link    chan struct{}
	page    time.Duration
	failing int // page that is lost once, -1 for none

	mu      sync.Mutex
	records []provider.KeyedRecord
	kept    uint64 // first offset that can be read
	most    int    // records in an answer to a read, zero for no bound
	pages   int
	reads   int
}

func newNarrowStore(records int, page time.Duration) *narrowStore {
	s := &narrowStore{link: make(chan struct{}, 1), page: page, failing: -1}
	for i := range records {
		s.records = append(s.records, provider.KeyedRecord{Key: fmt.Sprintf("%04d", i), Value: []byte{1}, Offset: uint64(i)})
	}
	return s
}

// asked returns how many pages and reads were answered so far.
func (s *narrowStore) asked() (pages, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pages, s.reads
}

// transfer holds the link for an answer's time.
func (s *narrowStore) transfer(ctx context.Context, d time.Duration) error {
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

func (s *narrowStore) Newest(ctx context.Context, _, after string) (provider.KeyedPage, error) {
	if err := s.transfer(ctx, s.page); err != nil {
		return provider.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pages++; s.pages-1 == s.failing {
		return provider.KeyedPage{}, fault.New(fault.Unavailable, "lost")
	}
	page := provider.KeyedPage{Next: uint64(len(s.records))}
	for _, r := range s.records {
		if r.Key <= after {
			continue
		}
		if len(page.Records) == pageRecords {
			page.After = page.Records[pageRecords-1].Key
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *narrowStore) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (provider.KeyedPage, error) {
	if err := s.transfer(ctx, time.Millisecond); err != nil {
		return provider.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if from < s.kept {
		return provider.KeyedPage{}, fault.New(fault.Expired, "offset %d", from)
	}
	records := s.records[from:]
	if s.most > 0 {
		records = records[:min(s.most, len(records))]
	}
	return provider.KeyedPage{Records: records, Next: uint64(len(s.records))}, nil
}

// write adds records.
func (s *narrowStore) write(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.records = append(s.records, provider.KeyedRecord{Key: k, Value: []byte{1}, Offset: uint64(len(s.records))})
	}
}

// A batch says as of when what was applied is whole, never later than that:
// a load since its first page was asked for, a read since it was sent, and only
// if it brought all there is.
func TestBatchTellsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNarrowStore(3*pageRecords, 500*time.Millisecond)
		batches := make(chan tail.Batch, 10)
		reader := tail.New(s, "jobs", func(b tail.Batch) { batches <- b }, tail.WithSpacing(time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reader.Run(ctx) }()

		loaded := <-batches // after three pages
		is.True(loaded.Whole)
		is.Equal(len(loaded.Records), 3*pageRecords)
		is.Equal(loaded.AsOf, time.Duration(0))

		read := <-batches // at once, as the load took longer than the spacing
		is.Equal(len(read.Records), 0)
		is.Equal(read.AsOf, 1500*time.Millisecond)

		s.most = 1
		s.write("a", "b")
		cut := <-batches
		is.Equal(len(cut.Records), 1)
		is.Equal(cut.AsOf, read.AsOf) // there is more

		rest := <-batches
		is.Equal(len(rest.Records), 1)
		is.Equal(rest.AsOf, 3500*time.Millisecond)
		cancel()
		synctest.Wait()
	})
}

// follow runs a Tail over the store until the test ends.
func follow(t *testing.T, s *narrowStore) (*tail.Tail, func() int) {
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

// Symptom: an instance that restarts on a narrow link answers 503 for every
// job, for minutes. Sequence: the newest records of 2,000 jobs take three
// seconds to arrive. Cause: all pages had to arrive within the time-out of one
// answer, and each try began with the first page.
func TestLoadOverNarrowLink(t *testing.T) {
	tests := []struct {
		name    string
		failing int
		pages   int
	}{
		{"all pages arrive", -1, 5},
		{"a page is lost", 3, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newNarrowStore(5*pageRecords, 700*time.Millisecond)
				s.failing = tt.failing
				reader, known := follow(t, s)
				time.Sleep(6 * time.Second)
				is.Equal(known(), 5*pageRecords)
				pages, _ := s.asked()
				is.Equal(pages, tt.pages)
				is.True(reader.Age() < 2*time.Second)
			})
		})
	}
}

// Symptom: an instance never gets to know its jobs while callers ask for them.
// Sequence: it restarts on a narrow link, and fifty callers ask for jobs that it
// doesn't know yet. Cause: each question loaded all records beside the others,
// and the link carried none of them to its end.
func TestQuestionsShareOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNarrowStore(3*pageRecords, 500*time.Millisecond)
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
		pages, reads := s.asked()
		is.Equal(pages, 3)
		is.True(reads < 6) // one for all that asked, the others by Run
	})
}

// Symptom: an answer says that a job doesn't exist, though it was accepted.
// Sequence: a read is under way when the job is written, and a question that
// comes after it joins the read. Cause: the read may have passed the stream's
// end before.
func TestRefreshBeginsAfterTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNarrowStore(1, time.Millisecond)
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
