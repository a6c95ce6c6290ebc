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

// TestMain fixes the seed, so that every run of the tests gives one verdict.
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
	leaseTTL  = 6  // a worker's lease
	taskTTL   = 10 // a batch task's lease on its worker
	isolation = 15 // how long an owner extends tasks' leases after its last read of the log's tail
	transit   = 3  // after which a message isn't accepted any more
	outwait   = isolation + taskTTL + transit + 1
)

var unit = resource.Vector{Processors: 1000, Memory: 1024}

// entry is an accepted record of the modelled log.
type entry struct {
	at     time.Time
	record record.Record
}

// server is a worker as it is, whatever the stream says of it.
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

// process is one run of an entry instance. It decides by its own fold, which
// may lag, and by what it remembers.
type process struct {
	w        *world
	writer   record.Writer
	sequence uint64
	state    *State
	readAt   int
	fencesAt map[record.Writer]int
	leases   map[string]uint64          // epoch by worker
	owned    map[string]uint64          // sequence of the last Own by worker
	load     map[string]map[string]bool // tasks by worker
	placed   map[record.Attempt]place
	claimed  uint64 // sequence of its last claim
}

type place struct {
	worker   string // empty when a record under way gives the task back
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

// link is the way from an instance to a worker or to the log.
type link struct{ from, to string }

type world struct {
	now       int
	cut       map[link]bool
	log       []entry
	state     *State // up to the end of the log
	snapshots [][]byte
	pending   []record.Record // appends under way, of living processes and dead ones
	starts    []message
	servers   []*server
	processes []*process
	submitted int
	ends      map[record.Attempt]int // effective ends of each attempt
	done      map[string]int
	trace     strings.Builder
	seen      map[string]int // what the run came to, for the test's own coverage
}

func newWorld() *world {
	w := &world{now: 1000, cut: map[link]bool{}, ends: map[record.Attempt]int{}, done: map[string]int{}, seen: map[string]int{}}
	w.state = w.empty()
	for i := range 3 {
		w.servers = append(w.servers, &server{id: fmt.Sprint("w", i), tasks: map[string]*execution{}})
		w.processes = append(w.processes, w.boot(record.Writer{ID: string(rune('a' + i)), Incarnation: 1}, nil))
	}
	return w
}

// begin gives the group a limit and tasks, and each instance a worker.
func (w *world) begin(t *rapid.T) {
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

func (w *world) submit(p *process) {
	w.submitted++
	task := record.Task{ID: fmt.Sprint("t", w.submitted), Job: fmt.Sprint("j", w.submitted/2), Group: "g", Need: unit}
	p.send(record.Record{Submit: &record.Submit{Tasks: []record.Task{task}}})
}

func (w *world) empty() *State {
	return New("z", WithRetention(5*time.Minute), WithQuarantine(20*time.Second), WithMaxEnded(6))
}

func (w *world) boot(writer record.Writer, snapshot []byte) *process {
	p := &process{
		w: w, writer: writer, state: w.empty(), readAt: w.now - isolation - 1, fencesAt: map[record.Writer]int{},
		leases: map[string]uint64{}, owned: map[string]uint64{}, load: map[string]map[string]bool{}, placed: map[record.Attempt]place{},
	}
	if snapshot != nil {
		p.state = must(Restore(snapshot))
	}
	return p
}

// sorted returns the keys of m in one order, so that every run of the test
// does the same.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// append lets the log accept a record, and checks what it did.
func (w *world) append(t *rapid.T, r record.Record) {
	r = must(record.Decode(must(record.Encode(r))))
	e := entry{at: time.Unix(int64(w.now), 0), record: r}
	used := w.state.Group("g")
	o := w.state.Apply(uint64(len(w.log)), e.at, r)
	w.log = append(w.log, e)
	fmt.Fprintln(&w.trace, describe(len(w.log)-1, time.Duration(w.now)*time.Second, r, o))
	w.note(r, o)
	if g := w.state.Group("g"); g.Used.Processors > used.Used.Processors && !g.Used.Fits(g.Limit) {
		t.Fatalf("group above its limit: %+v after %+v", g, r)
	}
	w.checkEnds(t, r, o)
	if len(w.log)%8 == 0 {
		w.snapshots = append(w.snapshots, must(w.state.Snapshot()))
	}
}

// note counts what the model came to, so that the test can tell when it
// stops reaching what it is there for.
func (w *world) note(r record.Record, o Outcome) {
	w.seen[fmt.Sprint(o.Effect, " ", o.Reason)]++
	for what, is := range map[string]bool{
		"done": r.Done != nil, "evicted": r.Evicted != nil, "failed": r.Failed != nil, "returned": r.Return != nil,
		"fenced": r.Fence != nil, "lapsed": r.Lapse != nil, "cancelled": r.Cancel != nil, "handed over": r.Own != nil && len(o.Changed) > 0,
	} {
		if is && o.Effect == Applied {
			w.seen[what]++
		}
	}
	if r.Lapse != nil && len(o.Changed) > 0 {
		w.seen["recovered after a lapse"]++
	}
}

func (w *world) checkEnds(t *rapid.T, r record.Record, o Outcome) {
	if o.Effect != Applied {
		return
	}
	var a record.Attempt
	switch {
	case r.Done != nil:
		a = r.Done.Attempt
		w.done[a.Task]++
	case r.Evicted != nil:
		a = r.Evicted.Attempt
	case r.Failed != nil:
		a = r.Failed.Attempt
	default:
		return
	}
	w.ends[a]++
	if w.ends[a] > 1 || w.done[a.Task] > 1 {
		t.Fatalf("attempt %+v ended %d times, task done %d times", a, w.ends[a], w.done[a.Task])
	}
}

// send puts a record under way to the log.
func (p *process) send(r record.Record) {
	p.sequence++
	r.Writer = p.writer
	r.Sequence = p.sequence
	p.w.pending = append(p.w.pending, r)
}

func (p *process) reaches(to string) bool {
	return !p.w.cut[link{p.writer.ID, to}]
}

func (p *process) read(limit int) {
	if !p.reaches("log") {
		return
	}
	for limit > 0 && p.state.Next() < uint64(len(p.w.log)) {
		e := p.w.log[p.state.Next()]
		p.state.Apply(p.state.Next(), e.at, e.record)
		limit--
	}
	if p.state.Next() == uint64(len(p.w.log)) {
		p.readAt = p.w.now
	}
	for r := range p.state.Recoveries() {
		if _, ok := p.fencesAt[r.Instance]; !ok {
			p.fencesAt[r.Instance] = p.w.now
		}
	}
	decided := p.state.Sequence(p.writer)
	for a, at := range p.placed {
		task, _ := p.state.Task(a.Task)
		if task.Attempt != a.Number || !p.owns(task) || at.worker == "" && at.sequence <= decided {
			delete(p.placed, a)
		}
	}
}

func (p *process) owns(t Task) bool {
	return t.State == Escrowed && t.Owner == p.writer.ID && t.Incarnation == p.writer.Incarnation
}

// mayAct reports whether p may start tasks or extend their leases on s: it
// isn't fenced, has read the tail lately and has read its ownership back.
func (p *process) mayAct(s *server) bool {
	fresh := p.w.now <= p.readAt+isolation && !p.state.Fenced(p.writer)
	return fresh && p.recorded(s)
}

// recorded reports whether the owner on record is p at its present epoch.
func (p *process) recorded(s *server) bool {
	worker, _ := p.state.Worker(s.id)
	return p.ownerOf(s) && worker.Epoch == p.leases[s.id]
}

// ownerOf reports whether the owner on record is p at whatever epoch.
func (p *process) ownerOf(s *server) bool {
	worker, _ := p.state.Worker(s.id)
	return worker.Owner == p.writer.ID && worker.Incarnation == p.writer.Incarnation
}

func (p *process) holds(s *server) bool {
	return p.reaches(s.id) && p.leases[s.id] == s.epoch && p.w.now < s.expires
}

func (p *process) acquire(s *server) {
	if p.reaches(s.id) && p.w.now >= s.expires && !p.state.Fenced(p.writer) {
		p.granted(s)
	}
}

func (p *process) granted(s *server) {
	s.epoch++
	s.expires = p.w.now + leaseTTL
	p.leases[s.id] = s.epoch
	p.load[s.id] = map[string]bool{}
	own := &record.Own{Worker: s.id, Epoch: s.epoch, Capacity: unit.Scale(2)}
	for _, id := range sorted(s.tasks) {
		p.load[s.id][id] = true
		own.Held = append(own.Held, record.Attempt{Task: id, Number: s.tasks[id].attempt})
	}
	p.owned[s.id] = p.sequence + 1
	p.send(record.Record{Own: own})
}

func (p *process) renew(s *server) {
	overtaken := !p.recorded(s) && p.state.Sequence(p.writer) >= p.owned[s.id]
	if !p.holds(s) || overtaken {
		return
	}
	s.expires = p.w.now + leaseTTL
	if !p.mayAct(s) {
		return
	}
	for _, x := range s.tasks {
		x.lease = p.w.now + taskTTL
	}
}

// report tells the log how attempts on s ended, and clears what is over.
func (p *process) report(s *server) {
	if !p.holds(s) || !p.mayAct(s) {
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
		if task.Attempt == x.attempt && p.owns(task) {
			p.reportEnd(s, id, x, task.Cancelling)
		}
	}
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		at, ok := p.placed[a]
		if ok && at.worker == s.id && s.tasks[a.Task] == nil && p.w.now > at.sentAt+transit {
			p.giveBack(a) // it never arrived
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

func (p *process) giveBack(a record.Attempt) {
	p.placed[a] = place{sequence: p.sequence + 1}
	p.send(record.Record{Return: &record.Return{Tasks: []string{a.Task}}})
}

// clear ends the attempts of escrowed tasks that were on a worker which
// another owner has taken without them, and gives back what it won't start.
func (p *process) clear() {
	owns := slices.ContainsFunc(p.w.servers, p.ownerOf)
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		at, ok := p.placed[a]
		worker, _ := p.state.Worker(at.worker)
		switch {
		case !ok && (task.Cancelling || !owns) && !p.isHeld(task.ID):
			p.giveBack(a)
		case ok && worker.Epoch > p.leases[at.worker]:
			p.placed[a] = place{sequence: p.sequence + 1}
			p.send(record.Record{Evicted: &record.Evicted{Attempt: a, Worker: at.worker}})
		}
	}
}

func (p *process) claim() {
	var ids []string
	g := p.state.Group("g")
	for task := range p.state.Queued() {
		if len(ids) < 2 && g.Used.Add(unit).Fits(g.Limit) {
			ids = append(ids, task.ID)
		}
	}
	if len(ids) > 0 && p.state.Sequence(p.writer) >= p.claimed {
		p.claimed = p.sequence + 1
		p.send(record.Record{Claim: &record.Claim{Tasks: ids}})
	}
}

func (p *process) start() {
	for task := range p.state.EscrowOf(p.writer) {
		a := record.Attempt{Task: task.ID, Number: task.Attempt}
		if _, ok := p.placed[a]; ok || task.Cancelling || p.isHeld(task.ID) {
			continue
		}
		for _, s := range p.w.servers {
			if p.mayAct(s) && len(p.load[s.id]) < 2 {
				p.placed[a] = place{worker: s.id, sentAt: p.w.now}
				p.load[s.id][task.ID] = true
				p.w.starts = append(p.w.starts, message{p, s, p.leases[s.id], a, p.w.now})
				break
			}
		}
	}
}

// isHeld reports whether a worker was found to hold the task already. It does
// so also while a new epoch of that worker isn't on record yet.
func (p *process) isHeld(task string) bool {
	return slices.ContainsFunc(p.w.servers, func(s *server) bool { return p.load[s.id][task] && p.ownerOf(s) })
}

// turn is what a process does when nothing hinders it.
func (p *process) turn() {
	p.read(len(p.w.log))
	if p.state.Fenced(p.writer) {
		p.w.restart(p)
		return
	}
	for _, s := range p.w.servers {
		p.renew(s)
		p.report(s)
		worker, _ := p.state.Worker(s.id)
		owner := record.Writer{ID: worker.Owner, Incarnation: worker.Incarnation}
		if p.state.Fenced(owner) || worker.Lapsed || owner == p.writer && p.w.now >= s.expires {
			p.acquire(s)
		}
	}
	p.clear()
	p.lapse()
	p.claim()
	p.start()
}

func (p *process) lapse() {
	for r := range p.state.Recoveries() {
		for _, id := range r.Pending {
			worker, _ := p.state.Worker(id)
			if at, ok := p.fencesAt[r.Instance]; ok && p.w.now > at+outwait {
				p.send(record.Record{Lapse: &record.Lapse{Worker: id, Epoch: worker.Epoch}})
			}
		}
	}
}

// restart replaces p by its next incarnation. What p sent stays under way.
func (w *world) restart(p *process) {
	var snapshot []byte
	if len(w.snapshots) > 0 {
		snapshot = w.snapshots[len(w.snapshots)-1]
	}
	writer := record.Writer{ID: p.writer.ID, Incarnation: p.writer.Incarnation + 1}
	next := w.boot(writer, snapshot)
	next.send(record.Record{Marker: &record.Marker{}}) // fences the run before
	w.processes[slices.Index(w.processes, p)] = next
}

// receive lets a worker take a start, unless its epoch check forbids it.
func (w *world) receive(m message, answered bool) {
	s := m.worker
	if m.from.reaches(s.id) && w.now <= m.sentAt+transit && m.epoch == s.epoch && w.now < s.expires && s.tasks[m.task.Task] == nil {
		s.tasks[m.task.Task] = &execution{attempt: m.task.Number, state: "running", lease: w.now + taskTTL}
		w.seen["started"]++
		fmt.Fprintf(&w.trace, "  %ds %s starts %v on %s, sent at %ds\n", w.now, m.from.writer.ID, m.task, s.id, m.sentAt)
		return
	}
	// A task that was given back and claimed again has the same attempt, so the
	// answer must belong to this very start.
	if answered && m.epoch == s.epoch && m.from.placed[m.task] == (place{worker: s.id, sentAt: m.sentAt}) {
		delete(m.from.placed, m.task)
		delete(m.from.load[s.id], m.task.Task)
	}
}

func (w *world) check(t *rapid.T) {
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

// checkSums compares the sums that the fold keeps with sums over all tasks.
func checkSums(t *rapid.T, s *State) {
	used := map[string]resource.Vector{}
	queued := map[string]int{}
	bytes := 0
	for _, task := range s.tasks {
		v := s.view(task)
		bytes += task.size()
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
		for _, r := range i.runs {
			sum = sum.Add(r.used)
		}
		if sum != used[id] {
			t.Fatalf("instance %s: %v, want %v", id, sum, used[id])
		}
	}
	if bytes != s.bytes || len(slices.Collect(s.Queued())) != s.queue.length {
		t.Fatalf("bytes %d, want %d", s.bytes, bytes)
	}
}

// checkReplay replays the log from its start and from a snapshot.
func (w *world) checkReplay(t *rapid.T) {
	want := string(must(w.state.Snapshot()))
	starts := []*State{w.empty()}
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

// island leaves a worker to one process, and that process without the log.
func (w *world) island(alone *process, s *server) {
	w.cut[link{alone.writer.ID, "log"}] = true
	for _, p := range w.processes {
		if p != alone {
			w.cut[link{p.writer.ID, s.id}] = true
		}
	}
}

// pass lets time go on and the tasks' leases expire.
func (w *world) pass(seconds int) {
	w.now += seconds
	for _, s := range w.servers {
		for _, x := range s.tasks {
			if x.state == "running" && x.lease <= w.now {
				x.state = "stopped"
			}
		}
	}
}

// calm lets every process act and the log accept what can reach it.
func (w *world) calm(t *rapid.T) {
	for _, p := range w.processes {
		p.turn()
	}
	under := w.pending
	w.pending = nil
	for _, r := range under {
		if w.cut[link{r.Writer.ID, "log"}] {
			w.pending = append(w.pending, r)
			continue
		}
		w.append(t, r)
	}
}

// wait is seconds without a new fault.
func (w *world) wait(t *rapid.T, seconds int, each func()) {
	for range seconds {
		w.pass(1)
		w.calm(t)
		starts := w.starts
		w.starts = nil
		for _, m := range starts {
			w.receive(m, true)
		}
		w.check(t)
		if each != nil {
			each()
		}
	}
}

// checkEnd stops the faults and checks that every task ends.
func (w *world) checkEnd(t *rapid.T) {
	clear(w.cut)
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

func (w *world) someone(t *rapid.T) *process {
	return rapid.SampledFrom(w.processes).Draw(t, "process")
}

func (w *world) server(t *rapid.T) *server {
	return rapid.SampledFrom(w.servers).Draw(t, "worker")
}

// deliver lets the log accept records, now and then late or twice.
func (w *world) deliver(t *rapid.T) {
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

// deliverStarts lets workers take starts in any order, and loses answers.
func (w *world) deliverStarts(t *rapid.T) {
	for len(w.starts) > 0 && rapid.IntRange(0, 4).Draw(t, "more") > 0 {
		i := rapid.IntRange(0, len(w.starts)-1).Draw(t, "index")
		m := w.starts[i]
		w.starts = slices.Delete(w.starts, i, i+1)
		w.receive(m, rapid.Bool().Draw(t, "answered"))
	}
}

// transfer hands a worker over, now and then by an owner that loses the log
// with its last reports under way.
func (w *world) transfer(t *rapid.T) {
	p, q, s := w.someone(t), w.someone(t), w.server(t)
	if p == q || !p.holds(s) || !q.reaches(s.id) || q.state.Fenced(q.writer) {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
		p.report(s)
		w.cut[link{p.writer.ID, "log"}] = true
	}
	q.granted(s)
}

func (w *world) end(t *rapid.T) {
	how := rapid.SampledFrom([]string{"done", "done", "done", "failed", "stopped"}).Draw(t, "end")
	for _, x := range w.server(t).tasks {
		if x.state == "running" {
			x.state = how
		}
	}
}

func (w *world) cancel(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "wave") == 0 {
		job := fmt.Sprint("j", rapid.IntRange(0, w.submitted*4).Draw(t, "job"))
		w.someone(t).send(record.Record{Cancel: &record.Cancel{Jobs: []string{job}}})
	}
}

func (w *world) limit(t *rapid.T) {
	limit := unit.Scale(rapid.Int64Range(2, 6).Draw(t, "limit"))
	body := &record.Limits{Revision: w.state.Revision() + 1, Groups: map[string]resource.Vector{"g": limit}}
	w.someone(t).send(record.Record{Limits: body})
}

// actions returns what may happen next, faults included. What keeps the work
// going is there several times, so that faults meet work.
func (w *world) actions() map[string]func(*rapid.T) {
	turn := func(t *rapid.T) { w.someone(t).turn() }
	return map[string]func(*rapid.T){
		"transfer": w.transfer, "transfer2": w.transfer, "end": w.end, "end2": w.end,
		"calm": w.calm, "calm2": w.calm,
		"wait": func(t *rapid.T) { w.wait(t, rapid.IntRange(1, 40).Draw(t, "seconds"), nil) },
		"heal": func(*rapid.T) { clear(w.cut) },
		"cut": func(t *rapid.T) {
			to := rapid.SampledFrom([]string{"log", "log", "w0", "w1", "w2"}).Draw(t, "to")
			w.cut[link{w.someone(t).writer.ID, to}] = true
		},
		"island": func(t *rapid.T) { w.island(w.someone(t), w.server(t)) },
		"turn":   turn, "turn2": turn, "turn3": turn, "turn4": turn, "receive": w.deliverStarts, "receive2": w.deliverStarts,
		"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver,
		"acquire": func(t *rapid.T) { w.someone(t).acquire(w.server(t)) },
		"renew":   func(t *rapid.T) { w.someone(t).renew(w.server(t)) },
		"report":  func(t *rapid.T) { w.someone(t).report(w.server(t)) },
		"read":    func(t *rapid.T) { w.someone(t).read(rapid.IntRange(1, 5).Draw(t, "records")) },
		"claim":   func(t *rapid.T) { w.someone(t).claim() },
		"start":   func(t *rapid.T) { w.someone(t).start() },
		"lapse":   func(t *rapid.T) { w.someone(t).lapse() },
		"expire":  func(t *rapid.T) { w.pass(rapid.SampledFrom([]int{1, 1, 2, 3, 7, 31}).Draw(t, "seconds")) },
		"fence": func(t *rapid.T) {
			p, q := w.someone(t), w.someone(t)
			if p != q && rapid.IntRange(0, 2).Draw(t, "suspect") == 0 {
				p.send(record.Record{Fence: &record.Fence{Instance: q.writer}})
			}
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "kill") == 0 {
				w.restart(w.someone(t))
			}
		},
		"submit": func(t *rapid.T) {
			if w.state.live() < 5 {
				w.submit(w.someone(t))
			}
		},
		"cancel": w.cancel, "limit": w.limit,
		"": w.check,
	}
}

// Symptom: a task runs in two places, completes twice, or is resumed twice; a
// worker or a group holds more than it may; two instances disagree.
// Sequence: any mix of lease grants, handovers, pauses, restarts, fences,
// lapses, lost answers, late and repeated appends, up to the bounds above.
// Cause: a missing guard of the fold.
func TestModel(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.begin(t)
		t.Repeat(w.actions())
		w.checkEnd(t)
		w.checkReplay(t)
		for what, n := range w.seen {
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
