package cell_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// fakeWorker starts whatever it is told and keeps what the protocol says.
type fakeWorker struct {
	site     *site
	number   int
	host     provider.Host
	up       bool
	downAt   time.Duration // when it went, if it isn't up
	restarts bool          // it comes up again under its ID, before its entry lapses
	before   provider.Host // entry of the incarnation before it
	listedAt time.Duration // when its own entry replaces that one's
	rooms    []room        // its capacity over time, empty if it never changed
	unsound  bool          // its entry names no worker
	spoiled  time.Duration // since when
	leaves   bool          // it has said that it leaves
	leavesAt time.Duration // when it did
	token    uint64
	deadline int64
	runs     map[string]*fakeRun
	barred   map[string]uint64 // highest attempt that ended or was stopped, by task
	ended    []provider.Ended
	count    uint64
	ignores  int    // acknowledgements that it passes over
	mark     uint64 // highest end that was acknowledged, of workers that keep it
	waiters  []func()
	onReset  []func() // of the holds that wait
	refuses  bool     // connections, while its process is down on a machine that is up
	offset   time.Duration
	rate     float64
}

type fakeRun struct {
	attempt uint64
	need    resource.Vector
	length  time.Duration // at full speed
	did     time.Duration // of the length, when the speed last changed
	since   time.Duration // when that was
	pace    int           // percent of full speed
	plans   int           // tells the end that was planned at one speed from that at the next
}

// progress returns how much of its length a run has done.
func (r *fakeRun) progress(now time.Duration) time.Duration {
	return r.did + (now-r.since)*time.Duration(r.pace)/100
}

const (
	workerCores  = 8000
	workerMemory = 16000
)

func newFakeWorker(s *site, number, life int) *fakeWorker {
	return &fakeWorker{
		site:   s,
		number: number,
		up:     true,
		host: provider.Host{
			ID:               fmt.Sprintf("w%d-%d", number, life),
			Address:          fmt.Sprintf("10.0.0.%d:1", number),
			Service:          service,
			AvailabilityZone: zoneOf(number),
			Machine:          fmt.Sprintf("m%d", number),
			Labels:           []string{fmt.Sprintf("r%d", number/s.rack)},
			Capacity:         resource.Vector{Processors: workerCores, Memory: workerMemory},
			Born:             bornAt(s.now, number, life),
		},
		runs:   make(map[string]*fakeRun),
		barred: make(map[string]uint64),
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:   1 - 0.02*s.rng.Float64(),
	}
}

// zoneOf returns the availability zone of a worker, one of two.
func zoneOf(number int) string {
	return fmt.Sprintf("z%d", number%2)
}

// bornAt returns the time of day at which an incarnation started, by the clock of its
// machine, which may have been set back or ahead since the one before.
func bornAt(now time.Duration, number, life int) uint64 {
	skew := int64((number*37+life*1009)%6000) - 3000
	return uint64(wall(now).UnixMilli() + skew)
}

func (w *fakeWorker) clock() int64 {
	return (w.offset + time.Duration(float64(w.site.now)*w.rate)).Milliseconds()
}

// leave has the worker say that it leaves, and go a while later.
func (w *fakeWorker) leave(lingers time.Duration) {
	w.leaves = true
	w.leavesAt = w.site.now
	w.site.after(lingers, func() {
		w.up = false
		w.downAt = w.site.now
		clear(w.runs)
	})
}

// room is a capacity of a worker from a time on.
type room struct {
	from     time.Duration
	capacity resource.Vector
}

// resize gives the worker a share of its first capacity from now on.
func (w *fakeWorker) resize(percent int64) {
	if len(w.rooms) == 0 {
		w.rooms = []room{{capacity: w.host.Capacity}}
	}
	whole := w.rooms[0].capacity
	w.rooms = append(w.rooms, room{from: w.site.now, capacity: resource.Vector{
		Processors: whole.Processors * percent / 100,
		Memory:     whole.Memory * percent / 100,
	}})
}

// roomAt returns the worker's capacity at a time.
func (w *fakeWorker) roomAt(at time.Duration) resource.Vector {
	capacity := w.host.Capacity
	for _, r := range w.rooms {
		if r.from <= at || r.from == 0 {
			capacity = r.capacity
		}
	}
	return capacity
}

// fits reports whether the worker had room for a need at any time of a span that ends
// now.
func (w *fakeWorker) fits(need resource.Vector, span time.Duration) bool {
	if need.Fits(w.roomAt(w.site.now - span)) {
		return true
	}
	for _, r := range w.rooms {
		if r.from > w.site.now-span && need.Fits(r.capacity) {
			return true
		}
	}
	return false
}

// spoil has another writer write over the worker's entry for a while.
func (w *fakeWorker) spoil(d time.Duration) {
	w.unsound = true
	w.spoiled = w.site.now
	w.site.after(d, func() { w.unsound = false })
}

// crash ends the worker's life; another one comes up after down.
func (w *fakeWorker) crash(down time.Duration, life int) {
	w.up = false
	w.downAt = w.site.now
	clear(w.runs)
	w.site.after(down, func() {
		fresh := newFakeWorker(w.site, w.number, life)
		for i, old := range w.site.workers {
			if old == w {
				w.site.workers[i] = fresh
			}
		}
	})
}

// reset ends the worker's process: its connections are reset, and another life of
// it comes up 3 s later, or sooner where it keeps its name.
func (w *fakeWorker) reset() {
	w.hangUp()
	if w.site.keepNames {
		w.restart(200 * time.Millisecond)
		return
	}
	w.site.lives++
	w.crash(cmp.Or(w.site.backAfter, 3*time.Second), w.site.lives)
}

// hangUp resets the worker's connections; no new ones are accepted.
func (w *fakeWorker) hangUp() {
	w.refuses = true
	for _, broken := range w.onReset {
		broken()
	}
}

// restart ends the worker's life; another one comes up after down under its ID.
func (w *fakeWorker) restart(down time.Duration) {
	before := w.host
	before.Draining = w.leaves
	w.site.lives++
	w.restarts = true
	w.crash(down, w.site.lives)
	w.site.after(down, func() {
		next := w.site.worker(w.host)
		born := next.host.Born
		next.host = w.host
		next.host.Born = born
		next.before = before
		next.listedAt = w.site.now + w.site.entryTime
	})
}

func (w *fakeWorker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+10_000))
	w.site.after(time.Duration(float64(max(0, w.deadline-w.clock())+1)/w.rate)*time.Millisecond, w.lapse)
}

func (w *fakeWorker) lapse() {
	if !w.up || w.clock() < w.deadline {
		return
	}
	for name := range w.runs {
		w.end(name, provider.EndLapsed)
	}
}

func (w *fakeWorker) hold(o provider.HoldOrder) any {
	if o.Token < w.token {
		return fault.New(fault.StaleEpoch, "fenced")
	}
	w.token = o.Token
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	if o.Seen > 0 && w.ignores > 0 {
		w.ignores--
		return w.held()
	}
	w.forget(o.Seen)
	return w.held()
}

// forget drops the ends up to one, and where workers keep a mark also those that come.
func (w *fakeWorker) forget(seen uint64) {
	if w.site.keepsMark {
		w.mark = max(w.mark, seen)
		seen = w.mark
	}
	for len(w.ended) > 0 && w.ended[0].Number <= seen {
		w.site.acknowledged(w.ended[0])
		w.ended = w.ended[1:]
	}
}

func (w *fakeWorker) held() provider.Held {
	held := provider.Held{Born: w.host.Born, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for _, name := range sortedNames(w.runs) {
		r := w.runs[name]
		percent := int(100 * r.progress(w.site.now) / (r.length + 1))
		run := provider.Run{Task: name, Attempt: r.attempt, Percent: percent, Processors: w.site.uses(name) * int64(r.pace) / 100}
		if w.site.tail != nil && w.site.lasts(name) {
			run.Percent = 100
			run.Tail = w.site.tail(name, w)
		}
		held.Running = append(held.Running, run)
	}
	return held
}

func sortedNames(runs map[string]*fakeRun) []string {
	names := make([]string, 0, len(runs))
	for n := range runs {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (w *fakeWorker) wait(d time.Duration, life string, answer func()) {
	done := false
	once := func() {
		if !done && w.up && w.host.ID == life {
			done = true
			answer()
		}
	}
	w.waiters = append(w.waiters, once)
	w.site.after(d, once)
}

func (w *fakeWorker) start(o provider.StartOrder) any {
	s := w.site
	switch {
	case o.Token < w.token:
		return provider.RefusedToken
	case w.clock() > o.Deadline:
		return provider.RefusedLate
	}
	w.token = o.Token
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return provider.Accepted
	}
	if o.Attempt <= w.barred[o.Task] {
		return provider.RefusedOld
	}
	w.extend(o.Deadline)
	if s.advised != nil && (s.tickets[o.Ticket] < s.now || !strings.HasPrefix(o.Ticket, fmt.Sprintf("%s/%d/", w.host.ID, w.host.Born))) {
		s.ticketsRefused++
		return provider.RefusedTicket
	}
	s.checkStart(w, o)
	r := &fakeRun{attempt: o.Attempt, length: s.length(o.Task), since: s.now, pace: 100, need: s.needOf(o.Task)}
	w.runs[o.Task] = r
	if s.crashing != nil && s.crashing(o.Task) {
		s.after(crashAfter, func() { w.crashUnder(o.Task, r) })
		return provider.Accepted
	}
	w.plan(o.Task, r)
	return provider.Accepted
}

// crashAfter is how long a task that crashes its worker runs there.
const crashAfter = 10 * time.Millisecond

// crashUnder has the worker crash by what it runs, if it still does.
func (w *fakeWorker) crashUnder(task string, r *fakeRun) {
	if !w.up || w.runs[task] != r {
		return
	}
	w.site.crashes[task]++
	w.site.drop(w, w.site.dark)
}

// plan ends a run when its time has come, unless its speed changes before.
func (w *fakeWorker) plan(name string, r *fakeRun) {
	s := w.site
	r.plans++
	plans := r.plans
	if r.pace == 0 {
		return
	}
	s.after((r.length-r.progress(s.now))*100/time.Duration(r.pace), func() {
		if !w.up || w.runs[name] != r || r.plans != plans {
			return
		}
		how := provider.EndDone
		if s.failing(name, r.attempt) || s.unhealthy != nil && s.unhealthy(w) {
			how = provider.EndFailed
		}
		w.end(name, how)
	})
}

func (w *fakeWorker) pace(o provider.RunOrder) {
	r := w.runs[o.Task]
	if r == nil || r.attempt != o.Attempt || r.pace == o.Percent {
		return
	}
	r.did = r.progress(w.site.now)
	r.since = w.site.now
	r.pace = o.Percent
	w.plan(o.Task, r)
}

func (w *fakeWorker) stop(o provider.RunOrder) any {
	if o.Token < w.token {
		return fault.New(fault.StaleEpoch, "fenced")
	}
	w.token = o.Token
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		w.site.after(200*time.Millisecond, func() {
			if w.up && w.runs[o.Task] == r {
				w.end(o.Task, provider.EndStopped)
			}
		})
	}
	return nil
}

func (w *fakeWorker) end(name string, how provider.End) {
	r := w.runs[name]
	delete(w.runs, name)
	if how == provider.EndDone {
		w.site.ran[name] = true
		w.site.endGang(name, r.attempt)
	}
	w.barred[name] = max(w.barred[name], r.attempt)
	w.count++
	w.ended = append(w.ended, provider.Ended{Number: w.count, Task: name, Attempt: r.attempt, How: how})
	w.forget(0)
	waiters := w.waiters
	w.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}
