//go:build review

package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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
	token   uint64
	lease   int64 // on the worker's clock, milliseconds
	runs    map[string]*Run
	highest map[string]uint64 // highest attempt that has ended or was stopped, by task
	ended   []endedRow
	count   uint64
	changed chan struct{} // closed when a run ends
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Machine: machine, Address: l.Addr().String(), Processors: processors, site: s, started: time.Now(),
		runs: make(map[string]*Run), highest: make(map[string]uint64), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.guard(w.start))
	mux.HandleFunc("POST /api/run-stop", w.guard(w.stop))
	mux.HandleFunc("POST /api/hold", w.guard(w.hold))
	mux.HandleFunc("POST /api/pace", w.guard(w.pace))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", id) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.watch()
	entry, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": w.Address, "zone": s.Zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"machine": machine, "labels": []string{"a", rack}, "clockMs": w.clock(), "seq": 1,
		"capacity": map[string]any{"cpu": processors, "memMb": 64000, "gpus": 0},
	})
	s.Machines.set(machine, "up", id, processors, rack)
	s.Store.Put("keyed.servers", id, entry)
	return w, nil
}

// Crash ends a worker at once: its connections are reset, and all that ran on it is gone. Its
// entry stays until three heartbeats have been missed.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.crashed = true
	lost := len(w.runs)
	w.runs = make(map[string]*Run)
	w.mu.Unlock()
	_ = w.server.Close()
	w.site.Machines.set(w.Machine, "down", "", w.Processors, "")
	w.site.Record("crash worker=%s machine=%s runs=%d", w.ID, w.Machine, lost)
	time.AfterFunc(3*heartbeat, func() { w.site.Store.Put("keyed.servers", w.ID, nil) })
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
		w.token = o.Token
		next(rw, r, &o)
	}
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

func (w *Worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+w.site.MaxHold.Milliseconds()))
}

func (w *Worker) start(rw http.ResponseWriter, _ *http.Request, o *order) {
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
	w.site.Record("start task=%s attempt=%d worker=%s machine=%s up_ms=%d", o.Task, o.Attempt, w.ID, w.Machine, w.clock())
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
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "finished": ended})
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
