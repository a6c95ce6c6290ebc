package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
	"github.com/dogwoodladder/dogwoodladder/writepath"
)

const (
	aggregated       = "aggregated"    // stream of the aggregators
	maxPartitionWait = 2 * time.Second // of appends that are queued at a partition
	requestTime      = 3 * time.Second // of a caller
)

// partitions is a store that runs the appends of each stream one at a time.
type partitions struct {
	mu         sync.Mutex
	appendTime time.Duration
	silent     bool            // appends are neither run nor answered
	rejected   map[string]bool // instances whose appends are rejected
	freeAt     map[string]time.Time
	records    []provider.KeyedRecord // of all streams
}

func (s *partitions) append(ctx context.Context, instance, stream string, records []provider.KeyedRecord) error {
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		<-ctx.Done()
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "append")
	}
	waiting := max(0, time.Until(s.freeAt[stream]))
	if s.rejected[instance] || waiting > maxPartitionWait {
		s.mu.Unlock()
		time.Sleep(time.Millisecond) // for the answer
		return fault.New(fault.Unavailable, "rejected")
	}
	done := waiting + s.appendTime
	s.freeAt[stream] = time.Now().Add(done)
	s.mu.Unlock()
	written := make(chan struct{})
	time.AfterFunc(done, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records = append(s.records, records...)
		close(written)
	})
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.MayHaveRun, ctx.Err(), "append")
	}
}

// set changes the store's behaviour.
func (s *partitions) set(change func(*partitions)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// count returns how often a job is on record.
func (s *partitions) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.records {
		if r.Key == "a/"+id {
			n++
		}
	}
	return n
}

// storeOf is the store as one instance reaches it.
type storeOf struct {
	emptyStore
	*partitions
	instance string
}

func (s storeOf) Append(ctx context.Context, stream string, _ *provider.Writer, records []provider.KeyedRecord) error {
	return s.append(ctx, s.instance, stream, records)
}

// mode is how an aggregator behaves.
type mode int

const (
	works  mode = iota
	dead        // connections are refused; unanswered calls break
	frozen      // neither answers nor appends until it works again
)

// sink is an aggregator. Like the real one it appends all records that wait at once.
type sink struct {
	store    *partitions
	instance string

	mu      sync.Mutex
	mode    mode
	changed chan struct{} // closed at the next change of mode
	waiting []*handedBatch
	isBusy  bool
	calls   int
}

type handedBatch struct {
	records []provider.KeyedRecord
	result  chan aggregation.Result
}

func (k *sink) setMode(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *sink) current() (mode, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode, k.changed
}

// Write implements aggregation.Sink.
func (k *sink) Write(ctx context.Context, records []provider.KeyedRecord) aggregation.Result {
	b := &handedBatch{records: records, result: make(chan aggregation.Result, 1)}
	k.mu.Lock()
	k.calls++
	if k.mode == dead {
		k.mu.Unlock()
		return aggregation.Result{Outcome: aggregation.NotWritten}
	}
	k.waiting = append(k.waiting, b)
	if !k.isBusy {
		k.isBusy = true
		go k.work()
	}
	k.mu.Unlock()
	for {
		m, changed := k.current()
		if m == dead {
			return aggregation.Result{Outcome: aggregation.Unknown}
		}
		select {
		case r := <-b.result:
			return r
		case <-changed:
		case <-ctx.Done():
			return aggregation.Result{Outcome: aggregation.Unknown}
		}
	}
}

func (k *sink) work() {
	for {
		for m, changed := k.current(); m == frozen; m, changed = k.current() {
			<-changed
		}
		k.mu.Lock()
		batches := k.waiting
		k.waiting = nil
		k.isBusy = len(batches) > 0 && k.mode != dead
		if !k.isBusy {
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		var records []provider.KeyedRecord
		for _, b := range batches {
			records = append(records, b.records...)
		}
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), intakeTimeout)
		err := k.store.append(ctx, k.instance, aggregated, records)
		cancel()
		result := aggregation.Result{Outcome: aggregation.Written, AppendTime: time.Since(startedAt)}
		if err != nil {
			result = aggregation.Result{Outcome: aggregation.NotWritten}
		}
		if fault.Is(err, fault.MayHaveRun) {
			result.Outcome = aggregation.Unknown
		}
		for _, b := range batches {
			b.result <- result
		}
	}
}

// site is a set of instances whose roster doesn't change.
type site struct {
	store     *partitions
	instances []*Dispatcher
	sinks     map[string]*sink // of the members of the roster
	order     []*sink          // in the order in which they are tried
	logs      *observer.ObservedLogs

	mu       sync.Mutex
	isolated map[string]bool // instances that reach only each other
}

// link is the AggregationClient of one instance.
type link struct {
	*site
	from string
}

// Write implements AggregationClient.
func (l link) Write(ctx context.Context, to roster.Member, records []provider.KeyedRecord) aggregation.Result {
	l.mu.Lock()
	apart := l.isolated[l.from] != l.isolated[to.ID]
	l.mu.Unlock()
	if apart {
		<-ctx.Done() // no connection is opened
		return aggregation.Result{Outcome: aggregation.NotWritten}
	}
	return l.sinks[to.ID].Write(ctx, records)
}

const (
	siteInstances = 42
	siteMembers   = 5
)

// newSite starts the instances of a site with a store that takes 2 ms for an append. The first
// instances are the members of the roster, the very first is the owner.
func newSite(t *testing.T, aggregates bool) *site {
	t.Helper()
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	s := &site{
		store:    &partitions{appendTime: 2 * time.Millisecond, rejected: map[string]bool{}, freeAt: map[string]time.Time{}},
		sinks:    make(map[string]*sink),
		isolated: make(map[string]bool),
		logs:     logs,
	}
	var members []roster.Member
	for i := range siteInstances {
		m := roster.Member{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i)}
		if i < siteMembers {
			members = append(members, m)
			s.sinks[m.ID] = &sink{store: s.store, instance: m.ID, changed: make(chan struct{})}
		}
		opts := []Option{WithInstance(m.ID), WithPeers(m, nil), WithLogger(zap.New(core))}
		if aggregates {
			opts = append(opts, WithAggregation(link{s, m.ID}))
		}
		d := New(Platform{Store: storeOf{partitions: s.store, instance: m.ID}}, opts...)
		if k := s.sinks[m.ID]; k != nil {
			d.localSink = k
		}
		s.instances = append(s.instances, d)
	}
	heartbeat, err := roster.HeartbeatRecord(roster.Heartbeat{Term: 1, Owner: "e0"})
	is.NoErr(err)
	list, err := roster.MembersRecord(1, members)
	is.NoErr(err)
	for _, m := range aggregation.NewRouter().Order(0, members, "e0") {
		s.order = append(s.order, s.sinks[m.ID])
	}
	for _, d := range s.instances {
		is.NoErr(d.standbys.roster.Apply(heartbeat))
		is.NoErr(d.standbys.roster.Apply(list))
		d.tomb.Go(func() error {
			ctx := d.tomb.Context(context.Background())
			d.recordWriter.run(ctx)
			return d.intake.batches.run(ctx)
		})
	}
	return s
}

// isolate lets instances reach only each other, or all others again.
func (s *site) isolate(isolated bool, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.isolated[id] = isolated
	}
}

func (s *site) stop() {
	for _, d := range s.instances {
		d.tomb.Kill(nil)
	}
	time.Sleep(time.Minute) // for what is in flight
	synctest.Wait()
}

// outcome is what the caller of one job got.
type outcome struct {
	id   string
	err  error
	took time.Duration
}

// submit submits a job to one instance.
func (s *site) submit(instance int, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	startedAt := time.Now()
	err := s.instances[instance].Submit(ctx, &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1}}})
	return outcome{id: id, err: err, took: time.Since(startedAt)}
}

// load submits jobs at random times to random instances: so many a second for the given time.
func (s *site) load(random *rand.Rand, name string, perSecond float64, length time.Duration) []outcome {
	var wg sync.WaitGroup
	var outcomes []outcome
	var mu sync.Mutex
	startedAt := time.Now()
	for n := 0; ; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Since(startedAt) > length {
			break
		}
		instance := random.IntN(len(s.instances))
		wg.Go(func() {
			o := s.submit(instance, fmt.Sprintf("%s-%d", name, n))
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	return outcomes
}

// summary counts outcomes.
type summary struct {
	written, rejected, unknown int
	longest                    time.Duration
	total                      time.Duration
}

func summarize(t *testing.T, name string, outcomes []outcome) summary {
	t.Helper()
	var s summary
	for _, o := range outcomes {
		switch {
		case o.err == nil:
			s.written++
		case fault.Is(o.err, fault.MayHaveRun):
			s.unknown++
		default:
			s.rejected++
		}
		s.longest = max(s.longest, o.took)
		s.total += o.took
	}
	t.Logf("%s: %d written, %d rejected, %d unknown, mean %v, longest %v", name, s.written, s.rejected, s.unknown,
		(s.total / time.Duration(max(1, len(outcomes)))).Round(time.Millisecond), s.longest.Round(time.Millisecond))
	return s
}

// count returns the sum of a counter over all instances.
func (s *site) count(counter func(*writeCounters) int64) int64 {
	sum := int64(0)
	for _, d := range s.instances {
		sum += counter(&d.counters.writes)
	}
	return sum
}

func handedOver(w *writeCounters) int64 { return w.handedOver.Value() }
func diversions(w *writeCounters) int64 { return w.diversions.Value() }

// Guards against a slow store that stops the intake of jobs, as each instance appends its own
// few records and the partition's queue fills up; and against instances that return to it at
// the same time, and so fill it up again.
func TestSlowStoreTakesAllJobs(t *testing.T) {
	const quick = 2 * time.Millisecond
	tests := []struct {
		name    string
		before  time.Duration // of an append, before the store slows down
		slowed  time.Duration
		longest time.Duration // that a caller waits
	}{
		{"20 times slower", quick, 40 * time.Millisecond, 400 * time.Millisecond},
		{"48 times slower", quick, 96 * time.Millisecond, 400 * time.Millisecond},
		{"94 times slower", quick, 188 * time.Millisecond, 600 * time.Millisecond},
		{"slow from the start", 188 * time.Millisecond, 188 * time.Millisecond, 1200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, random := newSite(t, true), rand.New(rand.NewPCG(1, 2))
				defer s.stop()
				var all []outcome
				for _, phase := range []struct {
					name       string
					appendTime time.Duration
					perSecond  float64
					length     time.Duration
				}{
					{"before", tt.before, 30, 10 * time.Second},
					{"slowed", tt.slowed, 30, 5 * time.Second},
					{"burst", tt.slowed, 60, 5 * time.Second},
					{"slow", tt.slowed, 30, 20 * time.Second},
					{"recovering", quick, 60, 10 * time.Second},
					{"recovered", quick, 30, 5 * time.Second},
				} {
					s.store.set(func(p *partitions) { p.appendTime = phase.appendTime })
					diverted, handed := s.count(diversions), s.count(handedOver)
					outcomes := s.load(random, phase.name, phase.perSecond, phase.length)
					all = append(all, outcomes...)
					sum := summarize(t, phase.name, outcomes)
					t.Logf("%d handed over, %d diversions, states %v", s.count(handedOver)-handed, s.count(diversions)-diverted, s.states())
					is.Equal(sum.written, len(outcomes))
					is.True(sum.longest <= tt.longest)
				}
				is.Equal(s.states()[writepath.Direct], siteInstances)
				s.check(t, all)
			})
		})
	}
}

// states counts the instances by the state of their paths.
func (s *site) states() map[writepath.State]int {
	states := make(map[writepath.State]int)
	for _, d := range s.instances {
		d.recordWriter.mu.Lock()
		states[d.recordWriter.path.State()]++
		d.recordWriter.mu.Unlock()
	}
	return states
}

// check stops the site and compares what callers got with what is on record in the end, and with
// the metrics and log lines.
func (s *site) check(t *testing.T, outcomes []outcome) {
	t.Helper()
	for _, k := range s.sinks {
		k.setMode(works) // a frozen one writes late
	}
	s.stop()
	var writes, diversionLines int64
	for _, d := range s.instances {
		w := &d.counters.writes
		writes += w.direct.Value() + w.handedOver.Value() + w.rejected.Value() + w.unknown.Value()
	}
	for _, l := range s.logs.FilterMessage("write path").All() {
		if l.ContextMap()["state"] == writepath.Diverted.String() {
			diversionLines++
		}
	}
	is := is.New(t)
	is.Equal(writes, int64(len(outcomes)))
	is.Equal(diversionLines, s.count(diversions))
	for _, o := range outcomes {
		n := s.store.count(o.id)
		switch {
		case o.err == nil && n == 0:
			t.Errorf("job %s was accepted and isn't on record", o.id)
		case o.err != nil && !fault.Is(o.err, fault.MayHaveRun) && n > 0:
			t.Errorf("job %s was rejected with %v and is on record", o.id, o.err)
		}
	}
}

// Guards against a second message for each record, and against waiting for it, while the store
// works well.
func TestQuickStoreIsWrittenDirectly(t *testing.T) {
	var sums [2]summary
	for i, aggregates := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, aggregates)
			outcomes := s.load(rand.New(rand.NewPCG(1, 2)), "quick", 60, 20*time.Second)
			sums[i] = summarize(t, fmt.Sprintf("aggregates %v", aggregates), outcomes)
			is.Equal(sums[i].written, len(outcomes))
			is.Equal(s.count(handedOver), int64(0))
			is.Equal(s.count(func(w *writeCounters) int64 { return w.direct.Value() }), int64(len(outcomes)))
			for _, k := range s.sinks {
				is.Equal(k.calls, 0)
			}
			s.check(t, outcomes)
		})
	}
	is := is.New(t)
	is.Equal(sums[1], sums[0])
}

// third returns the IDs of every third instance, beginning with the owner.
func third() []string {
	var ids []string
	for i := 0; i < siteInstances; i += 3 {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	return ids
}

// reject makes the store reject the appends of instances, or accept them again.
func (s *site) reject(rejected bool, ids ...string) {
	s.store.set(func(p *partitions) {
		for _, id := range ids {
			p.rejected[id] = rejected
		}
	})
}

func (s *site) setOwner(t *testing.T, id string) {
	t.Helper()
	is := is.New(t)
	record, err := roster.HeartbeatRecord(roster.Heartbeat{Term: 2, Owner: id})
	is.NoErr(err)
	for _, d := range s.instances {
		is.NoErr(d.standbys.roster.Apply(record))
	}
}

// calls returns the number of batches that each candidate got.
func (s *site) calls() []int {
	var calls []int
	for _, k := range s.order {
		k.mu.Lock()
		calls = append(calls, k.calls)
		k.mu.Unlock()
	}
	return calls
}

func TestLostAggregators(t *testing.T) {
	const slow = 188 * time.Millisecond
	tests := []struct {
		name  string // of the failure it guards against
		fails func(t *testing.T, s *site)
		most  int // index in the order of the candidate that gets most of the calls after it
	}{
		{"the aggregator dies with a batch unanswered", func(_ *testing.T, s *site) { s.order[0].setMode(dead) }, 1},
		{"the aggregator freezes", func(_ *testing.T, s *site) { s.order[0].setMode(frozen) }, 1},
		{"the aggregator is isolated", func(_ *testing.T, s *site) { s.isolate(true, s.order[0].instance) }, 1},
		{"two aggregators freeze", func(_ *testing.T, s *site) {
			s.order[0].setMode(frozen)
			s.order[1].setMode(frozen)
		}, 2},
		{"the aggregator freezes and the store rejects the next one", func(_ *testing.T, s *site) {
			s.order[0].setMode(frozen)
			s.reject(true, s.order[1].instance)
		}, 2},
		{"the owner is lost and replaced", func(t *testing.T, s *site) {
			s.order[0].setMode(dead)
			time.Sleep(time.Second)
			s.setOwner(t, s.order[2].instance)
		}, 2},
		{"the store rejects a third of the instances", func(_ *testing.T, s *site) { s.reject(true, third()...) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, random := newSite(t, true), rand.New(rand.NewPCG(1, 2))
				defer s.stop()
				s.store.set(func(p *partitions) { p.appendTime = slow })
				outcomes := s.load(random, "slow", 30, 10*time.Second)
				go tt.fails(t, s)
				outcomes = append(outcomes, s.load(random, "failing", 30, 5*time.Second)...)
				before := s.calls()
				outcomes = append(outcomes, s.load(random, "failed", 60, 10*time.Second)...)
				sum := summarize(t, tt.name, outcomes)
				calls := s.calls()
				for i := range calls {
					calls[i] -= before[i]
				}
				t.Log("calls", calls)
				is.Equal(sum.written, len(outcomes))
				is.True(sum.longest <= 2*time.Second)
				is.Equal(slices.Index(calls, slices.Max(calls)), tt.most)
				s.check(t, outcomes)
			})
		})
	}
}

// Guards against a job that runs twice or changes its state because a frozen aggregator writes
// its record again, long after another one did.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, random := newSite(t, true), rand.New(rand.NewPCG(1, 2))
		defer s.stop()
		s.store.set(func(p *partitions) { p.appendTime = 188 * time.Millisecond })
		outcomes := s.load(random, "slow", 30, 3*time.Second)
		s.order[0].setMode(frozen)
		outcomes = append(outcomes, s.load(random, "frozen", 30, 5*time.Second)...)
		cancelled := outcomes[len(outcomes)-1].id
		c := catalog.New()
		is.NoErr(c.Accept(catalog.CancelRecord(cancelled)))
		s.check(t, outcomes)
		twice := 0
		for _, o := range outcomes {
			is.NoErr(o.err)
			if s.store.count(o.id) > 1 {
				twice++
			}
		}
		t.Logf("%d of %d jobs were written twice", twice, len(outcomes))
		is.True(twice > 0)
		for _, r := range s.store.records {
			is.NoErr(c.Accept(r))
		}
		is.Equal(c.Len(), len(outcomes))
		state, _ := c.State(cancelled)
		is.Equal(state, progress.Cancelled)
	})
}

// Guards against callers that wait for their deadline, or get no certain answer, when neither
// the store nor an aggregator writes.
func TestNoWayToWrite(t *testing.T) {
	all := func(s *site) []string {
		var ids []string
		for _, d := range s.instances {
			ids = append(ids, d.instance)
		}
		return ids
	}
	tests := []struct {
		name      string
		fails     func(s *site, fails bool)
		instance  int           // that is asked
		first     time.Duration // longest time until its first answer
		next      time.Duration // longest time of later answers
		immediate float64       // share of later answers without any delay
	}{
		{"the store rejects all instances", func(s *site, fails bool) { s.reject(fails, all(s)...) }, 7, 100 * time.Millisecond, 100 * time.Millisecond, 0.9},
		{"an availability zone is isolated", func(s *site, fails bool) {
			s.reject(fails, third()...)
			s.isolate(fails, third()...)
		}, 9, 2100 * time.Millisecond, 800 * time.Millisecond, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, true)
				defer s.stop()
				outcomes := []outcome{s.submit(tt.instance, "before")}
				is.NoErr(outcomes[0].err)
				tt.fails(s, true)
				first := s.submit(tt.instance, "first")
				is.True(fault.Is(first.err, fault.Unavailable))
				t.Log("first", first.took, first.err)
				is.True(first.took <= tt.first)
				var wg sync.WaitGroup
				next := make([]outcome, 200)
				for i := range next {
					time.Sleep(20 * time.Millisecond)
					wg.Go(func() { next[i] = s.submit(tt.instance, fmt.Sprintf("next-%d", i)) })
				}
				wg.Wait()
				immediate := 0
				for _, o := range next {
					is.True(fault.Is(o.err, fault.Unavailable))
					if o.took == 0 {
						immediate++
					}
				}
				sum := summarize(t, tt.name, next)
				t.Logf("%d immediate", immediate)
				is.True(sum.longest <= tt.next)
				is.True(float64(immediate) >= tt.immediate*float64(len(next)))
				tt.fails(s, false)
				time.Sleep(3 * time.Second)
				last := s.submit(tt.instance, "last")
				is.NoErr(last.err)
				s.check(t, append(append(outcomes, first, last), next...))
			})
		})
	}
}

// Guards against callers that all get an unknown outcome while the store answers no instance, and
// against an instance that doesn't notice its return.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, random := newSite(t, true), rand.New(rand.NewPCG(1, 2))
		defer s.stop()
		outcomes := s.load(random, "before", 30, 3*time.Second)
		s.store.set(func(p *partitions) { p.silent = true })
		time.AfterFunc(8*time.Second, func() { s.store.set(func(p *partitions) { p.silent = false }) })
		silent := s.load(random, "silent", 120, 8*time.Second)
		sum := summarize(t, "silent", silent)
		is.True(sum.rejected > sum.unknown)
		after := s.load(random, "after", 120, 5*time.Second)
		summarize(t, "after", after)
		last := s.load(random, "last", 120, 5*time.Second)
		is.Equal(summarize(t, "last", last).written, len(last))
		s.check(t, slices.Concat(outcomes, silent, after, last))
	})
}

// Guards against instances that return to direct writes all at once, as soon as the store has
// recovered, and so overload it again.
func TestReturnsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, random := newSite(t, true), rand.New(rand.NewPCG(1, 2))
		defer s.stop()
		outcomes := s.load(random, "before", 100, 10*time.Second) // all know how quick the store is
		s.store.set(func(p *partitions) { p.appendTime = 96 * time.Millisecond })
		outcomes = append(outcomes, s.load(random, "slow", 400, 5*time.Second)...)
		is.Equal(s.states()[writepath.Diverted], siteInstances)
		s.store.set(func(p *partitions) { p.appendTime = 2 * time.Millisecond })
		recoveredAt := time.Now()
		outcomes = append(outcomes, s.load(random, "recovered", 400, 3*time.Second)...)
		is.Equal(summarize(t, "all", outcomes).written, len(outcomes))
		is.Equal(s.states()[writepath.Direct], siteInstances)
		perInterval := make([]int, 30)
		for _, l := range s.logs.FilterMessage("write path").FilterField(zap.Stringer("state", writepath.Direct)).All() {
			perInterval[l.Time.Sub(recoveredAt)/(100*time.Millisecond)]++
		}
		t.Log("returns in each 100 ms", perInterval)
		is.Equal(perInterval[0]+perInterval[1]+perInterval[2], 0)
		is.True(slices.Max(perInterval) <= siteInstances/2)
		s.check(t, outcomes)
	})
}

// Guards against a record that is sent after its caller was told that it never will be.
func TestWithdrawnRecordIsNotSent(t *testing.T) {
	tests := []struct {
		name    string
		end     func(e *pendingWrite)
		certain bool // whether the record can't be on record
	}{
		{"waits", func(*pendingWrite) {}, true},
		{"withdrawn", func(e *pendingWrite) { e.withdraw() }, true},
		{"sent", func(e *pendingWrite) { markSent([]*pendingWrite{e}) }, false},
		{"rejected", func(e *pendingWrite) {
			markSent([]*pendingWrite{e})
			e.finish(fault.New(fault.Unavailable, "rejected"))
		}, true},
		{"not answered", func(e *pendingWrite) {
			markSent([]*pendingWrite{e})
			e.finish(fault.New(fault.MayHaveRun, "no answer"))
		}, false},
		{"another error", func(e *pendingWrite) {
			markSent([]*pendingWrite{e})
			e.finish(fault.New(fault.Internal, "no answer"))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newPendingWrite(provider.KeyedRecord{})
			tt.end(e)
			is.Equal(e.isCertain(), tt.certain)
			is.Equal(len(markSent([]*pendingWrite{e})), 0) // neither now nor a second time
		})
	}
}

// Guards against a record that a late aggregator may still write, and whose direct write is
// withdrawn from the queue: the request would wait for the result of that write until its deadline,
// although the store answers again.
func TestDirectWriteStaysQueuedBesideLateHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &partitions{appendTime: 2 * time.Millisecond, freeAt: map[string]time.Time{}}
		d := New(Platform{Store: storeOf{partitions: store}}, WithAggregation(link{}))
		defer d.tomb.Kill(nil) // also after a failure, which would otherwise show as a deadlock
		d.recordWriter.handover.batches.write = func(ctx context.Context, batch []*pendingWrite) {
			for _, e := range batch {
				e.done <- errLate
			}
			<-ctx.Done()
		}
		d.tomb.Go(func() error {
			ctx := d.tomb.Context(context.Background())
			d.recordWriter.run(ctx)
			time.Sleep(time.Second) // earlier direct writes are in flight
			return d.intake.batches.run(ctx)
		})
		ctx, cancel := context.WithTimeout(t.Context(), requestTime)
		defer cancel()
		r := &request{w: d.recordWriter, record: provider.KeyedRecord{Key: "a/1"}, acked: make(chan *pendingWrite, 1)}
		startedAt := time.Now()
		_, err := r.run(ctx)
		is.NoErr(err)
		is.True(time.Since(startedAt) < 1100*time.Millisecond)
	})
}

// Guards against a record that is too large for aggregators and handed over: all of them would refuse
// it, and count as failed for the instance's other records.
func TestLargeRecordIsWrittenDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, true)
		defer s.stop()
		w := s.instances[siteMembers].recordWriter
		w.overdue()
		is.Equal(w.path.State(), writepath.Diverted)
		ctx, cancel := context.WithTimeout(t.Context(), requestTime)
		defer cancel()
		for size, want := range map[int]string{1: catalog.Aggregated, aggregation.MaxBytes: catalog.Accepts} {
			stream, err := w.write(ctx, provider.KeyedRecord{Key: "a/1", Value: make([]byte, size)})
			is.NoErr(err)
			is.Equal(stream, want)
		}
	})
}

// Guards against jobs that are counted as rejected by the store while it doesn't answer.
func TestReasonOfRejections(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(d *Dispatcher)
		want    fault.Reason
	}{
		{"older writes aren't answered", func(d *Dispatcher) {
			d.intake.outage.beginWrite()
			d.recordWriter.handover.outage.beginWrite()
			time.Sleep(unansweredTimeout)
		}, fault.StoreSilent},
		{"the record waits for earlier writes", func(*Dispatcher) {}, fault.StoreSilent},
		{"both ways were rejected", func(d *Dispatcher) {
			d.recordWriter.handoverFailed()
			d.recordWriter.appended(time.Millisecond, fault.New(fault.Unavailable, "status 503"))
		}, fault.StoreRejects},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 2*requestTime)
				defer cancel()
				d := New(Platform{Store: emptyStore{}}, WithAggregation(link{}))
				tt.prepare(d)
				_, err := (&request{w: d.recordWriter, acked: make(chan *pendingWrite, 1)}).run(ctx)
				is.True(fault.Is(err, fault.Unavailable))
				is.Equal(fault.ReasonOf(err), tt.want)
			})
		})
	}
}

// Guards against a write that is begun once the time of its request is over. If it were sent before
// it can be withdrawn, a caller would be told that the outcome is unknown, instead of 503.
func TestNoWriteIsBegunAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(Platform{Store: emptyStore{}}, WithAggregation(link{}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := &request{w: d.recordWriter, acked: make(chan *pendingWrite, 1)}
		is.True(r.race(ctx, writepath.WriteDirectly, 2*time.Second) == nil)
		is.Equal(len(r.writes), 1)
		is.True(r.withdraw())
	})
}

// Guards against a batch of large records that every aggregator refuses, as it takes at most
// aggregation.MaxBytes.
func TestBatchFitsIntoOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(Platform{Store: emptyStore{}})
		defer d.tomb.Kill(nil)
		var sizes, counts []int
		b := newBatcher(d, 1, time.Second, func(_ context.Context, batch []*pendingWrite) {
			sizes, counts = append(sizes, aggregation.Size(recordsOf(batch))), append(counts, len(batch))
		})
		for n := range 10 {
			is.True(b.add(newPendingWrite(provider.KeyedRecord{Key: fmt.Sprintf("a/%d", n), Value: make([]byte, 200_000)})))
		}
		d.tomb.Go(func() error { return b.run(d.tomb.Context(context.Background())) })
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(counts, []int{5, 5})
		is.True(slices.Max(sizes) <= aggregation.MaxBytes)
	})
}

// Guards against broken connections that don't divert an instance, as an answer arrives before the
// hedge delay, and against an append from before a recovery that diverts it again.
func TestDirectAppendsMoveThePath(t *testing.T) {
	unknown, rejected := fault.New(fault.MayHaveRun, "no answer"), fault.New(fault.Unavailable, "rejected")
	tests := []struct {
		name string
		took time.Duration
		err  error
		want writepath.State
	}{
		{"acknowledged", 2 * time.Millisecond, nil, writepath.Direct},
		{"acknowledged late", 300 * time.Millisecond, nil, writepath.Diverted},
		{"rejected", 2 * time.Millisecond, rejected, writepath.Diverted},
		{"connection broke", 2 * time.Millisecond, unknown, writepath.Diverted},
		{"timed out", intakeTimeout, unknown, writepath.Direct},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(Platform{Store: emptyStore{}}, WithAggregation(link{}))
			d.recordWriter.appended(tt.took, tt.err)
			is.New(t).Equal(d.recordWriter.path.State(), tt.want)
		})
	}
}
