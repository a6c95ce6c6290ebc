package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	portsPerScript = 14
	firstPort      = 11_000
	portRange      = 18_000 // ends below the ephemeral ports of outgoing connections
	pollInterval   = 100 * time.Millisecond
	pollTimeout    = 40 * time.Second // reached only by a failing test
	stopTimeout    = 20 * time.Second
	commandTimeout = 15 * time.Second
	dumpWait       = time.Second // for instances to write their dumps after a failure
)

// TestScript runs the scripts testdata/script/*.txtar, which start the built
// binary as separate processes over loopback.
func TestScript(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "dogwoodladder"), ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ports := newPorts()
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Values[processesKey{}] = make(map[string]*process)
			return ports.setVariables(e)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     start,
			"terminate": terminate,
			"crash":     crash,
			"await":     await,
			"until":     until,
			"expand":    expand,
		},
		RequireUniqueNames: true,
	})
}

// ports assigns free ports to the scripts, which run in parallel.
type ports struct {
	mu   sync.Mutex
	next int
}

func newPorts() *ports {
	return &ports{next: os.Getpid() * portsPerScript}
}

// setVariables sets the script's variables PORT1, PORT2 and so on.
func (p *ports) setVariables(e *testscript.Env) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := 1; n <= portsPerScript; n++ {
		port, err := p.nextFree()
		if err != nil {
			return err
		}
		e.Setenv("PORT"+strconv.Itoa(n), strconv.Itoa(port))
	}
	return nil
}

func (p *ports) nextFree() (int, error) {
	for range portRange {
		port := firstPort + p.next%portRange
		p.next++
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, errors.New("no free port")
}

type processesKey struct{}

// process is a command that runs until it is stopped.
type process struct {
	cmd    *exec.Cmd
	output string
	ended  chan struct{}
	err    error // once ended
}

func processes(ts *testscript.TestScript) map[string]*process {
	return ts.Value(processesKey{}).(map[string]*process)
}

// start implements "start NAME COMMAND [ARG...]": it runs a command in the
// background with its output in NAME.log, and kills it when the script ends.
func start(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME COMMAND [ARG...]")
	}
	name := args[0]
	output := ts.MkAbs(name + ".log")
	file, err := os.Create(output)
	ts.Check(err)
	defer file.Close()
	p := &process{cmd: command(ts, context.Background(), args[1:]), output: output, ended: make(chan struct{})}
	p.cmd.Stdout = file
	p.cmd.Stderr = file
	ts.Check(p.cmd.Start())
	go func() {
		defer close(p.ended)
		p.err = p.cmd.Wait()
	}()
	processes(ts)[name] = p
	ts.Defer(func() {
		_ = p.cmd.Process.Kill() // fails if the process has ended already
		<-p.ended
	})
}

// terminate implements "terminate NAME": it sends SIGTERM and fails unless the
// process exits with status 0.
func terminate(ts *testscript.TestScript, neg bool, args []string) {
	p := namedProcess(ts, neg, args)
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	p.awaitSuccess(ts)
}

// crash implements "crash NAME": it kills a process with SIGKILL.
func crash(ts *testscript.TestScript, neg bool, args []string) {
	p := namedProcess(ts, neg, args)
	ts.Check(p.cmd.Process.Kill())
	<-p.ended
}

// await implements "await NAME": it waits for a process and fails unless it
// exits with status 0.
func await(ts *testscript.TestScript, neg bool, args []string) {
	namedProcess(ts, neg, args).awaitSuccess(ts)
}

func namedProcess(ts *testscript.TestScript, neg bool, args []string) *process {
	if neg || len(args) != 1 || processes(ts)[args[0]] == nil {
		ts.Fatalf("want the NAME of a started process")
	}
	return processes(ts)[args[0]]
}

func (p *process) awaitSuccess(ts *testscript.TestScript) {
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		ts.Fatalf("%v didn't end\n%s", p.cmd.Args, ts.ReadFile(p.output))
	}
	if p.err != nil {
		ts.Fatalf("%v: %v\n%s", p.cmd.Args, p.err, ts.ReadFile(p.output))
	}
}

// expand implements "expand FILE...": it expands the script's variables in files.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// until implements "until PATTERN COMMAND [ARG...]": it repeats a command until
// it succeeds and its output matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN COMMAND [ARG...]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0]) // same flag as testscript's stdout command
	ts.Check(err)
	var out []byte
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		out, err = run(ts, args[1:])
		if err == nil && pattern.Match(out) {
			return
		}
	}
	ts.Logf("%s", processTails(ts))
	ts.Fatalf("no %q, last: %v\n%s", pattern, err, out)
}

func run(ts *testscript.TestScript, args []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return command(ts, ctx, args).CombinedOutput()
}

func command(ts *testscript.TestScript, ctx context.Context, args []string) *exec.Cmd {
	name := args[0]
	if path := filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], name); isFile(path) {
		name = path
	}
	c := exec.CommandContext(ctx, name, args[1:]...)
	c.Dir = ts.MkAbs(".")
	return c
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// processTails returns the end of each process's output, after making each instance
// dump its state there.
func processTails(ts *testscript.TestScript) string {
	const most = 8000
	for _, p := range processes(ts) {
		if p.cmd.Args[1] == "serve" {
			_ = p.cmd.Process.Signal(syscall.SIGUSR1) // fails if the process has ended
		}
	}
	time.Sleep(dumpWait)
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(processes(ts))) {
		text := ts.ReadFile(processes(ts)[name].output)
		fmt.Fprintf(&b, "-- %s\n%s\n", name, text[max(0, len(text)-most):])
	}
	return b.String()
}
