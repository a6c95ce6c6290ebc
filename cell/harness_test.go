package cell_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// site is a store, workers and owners in virtual time. Everything that leaves
// an owner and everything that comes back is an event, which can be delayed,
// lost or carried out late.
type site struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	events  events
	order   int
	store   *logStore
	workers []*fakeWorker
	owners  []*owner
	table   *queue.Table
	broken  []string
	paces   map[string]int           // last pace ordered, by task
	waves   map[int]bool             // as last reported: whether they are completed
	upkeeps map[string]int           // by machine
	tickets map[string]time.Duration // until when they are valid
	advised func(host string) bool   // whether a worker may run what needs advice
	wanted  []provider.Wave          // waves that the operators ask for

	lateOrders float64       // share of orders that are carried out 2 to 12 s late, without an answer
	storeDelay time.Duration // of each write, one way
	lostSaves  float64       // share of writes whose answer is lost
	jobs       map[string]*job.Job
	done       map[string]bool // tasks whose good end was acknowledged
	ran        map[string]bool // tasks that ended well
	failures   map[string]int  // acknowledged failures by task

	failing func(task string, attempt uint64) bool
	sick    func(*fakeWorker) bool // fails all that ends there; nil for none
	length  func(task string) time.Duration
	tail    func(task string, w *fakeWorker) time.Duration // of serving tasks; nil reports none
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	hop      = 2 * time.Millisecond // one way between any two machines
	timeout  = 900 * time.Millisecond
	tickTime = 20 * time.Millisecond
	service  = "pool"
)

func newSite(t *testing.T, seed uint64, workers, owners int) *site {
	s := &site{
		t:        t,
		paces:    make(map[string]int),
		waves:    make(map[int]bool),
		upkeeps:  make(map[string]int),
		tickets:  make(map[string]time.Duration),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		store:    &logStore{answers: make(map[uint64]error)},
		table:    queue.New(1, queue.Limits{}, []queue.Queue{{Name: "q", Terms: terms}}, []queue.Service{{Name: service}}),
		jobs:     make(map[string]*job.Job),
		done:     make(map[string]bool),
		ran:      make(map[string]bool),
		failures: make(map[string]int),
		failing: func(string, uint64) bool {
			return false
		},
		length: func(task string) time.Duration {
			h := fnv.New32()
			_, _ = h.Write([]byte(task))
			return 300*time.Millisecond + time.Duration(h.Sum32()%1500)*time.Millisecond
		},
	}
	for i := range workers {
		s.workers = append(s.workers, newFakeWorker(s, i, 0))
	}
	for i := range owners {
		s.owners = append(s.owners, &owner{site: s, name: fmt.Sprintf("e%d", i), noWorker: make(map[int]bool)})
	}
	return s
}

var terms = job.Terms{Service: service, Attempts: 3, Stretch: 2, Objective: time.Second}

func (s *site) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + d, order: s.order, do: do})
}

func (s *site) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *site) violate(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *site) hosts() []provider.Host {
	var hosts []provider.Host
	for _, w := range s.workers {
		if w.up {
			hosts = append(hosts, w.host)
		}
	}
	return hosts
}

// submit puts a job on record.
func (s *site) submit(j *job.Job) {
	j.Queue = "q"
	j.Terms = terms
	s.jobs[j.ID] = j
	r, err := catalog.AcceptRecord(j)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.accepts = append(s.store.accepts, r)
}

func (s *site) cancel(id string) {
	s.store.accepts = append(s.store.accepts, catalog.CancelRecord(id))
	s.store.cancelled = append(s.store.cancelled, cancellation{id: id, at: s.now})
}

// state returns what any instance would answer for a job.
func (s *site) state(id string) string {
	state, known := s.store.fold(s.t).State(id)
	if !known {
		return "unknown"
	}
	return state.String()
}

// logStore is the store as far as a cell uses it.
type logStore struct {
	accepts   []provider.KeyedRecord
	progress  []provider.KeyedRecord
	term      uint64
	last      uint64
	answers   map[uint64]error
	cancelled []cancellation
}

type cancellation struct {
	id string
	at time.Duration
}

func (l *logStore) put(a cell.Save) error {
	if a.Term < l.term {
		return fault.New(fault.StaleEpoch, "term %d is in force", l.term)
	}
	if err, repeated := l.answers[a.Sequence]; repeated {
		return err
	}
	if a.Sequence != l.last+1 {
		return fault.New(fault.Conflict, "sequence %d follows %d", a.Sequence, l.last)
	}
	l.last = a.Sequence
	l.answers[a.Sequence] = nil
	l.progress = append(l.progress, a.Records...)
	return nil
}

func (l *logStore) claim(instance string) uint64 {
	l.term++
	l.last = 1
	clear(l.answers)
	l.answers[1] = nil
	r, err := catalog.OwnerRecord(catalog.Owner{Term: l.term, Instance: instance})
	if err == nil {
		l.progress = append(l.progress, r)
	}
	return l.term
}

func (l *logStore) fold(t *testing.T) *catalog.Catalog {
	c := catalog.New()
	for _, r := range newest(l.accepts) {
		if err := c.Accept(r); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range newest(l.progress) {
		if err := c.Progress(r); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// newest returns the newest record of each key, as a reader that starts gets
// them.
func newest(records []provider.KeyedRecord) []provider.KeyedRecord {
	last := make(map[string]int)
	for i, r := range records {
		last[r.Key] = i
	}
	var kept []provider.KeyedRecord
	for i, r := range records {
		if last[r.Key] == i && len(r.Value) > 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

// owner is an instance that may own the cell.
type owner struct {
	site     *site
	name     string
	cell     *cell.Cell
	read     int // accepts handed to the cell
	frozen   bool
	queued   []cell.Input
	noStore  bool
	noWorker map[int]bool
	life     int
	asking   int // questions for the adviser that are under way
}

// take makes the owner claim the cell, as an instance does that reaches the
// store and took the last owner for gone.
func (o *owner) take() {
	s := o.site
	term := s.store.claim(o.name)
	c, err := cell.New(cell.Self{Instance: o.name, Term: term, Sequence: 1}, cell.DefaultTiming(), s.store.fold(s.t), s.now, wall(s.now))
	if err != nil {
		s.t.Fatal(err)
	}
	o.cell = c
	o.read = len(s.store.accepts)
	o.life++
	o.queued = nil
	o.step(cell.Configured{Table: s.table})
	o.step(cell.Hosts{Hosts: s.hosts()})
	o.step(cell.Waves{Waves: s.wanted})
	o.tick(o.life)
}

// kill ends the owner's process.
func (o *owner) kill() {
	o.cell = nil
	o.life++
	o.frozen = false
}

func wall(now time.Duration) time.Time {
	return time.Unix(1_800_000_000, 0).Add(now)
}

func (o *owner) tick(life int) {
	if o.life != life || o.cell == nil {
		return
	}
	if !o.noStore && !o.frozen {
		o.follow()
	}
	o.step(cell.Tick{Wall: wall(o.site.now)})
	o.site.after(tickTime, func() { o.tick(life) })
}

// follow hands new accepts to the cell, and the workers' list.
func (o *owner) follow() {
	s := o.site
	for ; o.read < len(s.store.accepts); o.read++ {
		known := catalog.New()
		for _, r := range s.store.accepts[:o.read+1] {
			if err := known.Accept(r); err != nil {
				s.t.Fatal(err)
			}
		}
		for _, e := range known.Take() {
			if strings.HasSuffix(s.store.accepts[o.read].Key, e.Job.ID) {
				o.step(cell.Arrived{Entry: e})
				break
			}
		}
	}
	o.step(cell.Hosts{Hosts: s.hosts()})
}

func (o *owner) step(in cell.Input) {
	if o.cell == nil {
		return
	}
	if o.frozen {
		o.queued = append(o.queued, in)
		return
	}
	for _, a := range o.cell.Step(o.site.now, in) {
		o.carryOut(a)
	}
}

func (o *owner) freeze(d time.Duration) {
	o.frozen = true
	life := o.life
	o.site.after(d, func() {
		if o.life != life {
			return
		}
		o.frozen = false
		queued := o.queued
		o.queued = nil
		for _, in := range queued {
			o.step(in)
		}
	})
}

func (o *owner) carryOut(a cell.Action) {
	s := o.site
	switch a := a.(type) {
	case cell.Save:
		o.save(a)
	case cell.Hold:
		o.order(a.Order.Host, a.Order.Wait, func(w *fakeWorker) any { return w.hold(a.Order) }, func(out any, err error) cell.Input {
			held, _ := out.(provider.Held)
			return cell.HoldReply{Host: a.Order.Host.ID, Sent: s.now, Held: held, Err: err}
		})
	case cell.Start:
		o.order(a.Order.Host, 0, func(w *fakeWorker) any { return w.start(a.Order) }, func(out any, err error) cell.Input {
			refusal, _ := out.(provider.Refusal)
			return cell.StartReply{Host: a.Order.Host.ID, Task: a.Order.Task, Attempt: a.Order.Attempt, Refusal: refusal, Err: err}
		})
	case cell.Stop:
		o.order(a.Order.Host, 0, func(w *fakeWorker) any { return w.stop(a.Order) }, func(_ any, err error) cell.Input {
			return cell.StopReply{Host: a.Order.Host.ID, Task: a.Order.Task, Attempt: a.Order.Attempt, Err: err}
		})
	case cell.Pace:
		s.paces[a.Order.Task] = a.Order.Percent
		if w := s.worker(a.Order.Host); w != nil {
			w.pace(a.Order)
		}
	case cell.Forget:
		o.forget(a)
	case cell.Advise:
		o.advise(a)
	case cell.Upkeep:
		o.upkeep(a)
	case cell.ReportWave:
		s.waves[a.Number] = a.Completed
	case cell.ListMachines:
		s.after(2*hop, func() { o.step(s.machines()) })
	case cell.Deposed:
		o.kill()
	}
}

// forget drops jobs' records, a while after it was asked to, if the owner lives.
func (o *owner) forget(a cell.Forget) {
	s := o.site
	life := o.life
	s.after(25*hop, func() {
		if o.life != life {
			return
		}
		for _, id := range a.IDs {
			s.store.accepts = append(s.store.accepts, catalog.DropRecords(id)...)
		}
		o.step(cell.Forgotten{IDs: a.IDs})
	})
}

// adviceTime is how long the adviser takes, and ticketTime how long its tickets
// are valid.
const (
	adviceTime = 60 * time.Millisecond
	ticketTime = 1500 * time.Millisecond
)

// advise answers a question about workers. The adviser takes one at a time.
func (o *owner) advise(a cell.Advise) {
	s := o.site
	life := o.life
	sent := s.now
	if o.asking++; o.asking > 1 {
		s.violate("two questions for the adviser at once")
	}
	s.after(adviceTime, func() {
		o.asking--
		reply := cell.Advised{Job: a.Job, Round: a.Round, Step: a.Step, Hosts: a.Hosts, Valid: ticketTime, Sent: sent}
		for _, h := range a.Hosts {
			if s.advised(h) {
				ticket := fmt.Sprintf("%s/%v", h, s.now)
				s.tickets[ticket] = s.now + ticketTime
				reply.Tickets = append(reply.Tickets, provider.Ticket{Host: h, Ticket: ticket})
			}
		}
		if o.life == life {
			o.step(reply)
		}
	})
}

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// upkeep takes a machine down, and brings another life of its worker up later.
func (o *owner) upkeep(a cell.Upkeep) {
	s := o.site
	life := o.life
	s.after(hop, func() {
		for _, w := range s.workers {
			if w.up && w.host.Machine == a.Order.Machine {
				s.upkeeps[a.Order.Machine]++
				w.crash(upkeepTime, s.upkeeps[a.Order.Machine])
			}
		}
		s.after(hop, func() {
			if o.life == life {
				o.step(cell.UpkeepReply{Machine: a.Order.Machine, Wave: a.Order.Wave})
			}
		})
	})
}

func (s *site) machines() cell.MachineList {
	var list cell.MachineList
	for _, w := range s.workers {
		m := provider.Machine{ID: w.host.Machine, Host: w.host.ID, State: provider.MachineUp}
		if !w.up {
			m.State = provider.MachineDown
		}
		list.Machines = append(list.Machines, m)
	}
	return list
}

func (o *owner) save(a cell.Save) {
	s := o.site
	life := o.life
	reply := func(err error) {
		if o.life == life {
			o.step(cell.Saved{Sequence: a.Sequence, Err: err})
		}
	}
	if o.noStore {
		s.after(timeout, func() { reply(fault.New(fault.MayHaveRun, "no answer")) })
		return
	}
	lost := s.rng.Float64() < s.lostSaves
	s.after(hop+s.storeDelay, func() {
		err := s.store.put(a)
		if lost {
			s.after(timeout, func() { reply(fault.New(fault.MayHaveRun, "answer lost")) })
			return
		}
		s.after(hop+s.storeDelay, func() { reply(err) })
	})
}

// order carries an order to a worker and its outcome back.
func (o *owner) order(h provider.Host, wait time.Duration, do func(*fakeWorker) any, reply func(any, error) cell.Input) {
	s := o.site
	life := o.life
	back := func(out any, err error) {
		if o.life == life {
			o.step(reply(out, err))
		}
	}
	w := s.worker(h)
	silent := func() { s.after(wait+timeout, func() { back(nil, fault.New(fault.MayHaveRun, "no answer")) }) }
	if w == nil || !w.up || o.noWorker[w.number] {
		silent()
		return
	}
	if s.rng.Float64() < s.lateOrders {
		late := 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second)))
		s.after(late, func() {
			if w.up && w.host.ID == h.ID {
				do(w)
			}
		})
		silent()
		return
	}
	s.after(hop, func() { o.deliver(w, h, wait, do, back, silent) })
}

func (o *owner) deliver(w *fakeWorker, h provider.Host, wait time.Duration, do func(*fakeWorker) any, back func(any, error), silent func()) {
	s := o.site
	if !w.up || o.noWorker[w.number] {
		silent()
		return
	}
	if w.host.ID != h.ID {
		s.after(hop, func() { back(nil, fault.New(fault.NotFound, "another life")) })
		return
	}
	answer := func(out any) {
		if err, failed := out.(error); failed {
			s.after(hop, func() { back(nil, err) })
			return
		}
		if o.noWorker[w.number] {
			silent()
			return
		}
		s.after(hop, func() { back(out, nil) })
	}
	out := do(w)
	if held, ok := out.(provider.Held); ok && len(held.Ended) == 0 && wait > 0 {
		answered := false
		w.wait(wait, h.ID, func() {
			answered = true
			answer(w.held())
		})
		s.after(wait+timeout, func() {
			if !answered {
				back(nil, fault.New(fault.MayHaveRun, "no answer"))
			}
		})
		return
	}
	answer(out)
}

func (s *site) worker(h provider.Host) *fakeWorker {
	for _, w := range s.workers {
		if w.host.Address == h.Address {
			return w
		}
	}
	return nil
}

// fakeWorker starts whatever it is told and keeps what the protocol says.
type fakeWorker struct {
	site     *site
	number   int
	host     provider.Host
	up       bool
	token    uint64
	deadline int64
	runs     map[string]*fakeRun
	barred   map[string]uint64 // highest attempt that ended or was stopped, by task
	ended    []provider.Ended
	count    uint64
	waiters  []func()
	offset   time.Duration
	rate     float64
}

type fakeRun struct {
	attempt uint64
	began   time.Duration
	ends    time.Duration
	need    resource.Vector
	paused  bool
	left    time.Duration // of one that is paused
	pauses  int           // tells the end that was planned before a pause from the one after it
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
			ID:       fmt.Sprintf("w%d-%d", number, life),
			Address:  fmt.Sprintf("10.0.0.%d:1", number),
			Service:  service,
			Machine:  fmt.Sprintf("m%d", number),
			Labels:   []string{fmt.Sprintf("r%d", number/2)},
			Capacity: resource.Vector{Processors: workerCores, Memory: workerMemory},
		},
		runs:   make(map[string]*fakeRun),
		barred: make(map[string]uint64),
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		rate:   1 - 0.02*s.rng.Float64(),
	}
}

func (w *fakeWorker) clock() int64 {
	return (w.offset + time.Duration(float64(w.site.now)*w.rate)).Milliseconds()
}

// crash ends the worker's life; another one comes up after down.
func (w *fakeWorker) crash(down time.Duration, life int) {
	w.up = false
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
	for len(w.ended) > 0 && w.ended[0].Number <= o.Seen {
		w.site.acknowledged(w.ended[0])
		w.ended = w.ended[1:]
	}
	return w.held()
}

func (w *fakeWorker) held() provider.Held {
	held := provider.Held{Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for _, name := range sortedNames(w.runs) {
		r := w.runs[name]
		percent := int(100 * (w.site.now - r.began) / (r.ends - r.began + 1))
		run := provider.Run{Task: name, Attempt: r.attempt, Percent: percent}
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
	if s.advised != nil && (s.tickets[o.Ticket] < s.now || !strings.HasPrefix(o.Ticket, w.host.ID+"/")) {
		return provider.RefusedTicket
	}
	s.checkStart(w, o)
	length := s.length(o.Task)
	r := &fakeRun{attempt: o.Attempt, began: s.now, ends: s.now + length, need: s.needOf(o.Task)}
	w.runs[o.Task] = r
	w.plan(o.Task, r)
	return provider.Accepted
}

// plan ends a run when its time has come, unless it is paused before.
func (w *fakeWorker) plan(name string, r *fakeRun) {
	s := w.site
	pauses := r.pauses
	s.after(r.ends-s.now, func() {
		if !w.up || w.runs[name] != r || r.pauses != pauses {
			return
		}
		how := provider.EndDone
		if s.failing(name, r.attempt) || s.sick != nil && s.sick(w) {
			how = provider.EndFailed
		}
		w.end(name, how)
	})
}

func (w *fakeWorker) pace(o provider.RunOrder) {
	r := w.runs[o.Task]
	if r == nil || r.attempt != o.Attempt || r.paused == (o.Percent == 0) {
		return
	}
	r.paused = o.Percent == 0
	if r.paused {
		r.left = r.ends - w.site.now
		r.pauses++
		return
	}
	r.ends = w.site.now + r.left
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
	waiters := w.waiters
	w.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}

// checkStart holds a start against what must never happen.
func (s *site) checkStart(w *fakeWorker, o provider.StartOrder) {
	used := s.needOf(o.Task)
	for _, r := range w.runs {
		used = used.Add(r.need)
	}
	if !used.Fits(w.host.Capacity) {
		s.violate("capacity: %s on %s: %v", o.Task, w.host.ID, used)
	}
	for _, other := range s.workers {
		if r := other.runs[o.Task]; other.up && r != nil {
			s.violate("twice: %s attempt %d on %s, attempt %d on %s", o.Task, o.Attempt, w.host.ID, r.attempt, other.host.ID)
		}
	}
	id, err := job.ParseTask(o.Task)
	if err != nil {
		s.violate("%v", err)
		return
	}
	s.checkOrder(id)
	for _, c := range s.store.cancelled {
		if c.id == id.Job && s.now-c.at > 3*time.Second {
			s.violate("cancelled: %s %v after its cancellation", o.Task, s.now-c.at)
		}
	}
	if s.done[o.Task] {
		s.violate("again: %s was done and acknowledged", o.Task)
	}
	if s.failures[o.Task] >= terms.Attempts {
		s.violate("budget: %s after %d failures", o.Task, s.failures[o.Task])
	}
}

// endGang ends the other members of a gang with the first that is done.
func (s *site) endGang(name string, attempt uint64) {
	id, err := job.ParseTask(name)
	if err != nil || !s.jobOf(id.Job).Steps[id.Step].Gang {
		return
	}
	for i := range s.jobOf(id.Job).Steps[id.Step].Count {
		id.Index = i
		s.ran[id.String()] = true
		for _, w := range s.workers {
			if r := w.runs[id.String()]; r != nil && r.attempt == attempt {
				w.end(id.String(), provider.EndDone)
			}
		}
	}
}

func (s *site) lasts(task string) bool {
	id, err := job.ParseTask(task)
	return err == nil && s.jobOf(id.Job).Steps[id.Step].Lasting
}

// checkOrder holds a start against the steps that have to be done before it.
func (s *site) checkOrder(id job.Task) {
	j := s.jobOf(id.Job)
	if j == nil {
		s.violate("unasked: %s", id)
		return
	}
	for _, before := range j.Steps[id.Step].After {
		for i := range j.Steps[before].Count {
			t := job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: before, Index: i}
			if !s.ran[t.String()] {
				s.violate("order: %s before %s", id, t)
			}
		}
	}
}

// acknowledged takes note of an end that a worker may forget.
func (s *site) acknowledged(e provider.Ended) {
	switch e.How {
	case provider.EndDone:
		s.done[e.Task] = !s.lasts(e.Task)
	case provider.EndFailed:
		s.failures[e.Task]++
	}
}

func (s *site) jobOf(id string) *job.Job {
	return s.jobs[id]
}

func (s *site) needOf(task string) resource.Vector {
	id, err := job.ParseTask(task)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.jobOf(id.Job).Steps[id.Step].Reserved()
}
