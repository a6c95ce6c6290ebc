package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
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

// slowStore takes one write at a time in each stream, and refuses those that
// would wait for more than two seconds.
type slowStore struct {
	mu      sync.Mutex
	streams map[string]*stream
	each    time.Duration
	refuse  bool
	mute    bool   // writes are neither done nor answered
	unread  string // stream whose reads fail
	claimed func() // called before the first claim is written
	writes  int
}

type stream struct {
	records []provider.KeyedRecord
	free    time.Time // when the writes that wait are done
	term    uint64
	last    uint64
}

const longestQueue = 2 * time.Second

func newSlowStore(each time.Duration) *slowStore {
	return &slowStore{streams: make(map[string]*stream), each: each}
}

func (s *slowStore) stream(name string) *stream {
	p := s.streams[name]
	if p == nil {
		p = &stream{}
		s.streams[name] = p
	}
	return p
}

func (s *slowStore) Newest(_ context.Context, name, _ string) (provider.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.stream(name)
	return provider.KeyedPage{Records: append([]provider.KeyedRecord(nil), p.records...), Next: uint64(len(p.records))}, nil
}

func (s *slowStore) Read(ctx context.Context, name string, from uint64, wait time.Duration) (provider.KeyedPage, error) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		if s.unread == name {
			s.mu.Unlock()
			return provider.KeyedPage{}, fault.New(fault.Unavailable, "reset")
		}
		p := s.stream(name)
		if uint64(len(p.records)) > from || !time.Now().Before(until) {
			defer s.mu.Unlock()
			return provider.KeyedPage{Records: append([]provider.KeyedRecord(nil), p.records[from:]...), Next: uint64(len(p.records))}, nil
		}
		s.mu.Unlock()
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return provider.KeyedPage{}, fault.Wrap(fault.Unavailable, ctx.Err(), "read")
		}
	}
}

func (s *slowStore) Put(ctx context.Context, name string, w *provider.Writer, records []provider.KeyedRecord) error {
	return s.write(ctx, name, w, nil, records)
}

func (s *slowStore) Claim(ctx context.Context, name string, w provider.Writer, next uint64, record provider.KeyedRecord) error {
	s.mu.Lock()
	claimed := s.claimed
	s.claimed = nil
	s.mu.Unlock()
	if claimed != nil {
		claimed()
	}
	return s.write(ctx, name, &w, &next, []provider.KeyedRecord{record})
}

func (s *slowStore) write(ctx context.Context, name string, w *provider.Writer, next *uint64, records []provider.KeyedRecord) error {
	s.mu.Lock()
	p := s.stream(name)
	s.writes++
	if s.mute && name == catalog.Accepts {
		s.mu.Unlock()
		<-ctx.Done()
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write")
	}
	waiting := time.Until(p.free)
	if s.refuse || waiting > longestQueue {
		s.mu.Unlock()
		return fault.New(fault.Unavailable, "refused")
	}
	p.free = time.Now().Add(max(0, waiting) + s.each)
	done := time.Until(p.free)
	s.mu.Unlock()
	result := make(chan error, 1)
	time.AfterFunc(done, func() { result <- s.apply(p, w, next, records) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "write")
	}
}

func (s *slowStore) apply(p *stream, w *provider.Writer, next *uint64, records []provider.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case w != nil && w.Term == p.term && w.Sequence == p.last:
		return nil // a repeat gets its first answer
	case next != nil && *next != uint64(len(p.records)):
		return fault.New(fault.Conflict, "moved on")
	case w != nil && w.Term < p.term:
		return fault.New(fault.StaleEpoch, "fenced")
	case w != nil && w.Term == p.term && w.Sequence != p.last+1:
		return fault.New(fault.Conflict, "sequence")
	}
	if w != nil {
		p.term, p.last = w.Term, w.Sequence
	}
	p.records = append(p.records, records...)
	return nil
}

func (s *slowStore) setUnread(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = name
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

// noWorkers is for sites without any.
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

// Guards against callers told that their job may run as writes queue up at a slow store.
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
				once, done := context.WithTimeout(ctx, 3*time.Second)
				defer done()
				errs[i] = all[i%len(all)].Submit(once, newJob(i))
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
			state, err := d.State(ctx, newJob(1).ID) // at once, not after the next read
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

// Guards against a state that is shown long after it has changed.
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

// Guards against callers that wait for an answer which can only be no.
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
		begun := time.Now()
		err := all[0].Submit(ctx, newJob(1))
		is.True(fault.Is(err, fault.Unavailable))
		is.True(time.Since(begun) < 200*time.Millisecond)
		begun = time.Now()
		err = all[0].Submit(ctx, newJob(2))
		is.True(fault.Is(err, fault.Unavailable))
		is.Equal(time.Since(begun), time.Duration(0)) // known a moment ago
		cancel()
		synctest.Wait()
	})
}

// muteWorkers takes holds and starts until the one that was started on falls
// silent.
type muteWorkers struct {
	provider.Executor
	mu     sync.Mutex
	starts []provider.StartOrder
}

func (m *muteWorkers) silent(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.starts) > 0 && m.starts[0].Host.ID == host
}

func (m *muteWorkers) Hold(ctx context.Context, o provider.HoldOrder) (provider.Held, error) {
	time.Sleep(5 * time.Millisecond)
	if m.silent(o.Host.ID) {
		return provider.Held{}, fault.New(fault.MayHaveRun, "no answer")
	}
	return provider.Held{Clock: 1}, nil
}

func (m *muteWorkers) Start(_ context.Context, o provider.StartOrder) (provider.Refusal, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts = append(m.starts, o)
	return provider.Accepted, nil
}

func (m *muteWorkers) started() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.starts)
}

func (m *muteWorkers) Stop(context.Context, provider.RunOrder) error { return nil }

// Guards against first tasks that wait for the list of workers after a claim.
func TestClaimReadsTheList(t *testing.T) {
	tests := []struct {
		name  string
		takes time.Duration // to read the list; it comes by itself after 2 s
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
				workers, clock := &muteWorkers{}, newClock()
				var d *dispatcher.Dispatcher
				hand := func() {
					d.SetHosts(provider.HostList{Hosts: []provider.Host{{ID: "w1", Service: "pool"}}, AsOf: clock()})
				}
				read := func(ctx context.Context) error {
					select {
					case <-time.After(tt.takes):
						hand()
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
				hand()
				time.Sleep(100 * time.Millisecond)
				is.Equal(workers.started(), 1)
				cancel()
				time.Sleep(3 * time.Second) // for the holds that are under way
			})
		})
	}
}

// onePool returns a configuration of one queue that one pool of workers serves.
func onePool() *queue.Table {
	q := queue.Queue{Name: "q", Terms: job.Terms{Service: "pool", Attempts: 2}}
	return queue.New(1, queue.Limits{}, []queue.Queue{q}, []queue.Service{{Name: "pool"}})
}

// newClock returns a clock that begins now.
func newClock() func() time.Duration {
	begun := time.Now()
	return func() time.Duration { return time.Since(begun) }
}

// list hands the list of workers over now and then, as a reader of it does.
func list(ctx context.Context, d *dispatcher.Dispatcher, clock func() time.Duration, hosts ...provider.Host) {
	for ctx.Err() == nil {
		d.SetHosts(provider.HostList{Hosts: hosts, AsOf: clock()})
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against a list of machines that can't be had, taken for one without machines.
func TestSilentWorkerWithoutMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		workers := &muteWorkers{}
		clock := newClock()
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers}, dispatcher.WithClock(clock))
		d.Configure(onePool())
		go list(ctx, d, clock, provider.Host{ID: "w1", Service: "pool", Machine: "m1"}, provider.Host{ID: "w2", Service: "pool", Machine: "m2"})
		go func() { _ = d.Run(ctx) }()
		time.Sleep(2 * time.Second)
		is.NoErr(d.Submit(ctx, newJob(1)))
		time.Sleep(4 * time.Second)
		is.Equal(workers.started(), 1) // its lease hasn't ended
		cancel()
		time.Sleep(time.Second) // for the holds that are under way
	})
}

// Guards against tasks on leaving workers by a list from an earlier ownership.
func TestTakeoverAwaitsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		clock := func() time.Duration { return 30*time.Second + time.Since(begun) }
		owning := make(chan bool, 1)
		workers := &muteWorkers{}
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers},
			dispatcher.WithClock(clock), dispatcher.WithOwning(func(now bool) { owning <- now }))
		d.Configure(onePool())
		leaves, stays := provider.Host{ID: "w1", Service: "pool"}, provider.Host{ID: "w2", Service: "pool"}
		d.SetHosts(provider.HostList{Hosts: []provider.Host{leaves}, AsOf: 10 * time.Second})
		go func() { _ = d.Run(ctx) }()
		is.NoErr(d.Submit(ctx, newJob(1)))
		is.True(<-owning)
		time.Sleep(400 * time.Millisecond)
		is.Equal(workers.started(), 0) // it doesn't know yet who leaves
		leaves.Draining = true
		d.SetHosts(provider.HostList{Hosts: []provider.Host{leaves, stays}, AsOf: clock()})
		time.Sleep(200 * time.Millisecond)
		is.Equal(workers.started(), 1)
		is.Equal(workers.starts[0].Host.ID, stays.ID)
		cancel()
		time.Sleep(3 * time.Second) // for the holds that are under way
	})
}

// Guards against a new owner that hasn't heard of cordons from before its term.
func TestTakeoverKeepsCordons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		workers := &muteWorkers{}
		clock := newClock()
		d := dispatcher.New(dispatcher.Platform{Store: newSlowStore(2 * time.Millisecond), Executor: workers}, dispatcher.WithClock(clock))
		d.Configure(onePool())
		d.SetCordons([]string{"z1"})
		go list(ctx, d, clock, provider.Host{ID: "w1", Service: "pool", AvailabilityZone: "z1"})
		go func() { _ = d.Run(ctx) }()
		is.NoErr(d.Submit(ctx, newJob(1)))
		time.Sleep(3 * time.Second)
		is.Equal(workers.started(), 0)
		d.SetCordons(nil)
		time.Sleep(400 * time.Millisecond)
		is.Equal(workers.started(), 1)
		cancel()
		time.Sleep(3 * time.Second) // for the holds that are under way
	})
}

// fallenOwner puts an owner on record that writes nothing further, and returns the
// record.
func fallenOwner(ctx context.Context, is *is.I, store *slowStore) provider.KeyedRecord {
	is.Helper()
	fallen, err := catalog.OwnerRecord(catalog.Owner{Term: 1, Instance: "fallen", Nonce: 7})
	is.NoErr(err)
	is.NoErr(store.Put(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 1}, []provider.KeyedRecord{fallen}))
	return fallen
}

// Guards against an owner that doesn't know all jobs and drops their progress.
func TestClaimReadBackNeedsAllJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		fallenOwner(ctx, is, store)
		accepted, err := catalog.AcceptRecord(newJob(1))
		is.NoErr(err)
		store.claimed = func() { // it has read neither the job, nor can it now
			store.setUnread(catalog.Accepts)
			is.NoErr(store.Put(ctx, catalog.Accepts, nil, []provider.KeyedRecord{accepted}))
		}
		d := start(ctx, store, 1)[0]
		time.Sleep(100 * time.Millisecond)
		begun, err := catalog.ProgressRecord(newJob(1).ID, &progress.Progress{State: progress.Running, Claimed: true})
		is.NoErr(err)
		is.NoErr(store.Put(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 2}, []provider.KeyedRecord{begun}))
		time.Sleep(4 * time.Second)
		d.Configure(queue.New(2, queue.Limits{}, nil, nil)) // has it look at what it knows
		time.Sleep(time.Second)
		is.True(store.claimed == nil)
		is.True(!d.Owning()) // it can't know what its jobs are
		store.setUnread("")
		time.Sleep(2 * time.Second)
		is.True(d.Owning())
		is.Equal(store.newest(catalog.Progress, begun.Key), begun.Value)
		cancel()
		synctest.Wait()
	})
}

// Guards against a claim by an instance that can't read what was accepted.
func TestNoClaimWithoutReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		fallen := fallenOwner(ctx, is, store)
		d := start(ctx, store, 1)[0]
		time.Sleep(100 * time.Millisecond)
		store.setUnread(catalog.Accepts)
		time.Sleep(5 * time.Second)
		is.Equal(store.newest(catalog.Progress, "owner"), fallen.Value)
		store.setUnread("")
		time.Sleep(time.Second)
		is.True(d.Owning())
		cancel()
		synctest.Wait()
	})
}

func (s *slowStore) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

// submit hands a job in that is to be answered within a time.
func submit(ctx context.Context, d *dispatcher.Dispatcher, n int, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return d.Submit(ctx, newJob(n))
}

// Guards against jobs accepted for an owner that can't order them in time.
func TestOwnerThatDoesNotKeepUp(t *testing.T) {
	tests := []struct {
		name     string
		backlog  *overload.Backlog
		accepted bool
		room     bool // for lasting jobs
	}{
		{"it lags", &overload.Backlog{Rate: 100, Tasks: map[int]int{0: 3000}}, false, true},
		{"what is less urgent waits", &overload.Backlog{Rate: 100, Tasks: map[int]int{1: 3000}}, true, true},
		{"it keeps up", nil, true, true},
		{"its workers have no room", &overload.Backlog{Full: map[string]int{"pool": 0}}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store := newSlowStore(2 * time.Millisecond)
				owner, err := catalog.OwnerRecord(catalog.Owner{Term: 1, Instance: "other", Nonce: 7})
				is.NoErr(err)
				told, err := catalog.BacklogRecord(1, test.backlog)
				is.NoErr(err)
				is.NoErr(store.Put(ctx, catalog.Progress, &provider.Writer{Name: "owner", Term: 1, Sequence: 1}, []provider.KeyedRecord{owner, told}))
				known, err := catalog.AcceptRecord(newJob(2))
				is.NoErr(err)
				d := start(ctx, store, 1)[0]
				time.Sleep(700 * time.Millisecond)                                            // two reads
				is.NoErr(store.Put(ctx, catalog.Accepts, nil, []provider.KeyedRecord{known})) // by another instance, a moment ago
				begun := time.Now()
				err = d.Submit(ctx, newJob(1))
				is.Equal(err == nil, test.accepted)
				is.True(time.Since(begun) < 50*time.Millisecond)
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
				is.Equal(d.Submit(ctx, lasting) == nil, test.accepted && test.room)
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

// Guards against callers held for a store that is known to be silent.
func TestSilentStoreIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := newSlowStore(2 * time.Millisecond)
		d := start(ctx, store, 1)[0]
		time.Sleep(2 * time.Second)
		store.setMute(true)
		first := make(chan error, 3)
		for n := range cap(first) {
			go func() { first <- submit(ctx, d, n, 3*time.Second) }()
			time.Sleep(300 * time.Millisecond)
		}
		waited := submit(ctx, d, 3, 90*time.Millisecond) // behind the writes that are under way
		is.True(fault.Is(waited, fault.Unavailable))
		time.Sleep(700 * time.Millisecond)
		begun := time.Now()
		late := submit(ctx, d, 4, 3*time.Second)
		is.True(fault.Is(late, fault.Unavailable))
		is.Equal(time.Since(begun), time.Duration(0))
		for range cap(first) {
			is.True(fault.Is(<-first, fault.MayHaveRun)) // these were sent
		}
		store.setMute(false)
		time.Sleep(3 * time.Second)
		is.NoErr(submit(ctx, d, 5, 3*time.Second))
		cancel()
		synctest.Wait()
	})
}

// Guards against two owners of one cell, or none.
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
