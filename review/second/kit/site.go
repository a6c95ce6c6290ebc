//go:build review

package kit

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

// Record writes what is sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Event adds what a worker saw.
func (r *Record) Event(e Event) {
	r.Printf("%s %s %s attempt %d %s", e.Worker, e.What, e.Task, e.Attempt, e.How)
}

// Entry is one process of the project's program.
type Entry struct {
	Name, Front, Ready string
	settings, log      string
	cmd                *exec.Cmd
	exited             chan struct{}
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// NewEntry writes the settings of an entry. Extra lines come last.
func NewEntry(dir, name, zone, store string, extra ...string) (*Entry, error) {
	e := &Entry{Name: name, settings: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log")}
	e.Front = fmt.Sprintf("127.0.0.1:%d", freePort())
	e.Ready = fmt.Sprintf("127.0.0.1:%d", freePort())
	inner := freePort()
	lines := []string{
		"nodeName=" + name, "role=entry", "machineClass=edge", "serves=edge", "ip=127.0.0.1", "zone=" + zone, "region=coast",
		"listen.front=" + e.Front, "listen.ready=" + e.Ready, fmt.Sprintf("portRange=%d,%d", inner, inner),
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "heartbeatMs=1100", "commandMode=rpc",
		"bounds.contactMs=3000", "bounds.configApplyMs=2000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.maxHoldMs=10000",
		"bounds.stopTimeoutMs=400", "bounds.gangTimeoutMs=3000", "bounds.paceMs=100", "bounds.fencing=false",
		"platform.address=" + store, "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000", "platform.appendMs=2.0",
		fmt.Sprintf("platform.recordBytes=%d", RecordBytes), fmt.Sprintf("platform.callBytes=%d", CallBytes), "platform.keep_s=300",
	}
	return e, os.WriteFile(e.settings, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o644)
}

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/dogwoodladder", "entry")
	e.cmd.Env = append(os.Environ(), "DOGWOODLADDER_NODE_FILE="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.exited = exited
	go func() {
		_ = e.cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (e *Entry) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (e *Entry) Kill() {
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}

// Running reports whether the process hasn't ended.
func (e *Entry) Running() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// IsReady reports whether the process answers the platform's probe with 200.
func (e *Entry) IsReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + e.Ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Log returns what the process has written.
func (e *Entry) Log() string {
	data, _ := os.ReadFile(e.log)
	return string(data)
}

// AwaitReady waits until all entries are ready.
func AwaitReady(entries []*Entry, timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range entries {
			if e.IsReady() {
				ready++
			}
		}
		if ready == len(entries) {
			return true
		}
	}
	return false
}

// Host is the host of all queues.
const Host = "yards.example"

// Call sends a client's request to an entry. Status is zero without a complete answer.
func Call(e *Entry, method, path string, body any, timeout time.Duration) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+e.Front+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, strings.TrimSpace(string(text))
}

// Submit hands a job in as the pages tell clients to: again after no answer, 502 or 504.
func Submit(rec *Record, entries []*Entry, path string, job any) bool {
	for i := 0; i < 8; i++ {
		e := entries[i%len(entries)]
		status, answer := Call(e, http.MethodPost, path, job, 3*time.Second)
		rec.Printf("client POST %s at %s: %d %s", path, e.Name, status, answer)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks for a job's state.
func State(rec *Record, e *Entry, path string) string {
	status, answer := Call(e, http.MethodGet, path, nil, 3*time.Second)
	rec.Printf("client GET %s at %s: %d %s", path, e.Name, status, answer)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	return body.State
}

// Queue is a route of the configuration.
type Queue struct {
	Name, Prefix, Service string
	Priority, MaxAttempts int
}

// Configure publishes a configuration.
func Configure(s *Store, version int, queues ...Queue) {
	var routes []map[string]any
	services := map[string]bool{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.Name, "host": Host, "pathPrefix": q.Prefix, "service": q.Service,
			"priority": q.Priority, "maxAttempts": q.MaxAttempts, "stretch": 2, "sloMs": 1000, "timeoutMs": 3000})
		services[q.Service] = true
	}
	var list []map[string]any
	for name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConns": 64, "admissionCheck": false})
	}
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 32768}})
	s.Put("keyed.op", "config", data)
}

// Fatal reports that a case couldn't run.
func Fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}
