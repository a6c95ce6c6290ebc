package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/daemon"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const (
	startTimeout  = 20 * time.Second
	stopTimeout   = 5 * time.Second
	ticksPerSec   = 100 // unit of processor time in /proc
	maxErrorBytes = 1 << 10
	workerPorts   = 100
	entryPorts    = 500
	host          = "127.0.0.1"
)

// site is a set of processes: instances and stand-ins of the platform.
type site struct {
	program string
	port    int
	dir     string
	started []*exec.Cmd
	entries []*exec.Cmd
}

func (b *Bench) newSite() (*site, error) {
	program := b.program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return nil, err
		}
		program = own
	}
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	return &site{program: program, port: b.port, dir: dir}, nil
}

func (s *site) address(port int) string {
	return fmt.Sprintf("%s:%d", host, s.port+port)
}

// start starts the program with arguments. It runs until stop.
func (s *site) start(args ...string) (*exec.Cmd, error) {
	c := exec.Command(s.program, args...)
	if err := c.Start(); err != nil {
		return nil, err
	}
	s.started = append(s.started, c)
	return c, nil
}

// stop interrupts the processes that this site started, and kills those that
// don't exit within stopTimeout.
func (s *site) stop() {
	for i := len(s.started) - 1; i >= 0; i-- {
		_ = s.started[i].Process.Signal(os.Interrupt)
	}
	for _, c := range s.started {
		timer := time.AfterFunc(stopTimeout, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		timer.Stop()
	}
	os.RemoveAll(s.dir)
}

// startAll starts the stand-ins, and workers and instances of one zone. It also
// puts workers that don't run on the instance list.
func (s *site) startAll(workers, instances, listed int) error {
	if _, err := s.start("standin", "log", "--listen", s.address(1)); err != nil {
		return err
	}
	if _, err := s.start("standin", "list", "--listen", s.address(2)); err != nil {
		return err
	}
	if err := s.awaitServer(2, "/instances"); err != nil {
		return err
	}
	for i := range workers {
		_, err := s.start("standin", "worker", "--id", fmt.Sprintf("w%04d", i), "--zone", availabilityZone,
			"--rack", fmt.Sprintf("r%02d", i/11), "--listen", s.address(workerPorts+i), "--list", s.address(2))
		if err != nil {
			return err
		}
	}
	if err := s.listOtherWorkers(listed); err != nil {
		return err
	}
	for i := range instances {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	for i := range instances {
		if err := s.awaitServer(entryPorts+3*i+2, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// listOtherWorkers puts n workers of another zone on the instance list. They
// don't run.
func (s *site) listOtherWorkers(n int) error {
	list := client.NewRegistrar(s.address(2))
	for i := range n {
		in := provider.Instance{
			ID: fmt.Sprintf("other-%04d", i), Role: provider.RoleWorker, AvailabilityZone: "zone-b", Rack: "r00",
			Address: "10.0.1.1:7000", Status: provider.StatusLive, Capacity: workerCapacity, Slots: 8,
		}
		if err := list.Put(context.Background(), in); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startEntry(i int) error {
	id := fmt.Sprintf("e%02d", i)
	caller, peer, operator := s.address(entryPorts+3*i), s.address(entryPorts+3*i+1), s.address(entryPorts+3*i+2)
	text := fmt.Sprintf("instance: %s\nzone: %s\nlisten: {caller: %q, peer: %q, operator: %q}\nplatform: {log: %q, list: %q}\n",
		id, availabilityZone, caller, peer, operator, s.address(1), s.address(2))
	file := filepath.Join(s.dir, id+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	list := client.NewRegistrar(s.address(2))
	in := provider.Instance{
		ID: id, Role: provider.RoleEntry, AvailabilityZone: availabilityZone, Address: peer, Caller: caller, Status: provider.StatusLive,
	}
	if err := list.Put(context.Background(), in); err != nil {
		return err
	}
	c, err := s.start("serve", file)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, c)
	return nil
}

// awaitServer waits until a server answers an HTTP request.
func (s *site) awaitServer(port int, path string) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + s.address(port) + path)
		if err != nil {
			continue
		}
		r.Body.Close()
		return nil
	}
	return fault.New(fault.Unavailable, "nothing answers on %s", s.address(port))
}

func (s *site) post(path string, body []byte) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(entryPorts+2)+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Dogwood-Author", "capacity")
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	if err == nil && r.StatusCode >= http.StatusBadRequest {
		err = fault.New(fault.Invalid, "%s: %s", path, text)
	}
	return err
}

// apply publishes a manifest for a number of workers and services.
func (s *site) apply(workers, services, replicas int) error {
	var text strings.Builder
	fmt.Fprintf(&text, "zones:\n  - {name: %s, capacity: {processors: %d, memory: %dMiB}}\ngroups:\n", availabilityZone, 64*workers, 250*1024*workers)
	for i := range 40 {
		fmt.Fprintf(&text, "  - {name: group-%02d, share: 2.5%%}\n", i)
	}
	for i := range services {
		if i == 0 {
			text.WriteString("services:\n")
		}
		fmt.Fprintf(&text, "  - {name: service-%d, group: group-%02d, replicas: %d, need: {processors: 500m, memory: 1GiB}, slots: 8, timeout: 2s}\n", i, i%40, replicas)
	}
	return s.post("/apply?wait=10s", []byte(text.String()))
}

// submit submits a job of n tasks that run for d.
func (s *site) submit(serial, n int, d time.Duration) error {
	var body daemon.Submission
	for i := range n {
		body.Tasks = append(body.Tasks, record.Task{
			ID: fmt.Sprintf("job-%d-%d", serial, i), Job: fmt.Sprintf("job-%d", serial), Group: fmt.Sprintf("group-%02d", (serial+i)%40),
			Need: taskNeed, Command: fmt.Sprintf("%-64s", "sleep "+d.String()), Duration: d,
		})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.post("/jobs", data)
}

// processUsage is the resource usage of a process, as read from /proc.
type processUsage struct {
	resident         float64 // bytes
	processorSeconds float64 // user and system time
	ioBytes          float64 // bytes read and written by system calls, sockets included
}

func readUsage(pid int) (processUsage, error) {
	var r processUsage
	base := fmt.Sprintf("/proc/%d/", pid)
	status, err := os.ReadFile(base + "status")
	if err != nil {
		return r, err
	}
	stat, err := os.ReadFile(base + "stat")
	if err != nil {
		return r, err
	}
	moved, err := os.ReadFile(base + "io")
	if err != nil {
		return r, err
	}
	r.resident = field(status, "VmRSS:") * 1024
	r.ioBytes = field(moved, "rchar:") + field(moved, "wchar:")
	const user, system = 11, 12 // indices of the fields after the process name
	_, after, _ := strings.Cut(string(stat), ") ")
	words := strings.Fields(after)
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return r, err
		}
		r.processorSeconds += ticks / ticksPerSec
	}
	return r, nil
}

func field(text []byte, name string) float64 {
	for line := range strings.Lines(string(text)) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		v, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		return v
	}
	return 0
}

// cost is the resource usage of an instance over a window, as the mean of all
// instances.
type cost struct {
	resident  float64 // MiB
	processor float64 // % of a core
	bytes     float64 // per second, both directions
}

func (s *site) measureCost(window time.Duration) (cost, error) {
	before, err := s.readEntries()
	if err != nil {
		return cost{}, err
	}
	began := time.Now()
	time.Sleep(window)
	after, err := s.readEntries()
	if err != nil {
		return cost{}, err
	}
	span := time.Since(began).Seconds()
	var c cost
	n := float64(len(after))
	for i := range after {
		c.resident += after[i].resident / (1 << 20) / n
		c.processor += 100 * (after[i].processorSeconds - before[i].processorSeconds) / span / n
		c.bytes += (after[i].ioBytes - before[i].ioBytes) / span / n
	}
	return c, nil
}

func (s *site) readEntries() ([]processUsage, error) {
	var all []processUsage
	for _, c := range s.entries {
		r, err := readUsage(c.Process.Pid)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
