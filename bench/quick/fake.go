package quick

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
)

// Network delays of the fake, one way.
const (
	callerDelay = time.Millisecond
	nearDelay   = 100 * time.Microsecond // within an availability zone
	farDelay    = 1500 * time.Microsecond
)

const busyConnections = 8 // for each pair of instance and worker

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// fake is the world around the policies: virtual time, a network and workers.
type fake struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
	zones    []string // of instances
	workers  []*worker
	index    map[string]int // of workers by name
	cut      string         // availability zone that is cut off
	silent   [][]int        // silent connections by instance and worker
	notice   time.Duration  // after which the policy closes a silent connection; zero is never
	slots    int            // of a worker
	cores    int            // requests that a worker serves without slowing down
	result   *outcome       // what is measured
}

// worker serves requests in its slots and keeps the others in order.
type worker struct {
	name    string
	zone    string
	refuses bool
	factor  float64 // slowdown
	busy    []*attempt
	backlog []*attempt
}

// request is one request of a caller.
type request struct {
	at         time.Duration
	instance   int
	service    string
	work       time.Duration
	idempotent bool
	ended      bool
	sent       bool   // at least once
	tried      []int  // workers
	peer       string // that it was forwarded to
}

// attempt is one sending of a request to a worker.
type attempt struct {
	request  *request
	instance int
	worker   int
	sent     time.Duration
	closed   bool // the instance no longer waits for it
	answer   func(a *attempt, result balancer.Result)
}

func (f *fake) time() time.Time {
	return epoch.Add(f.now)
}

// after calls fn once d of virtual time has passed.
func (f *fake) after(d time.Duration, fn func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now + max(d, 0), sequence: f.sequence, fn: fn})
}

// run handles events until a time.
func (f *fake) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.fn()
	}
	f.now = until
}

// message carries fn from one availability zone to another, unless they are
// cut off from each other when it leaves or arrives.
func (f *fake) message(from, to string, fn func()) {
	if f.isCut(from, to) {
		return
	}
	delay := farDelay
	if from == to {
		delay = nearDelay
	}
	f.after(delay, func() {
		if !f.isCut(from, to) {
			fn()
		}
	})
}

func (f *fake) isCut(from, to string) bool {
	return from != to && (from == f.cut || to == f.cut)
}

// send starts an attempt. Its answer may never come.
func (f *fake) send(a *attempt) {
	a.sent = f.now
	if a.request.sent {
		f.result.retries++
	}
	a.request.sent = true
	if f.isSilent(a) {
		f.noticeSilence(a)
		return
	}
	w := f.workers[a.worker]
	f.message(f.zones[a.instance], w.zone, func() { f.receive(w, a) })
}

// noticeSilence ends a, and its connection, after the policy's own bound.
func (f *fake) noticeSilence(a *attempt) {
	if f.notice == 0 {
		return
	}
	f.after(f.notice, func() {
		n := &f.silent[a.instance][a.worker]
		*n = max(*n-1, 0)
		if !a.closed {
			a.answer(a, balancer.Lost)
		}
	})
}

// isSilent reports whether a met a connection that lost its other end.
func (f *fake) isSilent(a *attempt) bool {
	if f.silent == nil {
		return false
	}
	return f.random.IntN(busyConnections) < f.silent[a.instance][a.worker]
}

func (f *fake) receive(w *worker, a *attempt) {
	switch {
	case w.refuses:
		f.reply(w, a, balancer.Refused)
	case len(w.busy) >= f.slots:
		w.backlog = append(w.backlog, a)
	default:
		f.start(w, a)
	}
}

func (f *fake) start(w *worker, a *attempt) {
	w.busy = append(w.busy, a)
	crowd := max(1, float64(len(w.busy))/float64(f.cores))
	factor := w.factor * crowd * crowd
	f.after(time.Duration(factor*float64(a.request.work)), func() { f.complete(w, a) })
}

func (f *fake) complete(w *worker, a *attempt) {
	i := slices.Index(w.busy, a)
	if i < 0 {
		return // the worker died
	}
	w.busy = slices.Delete(w.busy, i, i+1)
	f.reply(w, a, balancer.OK)
	if len(w.backlog) == 0 {
		return
	}
	next := w.backlog[0]
	w.backlog = w.backlog[1:]
	f.start(w, next)
}

func (f *fake) reply(w *worker, a *attempt, result balancer.Result) {
	f.message(w.zone, f.zones[a.instance], func() {
		if !a.closed {
			a.answer(a, result)
		}
	})
}

// die ends a worker: connections are reset and new ones refused.
func (f *fake) die(w *worker) {
	w.refuses = true
	lost := append(w.busy, w.backlog...)
	w.busy, w.backlog = nil, nil
	for _, a := range lost {
		f.reply(w, a, balancer.Lost)
	}
}

// silence makes a part of all busy connections silent.
func (f *fake) silence(connections int) {
	f.silent = make([][]int, len(f.zones))
	for i := range f.silent {
		f.silent[i] = slices.Repeat([]int{connections}, len(f.workers))
	}
}

// finish ends a request at an instance; its caller learns of it a delay later.
func (f *fake) finish(r *request, e ending) {
	if r.ended {
		return
	}
	r.ended = true
	f.result.add(r, e, f.now+callerDelay)
}

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	fn       func()
}

// eventQueue orders events by time, for package heap.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
