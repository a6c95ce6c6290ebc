//go:build review

package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Worker is one life of a machine.
type Worker struct {
	ID, Machine, Address string
	Processors           int

	site   *Site
	server *http.Server

	mu      sync.Mutex
	started time.Time
	crashed bool
	born    int64 // Unix milliseconds
	rack    string
	cut     bool // from the store
	shrunk  time.Time
	held    *heldOrder
	token   uint64
	lease   int64 // on the worker's clock, milliseconds
	runs    map[string]*Run
	highest map[string]uint64 // highest attempt that has ended or was stopped, by task
	ended   []endedRow
	count   uint64
	changed chan struct{} // closed when a run ends
}

// heldOrder is a start that is held up on its way to the worker.
type heldOrder struct {
	prefix string // of its task
	body   *order // nil until it was sent
}

// Run is a task that runs.
type Run struct {
	Task    string
	Attempt uint64
	since   time.Time
	work    time.Duration // zero for a task that lasts
}

type endedRow struct {
	number  uint64
	task    string
	attempt uint64
	how     string
}

// heartbeat is the interval of a worker's reports; its entry goes after three without one.
const heartbeat = 1100 * time.Millisecond

// StartWorker starts a worker on a machine and puts its entry on the list.
func (s *Site) StartWorker(id, machine, rack string, processors int) (*Worker, error) {
	return s.startWorker(&Worker{ID: id, Machine: machine, Address: "127.0.0.1:0", Processors: processors, rack: rack}, nil)
}

// Restart starts the next life of a worker that has crashed, under its ID and at its address. A
// start that was held up on its way arrives first.
func (w *Worker) Restart() (*Worker, error) {
	next := &Worker{ID: w.ID, Machine: w.Machine, Address: w.Address, Processors: w.Processors, rack: w.rack}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.site.startWorker(next, w.held)
}

// HoldUp holds up the next start of a task with a prefix, until the worker is back after a crash.
func (w *Worker) HoldUp(prefix string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = &heldOrder{prefix: prefix}
}

// HasHeldUp reports whether a start is held up.
func (w *Worker) HasHeldUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held != nil && w.held.body != nil
}

func (s *Site) startWorker(w *Worker, held *heldOrder) (*Worker, error) {
	l, err := net.Listen("tcp", w.Address)
	if err != nil {
		return nil, err
	}
	id, machine, rack, processors := w.ID, w.Machine, w.rack, w.Processors
	w.Address, w.site, w.started, w.born = l.Addr().String(), s, time.Now(), time.Now().UnixMilli()
	w.runs, w.highest, w.changed = make(map[string]*Run), make(map[string]uint64), make(chan struct{})
	if held != nil && held.body != nil {
		rw := httptest.NewRecorder()
		w.mu.Lock()
		w.token = held.body.Token
		w.start(rw, nil, held.body)
		w.mu.Unlock()
		s.Record("held start arrives task=%s attempt=%d worker=%s born=%d status=%d", held.body.Task, held.body.Attempt, w.ID, w.born, rw.Code)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.guard(w.start))
	mux.HandleFunc("POST /api/run-stop", w.guard(w.stop))
	mux.HandleFunc("POST /api/hold", w.guard(w.hold))
	mux.HandleFunc("POST /api/pace", w.guard(w.pace))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", id) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.watch()
	s.Machines.set(machine, "up", id, processors, rack)
	s.Store.Put("keyed.servers", id, w.entry())
	go w.beat()
	return w, nil
}

func (w *Worker) entry() []byte {
	entry, _ := json.Marshal(map[string]any{
		"service": w.site.Service, "address": w.Address, "zone": w.site.Zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"machine": w.Machine, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "seq": 1, "born": w.born,
		"capacity": map[string]any{"cpu": w.Processors, "memMb": 64000, "gpus": 0},
	})
	return entry
}

// beat reports to the store. The entry changes only when more than its sequence number changes; it
// goes after three heartbeats that didn't arrive while the store was there.
func (w *Worker) beat() {
	reported, missed, gone := w.Processors, 0, false
	for range time.Tick(heartbeat) {
		w.mu.Lock()
		crashed, cut, processors := w.crashed, w.cut, w.Processors
		entry := w.entry()
		w.mu.Unlock()
		switch {
		case crashed:
			return
		case w.site.Store.down.Load():
		case cut:
			if missed++; missed == 3 {
				gone = true
				w.site.Record("entry gone worker=%s", w.ID)
				w.site.Store.Put("keyed.servers", w.ID, nil)
			}
		default:
			missed = 0
			if gone || processors != reported {
				gone, reported = false, processors
				w.site.Record("entry written worker=%s processors=%d", w.ID, processors)
				w.site.Store.Put("keyed.servers", w.ID, entry)
			}
		}
	}
}

// Cut cuts the worker off from the store, or ends that.
func (w *Worker) Cut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// Shrink changes the worker's capacity. What runs goes on.
func (w *Worker) Shrink(processors int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Processors = processors
	w.shrunk = time.Now()
	w.site.Record("shrunk worker=%s processors=%d", w.ID, processors)
}

// checkCapacity records a start that brings the worker over its capacity, later than known after it
// shrank. The caller holds the mutex.
func (w *Worker) checkCapacity(task string) {
	need := w.site.Need(task)
	used := 0
	for name := range w.runs {
		used += w.site.Need(name)
	}
	if used <= w.Processors {
		return
	}
	age := time.Since(w.shrunk)
	w.site.Record("over capacity worker=%s processors=%d used=%d need=%d shrunk_ago=%.3f", w.ID, w.Processors, used-need, need, age.Seconds())
	if age > w.site.Known {
		w.site.countOver()
	}
}

// Crash ends a worker at once: its connections are reset, and all that ran on it is gone. Its
// entry stays until three heartbeats have been missed.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crashed = true
	lost := len(w.runs)
	for _, r := range w.runs {
		w.site.over(r)
	}
	w.runs = make(map[string]*Run)
	w.mu.Unlock()
	_ = w.server.Close()
	w.site.Machines.set(w.Machine, "down", "", w.Processors, "")
	w.site.Record("crash worker=%s machine=%s runs=%d", w.ID, w.Machine, lost)
}

func (w *Worker) clock() int64 { return time.Since(w.started).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	LastSeen   uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

// guard decodes an order, and refuses one for another worker or of an earlier owner.
func (w *Worker) guard(next func(http.ResponseWriter, *http.Request, *order)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
			return
		}
		if id := r.Header.Get("Expect-Instance"); id != "" && id != w.ID {
			reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.crashed {
			return
		}
		if o.Token < w.token {
			w.refuse(rw, "fence")
			return
		}
		if h := w.held; h == nil || h.body != nil || !strings.HasPrefix(o.Task, h.prefix) {
			w.token = o.Token // an order that is held up hasn't been seen
		}
		next(rw, r, &o)
	}
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *Worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+w.site.MaxHold.Milliseconds()))
}

func (w *Worker) start(rw http.ResponseWriter, r0 *http.Request, o *order) {
	if h := w.held; h != nil && h.body == nil && strings.HasPrefix(o.Task, h.prefix) {
		h.body = o
		w.site.Record("start held up task=%s attempt=%d worker=%s token=%d", o.Task, o.Attempt, w.ID, o.Token)
		w.mu.Unlock()
		<-r0.Context().Done() // it gets no answer
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if r := w.runs[o.Task]; r != nil && r.Attempt == o.Attempt {
		reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	}
	switch {
	case o.Attempt <= w.highest[o.Task] || w.runs[o.Task] != nil:
		w.extend(o.Deadline)
		w.refuse(rw, "old")
		return
	case o.Deadline < w.clock():
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	w.runs[o.Task] = &Run{Task: o.Task, Attempt: o.Attempt, since: time.Now(), work: w.site.Work(o.Task)}
	w.site.Record("start task=%s attempt=%d token=%d worker=%s born=%d", o.Task, o.Attempt, o.Token, w.ID, w.born)
	w.site.began(w, w.runs[o.Task])
	if w.site.Need != nil {
		w.checkCapacity(o.Task)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *Worker) stop(rw http.ResponseWriter, _ *http.Request, o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.Attempt == o.Attempt {
		w.end(r, "stopped")
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *Worker) pace(rw http.ResponseWriter, _ *http.Request, _ *order) {
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(r *Run, how string) {
	delete(w.runs, r.Task)
	w.site.over(r)
	w.highest[r.Task] = max(w.highest[r.Task], r.Attempt)
	w.count++
	w.ended = append(w.ended, endedRow{w.count, r.Task, r.Attempt, how})
	w.site.Record("end task=%s attempt=%d worker=%s how=%s", r.Task, r.Attempt, w.ID, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// watch ends the runs whose work is done or whose lease has expired.
func (w *Worker) watch() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.crashed {
			w.mu.Unlock()
			return
		}
		for _, r := range w.runs {
			switch {
			case w.clock() > w.lease:
				w.end(r, "lapsed")
			case r.work > 0 && time.Since(r.since) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	w.extend(o.Deadline)
	if o.Wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.crashed {
			return
		}
	}
	running := make([][]any, 0, len(w.runs))
	for _, r := range w.runs {
		percent := 100
		if r.work > 0 {
			percent = min(99, int(100*time.Since(r.since)/r.work))
		}
		running = append(running, []any{r.Task, r.Attempt, "", percent, 0})
	}
	ended := make([][]any, 0, len(w.ended))
	for _, e := range w.ended[:min(len(w.ended), maxPage)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "finished": ended})
}

// Machines is the platform's list of machines.
type Machines struct {
	Address string

	mu   sync.Mutex
	list map[string]map[string]any
}

func newMachines(service, zone string) (*Machines, error) {
	m := &Machines{list: make(map[string]map[string]any)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		all := make([]map[string]any, 0, len(m.list))
		for _, e := range m.list {
			e["pool"], e["zone"] = service, zone
			all = append(all, e)
		}
		reply(w, http.StatusOK, map[string]any{"machines": all, "nextToken": nil})
	})
	address, err := serve(mux)
	m.Address = address
	return m, err
}

func (m *Machines) set(machine, state, worker string, processors int, rack string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list[machine] = map[string]any{"machine": machine, "state": state, "id": worker, "labels": []string{"a", rack},
		"capacity": map[string]any{"cpu": processors, "memMb": 64000, "gpus": 0}}
}

func (w *Worker) String() string { return fmt.Sprintf("%s on %s", w.ID, w.Machine) }
