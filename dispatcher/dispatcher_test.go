package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/dispatcher"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// slowStore serializes the writes of each stream, and refuses those that would wait for
// more than two seconds.
type slowStore struct {
	mu          sync.Mutex
	streams     map[string]*stream
	writeTime   time.Duration
	refuse      bool
	unanswered  bool   // writes to stream Accepts are neither applied nor answered
	unreadable  string // stream whose reads fail
	beforeClaim func() // called before the first claim is written
	writes      int
}

type stream struct {
	records      []provider.KeyedRecord
	freeAt       time.Time // when all queued writes are done
	term         uint64
	lastSequence uint64
}

const maxQueueTime = 2 * time.Second

func newSlowStore(writeTime time.Duration) *slowStore {
	return &slowStore{streams: make(map[string]*stream), writeTime: writeTime}
}

func (s *slowStore) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

func (s *slowStore) Newest(_ context.Context, name, _ string) (provider.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return provider.KeyedPage{Records: append([]provider.KeyedRecord(nil), st.records...), Next: uint64(len(st.records))}, nil
}

func (s *slowStore) Read(ctx context.Context, name string, from uint64, limit provider.ReadLimit) (provider.KeyedPage, error) {
	until := time.Now().Add(limit.Wait)
	for {
		s.mu.Lock()
		if s.unreadable == name {
			s.mu.Unlock()
			return provider.KeyedPage{}, fault.New(fault.Unavailable, "reset")
		}
		st := s.stream(name)
		if uint64(len(st.records)) > from || !time.Now().Before(until) {
			defer s.mu.Unlock()
			return provider.KeyedPage{Records: append([]provider.KeyedRecord(nil), st.records[from:]...), Next: uint64(len(st.records))}, nil
		}
		s.mu.Unlock()
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return provider.KeyedPage{}, fault.Wrap(fault.Unavailable, ctx.Err(), "read")
		}
	}
}

func (s *slowStore) Append(ctx context.Context, name string, w *provider.Writer, records []provider.KeyedRecord) error {
	return s.write(ctx, name, w, nil, records)
}

func (s *slowStore) Claim(ctx context.Context, name string, w provider.Writer, next uint64, record provider.KeyedRecord) error {
	s.mu.Lock()
	beforeClaim := s.beforeClaim
	s.beforeClaim = nil
	s.mu.Unlock()
	if beforeClaim != nil {
		beforeClaim()
	}
	return s.write(ctx, name, &w, &next, []provider.KeyedRecord{record})
}

func (s *slowStore) write(ctx context.Context, name string, w *provider.Writer, next *uint64, records []provider.KeyedRecord) error {
	s.mu.Lock()
	st := s.stream(name)
	s.writes++
	if s.unanswered && name == catalog.Accepts {
		s.mu.Unlock()
		<-ctx.Done()
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write")
	}
	waiting := time.Until(st.freeAt)
	if s.refuse || waiting > maxQueueTime {
		s.mu.Unlock()
		return fault.New(fault.Unavailable, "refused")
	}
	st.freeAt = time.Now().Add(max(0, waiting) + s.writeTime)
	done := time.Until(st.freeAt)
	s.mu.Unlock()
	result := make(chan error, 1)
	time.AfterFunc(done, func() { result <- s.apply(st, w, next, records) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write")
	}
}

func (s *slowStore) apply(st *stream, w *provider.Writer, next *uint64, records []provider.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case w != nil && w.Term == st.term && w.Sequence == st.lastSequence:
		return nil // a retry gets the first answer
	case next != nil && *next != uint64(len(st.records)):
		return fault.New(fault.Conflict, "moved on")
	case w != nil && w.Term < st.term:
		return fault.New(fault.StaleEpoch, "fenced")
	case w != nil && w.Term == st.term && w.Sequence != st.lastSequence+1:
		return fault.New(fault.Conflict, "sequence")
	}
	if w != nil {
		st.term, st.lastSequence = w.Term, w.Sequence
	}
	st.records = append(st.records, records...)
	return nil
}

func (s *slowStore) setUnreadable(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadable = name
}

// newest returns the newest value of a key.
func (s *slowStore) newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, r := range s.stream(name).records {
		if r.Key == key {
			value = r.Value
		}
	}
	return value
}

// noWorkers is the Executor of a site without workers.
type noWorkers struct{ provider.Executor }

func start(ctx context.Context, store provider.Keyed, n int) []*dispatcher.Dispatcher {
	var all []*dispatcher.Dispatcher
	for i := range n {
		d := dispatcher.New(dispatcher.Platform{Store: store, Executor: noWorkers{}}, dispatcher.WithInstance(fmt.Sprintf("e%d", i)))
		d.Configure(queue.New(1, queue.Limits{}, nil, nil))
		go func() { _ = d.Run(ctx) }()
		all = append(all, d)
	}
	return all
}

func newJob(n int) *job.Job {
	return &job.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Steps: []job.Step{{Count: 1}}}
}

// Guards against ambiguous answers (MayHaveRun) to callers when writes queue up at a
// slow store.
func TestSlowStoreTakesJobsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		all := start(ctx, newSlowStore(108*time.Millisecond), 7)
		time.Sleep(5 * time.Second)
		var wg sync.WaitGroup
		errs := make([]error, 210)
		for i := range errs {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 15 * time.Millisecond)
				submitCtx, cancelSubmit := context.WithTimeout(ctx, 3*time.Second)
				defer cancelSubmit()
				errs[i] = all[i%len(all)].Submit(submitCtx, newJob(i))
			})
		}
		wg.Wait()
		for _, err := range errs {
			is.NoErr(err)
		}
		cancel()
		synctest.Wait()
	})
}

func TestJobIsKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		all := start(ctx, newSlowStore(2*time.Millisecond), 3)
		time.Sleep(2 * time.Second)
		is.NoErr(all[0].Submit(ctx, newJob(1)))
		for _, d := range all {
			state, err := d.State(ctx, newJob(1).ID) // without waiting for the next periodic read
			is.NoErr(err)
			is.Equal(state, progress.Queued)
		}
		_, err := all[1].State(ctx, newJob(2).ID)
		is.True(fault.Is(err, fault.NotFound))
		is.NoErr(all[2].Cancel(ctx, newJob(1).ID))
		time.Sleep(2 * time.Second)
		state, err := all[0].State(ctx, newJob(1).ID)
		is.NoErr(err)
		is.Equal(state, progress.Cancelled)
		cancel()
		synctest.Wait()
	})
}

// Guards against instances that still return the previous state of a job 60 ms after it
// was cancelled, because they answer from their last periodic read.
func TestStatesAreFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		all := start(ctx, newSlowStore(2*time.Millisecond), 3)
		time.Sleep(2 * time.Second)
		const jobs = 30
		for n := range jobs {
			is.NoErr(all[0].Submit(ctx, newJob(n)))
		}
		time.Sleep(2 * time.Second) // all know them
		for n := range jobs {
			is.NoErr(all[0].Cancel(ctx, newJob(n).ID))
			time.Sleep(60 * time.Millisecond) // the owner records it
			for _, d := range all {
				state, err := d.State(ctx, newJob(n).ID)
				is.NoErr(err)
				is.Equal(state, progress.Cancelled)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against requests that wait for their deadline although the store rejects writes.
func TestRejectionsAreQuick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		all := start(ctx, store, 1)
		time.Sleep(2 * time.Second)
		store.mu.Lock()
		store.refuse = true
		store.writes = 0
		store.mu.Unlock()
		startedAt := time.Now()
		err := all[0].Submit(ctx, newJob(1))
		is.True(fault.Is(err, fault.Unavailable))
		is.True(time.Since(startedAt) < 200*time.Millisecond)
		startedAt = time.Now()
		err = all[0].Submit(ctx, newJob(2))
		is.True(fault.Is(err, fault.Unavailable))
		is.Equal(time.Since(startedAt), time.Duration(0)) // rejected without a write
		cancel()
		synctest.Wait()
	})
}

// unresponsiveWorkers accepts holds and starts. The worker that got the first start doesn't
// answer holds any more.
type unresponsiveWorkers struct {
	provider.Executor
	mu     sync.Mutex
	starts []provider.StartOrder
	holds  int
}

func (m *unresponsiveWorkers) held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holds
}

func (m *unresponsiveWorkers) isUnresponsive(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.starts) > 0 && m.starts[0].Host.ID == host
}

func (m *unresponsiveWorkers) Hold(ctx context.Context, o provider.HoldOrder) (provider.HoldResult, error) {
	m.mu.Lock()
	m.holds++
	m.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if m.isUnresponsive(o.Host.ID) {
		return provider.HoldResult{}, fault.New(fault.MayHaveRun, "no answer")
	}
	return provider.HoldResult{Clock: 1}, nil
}

func (m *unresponsiveWorkers) Start(_ context.Context, o provider.StartOrder) (provider.Refusal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts = append(m.starts, o)
	return provider.Accepted, nil
}

func (m *unresponsiveWorkers) started() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.starts)
}

func (m *unresponsiveWorkers) Stop(context.Context, provider.RunOrder) error { return nil }

// Guards against a new owner whose first tasks wait for the next periodic read of the
// list of workers.
func TestClaimReadsTheList(t *testing.T) {
	tests := []struct {
		name  string
		takes time.Duration // to read the list; the periodic read follows after 2 s
		fresh bool          // whether the job starts at once
	}{
		{"read in time", 10 * time.Millisecond, true},
		{"no answer", time.Hour, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				workers, clock := &unresponsiveWorkers{}, newClock()
				var d *dispatcher.Dispatcher
				sendList := func() {
					d.SetHosts(provider.HostList{Hosts: []provider.Host{{ID: "w1", Service: "pool"}}, Writes: writtenAt(clock(), 1), AsOf: clock()})
				}
				read := func(ctx context.Context) error {
					select {
					case <-time.After(tt.takes):
						sendList()
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				}
				owning := make(chan bool, 1)
				d = dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers},
					dispatcher.WithClock(clock), dispatcher.WithOwning(func(now bool) { owning <- now }), dispatcher.WithListReader(read))
				d.Configure(onePool())
				go func() { _ = d.Run(ctx) }()
				is.NoErr(d.Submit(ctx, newJob(1)))
				is.True(<-owning)
				is.True(clock() < 1500*time.Millisecond) // in any case
				time.Sleep(100 * time.Millisecond)
				is.Equal(workers.started() == 1, tt.fresh)
				time.Sleep(2 * time.Second)
				sendList()
				time.Sleep(100 * time.Millisecond)
				is.Equal(workers.started(), 1)
				cancel()
				time.Sleep(3 * time.Second) // for the holds in flight
			})
		})
	}
}

// Guards against a new owner that opens a connection to each of thousands of workers, because
// it hasn't read the list of workers yet and so doesn't know how many relays they need.
func TestRecordedWorkersAreCountedBeforeTheFirstOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store, workers := newSlowStore(2*time.Millisecond), &unresponsiveWorkers{}
		for i := range 5 {
			h := provider.Host{ID: fmt.Sprintf("w%d", i), Address: "10.0.0.1:1", Service: "pool", AvailabilityZone: fmt.Sprintf("z%d", i%2)}
			record, err := catalog.HostRecord(h.ID, &h)
			is.NoErr(err)
			is.NoErr(store.Append(ctx, catalog.Progress, nil, []provider.KeyedRecord{record}))
		}
		counts := make(chan map[string]int, 1)
		count := func(byZone map[string]int) {
			is.Equal(workers.held(), 0)
			counts <- byZone
		}
		noList := func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		d := dispatcher.New(dispatcher.Platform{Store: store, Executor: workers}, dispatcher.WithRecordedHosts(count), dispatcher.WithListReader(noList))
		d.Configure(onePool())
		go func() { _ = d.Run(ctx) }()
		is.Equal(<-counts, map[string]int{"z0": 3, "z1": 2})
		time.Sleep(time.Second)
		is.True(workers.held() > 0)
		cancel()
		time.Sleep(3 * time.Second) // for the holds in flight
	})
}

// onePool returns a configuration with one queue and one pool of workers.
func onePool() *queue.Table {
	q := queue.Queue{Name: "q", Terms: job.Terms{Service: "pool", Attempts: 2}}
	return queue.New(1, queue.Limits{}, []queue.Queue{q}, []queue.Service{{Name: "pool"}})
}

// newClock returns a clock that begins now.
func newClock() func() time.Duration {
	startedAt := time.Now()
	return func() time.Duration { return time.Since(startedAt) }
}

// sendListPeriodically passes the list of workers to d every 300 ms, as the periodic reader does.
func sendListPeriodically(ctx context.Context, d *dispatcher.Dispatcher, clock func() time.Duration, hosts ...provider.Host) {
	for ctx.Err() == nil {
		d.SetHosts(provider.HostList{Hosts: hosts, Writes: writtenAt(clock(), len(hosts)), AsOf: clock()})
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a failed read of the list of machines that counts as an empty list:
// a task whose worker doesn't answer would be started again before its lease ends.
func TestSilentWorkerWithoutMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		workers := &unresponsiveWorkers{}
		clock := newClock()
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers}, dispatcher.WithClock(clock))
		d.Configure(onePool())
		go sendListPeriodically(ctx, d, clock, provider.Host{ID: "w1", Service: "pool", Machine: "m1"}, provider.Host{ID: "w2", Service: "pool", Machine: "m2"})
		go func() { _ = d.Run(ctx) }()
		time.Sleep(2 * time.Second)
		is.NoErr(d.Submit(ctx, newJob(1)))
		time.Sleep(4 * time.Second)
		is.Equal(workers.started(), 1) // its lease hasn't ended
		cancel()
		time.Sleep(time.Second) // for the holds in flight
	})
}

// writtenAt returns the writes of n entries after a time.
func writtenAt(at time.Duration, n int) []provider.EntryWrite {
	return slices.Repeat([]provider.EntryWrite{{After: at}}, n)
}

// Guards against tasks started on draining workers because of a stale list of workers
// from before the takeover.
func TestTakeoverAwaitsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		clock := func() time.Duration { return 30*time.Second + time.Since(startedAt) }
		owning := make(chan bool, 1)
		workers := &unresponsiveWorkers{}
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers},
			dispatcher.WithClock(clock), dispatcher.WithOwning(func(now bool) { owning <- now }))
		d.Configure(onePool())
		draining, healthy := provider.Host{ID: "w1", Service: "pool"}, provider.Host{ID: "w2", Service: "pool"}
		d.SetHosts(provider.HostList{Hosts: []provider.Host{draining}, AsOf: 10 * time.Second})
		go func() { _ = d.Run(ctx) }()
		is.NoErr(d.Submit(ctx, newJob(1)))
		is.True(<-owning)
		time.Sleep(400 * time.Millisecond)
		is.Equal(workers.started(), 0) // the list is too old to tell which workers drain
		draining.Draining = true
		d.SetHosts(provider.HostList{Hosts: []provider.Host{draining, healthy}, Writes: writtenAt(clock(), 2), AsOf: clock()})
		time.Sleep(200 * time.Millisecond)
		is.Equal(workers.started(), 1)
		is.Equal(workers.starts[0].Host.ID, healthy.ID)
		cancel()
		time.Sleep(3 * time.Second) // for the holds in flight
	})
}

// Guards against a new owner that ignores cordons set before its term.
func TestTakeoverKeepsCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		workers := &unresponsiveWorkers{}
		clock := newClock()
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers}, dispatcher.WithClock(clock))
		d.Configure(onePool())
		d.SetCordons([]string{"z1"})
		go sendListPeriodically(ctx, d, clock, provider.Host{ID: "w1", Service: "pool", AvailabilityZone: "z1"})
		go func() { _ = d.Run(ctx) }()
		is.NoErr(d.Submit(ctx, newJob(1)))
		time.Sleep(3 * time.Second)
		is.Equal(workers.started(), 0)
		d.SetCordons(nil)
		time.Sleep(400 * time.Millisecond)
		is.Equal(workers.started(), 1)
		cancel()
		time.Sleep(3 * time.Second) // for the holds in flight
	})
}

// recordSilentOwner writes the record of an owner that sends no heartbeats, and returns the
// record.
func recordSilentOwner(ctx context.Context, is *is.I, store *slowStore) provider.KeyedRecord {
	is.Helper()
	owner, err := catalog.OwnerRecord(catalog.Owner{Term: 1, Instance: "fallen", Nonce: 7})
	is.NoErr(err)
	is.NoErr(store.Append(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 1}, []provider.KeyedRecord{owner}))
	return owner
}

// Guards against a new owner that couldn't read all accepted jobs and deletes their
// progress as orphaned.
func TestClaimReadBackNeedsAllJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		recordSilentOwner(ctx, is, store)
		accepted, err := catalog.AcceptRecord(newJob(1))
		is.NoErr(err)
		store.beforeClaim = func() { // the claimant hasn't read the job, and can't read it any more
			store.setUnreadable(catalog.Accepts)
			is.NoErr(store.Append(ctx, catalog.Accepts, nil, []provider.KeyedRecord{accepted}))
		}
		d := start(ctx, store, 1)[0]
		time.Sleep(100 * time.Millisecond)
		running, err := catalog.ProgressRecord(newJob(1).ID, &progress.Progress{State: progress.Running, Claimed: true})
		is.NoErr(err)
		is.NoErr(store.Append(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 2}, []provider.KeyedRecord{running}))
		time.Sleep(4 * time.Second)
		d.Configure(queue.New(2, queue.Limits{}, nil, nil)) // notifies the control goroutine
		time.Sleep(time.Second)
		is.True(store.beforeClaim == nil)
		is.True(!d.Owning()) // the accepted jobs aren't readable
		store.setUnreadable("")
		time.Sleep(2 * time.Second)
		is.True(d.Owning())
		is.Equal(store.newest(catalog.Progress, running.Key), running.Value)
		cancel()
		synctest.Wait()
	})
}

// Guards against a claim by an instance that can't read the accepted jobs.
func TestNoClaimWithoutReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		owner := recordSilentOwner(ctx, is, store)
		d := start(ctx, store, 1)[0]
		time.Sleep(100 * time.Millisecond)
		store.setUnreadable(catalog.Accepts)
		time.Sleep(5 * time.Second)
		is.Equal(store.newest(catalog.Progress, "owner"), owner.Value)
		store.setUnreadable("")
		time.Sleep(time.Second)
		is.True(d.Owning())
		cancel()
		synctest.Wait()
	})
}

func (s *slowStore) setUnanswered(unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = unanswered
}

// submit submits job n with a deadline.
func submit(ctx context.Context, d *dispatcher.Dispatcher, n int, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return d.Submit(ctx, newJob(n))
}

// Guards against jobs accepted although the overloaded owner can't start them in time.
func TestOwnerThatDoesNotKeepUp(t *testing.T) {
	tests := []struct {
		name          string
		backlog       *overload.Backlog
		accepted      bool
		admitsLasting bool // whether lasting jobs are accepted, too, in the pool "pool"
	}{
		{"it lags", &overload.Backlog{Rate: 100, Tasks: map[int]int{0: 3000}}, false, true},
		{"less urgent tasks wait", &overload.Backlog{Rate: 100, Tasks: map[int]int{1: 3000}}, true, true},
		{"it keeps up", nil, true, true},
		{"its workers have no free capacity", &overload.Backlog{Full: map[string]int{"pool": 0}}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store := newSlowStore(2 * time.Millisecond)
				owner, err := catalog.OwnerRecord(catalog.Owner{Term: 1, Instance: "other", Nonce: 7})
				is.NoErr(err)
				backlog, err := catalog.BacklogRecord(1, test.backlog)
				is.NoErr(err)
				is.NoErr(store.Append(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 1}, []provider.KeyedRecord{owner, backlog}))
				known, err := catalog.AcceptRecord(newJob(2))
				is.NoErr(err)
				d := start(ctx, store, 1)[0]
				time.Sleep(700 * time.Millisecond)                                               // two reads
				is.NoErr(store.Append(ctx, catalog.Accepts, nil, []provider.KeyedRecord{known})) // by another instance just now
				startedAt := time.Now()
				err = d.Submit(ctx, newJob(1))
				is.Equal(err == nil, test.accepted)
				is.True(time.Since(startedAt) < 50*time.Millisecond)
				if err != nil {
					is.True(fault.Is(err, fault.Overloaded))
					var e *fault.Error
					is.True(errors.As(err, &e))
					is.True(e.RetryAfter >= 10*time.Second)
				}
				is.Equal(store.newest(catalog.Accepts, "a/"+newJob(1).ID) != nil, test.accepted)
				is.NoErr(d.Submit(ctx, newJob(2)))
				lasting := newJob(4)
				lasting.Steps[0].Lasting = true
				lasting.Terms.Service = "pool"
				is.Equal(d.Submit(ctx, lasting) == nil, test.accepted && test.admitsLasting)
				lasting = newJob(5)
				lasting.Steps[0].Lasting = true
				lasting.Terms.Service = "other"
				is.Equal(d.Submit(ctx, lasting) == nil, test.accepted)
				later := newJob(3)
				later.Times = 1
				is.NoErr(d.Submit(ctx, later))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against requests that wait for a store which is known not to answer.
func TestSilentStoreIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		d := start(ctx, store, 1)[0]
		time.Sleep(2 * time.Second)
		store.setUnanswered(true)
		first := make(chan error, 3)
		for n := range cap(first) {
			go func() { first <- submit(ctx, d, n, 3*time.Second) }()
			time.Sleep(300 * time.Millisecond)
		}
		queuedErr := submit(ctx, d, 3, 90*time.Millisecond) // behind the writes in flight
		is.True(fault.Is(queuedErr, fault.Unavailable))
		time.Sleep(700 * time.Millisecond)
		startedAt := time.Now()
		rejectedErr := submit(ctx, d, 4, 3*time.Second)
		is.True(fault.Is(rejectedErr, fault.Unavailable))
		is.Equal(time.Since(startedAt), time.Duration(0))
		for range cap(first) {
			is.True(fault.Is(<-first, fault.MayHaveRun)) // these were sent
		}
		store.setUnanswered(false)
		time.Sleep(3 * time.Second)
		is.NoErr(submit(ctx, d, 5, 3*time.Second))
		cancel()
		synctest.Wait()
	})
}

// Guards against a cell with two owners or none.
func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		all := start(ctx, newSlowStore(2*time.Millisecond), 8)
		time.Sleep(3 * time.Second)
		owners := 0
		for _, d := range all {
			if d.Owning() {
				owners++
			}
		}
		is.Equal(owners, 1)
		cancel()
		synctest.Wait()
	})
}
