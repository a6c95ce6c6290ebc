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

// fakeWorker simulates a worker that starts everything it is told to and follows the
// protocol.
type fakeWorker struct {
	site               *site
	number             int
	host               provider.Host
	up                 bool
	downAt             time.Duration    // when it went down, if it isn't up
	machineGone        bool             // its machine isn't on the list of machines
	restarting         bool             // it comes up again under its ID before its entry expires
	previousEntry      provider.Host    // list entry of the previous incarnation
	entryListedAt      time.Duration    // when its own entry replaces that one
	capacities         []capacityChange // changes of its capacity, empty if there were none
	entryCorrupt       bool             // its entry is corrupted
	corruptSince       time.Duration
	leaving            bool // it has announced its leave
	leavingSince       time.Duration
	token              uint64
	deadline           int64
	runs               map[string]*fakeRun
	highestEnded       map[string]uint64 // highest attempt that ended or was stopped, by task
	ended              []provider.EndedRun
	endCount           uint64
	endTimes           map[uint64]time.Duration // by number of the end
	lapsedAt           time.Duration            // when the lease last expired, zero if it never did
	acksToIgnore       int                      // acknowledgements that it ignores
	ackMark            uint64                   // highest acknowledged end, if acksCoverLaterEnds
	waiters            []func()
	onReset            []func() // called for the waiting holds when connections are reset
	refusesConnections bool     // its process is down while the machine is up
	offset             time.Duration
	rate               float64
}

type fakeRun struct {
	attempt    uint64
	need       resource.Vector
	duration   time.Duration // at full speed
	doneBefore time.Duration // part of duration that was done when the speed last changed
	paceSince  time.Duration // when the speed last changed
	pace       int           // percent of full speed
	planCount  int           // distinguishes the planned end at one speed from that at the next
}

// progress returns how much of its full-speed duration a run has done.
func (r *fakeRun) progress(now time.Duration) time.Duration {
	return r.doneBefore + (now-r.paceSince)*time.Duration(r.pace)/100
}

const (
	workerMillicores = 8000
	workerMemory     = 16000
)

func newFakeWorker(s *site, number, incarnation int) *fakeWorker {
	return &fakeWorker{
		site:   s,
		number: number,
		up:     true,
		host: provider.Host{
			ID:               fmt.Sprintf("w%d-%d", number, incarnation),
			Address:          fmt.Sprintf("10.0.0.%d:1", number),
			Service:          service,
			AvailabilityZone: zoneOf(number),
			Machine:          fmt.Sprintf("m%d", number),
			Labels:           []string{fmt.Sprintf("r%d", number/s.rackSize)},
			Capacity:         resource.Vector{Processors: workerMillicores, Memory: workerMemory},
			StartedAt:        startTime(s.now, number, incarnation),
		},
		runs:         make(map[string]*fakeRun),
		highestEnded: make(map[string]uint64),
		endTimes:     make(map[uint64]time.Duration),
		offset:       time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:         1 - 0.02*s.rng.Float64(),
	}
}

// zoneOf returns the availability zone of a worker, one of two.
func zoneOf(number int) string {
	return fmt.Sprintf("z%d", number%2)
}

// startTime returns the start time of an incarnation by the clock of its machine, which may
// have been set back or ahead since the previous incarnation.
func startTime(now time.Duration, number, incarnation int) uint64 {
	skew := int64((number*37+incarnation*1009)%6000) - 3000
	return uint64(wall(now).UnixMilli() + skew)
}

func (w *fakeWorker) clock() int64 {
	return w.clockAt(w.site.now)
}

// clockAt returns what the worker's clock shows at a time.
func (w *fakeWorker) clockAt(at time.Duration) int64 {
	return (w.offset + time.Duration(float64(at)*w.rate)).Milliseconds()
}

// announceLeave makes the worker announce its leave, and go down after a delay.
func (w *fakeWorker) announceLeave(lingers time.Duration) {
	w.leaving = true
	w.leavingSince = w.site.now
	w.site.after(lingers, w.goDown)
}

// capacityChange is the capacity of a worker from a time on.
type capacityChange struct {
	from     time.Duration
	capacity resource.Vector
}

// resize changes the worker's capacity to a percentage of its first one.
func (w *fakeWorker) resize(percent int64) {
	if len(w.capacities) == 0 {
		w.capacities = []capacityChange{{capacity: w.host.Capacity}}
	}
	initial := w.capacities[0].capacity
	w.capacities = append(w.capacities, capacityChange{from: w.site.now, capacity: resource.Vector{
		Processors: initial.Processors * percent / 100,
		Memory:     initial.Memory * percent / 100,
	}})
}

// capacityAt returns the worker's capacity at a time.
func (w *fakeWorker) capacityAt(at time.Duration) resource.Vector {
	capacity := w.host.Capacity
	for _, r := range w.capacities {
		if r.from <= at || r.from == 0 {
			capacity = r.capacity
		}
	}
	return capacity
}

// fitWithin reports whether the need fit the worker's capacity at any time of a span that
// ends now.
func (w *fakeWorker) fitWithin(need resource.Vector, span time.Duration) bool {
	if need.Fits(w.capacityAt(w.site.now - span)) {
		return true
	}
	for _, r := range w.capacities {
		if r.from > w.site.now-span && need.Fits(r.capacity) {
			return true
		}
	}
	return false
}

// corruptEntry overwrites the worker's list entry for a while.
func (w *fakeWorker) corruptEntry(d time.Duration) {
	w.entryCorrupt = true
	w.corruptSince = w.site.now
	w.site.after(d, func() { w.entryCorrupt = false })
}

// goDown ends the worker and its runs.
func (w *fakeWorker) goDown() {
	w.up = false
	w.downAt = w.site.now
	runs := w.runs
	w.runs = make(map[string]*fakeRun)
	for _, name := range sortedNames(runs) {
		w.site.breakGang(name, runs[name].attempt)
	}
}

// crash ends the worker's incarnation; another one comes up after down.
func (w *fakeWorker) crash(down time.Duration, incarnation int) {
	w.goDown()
	w.site.after(down, func() {
		next := newFakeWorker(w.site, w.number, incarnation)
		for i, old := range w.site.workers {
			if old == w {
				w.site.workers[i] = next
			}
		}
	})
}

// resetProcess ends the worker's process: its connections are reset, and another
// incarnation comes up 3 s later, or sooner if it keeps its ID.
func (w *fakeWorker) resetProcess() {
	w.resetConnections()
	if w.site.keepIDs {
		w.restart(200 * time.Millisecond)
		return
	}
	w.site.incarnations++
	w.crash(cmp.Or(w.site.restartDelay, 3*time.Second), w.site.incarnations)
}

// resetConnections resets the worker's connections; no new ones are accepted.
func (w *fakeWorker) resetConnections() {
	w.refusesConnections = true
	for _, notify := range w.onReset {
		notify()
	}
}

// restart ends the worker's incarnation; another one comes up after down under the same
// ID.
func (w *fakeWorker) restart(down time.Duration) {
	before := w.host
	before.Draining = w.leaving
	w.site.incarnations++
	w.restarting = true
	w.crash(down, w.site.incarnations)
	w.site.after(down, func() {
		next := w.site.workerAt(w.host)
		startedAt := next.host.StartedAt
		next.host = w.host
		next.host.StartedAt = startedAt
		next.previousEntry = before
		if w.site.clockSetback > 0 {
			next.offset, next.rate = w.offset-w.site.clockSetback, w.rate
		}
		next.entryListedAt = w.site.now + w.site.entryDelay
	})
}

func (w *fakeWorker) extendLease(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+10_000))
	w.site.after(time.Duration(float64(max(0, w.deadline-w.clock())+1)/w.rate)*time.Millisecond, w.endIfLapsed)
}

func (w *fakeWorker) endIfLapsed() {
	if !w.up || w.clock() < w.deadline {
		return
	}
	w.lapsedAt = w.site.now
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
		w.extendLease(o.Deadline)
	}
	if o.AckedEnd > 0 && w.acksToIgnore > 0 {
		w.acksToIgnore--
		return w.held()
	}
	w.forget(o.AckedEnd)
	return w.held()
}

// forget drops the ends up to the given one, and later ones too if acksCoverLaterEnds.
func (w *fakeWorker) forget(acked uint64) {
	if w.site.acksCoverLaterEnds {
		w.ackMark = max(w.ackMark, acked)
		acked = w.ackMark
	}
	for len(w.ended) > 0 && w.ended[0].Number <= acked {
		w.site.recordAcknowledged(w.ended[0], w.endTimes[w.ended[0].Number], w.lapsedAt)
		w.ended = w.ended[1:]
	}
}

func (w *fakeWorker) held() provider.HoldResult {
	listed := min(len(w.ended), w.site.maxListedEnds)
	held := provider.HoldResult{
		StartedAt: w.host.StartedAt,
		Clock:     w.clock(),
		Ended:     slices.Clone(w.ended[:listed]),
		MoreEnded: listed == w.site.maxListedEnds,
	}
	for _, name := range sortedNames(w.runs) {
		r := w.runs[name]
		percent := int(100 * r.progress(w.site.now) / (r.duration + 1))
		run := provider.Run{Task: name, Attempt: r.attempt, Percent: percent, Processors: w.site.processorsOf(name) * int64(r.pace) / 100}
		if w.site.checkpoint != nil {
			run.Checkpoint = w.site.checkpoint(name, w)
		}
		if w.site.tail != nil && w.site.isLasting(name) {
			run.Percent = 100
			run.TailLatency = w.site.tail(name, w)
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

func (w *fakeWorker) wait(d time.Duration, id string, answer func()) {
	done := false
	once := func() {
		if !done && w.up && w.host.ID == id {
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
	if o.Attempt <= w.highestEnded[o.Task] {
		return provider.RefusedAttempt
	}
	w.extendLease(o.Deadline)
	if s.isAllowed != nil && (s.tickets[o.Ticket] < s.now || !strings.HasPrefix(o.Ticket, fmt.Sprintf("%s/%d/", w.host.ID, w.host.StartedAt))) {
		s.ticketsRefused++
		return provider.RefusedTicket
	}
	s.checkStart(w, o)
	r := &fakeRun{attempt: o.Attempt, duration: s.durationOn(o.Task, w), paceSince: s.now, pace: 100, need: s.needOf(o.Task)}
	if s.resume != nil && o.Checkpoint != "" {
		r.doneBefore = s.resume(o.Checkpoint)
	}
	w.runs[o.Task] = r
	if s.crashesWorker != nil && s.crashesWorker(o.Task) {
		s.after(cmp.Or(s.crashDelay, crashDelay), func() { w.crashDuring(o.Task, r) })
		return provider.Accepted
	}
	if s.stepOf(o.Task).Gang {
		s.joinGang(w, o.Task, r)
		return provider.Accepted
	}
	w.planEnd(o.Task, r)
	return provider.Accepted
}

// durationOn returns how long a task runs on a worker at full speed.
func (s *site) durationOn(task string, w *fakeWorker) time.Duration {
	if s.slowdown == nil {
		return s.duration(task)
	}
	return time.Duration(float64(s.duration(task)) * s.slowdown(task, w))
}

// crashDelay is how long a task that crashes its worker runs there by default.
const crashDelay = 10 * time.Millisecond

// crashDuring crashes the worker if the run is still there.
func (w *fakeWorker) crashDuring(task string, r *fakeRun) {
	if !w.up || w.runs[task] != r {
		return
	}
	w.site.crashCount[task]++
	w.site.takeDown(w, w.site.silentCrashes)
}

// planEnd ends a run when its time has come, unless its speed changes before.
func (w *fakeWorker) planEnd(name string, r *fakeRun) {
	s := w.site
	r.planCount++
	plans := r.planCount
	if r.pace == 0 {
		return
	}
	s.after((r.duration-r.progress(s.now))*100/time.Duration(r.pace), func() {
		if !w.up || w.runs[name] != r || r.planCount != plans {
			return
		}
		end := provider.EndDone
		if s.failsTask(name, r.attempt) || s.isUnhealthy != nil && s.isUnhealthy(w) {
			end = provider.EndFailed
		}
		w.end(name, end)
	})
}

func (w *fakeWorker) pace(o provider.RunOrder) {
	r := w.runs[o.Task]
	if r == nil || r.attempt != o.Attempt || r.pace == o.Percent {
		return
	}
	r.doneBefore = r.progress(w.site.now)
	r.paceSince = w.site.now
	r.pace = o.Percent
	w.planEnd(o.Task, r)
}

func (w *fakeWorker) stop(o provider.RunOrder) any {
	if o.Token < w.token {
		return fault.New(fault.StaleEpoch, "fenced")
	}
	w.token = o.Token
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
		w.site.after(200*time.Millisecond, func() {
			if w.up && w.runs[o.Task] == r {
				w.end(o.Task, provider.EndStopped)
			}
		})
	}
	return nil
}

func (w *fakeWorker) end(name string, end provider.End) {
	r := w.runs[name]
	delete(w.runs, name)
	if end == provider.EndDone {
		w.site.completed[name] = true
		w.site.endGang(name, r.attempt)
	} else {
		w.site.breakGang(name, r.attempt)
	}
	w.highestEnded[name] = max(w.highestEnded[name], r.attempt)
	w.endCount++
	w.endTimes[w.endCount] = w.site.now
	w.ended = append(w.ended, provider.EndedRun{Number: w.endCount, Task: name, Attempt: r.attempt, End: end})
	w.forget(0)
	waiters := w.waiters
	w.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}
