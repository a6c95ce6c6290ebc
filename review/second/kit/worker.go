//go:build review

package kit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Need is what a task takes.
type Need struct{ CPU, Mem int64 }

// Plan is what a run will do.
type Plan struct {
	Need    Need
	Length  time.Duration // of its work; zero for a task that lasts until it is stopped
	Outcome string        // how it ends after Length; "done" if empty
	Tail    int64         // fifth entry of its row
	Saves   bool          // it writes checkpoints
	AtWork  time.Duration // a task that lasts is at work that long after its start
}

// Event is a start or an end of a run, as a worker sees it.
type Event struct {
	At      time.Time
	Worker  string
	What    string // "start", "end" or "refused"
	Task    string
	Attempt uint64
	How     string // outcome of an end, reason of a refusal
	Token   uint64
}

// WorkerOptions configure a worker.
type WorkerOptions struct {
	ID, Service, Zone, Rack string
	Machine                 string // that of its ID if empty
	CPU, Mem                int64
	MaxHold, Stop, Save     time.Duration
	Beat                    time.Duration
	Plan                    func(task string, attempt uint64, spec, checkpoint string) Plan
	Observe                 func(Event)
	Row                     func(task, spec string, beside []string, tail int64) int64 // fifth entry of a row; nil for that of the plan
	Label                   string                                                     // its kind; kind-a if empty
}

type run struct {
	task     string
	spec     string
	attempt  uint64
	plan     Plan
	start    time.Time
	saved    string
	stopping bool
	pace     int
}

type finished struct {
	n       uint64
	task    string
	attempt uint64
	how     string
	saved   string
}

// Worker is a stand-in for a worker of the platform.
type Worker struct {
	o       WorkerOptions
	Address string
	store   *Store
	server  *http.Server

	mu       sync.Mutex
	born     time.Time
	state    string
	seq      int
	token    uint64
	lease    time.Time
	runs     map[string]*run
	highest  map[string]uint64
	ends     []finished
	count    uint64
	changed  chan struct{}
	done     chan struct{}
	isClosed bool
}

// NewWorker starts a worker and registers it in the store.
func NewWorker(s *Store, o WorkerOptions) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{o: o, Address: l.Addr().String(), store: s, born: time.Now().Add(-time.Minute), state: "ready",
		runs: make(map[string]*run), highest: make(map[string]uint64), changed: make(chan struct{}), done: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.watchLease()
	return w, nil
}

// Close takes the worker away: all that it runs ends, and its entry is removed.
func (w *Worker) Close() {
	w.Crash()
	w.store.Put("keyed.servers", w.o.ID, nil)
}

// Crash takes the worker down: all that it runs ends. Its entry is removed after three
// intervals of silence.
func (w *Worker) Crash() {
	w.mu.Lock()
	if w.isClosed {
		w.mu.Unlock()
		return
	}
	w.isClosed = true
	for _, r := range w.runs {
		w.o.Observe(Event{At: time.Now(), Worker: w.o.ID, What: "end", Task: r.task, Attempt: r.attempt, How: "gone"})
	}
	w.runs = make(map[string]*run)
	close(w.done)
	w.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(3*w.o.Beat, func() { w.store.Put("keyed.servers", w.o.ID, nil) })
}

// Drain announces that the worker leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.report()
}

func (w *Worker) beat() {
	for {
		w.report()
		select {
		case <-w.done:
			return
		case <-time.After(w.o.Beat):
		}
	}
}

func (w *Worker) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		return
	}
	w.seq++
	entry := map[string]any{"service": w.o.Service, "address": w.Address, "zone": w.o.Zone, "version": "v1", "slots": 8,
		"state": w.state, "coldRemainingMs": 0, "seq": w.seq, "machine": w.machine(),
		"capacity": map[string]any{"cpu": w.o.CPU, "memMb": w.o.Mem, "gpus": 0}, "labels": []string{w.o.Label, w.o.Rack}, "clockMs": w.clock()}
	if w.state == "draining" {
		entry["remainingMs"] = 2000
	}
	data, _ := json.Marshal(entry)
	w.store.Put("keyed.servers", w.o.ID, data)
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *Worker) watchLease() {
	for {
		select {
		case <-w.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		now := time.Now()
		if now.After(w.lease) {
			for _, r := range w.sorted() {
				w.end(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if r.plan.Saves && r.progressed(now) >= w.o.Save {
				r.saved = checkpoint(r, r.progressed(now)/w.o.Save)
			}
		}
		w.mu.Unlock()
	}
}

// checkpoint returns a checkpoint of a run, as long as that in the pages.
func checkpoint(r *run, n time.Duration) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task))
	return fmt.Sprintf("%08x%08x", uint32(r.attempt)<<16|uint32(n), h.Sum32())
}

func (r *run) progressed(now time.Time) time.Duration { return now.Sub(r.start) }

func (w *Worker) sorted() []*run {
	var runs []*run
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(r *run, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.count++
	w.ends = append(w.ends, finished{w.count, r.task, r.attempt, how, r.saved})
	w.o.Observe(Event{At: time.Now(), Worker: w.o.ID, What: "end", Task: r.task, Attempt: r.attempt, How: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Attempt    uint64 `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   uint64 `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.o.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Token < w.token {
		w.refuse(out, o, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/api/hold":
		w.hold(out, r, o)
		return
	case "/api/run-start":
		if reason := w.start(o); reason != "" {
			w.refuse(out, o, reason)
			return
		}
	case "/api/run-stop":
		w.stop(o)
	case "/api/pace":
		if run := w.runs[o.Task]; run != nil && run.attempt == o.Attempt {
			run.pace = o.Percent
		}
	default:
		out.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprintf(out, `{"clockMs":%d}`, w.clock())
}

func (w *Worker) refuse(out http.ResponseWriter, o order, reason string) {
	w.o.Observe(Event{At: time.Now(), Worker: w.o.ID, What: "refused", Task: o.Task, Attempt: o.Attempt, How: reason, Token: o.Token})
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(http.StatusConflict)
	fmt.Fprintf(out, `{"clockMs":%d,"reason":%q}`, w.clock(), reason)
}

// extend extends the lease to a time on the worker's clock.
func (w *Worker) extend(ms int64) {
	if ms <= 0 {
		return
	}
	until := w.born.Add(time.Duration(ms) * time.Millisecond)
	if latest := time.Now().Add(w.o.MaxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) start(o order) string {
	if o.Deadline < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	r := &run{task: o.Task, spec: o.Spec, attempt: o.Attempt, start: time.Now(), saved: o.Checkpoint, pace: 100,
		plan: w.o.Plan(o.Task, o.Attempt, o.Spec, o.Checkpoint)}
	w.runs[o.Task] = r
	w.o.Observe(Event{At: r.start, Worker: w.o.ID, What: "start", Task: o.Task, Attempt: o.Attempt, Token: o.Token})
	if r.plan.Length > 0 {
		how := r.plan.Outcome
		if how == "" {
			how = "done"
		}
		time.AfterFunc(r.plan.Length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.isClosed && !r.stopping {
				w.end(r, how)
			}
		})
	}
	return ""
}

func (w *Worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	r := w.runs[o.Task]
	if r == nil || r.attempt > o.Attempt || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(w.o.Stop/2, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.isClosed {
			if r.plan.Saves {
				r.saved = checkpoint(r, r.progressed(time.Now())/time.Millisecond)
			}
			w.end(r, "stopped")
		}
	})
}

// percent returns the progress in whole percent.
func (r *run) percent(now time.Time) int {
	if r.plan.Length > 0 && r.plan.Outcome == "" {
		return min(99, int(100*now.Sub(r.start)/r.plan.Length))
	}
	return min(100, int(100*now.Sub(r.start)/max(time.Millisecond, r.plan.AtWork)))
}

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.Deadline)
	for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	if o.Wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		case <-w.done:
		}
		w.mu.Lock()
		if w.isClosed {
			panic(http.ErrAbortHandler)
		}
	}
	now := time.Now()
	running := [][]any{}
	for _, r := range w.sorted() {
		tail := r.plan.Tail
		if w.o.Row != nil {
			tail = w.o.Row(r.task, r.spec, w.specs(), tail)
		}
		running = append(running, []any{r.task, r.attempt, r.saved, r.percent(now), tail})
	}
	ended := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.n, e.task, e.attempt, e.how, e.saved})
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"clockMs": w.clock(), "running": running, "finished": ended})
}

// specs returns the specs of all runs. The caller holds the mutex.
func (w *Worker) specs() []string {
	var all []string
	for _, r := range w.sorted() {
		all = append(all, r.spec)
	}
	return all
}

// Used returns what the worker's runs take.
func (w *Worker) Used() Need {
	w.mu.Lock()
	defer w.mu.Unlock()
	var n Need
	for _, r := range w.runs {
		n.CPU += r.plan.Need.CPU
		n.Mem += r.plan.Need.Mem
	}
	return n
}

// Unseen returns how many ends the worker lists.
func (w *Worker) Unseen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ends)
}

// Fail ends a run as failed by its own fault. It reports whether there was such a run.
func (w *Worker) Fail(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r == nil || r.stopping {
		return false
	}
	w.end(r, "failed")
	return true
}

// Running returns the tasks that run and aren't being stopped.
func (w *Worker) Running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, r := range w.runs {
		if !r.stopping {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// JobOf returns the ID of a task's job.
func JobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// machine returns the name of the worker's machine.
func (w *Worker) machine() string { return cmp.Or(w.o.Machine, "m-"+w.o.ID) }

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.o.ID }
