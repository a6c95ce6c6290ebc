//go:build review

package kit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Instance is an entry instance: a process of the program that the deploy file names.
type Instance struct {
	Name  string
	Front string // address for clients
	Door  *Door

	record   *Record
	program  string
	settings string
	probe    string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ready   atomic.Bool
	over    atomic.Bool
}

// Site is the deployment of a case.
type Site struct {
	Program string // path of the program
	Dir     string // temporary folder
	Record  *Record
	Store   *Store
	Cloud   *Cloud // nil without machines' interface
	Zones   []string

	Instances []*Instance
}

// freePorts returns unused ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Start starts n instances, spread over the zones.
func (s *Site) Start(n int) error {
	base := 64 + os.Getpid()%150
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", base, os.Getpid()/150%250, 10+i)
		ports, err := freePorts(ip, 4)
		if err != nil {
			return err
		}
		door, err := s.Store.Open()
		if err != nil {
			return err
		}
		zone := s.Zones[i%len(s.Zones)]
		in := &Instance{
			Name: fmt.Sprintf("edge-%s-%d", zone, i/len(s.Zones)+1), Door: door, record: s.Record, program: s.Program,
			Front: fmt.Sprintf("%s:%d", ip, ports[0]), probe: fmt.Sprintf("%s:%d", ip, ports[1]),
		}
		in.settings = filepath.Join(s.Dir, in.Name+".conf")
		text := fmt.Sprintf("nodeName=%s\nrole=entry\nmachineClass=edge\nserves=edge\nip=%s\nzone=%s\nregion=north\n", in.Name, ip, zone)
		for _, z := range s.Zones {
			text += fmt.Sprintf("zones.%s=north\n", z)
		}
		text += fmt.Sprintf("listen.front=%s\nlisten.ready=%s\nlisten.control=%s:%d\nportRange=%d,%d\nseeds=\nbootstrap=true\n", in.Front, in.probe, ip, ports[2], ports[3], ports[3]+15)
		text += "limits.cpuShare=0.4\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\ndiscovery=platform\nentry=vip\nheartbeatMs=1100\n"
		text += "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\ncommandMode=rpc\n"
		text += "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.configApplyMs=2000\nbounds.maxHoldMs=10000\n"
		text += "bounds.stopTimeoutMs=200\nbounds.paceMs=100\nbounds.maintenanceS=2\nbounds.migrateS=1.5\nbounds.leaseMs=3000\nbounds.fencing=false\n"
		text += fmt.Sprintf("platform.address=%s\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\nplatform.parts=12\nplatform.appendMs=2.0\n", door.Address)
		text += "platform.recordBytes=262144\nplatform.callBytes=2097152\nplatform.keep_s=300\nplatform.partMb=200\n"
		if s.Cloud != nil {
			text += fmt.Sprintf("cloudApi.address=%s\ncloudApi.ratePerS=60.0\ncloudApi.dutyPerS=60.0\n", s.Cloud.Address)
		}
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if in.log, err = os.Create(filepath.Join(s.Dir, in.Name+".log")); err != nil {
			return err
		}
		s.Instances = append(s.Instances, in)
		if err := in.start(); err != nil {
			return err
		}
		go in.watchReady()
	}
	return nil
}

// start starts the process, and starts it again whenever it ends. The caller holds no lock.
func (in *Instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := exec.Command(in.program, "entry")
	p.Env = []string{"DOGWOODLADDER_NODE_FILE=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.Stdout, p.Stderr = in.log, in.log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	in.process = p
	exited := make(chan struct{})
	in.exited = exited
	in.record.Printf("%s starts as process %d", in.Name, p.Process.Pid)
	go func() {
		err := p.Wait()
		in.record.Printf("%s: process %d ended: %v", in.Name, p.Process.Pid, err)
		close(exited)
		if in.over.Load() {
			return
		}
		time.Sleep(500 * time.Millisecond)
		if !in.over.Load() {
			_ = in.start()
		}
	}()
	return nil
}

// Kill kills the process. It is started again half a second later.
func (in *Instance) Kill() { in.signal(syscall.SIGKILL) }

// signal sends a signal to the process.
func (in *Instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.record.Printf("%s gets %v", in.Name, s)
	_ = in.process.Process.Signal(s)
}

// Ready reports whether the instance has answered its last readiness probe with 200.
func (in *Instance) Ready() bool { return in.ready.Load() }

func (in *Instance) watchReady() {
	client := &http.Client{Timeout: time.Second}
	for !in.over.Load() {
		r, err := client.Get("http://" + in.probe + "/api/readiness")
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		if in.ready.Swap(ok) != ok {
			in.record.Printf("%s ready: %v", in.Name, ok)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// ByName returns the instance of a name, nil if there is none.
func (s *Site) ByName(name string) *Instance {
	for _, in := range s.Instances {
		if in.Name == name {
			return in
		}
	}
	return nil
}

// ByDoor returns the instance of an access to the store, nil if there is none.
func (s *Site) ByDoor(d *Door) *Instance {
	for _, in := range s.Instances {
		if in.Door == d {
			return in
		}
	}
	return nil
}

// AwaitReady waits until all instances are ready.
func (s *Site) AwaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, in := range s.Instances {
			if in.Ready() {
				ready++
			}
		}
		if ready == len(s.Instances) {
			return true
		}
	}
	return false
}

// Stop ends all processes.
func (s *Site) Stop() {
	for _, in := range s.Instances {
		in.over.Store(true)
	}
	for _, in := range s.Instances {
		in.mu.Lock()
		_ = in.process.Process.Signal(syscall.SIGKILL)
		_ = in.process.Process.Signal(syscall.SIGCONT)
		exited := in.exited
		in.mu.Unlock()
		<-exited
		_ = in.log.Close()
	}
}
