// Package readers measures, in virtual time, how many readers one store carries when some
// of them fall behind and return at the same moment.
//
// Usage:
//
//	r := readers.New(readers.WithReaders(600)).Run()
//	fmt.Println(r.CaughtUp, r.GivenUp)
//
// Every reader follows one stream. The answers of the store share its bandwidth, one after
// the other, and an answer is transmitted whole even if its reader has given it up. The
// bounds of each read and the delay after a failure are those of package pacing, or fixed
// ones for comparison.
package readers

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/dogwoodladder/dogwoodladder/pacing"
)

// Policy decides the bounds of a reader's reads. A pacing.Pacer is one.
type Policy interface {
	Limit() pacing.Limit
	Succeeded(took time.Duration)
	Failed(pacing.Failure) time.Duration
}

// Bench is a store with its readers.
type Bench struct {
	readers     int
	cutShare    float64
	outage      time.Duration
	silent      bool
	length      time.Duration
	stream      stream
	bandwidth   float64
	spacing     time.Duration
	slowFactor  float64
	newPolicy   func(random func() float64) Policy
	seed        uint64
	events      eventQueue
	now         time.Duration
	linkFreeAt  time.Duration
	random      *rand.Rand
	result      Result
	all         []*reader
	transmitted float64
}

// Bandwidth is the bandwidth of the store's answers in bytes a second.
const Bandwidth = 80e6

// Option sets up a Bench.
type Option func(*Bench)

// WithReaders sets the number of readers (default 600).
func WithReaders(n int) Option {
	return func(b *Bench) { b.readers = n }
}

// WithOutage sets the share of the readers that can't reach the store, and for how long
// (default 0.4 and 9 s).
func WithOutage(share float64, d time.Duration) Option {
	return func(b *Bench) { b.cutShare, b.outage = share, d }
}

// WithSilence leaves the reads of the readers that can't reach the store without an answer,
// instead of rejecting them.
func WithSilence() Option {
	return func(b *Bench) { b.silent = true }
}

// WithWrites sets how many bytes a second are written to the stream (default 40 kB).
func WithWrites(bytesPerSecond float64) Option {
	return func(b *Bench) { b.stream = steadyStream(bytesPerSecond) }
}

// WithVersions writes a number of records of a size, one after the other, instead of a steady
// stream: versions of a configuration that all readers need.
func WithVersions(number, bytes int, gap time.Duration) Option {
	return func(b *Bench) { b.stream = versionStream{number: number, bytes: float64(bytes), gap: gap} }
}

// WithSlowStore divides the store's bandwidth during the outage (default 1).
func WithSlowStore(factor float64) Option {
	return func(b *Bench) { b.slowFactor = factor }
}

// WithPolicy sets the policy of the readers (default pacing.New).
func WithPolicy(f func(random func() float64) Policy) Option {
	return func(b *Bench) { b.newPolicy = f }
}

// WithBandwidth sets the bandwidth of the answers in bytes a second (default Bandwidth).
func WithBandwidth(bytesPerSecond float64) Option {
	return func(b *Bench) { b.bandwidth = bytesPerSecond }
}

// WithLength sets how long the readers are played (default 120 s).
func WithLength(d time.Duration) Option {
	return func(b *Bench) { b.length = d }
}

// WithSeed sets the seed of all random delays (default 1).
func WithSeed(seed uint64) Option {
	return func(b *Bench) { b.seed = seed }
}

// New returns a Bench.
func New(opts ...Option) *Bench {
	b := &Bench{
		readers:    600,
		cutShare:   0.4,
		outage:     9 * time.Second,
		length:     120 * time.Second,
		stream:     steadyStream(40e3),
		bandwidth:  Bandwidth,
		spacing:    250 * time.Millisecond,
		slowFactor: 1,
		newPolicy:  func(random func() float64) Policy { return pacing.New(random) },
		seed:       1,
	}
	for _, opt := range opts {
		opt(b)
	}
	b.random = rand.New(rand.NewPCG(b.seed, 0))
	return b
}

// Fixed is a Policy with the same bounds for every read.
type Fixed struct {
	limit    pacing.Limit
	failures int
}

// NewFixed returns a Policy that never changes the bounds of reads and doubles the delay
// after each failure up to 400 ms.
func NewFixed(func() float64) Policy {
	return &Fixed{limit: pacing.Limit{Bytes: pacing.MaxBytes, Timeout: pacing.MinTimeout}}
}

// Paced returns a policy of package pacing with a bound for noticing the store's return.
func Paced(bound time.Duration) func(random func() float64) Policy {
	return func(random func() float64) Policy {
		return pacing.New(random, pacing.WithReturnBound(bound))
	}
}

// Limit returns the fixed bounds.
func (f *Fixed) Limit() pacing.Limit { return f.limit }

// Succeeded resets the delay.
func (f *Fixed) Succeeded(time.Duration) { f.failures = 0 }

// Failed returns the delay.
func (f *Fixed) Failed(pacing.Failure) time.Duration {
	f.failures++
	return min(400*time.Millisecond, 50*time.Millisecond<<min(f.failures, 4))
}

// Result tells what the readers got after the outage.
type Result struct {
	Readers     int
	CaughtUp    time.Duration // from the end of the outage until no reader was behind by more than a second; zero if that never happened
	GivenUp     int           // answers that timed out
	Rejected    int           // reads that the store rejected
	Transmitted float64       // bytes
	Useful      float64       // bytes that were in time
	Oldest      time.Duration // oldest state of a reader that wasn't cut off
	Noticed     time.Duration // from the end of the outage until every reader that was cut off had sent a read
}

const (
	// answerTime is the store's time for an answer, transmission excluded.
	answerTime = 4 * time.Millisecond
	// maxQueue is the time for which answers may queue before reads are rejected.
	maxQueue = 2 * time.Second
	// sampleInterval is the time between two looks at the readers' states.
	sampleInterval = 100 * time.Millisecond
	outageStart    = 2 * time.Second
	// currentBound is the age of a reader's state up to which it counts as current.
	currentBound = time.Second
)

type reader struct {
	policy   Policy
	cut      bool
	returned bool    // whether it has sent a read after the outage
	read     float64 // bytes read
	number   int     // of the read in progress
}

// Run plays the outage and returns what the readers got.
func (b *Bench) Run() Result {
	b.result.Readers = b.readers
	for i := range b.readers {
		r := &reader{policy: b.newPolicy(b.random.Float64), cut: float64(i) < b.cutShare*float64(b.readers)}
		b.all = append(b.all, r)
		b.after(time.Duration(b.random.Float64()*float64(b.spacing)), func() { b.send(r) })
	}
	b.after(sampleInterval, b.sample)
	for b.events.Len() > 0 {
		e := heap.Pop(&b.events).(event)
		if e.at > b.length {
			break
		}
		b.now = e.at
		e.do()
	}
	b.result.Transmitted = b.transmitted
	return b.result
}

func (b *Bench) inOutage() bool {
	return b.now >= outageStart && b.now < outageStart+b.outage
}

// send sends a reader's next read.
func (b *Bench) send(r *reader) {
	r.number++
	if r.cut && b.inOutage() {
		b.lose(r)
		return
	}
	b.recordReturn(r)
	queued := max(0, b.linkFreeAt-b.now)
	if queued > maxQueue {
		b.result.Rejected++
		b.fail(r, pacing.Rejected)
		return
	}
	limit := r.policy.Limit()
	size := b.stream.page(r.read, b.now, float64(limit.Bytes))
	bandwidth := b.bandwidth
	if b.inOutage() {
		bandwidth /= b.slowFactor
	}
	b.linkFreeAt = max(b.linkFreeAt, b.now) + time.Duration(size/bandwidth*float64(time.Second))
	b.transmitted += size
	sent, number, done := b.now, r.number, b.linkFreeAt+answerTime
	if done-sent > limit.Timeout {
		b.after(limit.Timeout, func() {
			b.result.GivenUp++
			b.fail(r, pacing.TimedOut)
		})
		return
	}
	b.after(done-sent, func() {
		if r.number == number {
			b.receive(r, size, sent)
		}
	})
}

// lose fails a read that doesn't reach the store.
func (b *Bench) lose(r *reader) {
	if !b.silent {
		b.fail(r, pacing.Rejected)
		return
	}
	b.after(r.policy.Limit().Timeout, func() { b.fail(r, pacing.TimedOut) })
}

// recordReturn records when a reader that was cut off sends its first read after the outage.
func (b *Bench) recordReturn(r *reader) {
	if !r.cut || r.returned || b.now < outageStart {
		return
	}
	r.returned = true
	b.result.Noticed = max(b.result.Noticed, b.now-outageStart-b.outage)
}

func (b *Bench) receive(r *reader, size float64, sent time.Duration) {
	r.read += size
	b.result.Useful += size
	r.policy.Succeeded(b.now - sent)
	wait := b.spacing - (b.now - sent)
	if b.lag(r) > b.spacing {
		wait = 0
	}
	b.after(max(0, wait), func() { b.send(r) })
}

func (b *Bench) fail(r *reader, f pacing.Failure) {
	b.after(r.policy.Failed(f), func() { b.send(r) })
}

// lag returns the age of a reader's state.
func (b *Bench) lag(r *reader) time.Duration {
	return b.stream.lag(r.read, b.now)
}

// sample records how old the readers' states are.
func (b *Bench) sample() {
	b.after(sampleInterval, b.sample)
	behind := false
	for _, r := range b.all {
		lag := b.lag(r)
		behind = behind || lag > currentBound
		if !r.cut {
			b.result.Oldest = max(b.result.Oldest, lag)
		}
	}
	end := max(outageStart+b.outage, b.stream.end())
	switch {
	case b.now < end:
	case behind:
		b.result.CaughtUp = 0
	case b.result.CaughtUp == 0:
		b.result.CaughtUp = b.now - end
	}
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

func (b *Bench) after(d time.Duration, do func()) {
	heap.Push(&b.events, event{at: b.now + d, order: b.events.pushed, do: do})
}

// eventQueue holds events by time, those of the same time in the order in which they were
// added.
type eventQueue struct {
	events []event
	pushed int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].order < q.events[j].order
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	q.pushed++
	q.events = append(q.events, x.(event))
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
