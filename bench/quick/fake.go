package quick

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/balancer"
)

// One-way network delays.
const (
	callerDelay    = time.Millisecond
	sameZoneDelay  = 100 * time.Microsecond // within an availability zone
	crossZoneDelay = 1500 * time.Microsecond
)

const busyConnections = 8 // per pair of instance and worker

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// fake simulates a site in virtual time: the network and the workers.
type fake struct {
	now            time.Duration
	queue          eventQueue
	sequence       uint64
	random         *rand.Rand
	zones          []string // by instance
	workers        []*worker
	index          map[string]int // worker indices by name
	cut            string         // availability zone that is partitioned from the others
	silent         [][]int        // number of silent connections by instance and worker
	silenceTimeout time.Duration  // after which the policy closes a silent connection; zero means never
	slots          int            // per worker
	cores          int            // concurrent requests that a worker serves without slowing down
	outcome        *outcome       // measurements
}

// worker serves as many requests as it has slots and queues the others in
// order of arrival.
type worker struct {
	name     string
	zone     string
	refuses  bool
	slowdown float64 // factor on service times
	busy     []*attempt
	backlog  []*attempt
}

// request is one request of a caller.
type request struct {
	arrivedAt   time.Duration
	instance    int
	service     string
	serviceTime time.Duration
	idempotent  bool
	ended       bool
	sent        bool   // whether there was an attempt
	tried       []int  // indices of workers
	peer        string // ID of the instance that it was forwarded to
}

// attempt is one attempt to have a worker serve a request.
type attempt struct {
	request  *request
	instance int
	worker   int
	sentAt   time.Duration
	closed   bool // the instance no longer waits for an answer
	onAnswer func(a *attempt, result balancer.Result)
}

func (f *fake) time() time.Time {
	return epoch.Add(f.now)
}

// after calls fn once d of virtual time has passed.
func (f *fake) after(d time.Duration, fn func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now + max(d, 0), sequence: f.sequence, fn: fn})
}

// run handles the events up to a point in virtual time.
func (f *fake) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.fn()
	}
	f.now = until
}

// message calls fn after the network delay between two availability zones.
// The message is lost if the zones are partitioned when it leaves or arrives.
func (f *fake) message(from, to string, fn func()) {
	if f.isCut(from, to) {
		return
	}
	delay := crossZoneDelay
	if from == to {
		delay = sameZoneDelay
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

// send starts an attempt, which may never be answered.
func (f *fake) send(a *attempt) {
	a.sentAt = f.now
	if a.request.sent {
		f.outcome.retries++
	}
	a.request.sent = true
	if f.isSilent(a) {
		f.scheduleSilenceTimeout(a)
		return
	}
	w := f.workers[a.worker]
	f.message(f.zones[a.instance], w.zone, func() { f.receive(w, a) })
}

// scheduleSilenceTimeout closes the silent connection of a after
// silenceTimeout and reports a as lost.
func (f *fake) scheduleSilenceTimeout(a *attempt) {
	if f.silenceTimeout == 0 {
		return
	}
	f.after(f.silenceTimeout, func() {
		n := &f.silent[a.instance][a.worker]
		*n = max(*n-1, 0)
		if !a.closed {
			a.onAnswer(a, balancer.Lost)
		}
	})
}

// isSilent reports whether a is sent on a silent connection, which is drawn at
// random.
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
	overload := max(1, float64(len(w.busy))/float64(f.cores))
	factor := w.slowdown * overload * overload
	f.after(time.Duration(factor*float64(a.request.serviceTime)), func() { f.complete(w, a) })
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
			a.onAnswer(a, result)
		}
	})
}

// killWorker stops a worker: its connections are reset and new ones refused.
func (f *fake) killWorker(w *worker) {
	w.refuses = true
	lost := append(w.busy, w.backlog...)
	w.busy, w.backlog = nil, nil
	for _, a := range lost {
		f.reply(w, a, balancer.Lost)
	}
}

// silenceConnections makes a number of busy connections silent for each pair of
// instance and worker.
func (f *fake) silenceConnections(connections int) {
	f.silent = make([][]int, len(f.zones))
	for i := range f.silent {
		f.silent[i] = slices.Repeat([]int{connections}, len(f.workers))
	}
}

// finish ends a request at its entry instance. The caller gets the answer
// callerDelay later.
func (f *fake) finish(r *request, e ending) {
	if r.ended {
		return
	}
	r.ended = true
	f.outcome.addEnding(r, e, f.now+callerDelay)
}

// event is a function to call at a point in virtual time.
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
