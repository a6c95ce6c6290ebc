//go:build review

package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is a small deployment: the platform's stand-ins and the instances of the program.
type Site struct {
	Store    *Store
	Machines *Machines
	Service  string
	Zone     string
	MaxHold  time.Duration
	// Work tells how long a task works, zero for one that lasts.
	Work func(task string) time.Duration

	// Need tells the processors of a task; nil for no check of capacities. A start over a worker's
	// capacity counts later than Known after the worker shrank.
	Need  func(task string) int
	Known time.Duration

	dir     string
	started time.Time
	entries []*Entry

	mu           sync.Mutex
	record       *os.File
	runs         map[*Run]*Worker // that run at present
	twice        int
	overCapacity int // starts
}

// Entry is an instance of the program.
type Entry struct {
	Name, Front, Ready string
	cmd                *exec.Cmd
	done               chan struct{}
}

// New starts the platform. The record is written to path.
func New(path string) (*Site, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "site")
	if err != nil {
		return nil, err
	}
	s := &Site{Service: "price", Zone: "zone-1", MaxHold: 10 * time.Second, dir: dir, started: time.Now(), record: f, runs: make(map[*Run]*Worker)}
	if s.Store, err = NewStore(); err != nil {
		return nil, err
	}
	s.Machines, err = newMachines(s.Service, s.Zone)
	return s, err
}

// Record writes a line to the record.
func (s *Site) Record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// began notes that a run has begun, and whether its task runs elsewhere.
func (s *Site) began(w *Worker, r *Run) {
	s.mu.Lock()
	var other *Worker
	for o, at := range s.runs {
		if o.Task == r.Task && o != r {
			other = at
			s.twice++
		}
	}
	s.runs[r] = w
	s.mu.Unlock()
	if other != nil {
		s.Record("rule TWICE broken: task=%s runs on worker=%s born=%d and on worker=%s born=%d", r.Task, other.ID, other.born, w.ID, w.born)
	}
}

func (s *Site) over(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

func (s *Site) countOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overCapacity++
}

// OverCapacity returns how many starts brought a worker over its capacity.
func (s *Site) OverCapacity() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overCapacity
}

// Twice returns how many runs began while their task ran on another worker.
func (s *Site) Twice() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.twice
}

// Owner returns the instance that owns the cell by its metrics, nil if none does.
func (s *Site) Owner() *Entry {
	for _, e := range s.entries {
		host, _, _ := net.SplitHostPort(e.Front)
		client := &http.Client{Timeout: 300 * time.Millisecond}
		r, err := client.Get("http://" + host + ":9180/metrics")
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if bytes.Contains(body, []byte(`"owning": true`)) {
			return e
		}
	}
	return nil
}

// Entries returns all instances.
func (s *Site) Entries() []*Entry { return s.entries }

// Other returns an instance that isn't the given one.
func (s *Site) Other(e *Entry) *Entry {
	for _, o := range s.entries {
		if o != e {
			return o
		}
	}
	return nil
}

// Runs returns a worker on which a task of the job runs, nil if there is none.
func (s *Site) Runs(job string) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, w := range s.runs {
		if strings.HasPrefix(r.Task, job) {
			return w
		}
	}
	return nil
}

// Queue is a queue of the configuration.
type Queue struct {
	Name, Prefix string
	Priority     int
	Attempts     int
}

// Host is the host name of all queues.
const Host = "clerks.example"

// Configure publishes a configuration.
func (s *Site) Configure(version int, queues ...Queue) {
	routes := make([]map[string]any, 0, len(queues))
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.Name, "host": Host, "pathPrefix": q.Prefix, "kind": "unsafe", "timeoutMs": 3000,
			"sloMs": 1000, "priority": q.Priority, "service": s.Service, "maxAttempts": q.Attempts, "stretch": 2.0})
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "limits": map[string]any{"maxBodyBytes": 262144},
		"services": []map[string]any{{"name": s.Service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}}})
	s.Store.Put("keyed.op", "config", data)
}

// freePorts returns the first of n ports in a row that are free on an address.
func freePorts(ip string, n int) (int, error) {
	for first := 20000 + os.Getpid()%20000; first < 60000; first += n {
		var open []net.Listener
		for p := first; p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports on %s", n, ip)
}

// StartEntry starts an instance of the program with the command of the deploy file.
func (s *Site) StartEntry(program, name, ip string) (*Entry, error) {
	port, err := freePorts(ip, 19)
	if err != nil {
		return nil, err
	}
	e := &Entry{Name: name, Front: fmt.Sprintf("%s:%d", ip, port), Ready: fmt.Sprintf("%s:%d", ip, port+1), done: make(chan struct{})}
	lines := []string{
		"nodeName=" + name, "role=entry", "machineClass=edge", "serves=edge", "ip=" + ip, "zone=" + s.Zone, "region=r", "zones." + s.Zone + "=r",
		"listen.front=" + e.Front, "listen.ready=" + e.Ready, fmt.Sprintf("listen.control=%s:%d", ip, port+2), fmt.Sprintf("portRange=%d,%d", port+3, port+18),
		"bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"discovery=platform", "entry=vip", "heartbeatMs=1100", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6",
		"bounds.configApplyMs=2000", "bounds.maxHoldMs=10000", "bounds.stopTimeoutMs=400", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.fencing=false", "bounds.leaseMs=3000", "bounds.paceMs=100", "commandMode=rpc",
		"platform.address=" + s.Store.Address, "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000", "platform.parts=12",
		"platform.appendMs=2.0", "platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200",
		"cloudApi.address=" + s.Machines.Address, "cloudApi.ratePerS=60.0", "cloudApi.duties=", "cloudApi.dutyPerS=60.0",
	}
	file := filepath.Join(s.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(program, "entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "DOGWOODLADDER_NODE_FILE=" + file}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait()
		close(e.done)
	}()
	s.entries = append(s.entries, e)
	return e, nil
}

// Signal sends a signal to the instance.
func (e *Entry) Signal(sig syscall.Signal) { _ = e.cmd.Process.Signal(sig) }

// AwaitReady waits until all instances are ready.
func (s *Site) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			if r, err := http.Get("http://" + e.Ready + "/api/readiness"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, len(s.entries))
		}
	}
}

// Stop ends all instances.
func (s *Site) Stop() {
	for _, e := range s.entries {
		e.Signal(syscall.SIGCONT)
		e.Signal(syscall.SIGTERM)
	}
	for _, e := range s.entries {
		select {
		case <-e.done:
		case <-time.After(8 * time.Second):
			e.Signal(syscall.SIGKILL)
			<-e.done
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// Call sends a client's request to an instance and returns its status and body.
func (s *Site) Call(e *Entry, method, path string, body any) (int, map[string]any) {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	r, err := http.NewRequest(method, "http://"+e.Front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	r.Host = Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	a, err := client.Do(r)
	if err != nil {
		s.Record("client %s %s to=%s err=%v", method, path, e.Name, err)
		return 0, nil
	}
	defer a.Body.Close()
	answer, _ := io.ReadAll(a.Body)
	var fields map[string]any
	_ = json.Unmarshal(answer, &fields)
	s.Record("client %s %s to=%s status=%d answer=%s", method, path, e.Name, a.StatusCode, answer)
	return a.StatusCode, fields
}
