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
	startPatience = 20 * time.Second
	endPatience   = 5 * time.Second
	ticksPerSec   = 100 // of processor time in /proc
	pageBytes     = 1 << 10
	workerPorts   = 100
	entryPorts    = 500
	host          = "127.0.0.1"
)

// site is a set of processes: stand-ins of the platform, and instances.
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

// start runs the program with arguments until end.
func (s *site) start(args ...string) (*exec.Cmd, error) {
	c := exec.Command(s.program, args...)
	if err := c.Start(); err != nil {
		return nil, err
	}
	s.started = append(s.started, c)
	return c, nil
}

// end ends the processes that this site started.
func (s *site) end() {
	for i := len(s.started) - 1; i >= 0; i-- {
		_ = s.started[i].Process.Signal(os.Interrupt)
	}
	for _, c := range s.started {
		timer := time.AfterFunc(endPatience, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		timer.Stop()
	}
	os.RemoveAll(s.dir)
}

// boot starts the stand-ins, a number of workers and instances of one zone,
// and lists others that don't run.
func (s *site) boot(workers, instances, listed int) error {
	if _, err := s.start("standin", "log", "--listen", s.address(1)); err != nil {
		return err
	}
	if _, err := s.start("standin", "list", "--listen", s.address(2)); err != nil {
		return err
	}
	if err := s.await(2, "/instances"); err != nil {
		return err
	}
	for i := range workers {
		_, err := s.start("standin", "worker", "--id", fmt.Sprintf("w%04d", i), "--zone", availabilityZone,
			"--rack", fmt.Sprintf("r%02d", i/11), "--listen", s.address(workerPorts+i), "--list", s.address(2))
		if err != nil {
			return err
		}
	}
	if err := s.pad(listed); err != nil {
		return err
	}
	for i := range instances {
		if err := s.bootEntry(i); err != nil {
			return err
		}
	}
	for i := range instances {
		if err := s.await(entryPorts+3*i+2, "/healthz"); err != nil {
			return err
		}
	}
	return nil
}

// pad lists workers of another zone.
func (s *site) pad(n int) error {
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

func (s *site) bootEntry(i int) error {
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

// await waits until a server answers.
func (s *site) await(port int, path string) error {
	for end := time.Now().Add(startPatience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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
	text, err := io.ReadAll(io.LimitReader(r.Body, pageBytes))
	if err == nil && r.StatusCode >= http.StatusBadRequest {
		err = fault.New(fault.Invalid, "%s: %s", path, text)
	}
	return err
}

// apply publishes a manifest with a number of services.
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

// submit queues tasks that run for a while.
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

// reading is what the system says of a process at one moment.
type reading struct {
	resident float64 // bytes
	spent    float64 // seconds of processor time
	moved    float64 // bytes read and written by system calls, sockets included
}

func read(pid int) (reading, error) {
	var r reading
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
	r.moved = field(moved, "rchar:") + field(moved, "wchar:")
	const user, system = 11, 12 // of the fields after the name
	_, after, _ := strings.Cut(string(stat), ") ")
	words := strings.Fields(after)
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return r, err
		}
		r.spent += ticks / ticksPerSec
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

// cost is what an instance spent over a window, the mean of all instances.
type cost struct {
	resident  float64 // MiB
	processor float64 // % of a core
	bytes     float64 // a second, both directions
}

func (s *site) cost(window time.Duration) (cost, error) {
	before, err := s.readAll()
	if err != nil {
		return cost{}, err
	}
	began := time.Now()
	time.Sleep(window)
	after, err := s.readAll()
	if err != nil {
		return cost{}, err
	}
	span := time.Since(began).Seconds()
	var c cost
	n := float64(len(after))
	for i := range after {
		c.resident += after[i].resident / (1 << 20) / n
		c.processor += 100 * (after[i].spent - before[i].spent) / span / n
		c.bytes += (after[i].moved - before[i].moved) / span / n
	}
	return c, nil
}

func (s *site) readAll() ([]reading, error) {
	var all []reading
	for _, c := range s.entries {
		r, err := read(c.Process.Pid)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
