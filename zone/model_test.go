package zone

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// TestMain fixes the seed, so that every run of the tests has the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "600", "rapid.steps": "300", "rapid.nofailfile": "true",
	} {
		if f := flag.Lookup(name); f == nil || f.Value.Set(value) != nil {
			panic("no flag " + name)
		}
	}
	os.Exit(m.Run())
}

// The bounds of the modelled protocol, in seconds.
const (
	leaseTTL   = 6                                 // a worker's lease
	taskTTL    = 10                                // a batch task's lease on its worker
	isolation  = 15                                // how long an owner extends tasks' leases after its last read of the log's tail
	transit    = 3                                 // age above which a message is no longer accepted
	lapseDelay = isolation + taskTTL + transit + 1 // after a fence, until no task of the fenced owner can run
)

var unit = resource.Vector{Processors: 1000, Memory: 1024}

// entry is an accepted record of the modelled log.
type entry struct {
	at     time.Time
	record record.Record
}

// server is the actual state of a worker, independent of the stream.
type server struct {
	id      string
	epoch   uint64
	expires int
	tasks   map[string]*execution
}

type execution struct {
	attempt uint32
	state   string // running, done, failed or stopped
	lease   int
}

// process is one incarnation of an entry instance. It decides by its own copy
// of the state, which may lag, and by its own memory.
type process struct {
	model         *model
	writer        record.Writer
	sequence      uint64
	state         *State
	tailReadAt    int
	fenceSeenAt   map[record.Writer]int
	leases        map[string]uint64          // epoch by worker
	ownSequences  map[string]uint64          // sequence of the last Own by worker
	load          map[string]map[string]bool // tasks by worker
	placements    map[record.Attempt]placement
	claimSequence uint64 // sequence of its last claim
}

type placement struct {
	worker   string // empty while a record that returns or evicts the task is pending
	sentAt   int
	sequence uint64 // of that record
}

type message struct {
	from   *process
	worker *server
	epoch  uint64
	task   record.Attempt
	sentAt int
}

// link is the network path from an instance to a worker or to the log.
type link struct{ from, to string }

type model struct {
	now       int
	cutLinks  map[link]bool
	log       []entry
	state     *State // up to the end of the log
	snapshots [][]byte
	pending   []record.Record // appends in flight, of live and dead processes
	starts    []message
	servers   []*server
	processes []*process
	submitted int
	endCount  map[record.Attempt]int // effective ends of each attempt
	doneCount map[string]int
	trace     strings.Builder
	coverage  map[string]int // events that occurred, to check the coverage of the test
}

func newModel() *model {
	w := &model{now: 1000, cutLinks: map[link]bool{}, endCount: map[record.Attempt]int{}, doneCount: map[string]int{}, coverage: map[string]int{}}
	w.state = w.newState()
	for i := range 3 {
		w.servers = append(w.servers, &server{id: fmt.Sprint("w", i), tasks: map[string]*execution{}})
		w.processes = append(w.processes, w.newProcess(record.Writer{ID: string(rune('a' + i)), Incarnation: 1}, nil))
	}
	return w
}

// setUp gives the group a limit and tasks, and each instance a worker.
func (w *model) setUp(t *rapid.T) {
	limits := &record.Limits{Revision: 1, Groups: map[string]resource.Vector{"g": unit.Scale(4)}}
	w.processes[0].send(record.Record{Limits: limits})
	for i, p := range w.processes {
		p.acquire(w.servers[i])
		w.submit(p)
		w.submit(p)
	}
	for _, r := range w.pending {
		w.append(t, r)
	}
	w.pending = nil
}

func (w *model) submit(p *process) {
	w.submitted++
	task := record.Task{ID: fmt.Sprint("t", w.submitted), Job: fmt.Sprint("j", w.submitted/2), Group: "g", Need: unit}
	p.send(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}})
}

func (w *model) newState() *State {
	return New("z", WithRetention(5*time.Minute), WithQuarantine(20*time.Second), WithMaxEnded(6))
}

func (w *model) newProcess(writer record.Writer, snapshot []byte) *process {
	p := &process{
		model: w, writer: writer, state: w.newState(), tailReadAt: w.now - isolation - 1, fenceSeenAt: map[record.Writer]int{},
		leases: map[string]uint64{}, ownSequences: map[string]uint64{}, load: map[string]map[string]bool{}, placements: map[record.Attempt]placement{},
	}
	if snapshot != nil {
		p.state = must(Restore(snapshot))
	}
	return p
}

// sorted returns the sorted keys of m, so that every run of the test is the
// same.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// append adds a record to the log, applies it and checks the outcome.
func (w *model) append(t *rapid.T, r record.Record) {
	r = must(record.Decode(must(record.Encode(r))))
	e := entry{at: time.Unix(int64(w.now), 0), record: r}
	used := w.state.Group("g")
	o := w.state.Apply(uint64(len(w.log)), e.at, r)
	w.log = append(w.log, e)
	fmt.Fprintln(&w.trace, describe(len(w.log)-1, time.Duration(w.now)*time.Second, r, o))
	w.countCoverage(r, o)
	if g := w.state.Group("g"); g.Used.Processors > used.Used.Processors && !g.Used.Fits(g.Limit) {
		t.Fatalf("group above its limit: %+v after %+v", g, r)
	}
	w.checkEnds(t, r, o)
	if len(w.log)%8 == 0 {
		w.snapshots = append(w.snapshots, must(w.state.Snapshot()))
	}
}

// countCoverage counts outcomes and events, so that the test fails if the model
// no longer reaches one that it has to exercise.
func (w *model) countCoverage(r record.Record, o Outcome) {
	w.coverage[fmt.Sprint(o.Effect, " ", o.Reason)]++
	for what, is := range map[string]bool{
		"done": r.Done != nil, "evicted": r.Evicted != nil, "failed": r.Failed != nil, "returned": r.Return != nil,
		"fenced": r.Fence != nil, "lapsed": r.Lapse != nil, "cancelled": r.Cancel != nil, "handed over": r.Own != nil && len(o.Changed) > 0,
	} {
		if is && o.Effect == Applied {
			w.coverage[what]++
		}
	}
	if r.Lapse != nil && len(o.Changed) > 0 {
		w.coverage["recovered after a lapse"]++
	}
}

func (w *model) checkEnds(t *rapid.T, r record.Record, o Outcome) {
	if o.Effect != Applied {
		return
	}
	var a record.Attempt
	switch {
	case r.Done != nil:
		a = r.Done.Attempt
		w.doneCount[a.Task]++
	case r.Evicted != nil:
		a = r.Evicted.Attempt
	case r.Failed != nil:
		a = r.Failed.Attempt
	default:
		return
	}
	w.endCount[a]++
	if w.endCount[a] > 1 || w.doneCount[a.Task] > 1 {
		t.Fatalf("attempt %+v ended %d times, task done %d times", a, w.endCount[a], w.doneCount[a.Task])
	}
}

// send starts an append to the log.
func (p *process) send(r record.Record) {
	p.sequence++
	r.Writer = p.writer
	r.Sequence = p.sequence
	p.model.pending = append(p.model.pending, r)
}

func (p *process) canReach(to string) bool {
	return !p.model.cutLinks[link{p.writer.ID, to}]
}

func (p *process) read(limit int) {
	if !p.canReach("log") {
		return
	}
	for limit > 0 && p.state.Next() < uint64(len(p.model.log)) {
		e := p.model.log[p.state.Next()]
		p.state.Apply(p.state.Next(), e.at, e.record)
		limit--
	}
	if p.state.Next() == uint64(len(p.model.log)) {
		p.tailReadAt = p.model.now
	}
	for r := range p.state.Recoveries() {
		if _, ok := p.fenceSeenAt[r.Instance]; !ok {
			p.fenceSeenAt[r.Instance] = p.model.now
		}
	}
	decided := p.state.Sequence(p.writer)
	for a, at := range p.placements {
		task, _ := p.state.Task(a.Task)
		if task.Attempt != a.Number || !p.ownsTask(task) || at.worker == "" && at.sequence <= decided {
			delete(p.placements, a)
		}
	}
}

func (p *process) ownsTask(t Task) bool {
	return t.State == Escrowed && t.Owner == p.writer.ID && t.Incarnation == p.writer.Incarnation
}

// mayAct reports whether p may start tasks or extend their leases on s: it
// isn't fenced, has read the tail of the log recently and has read its own
// ownership back.
func (p *process) mayAct(s *server) bool {
	fresh := p.model.now <= p.tailReadAt+isolation && !p.state.Fenced(p.writer)
	return fresh && p.isRecordedOwner(s)
}

// isRecordedOwner reports whether p is the recorded owner of s at its current
// epoch.
func (p *process) isRecordedOwner(s *server) bool {
	worker, _ := p.state.Worker(s.id)
	return p.ownsAnyEpoch(s) && worker.Epoch == p.leases[s.id]
}

// ownsAnyEpoch reports whether p is the recorded owner of s at any epoch.
func (p *process) ownsAnyEpoch(s *server) bool {
	worker, _ := p.state.Worker(s.id)
	return worker.Owner == p.writer.ID && worker.Incarnation == p.writer.Incarnation
}

func (p *process) holdsLease(s *server) bool {
	return p.canReach(s.id) && p.leases[s.id] == s.epoch && p.model.now < s.expires
}

func (p *process) acquire(s *server) {
	if p.canReach(s.id) && p.model.now >= s.expires && !p.state.Fenced(p.writer) {
		p.takeLease(s)
	}
}

func (p *process) takeLease(s *server) {
	s.epoch++
	s.expires = p.model.now + leaseTTL
	p.leases[s.id] = s.epoch
	p.load[s.id] = map[string]bool{}
	own := &record.Own{Worker: s.id, Epoch: s.epoch, Capacity: unit.Scale(2)}
	for _, id := range sorted(s.tasks) {
		p.load[s.id][id] = true
		own.Held = append(own.Held, record.Attempt{Task: id, Number: s.tasks[id].attempt})
	}
	p.ownSequences[s.id] = p.sequence + 1
	p.send(record.Record{Own: own})
}

func (p *process) renew(s *server) {
	overtaken := !p.isRecordedOwner(s) && p.state.Sequence(p.writer) >= p.ownSequences[s.id]
	if !p.holdsLease(s) || overtaken {
		return
	}
	s.expires = p.model.now + leaseTTL
	if !p.mayAct(s) {
		return
	}
	for _, x := range s.tasks {
		x.lease = p.model.now + taskTTL
	}
}

// report appends how attempts on s ended, and removes those that the log knows
// to be over.
func (p *process) report(s *server) {
	if !p.holdsLease(s) || !p.mayAct(s) {
		return
	}
	for _, id := range sorted(s.tasks) {
		x := s.tasks[id]
		task, ok := p.state.Task(id)
		over := !ok || !task.Ended.IsZero() || task.Attempt > x.attempt
		if over {
			delete(s.tasks, id)
			delete(p.load[s.id], id)
			continue
		}
		if task.Attempt == x.attempt && p.ownsTask(task) {
			p.reportEnd(s, id, x, task.Cancelling)
		}
	}
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		at, ok := p.placements[a]
		if ok && at.worker == s.id && s.tasks[a.Task] == nil && p.model.now > at.sentAt+transit {
			p.returnTask(a) // the start never arrived
			delete(p.load[s.id], a.Task)
		}
	}
}

func (p *process) reportEnd(s *server, id string, x *execution, cancelling bool) {
	if x.state == "running" && cancelling {
		x.state = "stopped"
	}
	a := record.Attempt{Task: id, Number: x.attempt}
	switch x.state {
	case "done":
		p.send(record.Record{Done: &record.Done{Attempt: a, Worker: s.id}})
	case "failed":
		p.send(record.Record{Failed: &record.Failed{Attempt: a, Worker: s.id}})
	case "stopped":
		p.send(record.Record{Evicted: &record.Evicted{Attempt: a, Worker: s.id, Checkpoint: fmt.Sprint("c", x.attempt)}})
	}
}

func (p *process) returnTask(a record.Attempt) {
	p.placements[a] = placement{sequence: p.sequence + 1}
	p.send(record.Record{Return: &record.Return{Tasks: []string{a.Task}}})
}

// clearEscrow evicts attempts of escrowed tasks whose worker another owner has
// taken over without them, and returns tasks that p won't start.
func (p *process) clearEscrow() {
	owns := slices.ContainsFunc(p.model.servers, p.ownsAnyEpoch)
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		at, ok := p.placements[a]
		worker, _ := p.state.Worker(at.worker)
		switch {
		case !ok && (task.Cancelling || !owns) && !p.isHeld(task.ID):
			p.returnTask(a)
		case ok && worker.Epoch > p.leases[at.worker]:
			p.placements[a] = placement{sequence: p.sequence + 1}
			p.send(record.Record{Evicted: &record.Evicted{Attempt: a, Worker: at.worker}})
		}
	}
}

func (p *process) claim() {
	var ids []string
	g := p.state.Group("g")
	for task := range p.state.QueuedTasks() {
		if len(ids) < 2 && g.Used.Add(unit).Fits(g.Limit) {
			ids = append(ids, task.ID)
		}
	}
	if len(ids) > 0 && p.state.Sequence(p.writer) >= p.claimSequence {
		p.claimSequence = p.sequence + 1
		p.send(record.Record{Claim: &record.Claim{Tasks: ids}})
	}
}

func (p *process) start() {
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		if _, ok := p.placements[a]; ok || task.Cancelling || p.isHeld(task.ID) {
			continue
		}
		for _, s := range p.model.servers {
			if p.mayAct(s) && len(p.load[s.id]) < 2 {
				p.placements[a] = placement{worker: s.id, sentAt: p.model.now}
				p.load[s.id][task.ID] = true
				p.model.starts = append(p.model.starts, message{p, s, p.leases[s.id], a, p.model.now})
				break
			}
		}
	}
}

// isHeld reports whether a worker of p already holds the task, also while the
// new epoch of that worker isn't recorded yet.
func (p *process) isHeld(task string) bool {
	return slices.ContainsFunc(p.model.servers, func(s *server) bool { return p.load[s.id][task] && p.ownsAnyEpoch(s) })
}

// step runs all periodic work of a process once.
func (p *process) step() {
	p.read(len(p.model.log))
	if p.state.Fenced(p.writer) {
		p.model.restart(p)
		return
	}
	for _, s := range p.model.servers {
		p.renew(s)
		p.report(s)
		worker, _ := p.state.Worker(s.id)
		owner := record.Writer{ID: worker.Owner, Incarnation: worker.Incarnation}
		if p.state.Fenced(owner) || worker.Lapsed || owner == p.writer && p.model.now >= s.expires {
			p.acquire(s)
		}
	}
	p.clearEscrow()
	p.lapse()
	p.claim()
	p.start()
}

func (p *process) lapse() {
	for r := range p.state.Recoveries() {
		for _, id := range r.Pending {
			worker, _ := p.state.Worker(id)
			if at, ok := p.fenceSeenAt[r.Instance]; ok && p.model.now > at+lapseDelay {
				p.send(record.Record{Lapse: &record.Lapse{Worker: id, Epoch: worker.Epoch}})
			}
		}
	}
}

// restart replaces p by its next incarnation. Messages of p stay in flight.
func (w *model) restart(p *process) {
	var snapshot []byte
	if len(w.snapshots) > 0 {
		snapshot = w.snapshots[len(w.snapshots)-1]
	}
	writer := record.Writer{ID: p.writer.ID, Incarnation: p.writer.Incarnation + 1}
	next := w.newProcess(writer, snapshot)
	next.send(record.Record{Marker: &record.Marker{}}) // fences the previous incarnation
	w.processes[slices.Index(w.processes, p)] = next
}

// receiveStart starts a task on a worker unless the worker's checks refuse it.
func (w *model) receiveStart(m message, answered bool) {
	s := m.worker
	if m.from.canReach(s.id) && w.now <= m.sentAt+transit && m.epoch == s.epoch && w.now < s.expires && s.tasks[m.task.Task] == nil {
		s.tasks[m.task.Task] = &execution{attempt: m.task.Number, state: "running", lease: w.now + taskTTL}
		w.coverage["started"]++
		fmt.Fprintf(&w.trace, "  %ds %s starts %v on %s, sent at %ds\n", w.now, m.from.writer.ID, m.task, s.id, m.sentAt)
		return
	}
	// A task that was returned and claimed again has the same attempt number, so
	// the refusal must be matched with this start.
	if answered && m.epoch == s.epoch && m.from.placements[m.task] == (placement{worker: s.id, sentAt: m.sentAt}) {
		delete(m.from.placements, m.task)
		delete(m.from.load[s.id], m.task.Task)
	}
}

func (w *model) check(t *rapid.T) {
	running := map[string]string{}
	for _, s := range w.servers {
		n := 0
		for id, x := range s.tasks {
			if x.state != "running" {
				continue
			}
			if other, ok := running[id]; ok {
				t.Fatalf("task %s runs on %s and %s\n%s%s", id, other, s.id, w.trace.String(), w.state.Dump())
			}
			running[id] = s.id
			n++
		}
		if n > 2 {
			t.Fatalf("worker %s runs %d tasks", s.id, n)
		}
	}
	checkSums(t, w.state)
}

// checkSums compares the running sums of the state with sums over all tasks.
func checkSums(t *rapid.T, s *State) {
	used := map[string]resource.Vector{}
	queued := map[string]int{}
	bytes := 0
	for _, task := range s.tasks {
		v := s.view(task)
		bytes += task.encodedSize()
		if v.State == Escrowed {
			used[v.Group] = used[v.Group].Add(v.Need)
			used[v.Owner] = used[v.Owner].Add(v.Need)
		}
		if v.State == Queued {
			queued[v.Group]++
		}
	}
	for name, g := range s.Groups() {
		if g.Used != used[name] || g.Queued != queued[name] {
			t.Fatalf("group %s: %+v, want %v and %d", name, g, used[name], queued[name])
		}
	}
	for id, i := range s.instances {
		var sum resource.Vector
		for _, r := range i.incarnations {
			sum = sum.Add(r.used)
		}
		if sum != used[id] {
			t.Fatalf("instance %s: %v, want %v", id, sum, used[id])
		}
	}
	if bytes != s.bytes || len(slices.Collect(s.QueuedTasks())) != s.queue.length {
		t.Fatalf("bytes %d, want %d", s.bytes, bytes)
	}
}

// checkReplay replays the log from its start and from a snapshot.
func (w *model) checkReplay(t *rapid.T) {
	want := string(must(w.state.Snapshot()))
	starts := []*State{w.newState()}
	if len(w.snapshots) > 0 {
		starts = append(starts, must(Restore(rapid.SampledFrom(w.snapshots).Draw(t, "snapshot"))))
	}
	for _, s := range starts {
		for s.Next() < uint64(len(w.log)) {
			e := w.log[s.Next()]
			s.Apply(s.Next(), e.at, e.record)
		}
		if string(must(s.Snapshot())) != want || s.Dump() != w.state.Dump() {
			t.Fatalf("replay differs:\n%s\nwant:\n%s", s.Dump(), w.state.Dump())
		}
	}
}

// partition cuts a worker off from all processes but one, and that process off
// from the log.
func (w *model) partition(alone *process, s *server) {
	w.cutLinks[link{alone.writer.ID, "log"}] = true
	for _, p := range w.processes {
		if p != alone {
			w.cutLinks[link{p.writer.ID, s.id}] = true
		}
	}
}

// advance moves the clock forward and expires the tasks' leases.
func (w *model) advance(seconds int) {
	w.now += seconds
	for _, s := range w.servers {
		for _, x := range s.tasks {
			if x.state == "running" && x.lease <= w.now {
				x.state = "stopped"
			}
		}
	}
}

// stepAll steps every process and delivers all appends that can reach the log.
func (w *model) stepAll(t *rapid.T) {
	for _, p := range w.processes {
		p.step()
	}
	under := w.pending
	w.pending = nil
	for _, r := range under {
		if w.cutLinks[link{r.Writer.ID, "log"}] {
			w.pending = append(w.pending, r)
			continue
		}
		w.append(t, r)
	}
}

// wait runs the model for some seconds without a new fault.
func (w *model) wait(t *rapid.T, seconds int, each func()) {
	for range seconds {
		w.advance(1)
		w.stepAll(t)
		starts := w.starts
		w.starts = nil
		for _, m := range starts {
			w.receiveStart(m, true)
		}
		w.check(t)
		if each != nil {
			each()
		}
	}
}

// checkAllEnd stops the faults and checks that every task ends.
func (w *model) checkAllEnd(t *rapid.T) {
	clear(w.cutLinks)
	w.wait(t, 120, func() {
		for _, s := range w.servers {
			for _, x := range s.tasks {
				if x.state == "running" {
					x.state = "done"
				}
			}
		}
	})
	for _, task := range w.state.liveTasks() {
		if task.state != stateParked {
			t.Fatalf("task %s hasn't ended\n%s%s", task.id, w.trace.String(), w.state.Dump())
		}
	}
}

func (w *model) drawProcess(t *rapid.T) *process {
	return rapid.SampledFrom(w.processes).Draw(t, "process")
}

func (w *model) drawServer(t *rapid.T) *server {
	return rapid.SampledFrom(w.servers).Draw(t, "worker")
}

// deliver appends pending records to the log, some of them late or twice.
func (w *model) deliver(t *rapid.T) {
	for n := rapid.IntRange(1, 6).Draw(t, "records"); n > 0 && len(w.pending) > 0; n-- {
		i := 0
		if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
			i = rapid.IntRange(0, len(w.pending)-1).Draw(t, "index")
		}
		r := w.pending[i]
		if rapid.IntRange(0, 9).Draw(t, "twice") > 0 {
			w.pending = slices.Delete(w.pending, i, i+1)
		}
		w.append(t, r)
	}
}

// deliverStarts delivers starts to workers in any order and loses some answers.
func (w *model) deliverStarts(t *rapid.T) {
	for len(w.starts) > 0 && rapid.IntRange(0, 4).Draw(t, "more") > 0 {
		i := rapid.IntRange(0, len(w.starts)-1).Draw(t, "index")
		m := w.starts[i]
		w.starts = slices.Delete(w.starts, i, i+1)
		w.receiveStart(m, rapid.Bool().Draw(t, "answered"))
	}
}

// transfer hands a worker over, sometimes from an owner that loses its
// connection to the log while its last reports are in flight.
func (w *model) transfer(t *rapid.T) {
	p, q, s := w.drawProcess(t), w.drawProcess(t), w.drawServer(t)
	if p == q || !p.holdsLease(s) || !q.canReach(s.id) || q.state.Fenced(q.writer) {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
		p.report(s)
		w.cutLinks[link{p.writer.ID, "log"}] = true
	}
	q.takeLease(s)
}

func (w *model) endTasks(t *rapid.T) {
	how := rapid.SampledFrom([]string{"done", "done", "done", "failed", "stopped"}).Draw(t, "end")
	for _, x := range w.drawServer(t).tasks {
		if x.state == "running" {
			x.state = how
		}
	}
}

func (w *model) cancel(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "wave") == 0 {
		job := fmt.Sprint("j", rapid.IntRange(0, w.submitted*4).Draw(t, "job"))
		w.drawProcess(t).send(record.Record{Cancel: &record.Cancel{Jobs: []string{job}}})
	}
}

func (w *model) limit(t *rapid.T) {
	limit := unit.Scale(rapid.Int64Range(2, 6).Draw(t, "limit"))
	body := &record.Limits{Revision: w.state.Revision() + 1, Groups: map[string]resource.Vector{"g": limit}}
	w.drawProcess(t).send(record.Record{Limits: body})
}

// actions returns the possible actions, faults included. Actions that make
// progress occur several times, so that faults hit running work.
func (w *model) actions() map[string]func(*rapid.T) {
	turn := func(t *rapid.T) { w.drawProcess(t).step() }
	return map[string]func(*rapid.T){
		"transfer": w.transfer, "transfer2": w.transfer, "end": w.endTasks, "end2": w.endTasks,
		"calm": w.stepAll, "calm2": w.stepAll,
		"wait": func(t *rapid.T) { w.wait(t, rapid.IntRange(1, 40).Draw(t, "seconds"), nil) },
		"heal": func(*rapid.T) { clear(w.cutLinks) },
		"cut": func(t *rapid.T) {
			to := rapid.SampledFrom([]string{"log", "log", "w0", "w1", "w2"}).Draw(t, "to")
			w.cutLinks[link{w.drawProcess(t).writer.ID, to}] = true
		},
		"island": func(t *rapid.T) { w.partition(w.drawProcess(t), w.drawServer(t)) },
		"turn":   turn, "turn2": turn, "turn3": turn, "turn4": turn, "receive": w.deliverStarts, "receive2": w.deliverStarts,
		"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver,
		"acquire": func(t *rapid.T) { w.drawProcess(t).acquire(w.drawServer(t)) },
		"renew":   func(t *rapid.T) { w.drawProcess(t).renew(w.drawServer(t)) },
		"report":  func(t *rapid.T) { w.drawProcess(t).report(w.drawServer(t)) },
		"read":    func(t *rapid.T) { w.drawProcess(t).read(rapid.IntRange(1, 5).Draw(t, "records")) },
		"claim":   func(t *rapid.T) { w.drawProcess(t).claim() },
		"start":   func(t *rapid.T) { w.drawProcess(t).start() },
		"lapse":   func(t *rapid.T) { w.drawProcess(t).lapse() },
		"expire":  func(t *rapid.T) { w.advance(rapid.SampledFrom([]int{1, 1, 2, 3, 7, 31}).Draw(t, "seconds")) },
		"fence": func(t *rapid.T) {
			p, q := w.drawProcess(t), w.drawProcess(t)
			if p != q && rapid.IntRange(0, 2).Draw(t, "suspect") == 0 {
				p.send(record.Record{Fence: &record.Fence{Instance: q.writer}})
			}
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "kill") == 0 {
				w.restart(w.drawProcess(t))
			}
		},
		"submit": func(t *rapid.T) {
			if w.state.liveCount() < 5 {
				w.submit(w.drawProcess(t))
			}
		},
		"cancel": w.cancel, "limit": w.limit,
		"": w.check,
	}
}

// Guards against a task that runs in two places, completes twice or is resumed
// twice, a worker or group above its limit, and instances whose states differ,
// under any mix of lease grants, handovers, pauses, restarts, fences, lapses,
// lost answers, late and repeated appends, up to the bounds above.
func TestModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newModel()
		w.setUp(t)
		t.Repeat(w.actions())
		w.checkAllEnd(t)
		w.checkReplay(t)
		for what, n := range w.coverage {
			seen[what] += n
		}
	})
	for _, what := range []string{
		"started", "done", "evicted", "failed", "returned", "fenced", "lapsed", "cancelled", "handed over",
		"recovered after a lapse", "Applied None", "Repeated None", "Void WriterFenced", "Void OldIncarnation", "Void OldEpoch",
		"Void OldAttempt", "Void NotOwner", "Void NotQueued", "Void OverShare", "Void OldRevision", "Void AlreadyFenced",
	} {
		if seen[what] == 0 {
			t.Errorf("the model never came to %q", what)
		}
	}
	t.Log(seen)
}
