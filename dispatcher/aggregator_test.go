package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/dispatcher"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// aggregatedStore is the store as one instance reaches it, with faults of stream Aggregated.
type aggregatedStore struct {
	*slowStore
	mu      sync.Mutex
	rejects bool
	silent  bool          // appends are applied but not answered
	frozen  chan struct{} // appends begin once it is closed; nil for at once
	delay   time.Duration // of each append, concurrently
	appends int
	reads   int

	inFlight    int
	maxInFlight int
}

func (s *aggregatedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// unfreeze lets frozen appends go on.
func (s *aggregatedStore) unfreeze() {
	s.set(func() {
		if s.frozen != nil {
			close(s.frozen)
			s.frozen = nil
		}
	})
}

func (s *aggregatedStore) counts() (appends, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.reads
}

// peak returns the largest number of appends that were in flight at a time.
func (s *aggregatedStore) peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxInFlight
}

func (s *aggregatedStore) Read(ctx context.Context, name string, from uint64, limit provider.ReadLimit) (provider.KeyedPage, error) {
	if name == catalog.Aggregated {
		s.set(func() { s.reads++ })
	}
	return s.slowStore.Read(ctx, name, from, limit)
}

func (s *aggregatedStore) Append(ctx context.Context, name string, w *provider.Writer, records []provider.KeyedRecord) error {
	if name != catalog.Aggregated {
		return s.slowStore.Append(ctx, name, w, records)
	}
	s.mu.Lock()
	s.appends++
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	rejects, silent, frozen, delay := s.rejects, s.silent, s.frozen, s.delay
	s.mu.Unlock()
	defer s.set(func() { s.inFlight-- })
	time.Sleep(delay)
	if rejects {
		return fault.New(fault.Unavailable, "rejected")
	}
	if frozen != nil {
		<-frozen
		ctx = context.WithoutCancel(ctx)
	}
	err := s.slowStore.Append(ctx, name, w, records)
	if silent {
		<-ctx.Done()
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "append")
	}
	return err
}

// startAggregator starts an instance on a store, and returns what it reaches of the store.
func startAggregator(ctx context.Context, store *slowStore, name string, opts ...dispatcher.Option) (*dispatcher.Dispatcher, *aggregatedStore) {
	own := &aggregatedStore{slowStore: store}
	opts = append([]dispatcher.Option{dispatcher.WithInstance(name), dispatcher.WithAggregator()}, opts...)
	d := dispatcher.New(dispatcher.Platform{Store: own, Executor: noWorkers{}}, opts...)
	d.Configure(queue.New(1, queue.Limits{}, nil, nil))
	go func() { _ = d.Run(ctx) }()
	return d, own
}

func acceptRecord(n int) provider.KeyedRecord {
	r, err := catalog.AcceptRecord(newJob(n))
	if err != nil {
		panic(err)
	}
	return r
}

// aggregate writes job n through an aggregator.
func aggregate(ctx context.Context, d *dispatcher.Dispatcher, n int, within time.Duration) aggregation.Result {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return d.Aggregator().Write(ctx, []provider.KeyedRecord{acceptRecord(n)})
}

// inSynctest runs a test in a bubble, with a context that ends all instances.
func inSynctest(t *testing.T, test func(ctx context.Context, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { // also after a failure, which would otherwise show as a deadlock
			cancel()
			synctest.Wait()
			time.Sleep(3 * time.Second) // for the reads in flight
		}()
		test(ctx, is.New(t))
	})
}

// Guards against one append for each record, which fills the queue of a slow partition.
func TestAggregatorBatches(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		d, store := startAggregator(ctx, newSlowStore(96*time.Millisecond), "e1")
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		results := make([]aggregation.Result, 600)
		for n := range results {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 2 * time.Millisecond)
				results[n] = aggregate(ctx, d, n, 3*time.Second)
			})
		}
		wg.Wait()
		for _, r := range results {
			is.Equal(r.Outcome, aggregation.Written)
			is.True(r.AppendTime >= 96*time.Millisecond && r.AppendTime < time.Second)
		}
		appends, _ := store.counts()
		is.True(appends < 20) // 1.2 s of 96 ms each, and some of them concurrent
		pending, err := d.Pending(ctx, "q")
		is.NoErr(err)
		is.Equal(pending, len(results))
	})
}

// Guards against a job that is lost or exists twice because an aggregator didn't answer.
func TestUnansweredAggregator(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *aggregatedStore)
		late  bool // whether it writes after the other aggregator
	}{
		{"dies between append and answer", func(s *aggregatedStore) { s.silent = true }, false},
		{"freezes and writes late", func(s *aggregatedStore) { s.frozen = make(chan struct{}) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSynctest(t, func(ctx context.Context, is *is.I) {
				shared := newSlowStore(2 * time.Millisecond)
				first, store := startAggregator(ctx, shared, "e1")
				second, _ := startAggregator(ctx, shared, "e2")
				time.Sleep(2 * time.Second)
				store.set(func() { tt.fault(store) })
				defer store.unfreeze()
				is.Equal(aggregate(ctx, first, 1, 500*time.Millisecond).Outcome, aggregation.Unknown)
				is.Equal(shared.newest(catalog.Aggregated, "a/"+newJob(1).ID) != nil, !tt.late)
				is.Equal(aggregate(ctx, second, 1, 500*time.Millisecond).Outcome, aggregation.Written)
				is.NoErr(second.Cancel(ctx, newJob(1).ID))
				store.unfreeze()
				time.Sleep(3 * time.Second)
				for _, d := range []*dispatcher.Dispatcher{first, second} {
					pending, err := d.Pending(ctx, "q")
					is.NoErr(err)
					is.Equal(pending, 0)
					state, err := d.State(ctx, newJob(1).ID)
					is.NoErr(err)
					is.Equal(state, progress.Cancelled)
				}
			})
		})
	}
}

// Guards against an aggregator that lets its callers wait while it can't write.
func TestAggregatorRefusesAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(ctx context.Context, is *is.I, d *dispatcher.Dispatcher, s *aggregatedStore)
	}{
		{"its appends are rejected", func(ctx context.Context, is *is.I, d *dispatcher.Dispatcher, s *aggregatedStore) {
			s.set(func() { s.rejects = true })
			is.Equal(aggregate(ctx, d, 1, time.Second).Outcome, aggregation.NotWritten)
		}},
		{"its appends aren't answered", func(ctx context.Context, is *is.I, d *dispatcher.Dispatcher, s *aggregatedStore) {
			s.set(func() { s.silent = true })
			is.Equal(aggregate(ctx, d, 1, 1600*time.Millisecond).Outcome, aggregation.Unknown)
		}},
		{"it leaves", func(ctx context.Context, _ *is.I, d *dispatcher.Dispatcher, _ *aggregatedStore) { d.Leave(ctx) }},
		{"too many records wait", func(ctx context.Context, is *is.I, d *dispatcher.Dispatcher, s *aggregatedStore) {
			s.set(func() { s.frozen = make(chan struct{}) })
			records := make([]provider.KeyedRecord, aggregation.MaxRecords)
			for n := range records {
				records[n] = acceptRecord(100 + n)
			}
			for range 5 {
				go d.Aggregator().Write(ctx, records)
				time.Sleep(time.Millisecond)
			}
		}},
		{"too many bytes wait", func(ctx context.Context, _ *is.I, d *dispatcher.Dispatcher, s *aggregatedStore) {
			s.set(func() { s.frozen = make(chan struct{}) })
			large := []provider.KeyedRecord{{Key: "c/1", Value: make([]byte, aggregation.MaxBytes-100)}}
			for range 9 { // one of them is in flight
				go d.Aggregator().Write(ctx, large)
				time.Sleep(time.Millisecond)
			}
			fill := []provider.KeyedRecord{{Key: "c/1", Value: make([]byte, 690)}}
			go d.Aggregator().Write(ctx, fill)
			time.Sleep(time.Millisecond)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSynctest(t, func(ctx context.Context, is *is.I) {
				d, store := startAggregator(ctx, newSlowStore(2*time.Millisecond), "e1")
				time.Sleep(2 * time.Second)
				is.Equal(aggregate(ctx, d, 0, time.Second).Outcome, aggregation.Written)
				defer store.unfreeze()
				tt.prepare(ctx, is, d, store)
				before, _ := store.counts()
				startedAt := time.Now()
				is.Equal(aggregate(ctx, d, 2, time.Second).Outcome, aggregation.NotWritten)
				is.Equal(time.Since(startedAt), time.Duration(0))
				after, _ := store.counts()
				is.Equal(before, after)
			})
		})
	}
}

// Guards against an aggregator that refuses records for longer than the store rejects them.
func TestAggregatorRecovers(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		d, store := startAggregator(ctx, newSlowStore(2*time.Millisecond), "e1")
		time.Sleep(2 * time.Second)
		store.set(func() { store.rejects = true })
		is.Equal(aggregate(ctx, d, 1, time.Second).Outcome, aggregation.NotWritten)
		store.set(func() { store.rejects = false })
		time.Sleep(300 * time.Millisecond)
		is.Equal(aggregate(ctx, d, 1, time.Second).Outcome, aggregation.Written)
		pending, err := d.Pending(ctx, "q")
		is.NoErr(err)
		is.Equal(pending, 1) // known without a read
	})
}

// Guards against records that wait for their deadline behind an append that was rejected.
func TestWaitingRecordsAreRefused(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		d, store := startAggregator(ctx, newSlowStore(2*time.Millisecond), "e1")
		time.Sleep(2 * time.Second)
		store.set(func() { store.rejects, store.delay = true, 100*time.Millisecond })
		results := make(chan aggregation.Result, 3)
		startedAt := time.Now()
		for n := range cap(results) {
			go func() { results <- aggregate(ctx, d, n, 3*time.Second) }()
			synctest.Wait() // the first append has begun
		}
		for range cap(results) {
			is.Equal((<-results).Outcome, aggregation.NotWritten)
		}
		is.Equal(time.Since(startedAt), 100*time.Millisecond)
		appends, _ := store.counts()
		is.Equal(appends, 1)
	})
}

// Guards against more appends at a time than the store carries out concurrently, and against a
// limit that grows because rejections are quick.
func TestAppendsInFlight(t *testing.T) {
	tests := []struct {
		name    string
		serial  bool // whether the store carries out one append at a time
		rejects bool
		minimum int
		maximum int
	}{
		{"concurrent store", false, false, 3, 4},
		{"serial store", true, false, 1, 2},
		{"the store rejects", false, true, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSynctest(t, func(ctx context.Context, is *is.I) {
				shared := newSlowStore(time.Microsecond)
				if tt.serial {
					shared = newSlowStore(50 * time.Millisecond)
				}
				d, store := startAggregator(ctx, shared, "e1")
				time.Sleep(2 * time.Second)
				store.set(func() { store.rejects = tt.rejects })
				if !tt.serial {
					store.set(func() { store.delay = 50 * time.Millisecond })
				}
				var wg sync.WaitGroup
				for n := range 8000 {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * time.Millisecond)
						aggregate(ctx, d, n, 3*time.Second)
					})
				}
				wg.Wait()
				is.True(store.peak() >= tt.minimum && store.peak() <= tt.maximum)
				store.set(func() { store.rejects = true })
				time.Sleep(time.Second)
				is.Equal(aggregate(ctx, d, 8000, time.Second).Outcome, aggregation.NotWritten)
				store.set(func() { store.rejects, store.maxInFlight = false, 0 })
				time.Sleep(time.Second)
				for n := range 20 {
					go aggregate(ctx, d, 8001+n, time.Second)
					time.Sleep(time.Millisecond)
				}
				is.Equal(store.peak(), 1) // just after a rejection
			})
		})
	}
}

// lateTimer is a context whose deadline is over although its timer hasn't fired.
type lateTimer struct{ context.Context }

func (lateTimer) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// Guards against a process that is resumed and writes records whose callers' time is over.
func TestNoAppendBeforeTheTimerFires(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		d, store := startAggregator(ctx, newSlowStore(2*time.Millisecond), "e1")
		time.Sleep(2 * time.Second)
		late, fire := context.WithTimeout(ctx, time.Second)
		defer fire()
		is.Equal(d.Aggregator().Write(lateTimer{late}, []provider.KeyedRecord{acceptRecord(1)}).Outcome, aggregation.NotWritten)
		appends, _ := store.counts()
		is.Equal(appends, 0)
	})
}

// Guards against a record that is written after its caller was told that it never will be.
func TestNoAppendAfterTheDeadline(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		d, store := startAggregator(ctx, newSlowStore(500*time.Millisecond), "e1")
		time.Sleep(2 * time.Second)
		first := make(chan aggregation.Result, 1)
		go func() { first <- aggregate(ctx, d, 1, 2*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		is.Equal(aggregate(ctx, d, 2, 100*time.Millisecond).Outcome, aggregation.NotWritten) // behind the first
		is.Equal((<-first).Outcome, aggregation.Written)
		time.Sleep(3 * time.Second)
		is.Equal(store.newest(catalog.Aggregated, "a/"+newJob(2).ID), nil)
	})
}

// Guards against jobs that a new owner, or instances that start from the store alone, don't know
// because they stand in one of the two streams.
func TestTakeoverReadsBothStreams(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		store := newSlowStore(2 * time.Millisecond)
		f := newFleetOn(ctx, store, 6, dispatcher.WithAggregatedStream())
		time.Sleep(20 * time.Second)
		is.NoErr(f.store.Append(ctx, catalog.Accepts, nil, []provider.KeyedRecord{acceptRecord(1)}))
		is.NoErr(f.store.Append(ctx, catalog.Aggregated, nil, []provider.KeyedRecord{acceptRecord(2)}))
		for range 2 { // the second time, all instances are new
			_, before := f.following()
			f.kill(before)
			time.Sleep(15 * time.Second)
			_, owner := f.following()
			is.True(owner != "" && owner != before)
			pending, err := f.instances[owner].Pending(ctx, "q")
			is.NoErr(err)
			is.Equal(pending, 2)
			f.each(func(id string, _ *dispatcher.Dispatcher) { f.kill(id) })
			f = newFleetOn(ctx, store, 6, dispatcher.WithAggregatedStream())
			time.Sleep(20 * time.Second)
		}
	})
}

// Guards against an instance that answers that there is no such job although it is in the
// second stream.
func TestEveryInstanceKnowsAggregatedJobs(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		f := newFleetOn(ctx, newSlowStore(2*time.Millisecond), 6, dispatcher.WithAggregatedStream())
		time.Sleep(20 * time.Second)
		n := 0
		f.each(func(_ string, d *dispatcher.Dispatcher) {
			n++
			is.NoErr(f.store.Append(ctx, catalog.Aggregated, nil, []provider.KeyedRecord{acceptRecord(n)}))
			state, err := d.State(ctx, newJob(n).ID)
			is.NoErr(err)
			is.Equal(state, progress.Queued)
			_, err = d.State(ctx, newJob(99).ID)
			is.True(fault.Is(err, fault.NotFound))
			is.True(d.Ready())
		})
		f.store.setUnreadable(catalog.Aggregated)
		f.each(func(_ string, d *dispatcher.Dispatcher) {
			_, err := d.State(ctx, newJob(99).ID)
			is.True(fault.Is(err, fault.Unavailable)) // it may be there
		})
	})
}

// Guards against an instance with aggregation switched off that loses the jobs that others write
// through aggregators, leaves them on record when they are forgotten, or writes for others.
func TestFollowerOfAggregatedStreamIsNoAggregator(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		timing := cell.DefaultTiming()
		timing.JobRetention = time.Second
		store := &aggregatedStore{slowStore: newSlowStore(2 * time.Millisecond)}
		d := dispatcher.New(dispatcher.Platform{Store: store, Executor: noWorkers{}}, dispatcher.WithInstance("e1"),
			dispatcher.WithTiming(timing), dispatcher.WithAggregatedStream())
		d.Configure(queue.New(1, queue.Limits{}, nil, nil))
		go func() { _ = d.Run(ctx) }()
		time.Sleep(2 * time.Second)
		is.Equal(aggregate(ctx, d, 1, time.Second).Outcome, aggregation.NotWritten)
		appends, _ := store.counts()
		is.Equal(appends, 0)
		is.NoErr(store.slowStore.Append(ctx, catalog.Aggregated, nil, []provider.KeyedRecord{acceptRecord(2)}))
		state, err := d.State(ctx, newJob(2).ID)
		is.NoErr(err)
		is.Equal(state, progress.Queued)
		is.NoErr(d.Cancel(ctx, newJob(2).ID))
		time.Sleep(40 * time.Second)
		is.Equal(len(store.newest(catalog.Aggregated, "a/"+newJob(2).ID)), 0)
	})
}

// Guards against an owner that starts the tasks of aggregated jobs late, because it reads their
// stream rarely.
func TestOwnerStartsAggregatedJobsAtOnce(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		store, workers, clock := newSlowStore(2*time.Millisecond), &unresponsiveWorkers{}, newClock()
		d := dispatcher.New(dispatcher.Platform{Store: store, Executor: workers}, dispatcher.WithClock(clock), dispatcher.WithAggregator())
		d.Configure(onePool())
		go sendListPeriodically(ctx, d, clock, provider.Host{ID: "w1", Service: "pool"}, provider.Host{ID: "w2", Service: "pool"}, provider.Host{ID: "w3", Service: "pool"})
		go func() { _ = d.Run(ctx) }()
		time.Sleep(5 * time.Second)
		for n := 1; n <= 3; n++ {
			is.NoErr(store.Append(ctx, catalog.Aggregated, nil, []provider.KeyedRecord{acceptRecord(n)}))
			time.Sleep(50 * time.Millisecond)
			is.Equal(workers.started(), n)
		}
	})
}

// Guards against calls that an idle second stream costs, and any at all without the option.
func TestIdleAggregatedStreamCostsFewCalls(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		shared := newSlowStore(2 * time.Millisecond)
		_, store := startAggregator(ctx, shared, "e1")
		without := &aggregatedStore{slowStore: shared}
		d := dispatcher.New(dispatcher.Platform{Store: without, Executor: noWorkers{}}, dispatcher.WithInstance("e2"))
		d.Configure(queue.New(1, queue.Limits{}, nil, nil))
		go func() { _ = d.Run(ctx) }()
		time.Sleep(5 * time.Second)
		_, before := store.counts()
		time.Sleep(25 * time.Second)
		_, after := store.counts()
		is.True(after-before <= 11) // one in 2.5 s
		is.Equal(aggregate(ctx, d, 1, time.Second).Outcome, aggregation.NotWritten)
		appends, reads := without.counts()
		is.Equal(appends+reads, 0)
	})
}

// Guards against a forgotten job that stays in one of the streams without its progress, so that
// it would run again.
func TestForgottenJobsAreDeletedInBothStreams(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		timing := cell.DefaultTiming()
		timing.JobRetention = time.Second
		d, store := startAggregator(ctx, newSlowStore(2*time.Millisecond), "e1", dispatcher.WithTiming(timing))
		time.Sleep(2 * time.Second)
		is.NoErr(d.Submit(ctx, newJob(1)))
		is.Equal(aggregate(ctx, d, 2, time.Second).Outcome, aggregation.Written)
		is.NoErr(d.Submit(ctx, newJob(3)))
		is.Equal(aggregate(ctx, d, 3, time.Second).Outcome, aggregation.Written)
		for n := 1; n <= 3; n++ {
			is.NoErr(d.Cancel(ctx, newJob(n).ID))
		}
		time.Sleep(40 * time.Second)
		for n := 1; n <= 3; n++ {
			key := newJob(n).ID
			for _, stream := range []string{catalog.Accepts, catalog.Aggregated} {
				is.Equal(len(store.newest(stream, "a/"+key))+len(store.newest(stream, "c/"+key)), 0)
			}
			is.Equal(len(store.newest(catalog.Progress, "p/"+key)), 0)
		}
		appends, _ := store.counts()
		is.True(appends <= 3) // two of jobs and one that deletes both
		page, err := store.Newest(ctx, catalog.Aggregated, "")
		is.NoErr(err)
		for _, r := range page.Records {
			is.True(r.Key != "a/"+newJob(1).ID) // deleted only where it was
		}
	})
}
