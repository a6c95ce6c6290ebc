//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, those of the small deployments.
const (
	HeartbeatInterval = 1100 * time.Millisecond
	maxHold           = 10 * time.Second
	stopTime          = 200 * time.Millisecond
	maxListedEnds     = 500 // ends that one answer lists
)

// Machine hosts one worker after the other.
type Machine struct {
	Name   string
	Zone   string
	Labels []string
	Cores  int64 // thousandths
	Memory int64 // MB

	fleet  *Fleet
	worker *Worker // nil while it is down
	state  string  // as the list of machines has it
	done   map[int]bool
	lives  int
}

// Outcome is how a run goes.
type Outcome struct {
	Length      time.Duration
	Fails       bool
	Checkpoints bool
}

// Fleet is the pool of workers of one service.
type Fleet struct {
	Service  string
	Machines []*Machine
	Outcome  func(task string, attempt uint64) Outcome
	GangSize func(task string) int // number of members of the task's gang, zero if it is in none; may be nil

	record *Record
	ledger *Ledger
	store  *Store
	mu     sync.Mutex // guards the machines

	gangMu sync.Mutex
	gangs  map[string]*gang // by step and attempt
}

// NewFleet returns a Fleet without machines.
func NewFleet(service string, s *Store, l *Ledger, r *Record) *Fleet {
	return &Fleet{Service: service, store: s, ledger: l, record: r, gangs: make(map[string]*gang)}
}

// Add adds a machine and starts its first worker.
func (f *Fleet) Add(m *Machine) {
	m.fleet = f
	m.done = make(map[int]bool)
	f.mu.Lock()
	f.Machines = append(f.Machines, m)
	f.mu.Unlock()
	m.Up()
}

// Up starts a new worker on the machine.
func (m *Machine) Up() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	f := m.fleet
	f.mu.Lock()
	m.lives++
	w := &Worker{
		ID:          fmt.Sprintf("i-%s-%d", m.Name, m.lives),
		machine:     m,
		address:     l.Addr().String(),
		clockStart:  time.Now().Add(-time.Second),
		runs:        make(map[string]*run),
		maxFinished: make(map[string]uint64),
		ended:       make(chan struct{}),
		stopped:     make(chan struct{}),
		isUp:        true,
	}
	m.worker = w
	m.state = "up"
	f.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.heartbeat()
	f.record.Printf("worker %s is up on machine %s", w.ID, m.Name)
}

// Down ends the machine's worker and everything that it runs. It sends nothing any more.
func (m *Machine) Down(state string) {
	f := m.fleet
	f.mu.Lock()
	w := m.worker
	m.worker = nil
	m.state = state
	f.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.isUp = false
	n := len(w.runs)
	for name, r := range w.runs {
		f.ledger.ended(w, name, r.attempt, "gone with its worker")
		go f.leaveGang(name, r.attempt)
	}
	w.runs = make(map[string]*run)
	w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close()
	f.record.Printf("worker %s on machine %s is down (%s), %d runs end", w.ID, m.Name, state, n)
	time.AfterFunc(3*HeartbeatInterval, func() { f.store.Put("keyed.servers", w.ID, nil) })
}

// Worker is one life of a machine.
type Worker struct {
	ID         string
	machine    *Machine
	address    string
	clockStart time.Time
	server     *http.Server
	stopped    chan struct{}

	mu          sync.Mutex
	isUp        bool
	seq         int
	token       uint64
	lease       time.Duration // end of the lease, on the worker's clock
	lapsedAt    time.Time     // when the lease last expired
	runs        map[string]*run
	maxFinished map[string]uint64 // highest attempt that was stopped or has ended, by task
	ends        []end             // not forgotten yet
	endCount    uint64
	ended       chan struct{} // closed at the next end
}

type run struct {
	attempt     uint64
	begun       time.Time
	length      time.Duration // of the work that is left
	before      time.Duration // work that the checkpoint carries
	checkpoints bool
}

const (
	checkpointTime = time.Second // of work between two checkpoints
	restoreTime    = 250 * time.Millisecond
)

// saved returns the newest checkpoint. At a stop there is one of all work so far.
func (r *run) saved(task string, atStop bool) string {
	if !r.checkpoints {
		return ""
	}
	work := min(time.Since(r.begun), r.length)
	if !atStop {
		work = work / checkpointTime * checkpointTime
	}
	if r.before > 0 {
		work = max(0, work-restoreTime)
	}
	if work += r.before; work <= 0 {
		return ""
	}
	return fmt.Sprintf("%s/%d", task, work.Milliseconds())
}

// workOf returns the work that a checkpoint carries, and whether it is one of the task.
func workOf(task, checkpoint string) (time.Duration, bool) {
	at := strings.LastIndexByte(checkpoint, '/')
	if at < 0 || checkpoint[:at] != task {
		return 0, false
	}
	ms, err := strconv.Atoi(checkpoint[at+1:])
	return time.Duration(ms) * time.Millisecond, err == nil
}

type end struct {
	number  uint64
	task    string
	attempt uint64
	how     string
	at      time.Time
	saved   string
}

func (w *Worker) clock() time.Duration { return time.Since(w.clockStart) }

// Current returns the machine's worker, nil while it is down.
func (m *Machine) Current() *Worker {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.worker
}

func (w *Worker) heartbeat() {
	m := w.machine
	for {
		w.mu.Lock()
		w.seq++
		entry := map[string]any{
			"service": m.fleet.Service, "address": w.address, "zone": m.Zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "machine": m.Name, "labels": m.Labels, "clockMs": w.clock().Milliseconds(), "seq": w.seq,
			"capacity": map[string]any{"cpu": m.Cores, "memMb": m.Memory, "gpus": 0},
		}
		up := w.isUp
		w.mu.Unlock()
		if !up {
			return
		}
		m.fleet.store.PutJSON("keyed.servers", w.ID, entry)
		select {
		case <-time.After(HeartbeatInterval):
		case <-w.stopped:
			return
		}
	}
}

// order has the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Checkpoint string `json:"checkpoint"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isUp {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Token < w.token {
		w.refuse(out, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/api/run-start":
		if reason := w.start(o); reason != "" {
			w.refuse(out, reason)
			return
		}
	case "/api/run-stop":
		w.stop(o)
	case "/api/pace":
	case "/api/hold":
		w.hold(out, r, o)
		return
	default:
		out.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprintf(out, `{"clockMs":%d}`, w.clock().Milliseconds())
}

func (w *Worker) refuse(out http.ResponseWriter, reason string) {
	out.WriteHeader(http.StatusConflict)
	fmt.Fprintf(out, `{"clockMs":%d,"reason":%q}`, w.clock().Milliseconds(), reason)
}

func (w *Worker) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, w.clock()+maxHold)
	if until <= w.lease {
		return
	}
	w.lease = until
	time.AfterFunc(until-w.clock()+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isUp || w.clock() < w.lease {
			return
		}
		w.lapsedAt = time.Now()
		for name, r := range w.runs {
			w.end(name, r, "lapsed")
		}
	})
}

func (w *Worker) start(o order) (refusal string) {
	if w.clock().Milliseconds() > o.Deadline {
		return "late"
	}
	w.extend(o.Deadline)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= w.maxFinished[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	f := w.machine.fleet
	outcome := f.Outcome(o.Task, o.Attempt)
	r := &run{attempt: o.Attempt, begun: time.Now(), length: outcome.Length, checkpoints: outcome.Checkpoints}
	if o.Checkpoint != "" {
		work, ok := workOf(o.Task, o.Checkpoint)
		if !ok {
			f.record.Break("UNASKED: %s starts with checkpoint %q, which isn't the task's", o.Task, o.Checkpoint)
		}
		r.before = work
		r.length = max(0, outcome.Length-work) + restoreTime
	}
	w.runs[o.Task] = r
	f.ledger.started(w, o.Task, o.Attempt, o.Spec)
	if f.GangSize != nil && f.GangSize(o.Task) > 0 {
		go f.joinGang(w, o.Task, r)
		return ""
	}
	how := "done"
	if outcome.Fails {
		how = "failed"
	}
	time.AfterFunc(r.length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isUp && w.runs[o.Task] == r {
			w.end(o.Task, r, how)
		}
	})
	return ""
}

func (w *Worker) stop(o order) {
	w.maxFinished[o.Task] = max(w.maxFinished[o.Task], o.Attempt)
	r := w.runs[o.Task]
	if r == nil || r.attempt > o.Attempt {
		return
	}
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isUp && w.runs[o.Task] == r {
			w.end(o.Task, r, "stopped")
		}
	})
}

// end ends a run. The caller holds w.mu.
func (w *Worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.maxFinished[task] = max(w.maxFinished[task], r.attempt)
	w.endCount++
	w.ends = append(w.ends, end{number: w.endCount, task: task, attempt: r.attempt, how: how, at: time.Now(), saved: r.saved(task, how == "stopped")})
	w.machine.fleet.ledger.ended(w, task, r.attempt, how)
	if how != "done" {
		go w.machine.fleet.leaveGang(task, r.attempt)
	}
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		e := w.ends[0]
		if !w.lapsedAt.After(e.at) {
			w.machine.fleet.ledger.noted(w, e.task, e.attempt, e.how)
		}
		w.ends = w.ends[1:]
	}
	if o.Wait > 0 && len(w.ends) == 0 {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		case <-w.stopped:
		}
		w.mu.Lock()
		if !w.isUp {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for name, run := range w.runs {
		running = append(running, []any{name, run.attempt, run.saved(name, false), min(99, int(100*time.Since(run.begun)/run.length)), 0})
	}
	finished := [][]any{}
	for i := range w.ends {
		if i == maxListedEnds {
			break
		}
		e := &w.ends[i]
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	if len(w.ends) > maxListedEnds {
		w.machine.fleet.record.Printf("worker %s lists %d of %d ends, %d running", w.ID, maxListedEnds, len(w.ends), len(running))
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"clockMs": w.clock().Milliseconds(), "running": running, "finished": finished})
}
