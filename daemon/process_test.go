package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Listeners of an instance.
const (
	caller = iota
	peers
	operator
	listeners
)

const (
	firstPort      = 11_000
	portRange      = 18_000 // ends below the ephemeral ports of outgoing connections
	portsPerSystem = 3 + listeners
	retryInterval  = 100 * time.Millisecond
	attemptTimeout = 5 * time.Second
	patience       = 15 * time.Second // reached only by a failing test
	mebibyte       = 1 << 20
)

const site = `
zones:
  - {name: a, capacity: {processors: 8, memory: 16GiB}}
groups:
  - {name: pricing, share: 60%}
services:
  - {name: quote, group: pricing, replicas: 1, need: {processors: 1, memory: 1GiB}, slots: 8, timeout: 2s}
`

// settings has a place for each port and for limits.
const settings = `
instance: a-1
zone: a
listen: {caller: 127.0.0.1:%d, peer: 127.0.0.1:%d, operator: 127.0.0.1:%d}
platform: {log: 127.0.0.1:%d, list: 127.0.0.1:%d}
%s
`

var (
	program   = sync.OnceValues(build)
	nextPort  = os.Getpid() * 100
	nextNonce atomic.Int64
)

func build() (string, error) {
	dir, err := os.MkdirTemp("", "dogwoodladder-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "dogwoodladder")
	out, err := exec.Command("go", "build", "-o", path, "../cmd/dogwoodladder").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// system is an instance with the platform's stand-ins and a worker, each a
// process of its own.
type system struct {
	t         *testing.T
	addresses [listeners]string
	pid       int
	ended     <-chan struct{}
	output    string
}

// startSystem returns once the instance answers on all listeners.
func startSystem(t *testing.T, limits string) *system {
	t.Helper()
	var ports [portsPerSystem]int
	for i := range ports {
		ports[i] = freePort(t)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "a-1.yaml")
	text := fmt.Sprintf(settings, ports[0], ports[1], ports[2], ports[3], ports[4], limits)
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	s := &system{t: t}
	for i := range s.addresses {
		s.addresses[i] = local(ports[i])
	}
	list := local(ports[4])
	s.start("log", "standin", "log", "--listen", local(ports[3]))
	s.start("list", "standin", "list", "--listen", list)
	s.until("instances", func() error {
		path, _ := program()
		return exec.Command(path, "standin", "instances", "--list", list).Run()
	})
	s.start("worker", "standin", "worker", "--id", "w1", "--zone", "a", "--rack", "r1", "--cores", "8", "--memory", "16384",
		"--listen", local(ports[5]), "--list", list)
	s.await(s.start("entry", "standin", "entry", "--id", "a-1", "--zone", "a", "--caller", s.addresses[caller],
		"--peer", s.addresses[peers], "--list", list))
	p := s.start("a-1", "serve", file)
	s.pid, s.ended, s.output = p.cmd.Process.Pid, p.ended, p.output
	s.until("apply", func() error { return s.post(operator, "/apply?wait=5s", site) })
	s.checkServes("in calm")
	if t.Failed() {
		t.FailNow()
	}
	return s
}

func local(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

func freePort(t *testing.T) int {
	t.Helper()
	for range portRange {
		port := firstPort + nextPort%portRange
		nextPort++
		if l, err := net.Listen("tcp", local(port)); err == nil {
			is.New(t).NoErr(l.Close())
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	output string
}

// start runs a command of the program until the test ends.
func (s *system) start(name string, args ...string) *process {
	s.t.Helper()
	is := is.New(s.t)
	path, err := program()
	is.NoErr(err)
	output, err := os.Create(filepath.Join(s.t.TempDir(), name+".log"))
	is.NoErr(err)
	defer output.Close()
	p := &process{cmd: exec.Command(path, args...), ended: make(chan struct{}), output: output.Name()}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	is.NoErr(p.cmd.Start())
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait()
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

func (s *system) await(p *process) {
	s.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		s.t.Fatalf("%v doesn't end", p.cmd.Args)
	}
}

// until repeats f until it succeeds.
func (s *system) until(name string, f func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(retryInterval) {
		if err = f(); err == nil {
			return
		}
	}
	s.t.Errorf("%s: %v", name, err)
}

// checkServes sends ordinary requests to each listener until one of each kind
// is answered.
func (s *system) checkServes(when string) {
	s.t.Helper()
	nonce := strconv.FormatInt(nextNonce.Add(1), 10)
	s.until("request "+when, func() error {
		return s.post(caller, "/services/quote/run?nonce="+nonce, string(make([]byte, 1000)))
	})
	s.until("forwarded request "+when, func() error { return s.get(peers, "/healthz") })
	s.until("link "+when, s.link)
	s.until("status "+when, func() error { return s.get(operator, "/status") })
	s.until("metrics "+when, func() error { return s.get(operator, "/debug/vars") })
	s.until("submission "+when, func() error {
		return s.post(operator, "/jobs", `{"tasks":[{"ID":"t`+nonce+`","Group":"pricing","Need":{"Processors":1000,"Memory":64}}]}`)
	})
}

func (s *system) get(listener int, path string) error {
	return s.do(http.MethodGet, listener, path, "")
}

func (s *system) post(listener int, path, body string) error {
	return s.do(http.MethodPost, listener, path, body)
}

// do sends a request on a connection of its own.
func (s *system) do(method string, listener int, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.addresses[listener]+path, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Close = true
	r.Header.Set("Dogwood-Author", "amina")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return err
}

// newHello returns the first frame of a link to the instance.
func newHello(id string) []byte {
	type hello struct {
		Version     uint   `cbor:"1,keyasint"`
		ID          string `cbor:"2,keyasint"`
		Zone        string `cbor:"3,keyasint"`
		Incarnation uint64 `cbor:"4,keyasint"`
		To          string `cbor:"5,keyasint"`
	}
	data, err := cbor.Marshal(map[int]hello{1: {1, id, "b", uint64(nextNonce.Add(1)), "a-1"}})
	if err != nil {
		panic(err) // the values are constant
	}
	return data
}

// link connects as another instance and waits for the answer to its hello.
func (s *system) link() error {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+s.addresses[peers]+"/peer", nil)
	if err != nil {
		return err
	}
	defer socket.CloseNow()
	if err := socket.Write(ctx, websocket.MessageBinary, newHello("b-1")); err != nil {
		return err
	}
	_, _, err = socket.Read(ctx)
	return err
}

// checkBounds checks that the instance lives and that its peak memory and its
// open files are within bounds.
func (s *system) checkBounds(maxResident int64, maxFiles int) {
	s.t.Helper()
	select {
	case <-s.ended:
		output, _ := os.ReadFile(s.output)
		s.t.Fatalf("the instance has ended:\n%s", output[max(0, len(output)-4000):])
	default:
	}
	resident, err := peakResident(s.pid)
	is.New(s.t).NoErr(err)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid))
	is.New(s.t).NoErr(err)
	s.t.Logf("peak resident %d MiB, open files %d", resident/mebibyte, len(files))
	if resident > maxResident {
		s.t.Errorf("peak resident memory of %d MiB, bound %d MiB", resident/mebibyte, maxResident/mebibyte)
	}
	if len(files) > maxFiles {
		s.t.Errorf("%d open files, bound %d", len(files), maxFiles)
	}
}

var peakLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

func peakResident(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	match := peakLine.FindSubmatch(status)
	if match == nil {
		return 0, errors.New("no peak in the process's status")
	}
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	return kilobytes << 10, err
}
