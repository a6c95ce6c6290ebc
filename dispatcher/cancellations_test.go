package dispatcher_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/dispatcher"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// lateStore loses its answers to appends of jobs, and carries the appends out when told to.
type lateStore struct {
	*slowStore
	mu      sync.Mutex
	loses   string // stream
	late    []func()
	expired map[string]int // reads that find their records deleted, by stream
}

func (s *lateStore) Append(ctx context.Context, name string, w *provider.Writer, records []provider.KeyedRecord) error {
	s.mu.Lock()
	if name != s.loses || !strings.HasPrefix(records[0].Key, "a/") {
		s.mu.Unlock()
		return s.slowStore.Append(ctx, name, w, records)
	}
	s.late = append(s.late, func() { _ = s.slowStore.Append(context.Background(), name, w, records) })
	s.mu.Unlock()
	<-ctx.Done()
	return fault.Wrap(fault.MayHaveRun, ctx.Err(), "append")
}

func (s *lateStore) Read(ctx context.Context, name string, from uint64, limit provider.ReadLimit) (provider.KeyedPage, error) {
	s.mu.Lock()
	expired := s.expired[name] > 0
	if expired {
		s.expired[name]--
	}
	s.mu.Unlock()
	if expired {
		return provider.KeyedPage{}, fault.New(fault.Expired, "deleted")
	}
	return s.slowStore.Read(ctx, name, from, limit)
}

// carryOut carries out the appends whose answers were lost, and answers later ones.
func (s *lateStore) carryOut() (appends int) {
	s.mu.Lock()
	s.loses = ""
	late := s.late
	s.mu.Unlock()
	for _, do := range late { // without the mutex, as virtual time stands still while one is waited for
		do()
	}
	return len(late)
}

// lateSite is a site of three instances, each an aggregator, on a lateStore.
type lateSite struct {
	store     *lateStore
	workers   *unresponsiveWorkers
	instances []*dispatcher.Dispatcher
	stop      []context.CancelFunc
}

func newLateSite(ctx context.Context, opts ...dispatcher.Option) *lateSite {
	s := &lateSite{store: &lateStore{slowStore: newSlowStore(2 * time.Millisecond)}, workers: &unresponsiveWorkers{}}
	hosts := []provider.Host{{ID: "w1", Address: "w1:1", Service: "pool"}, {ID: "w2", Address: "w2:1", Service: "pool"}}
	clock := newClock()
	for i := range 3 {
		own := []dispatcher.Option{dispatcher.WithInstance(fmt.Sprintf("e%d", i)), dispatcher.WithClock(clock), dispatcher.WithAggregator()}
		d := dispatcher.New(dispatcher.Platform{Store: s.store, Executor: s.workers}, append(own, opts...)...)
		d.Configure(onePool())
		inner, cancel := context.WithCancel(ctx)
		go sendListPeriodically(inner, d, clock, hosts...)
		go func() { _ = d.Run(inner) }()
		s.instances = append(s.instances, d)
		s.stop = append(s.stop, cancel)
	}
	time.Sleep(3 * time.Second)
	return s
}

// owner returns the index of the owner, and that of another instance.
func (s *lateSite) owner() (owner, other int) {
	for i, d := range s.instances {
		if d.Owning() {
			return i, (i + 1) % len(s.instances)
		}
	}
	return -1, 0
}

// isCancelled reports whether an instance shows job 1 as cancelled.
func isCancelled(ctx context.Context, d *dispatcher.Dispatcher) bool {
	state, err := d.State(ctx, newJob(1).ID)
	return err == nil && state == progress.Cancelled
}

// submitFor submits job 1 for a caller that leaves after a time.
func submitFor(ctx context.Context, d *dispatcher.Dispatcher, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return d.Submit(ctx, newJob(1))
}

// Guards against a job that starts although its cancellation was acknowledged while it wasn't on
// record: the store carried out the write of the job later.
func TestLateWriteOfCancelledJob(t *testing.T) {
	tests := []struct {
		name    string
		loses   string
		submit  func(ctx context.Context, s *lateSite)
		cancel  int // instance, counted from that which got the job
		between func(ctx context.Context, s *lateSite)
	}{
		{name: "cancelled at another instance", loses: catalog.Accepts, cancel: 1},
		{name: "cancelled where its write is waited for", loses: catalog.Accepts, submit: func(ctx context.Context, s *lateSite) {
			go func() { _ = submitFor(ctx, s.instances[0], 3*time.Second) }()
			time.Sleep(100 * time.Millisecond)
		}},
		{name: "written by an aggregator", loses: catalog.Aggregated, cancel: 1, submit: func(ctx context.Context, s *lateSite) {
			aggregate(ctx, s.instances[0], 1, 100*time.Millisecond)
		}},
		{name: "owner lost in between", loses: catalog.Accepts, cancel: 1, between: func(_ context.Context, s *lateSite) {
			owner, _ := s.owner()
			s.stop[owner]()
			s.instances = append(s.instances[:owner:owner], s.instances[owner+1:]...)
			time.Sleep(20 * time.Second)
		}},
		{name: "read again from the newest records", loses: catalog.Accepts, cancel: 1, between: func(_ context.Context, s *lateSite) {
			s.store.mu.Lock()
			s.store.expired = map[string]int{catalog.Accepts: 6}
			s.store.mu.Unlock()
			time.Sleep(5 * time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSynctest(t, func(ctx context.Context, is *is.I) {
				s := newLateSite(ctx)
				s.store.mu.Lock()
				s.store.loses = tt.loses
				s.store.mu.Unlock()
				if tt.submit != nil {
					tt.submit(ctx, s)
				} else {
					is.True(submitFor(ctx, s.instances[0], 100*time.Millisecond) != nil)
				}
				err := s.instances[tt.cancel].Cancel(ctx, newJob(1).ID)
				is.True(fault.Is(err, fault.NotFound)) // it isn't on record
				if tt.between != nil {
					tt.between(ctx, s)
				}
				is.True(s.store.carryOut() > 0)
				time.Sleep(5 * time.Second)
				is.Equal(s.workers.started(), 0)
				for _, d := range s.instances {
					is.True(isCancelled(ctx, d))
				}
			})
		})
	}
}

// Guards against the same where the instances that are asked don't follow the streams of jobs.
func TestLateWriteInFleet(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		f := newFleet(ctx, 10)
		time.Sleep(20 * time.Second)
		f.each(func(_ string, d *dispatcher.Dispatcher) {
			is.True(fault.Is(d.Cancel(ctx, newJob(1).ID), fault.NotFound))
		})
		cancellations := 0
		for _, r := range f.store.stream(catalog.Accepts).records {
			if r.Key == "c/"+newJob(1).ID {
				cancellations++
			}
		}
		is.Equal(cancellations, 1) // the others were told that it is on record
		is.NoErr(f.store.Append(ctx, catalog.Accepts, nil, []provider.KeyedRecord{acceptRecord(1)}))
		f.each(func(_ string, d *dispatcher.Dispatcher) { is.True(isCancelled(ctx, d)) })
	})
}

// Guards against an owner that starts a job which it has written itself, before it has read the
// cancellation that the stream has before it.
func TestOwnerReadsWhatPrecedesItsOwnWrite(t *testing.T) {
	tests := []struct {
		name   string
		stream string
		write  func(ctx context.Context, is *is.I, owner *dispatcher.Dispatcher)
	}{
		{"a caller's job", catalog.Accepts, func(ctx context.Context, is *is.I, owner *dispatcher.Dispatcher) {
			is.NoErr(submitFor(ctx, owner, time.Second))
		}},
		{"another instance's job", catalog.Aggregated, func(ctx context.Context, is *is.I, owner *dispatcher.Dispatcher) {
			is.Equal(aggregate(ctx, owner, 1, time.Second).Outcome, aggregation.Written)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inSynctest(t, func(ctx context.Context, is *is.I) {
				s := newLateSite(ctx)
				owner, _ := s.owner()
				s.store.setUnreadable(tt.stream)
				time.Sleep(3 * time.Second) // until no read is waiting
				is.NoErr(s.store.Append(ctx, tt.stream, nil, []provider.KeyedRecord{catalog.CancelRecord(newJob(1).ID)}))
				tt.write(ctx, is, s.instances[owner])
				time.Sleep(time.Second)
				is.Equal(s.workers.started(), 0)
				s.store.setUnreadable("")
				time.Sleep(5 * time.Second)
				is.Equal(s.workers.started(), 0)
				is.True(isCancelled(ctx, s.instances[owner]))
			})
		})
	}
}

// Guards against a store and instances that fill up because callers cancel unknown jobs, and
// against cancellations that outlive their purpose after a takeover.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	inSynctest(t, func(ctx context.Context, is *is.I) {
		timing := cell.DefaultTiming()
		timing.CancellationRetention = 30 * time.Second
		s := newLateSite(ctx, dispatcher.WithTiming(timing))
		is.NoErr(submitFor(ctx, s.instances[0], time.Second))
		id := func(n int) string { return newJob(1000 + n).ID }
		var mu sync.Mutex
		var wg sync.WaitGroup
		kept, rejected := 0, 0
		const callers = 500
		for caller := range callers {
			wg.Go(func() {
				for n := caller; n < 10_000; n += callers {
					err := s.instances[n%3].Cancel(ctx, id(n))
					mu.Lock()
					switch {
					case fault.Is(err, fault.NotFound):
						kept++
					case fault.Is(err, fault.Overloaded):
						rejected++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		is.Equal(kept+rejected, 10_000)
		is.True(kept >= 8192 && kept <= 8192+callers)
		s.store.slowStore.mu.Lock()
		writes := s.store.writes
		s.store.slowStore.mu.Unlock()
		is.True(fault.Is(s.instances[1].Cancel(ctx, id(0)), fault.NotFound))
		s.store.slowStore.mu.Lock()
		is.True(s.store.writes <= writes+1) // one more may be a heartbeat
		s.store.slowStore.mu.Unlock()
		is.NoErr(s.instances[2].Cancel(ctx, newJob(1).ID)) // a job on record
		owner, other := s.owner()
		s.stop[owner]()
		time.Sleep(150 * time.Second)
		page, err := s.store.Newest(ctx, catalog.Accepts, "")
		is.NoErr(err)
		newest := make(map[string][]byte)
		for _, r := range page.Records {
			newest[r.Key] = r.Value
		}
		for key, value := range newest {
			is.True(len(value) == 0 || !strings.HasPrefix(key, "c/") || key == "c/"+newJob(1).ID)
		}
		is.True(fault.Is(s.instances[other].Cancel(ctx, id(10_001)), fault.NotFound))
	})
}
