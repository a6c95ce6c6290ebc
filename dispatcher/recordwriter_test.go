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
	keys       map[string][]string // written keys by stream
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
		for _, r := range records {
			s.keys[stream] = append(s.keys[stream], r.Key)
		}
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

func (s *partitions) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(slices.Concat(s.keys[catalog.Accepts], s.keys[aggregated]), "a/"+id)
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

// mode is how an aggregator of the tests behaves.
type mode int

const (
	works  mode = iota
	dead        // connections are refused; unanswered calls break
	frozen      // neither answers nor appends until it works again
	cut         // connections aren't opened
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
	switch k.mode {
	case dead:
		k.mu.Unlock()
		return aggregation.Result{Outcome: aggregation.NotWritten}
	case cut:
		k.mu.Unlock()
		<-ctx.Done()
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
}

// Write implements AggregationClient.
func (s *site) Write(ctx context.Context, to roster.Member, records []provider.KeyedRecord) aggregation.Result {
	return s.sinks[to.ID].Write(ctx, records)
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
		store: &partitions{appendTime: 2 * time.Millisecond, rejected: map[string]bool{}, freeAt: map[string]time.Time{}, keys: map[string][]string{}},
		sinks: make(map[string]*sink),
		logs:  logs,
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
			opts = append(opts, WithAggregation(s))
		}
		d := New(Platform{Store: storeOf{partitions: s.store, instance: m.ID}}, opts...)
		if k := s.sinks[m.ID]; k != nil {
			d.aggregator = k
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
					sum := summarize(t, phase.name, outcomes)
					t.Logf("%d handed over, %d diversions, states %v", s.count(handedOver)-handed, s.count(diversions)-diverted, s.states())
					is.Equal(sum.written, len(outcomes))
					is.True(sum.longest <= tt.longest)
				}
				is.Equal(s.states()[writepath.Direct], siteInstances)
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
