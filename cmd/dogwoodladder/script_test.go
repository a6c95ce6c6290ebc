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
	portRange      = 18_000 // ends below the ports that the system gives to outgoing connections
	pollEvery      = 100 * time.Millisecond
	pollLimit      = 40 * time.Second // only for a run that is going to fail
	stopLimit      = 20 * time.Second
	commandTime    = 15 * time.Second
	dumpTime       = time.Second // for instances to write their dumps, after a failure only
)

// TestScript runs the built binary as separate processes over loopback, as
// testdata/script/*.txtar say.
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
			return ports.set(e)
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

// ports finds free ports for the scripts, which run side by side.
type ports struct {
	mu   sync.Mutex
	next int
}

func newPorts() *ports {
	return &ports{next: os.Getpid() * portsPerScript}
}

// set sets PORT1, PORT2 and so on.
func (p *ports) set(e *testscript.Env) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := 1; n <= portsPerScript; n++ {
		port, err := p.free()
		if err != nil {
			return err
		}
		e.Setenv("PORT"+strconv.Itoa(n), strconv.Itoa(port))
	}
	return nil
}

func (p *ports) free() (int, error) {
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

// start NAME COMMAND ARG... runs a command in the background, with its output
// in NAME.log, and ends it with the script whatever becomes of that.
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
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	})
}

// terminate NAME sends SIGTERM and fails unless the process ends well.
func terminate(ts *testscript.TestScript, neg bool, args []string) {
	p := named(ts, neg, args)
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	p.await(ts)
}

// crash NAME kills a process, which gets no chance to do anything.
func crash(ts *testscript.TestScript, neg bool, args []string) {
	p := named(ts, neg, args)
	ts.Check(p.cmd.Process.Kill())
	<-p.ended
}

// await NAME fails unless the process ends well by itself.
func await(ts *testscript.TestScript, neg bool, args []string) {
	named(ts, neg, args).await(ts)
}

func named(ts *testscript.TestScript, neg bool, args []string) *process {
	if neg || len(args) != 1 || processes(ts)[args[0]] == nil {
		ts.Fatalf("want the NAME of a started process")
	}
	return processes(ts)[args[0]]
}

func (p *process) await(ts *testscript.TestScript) {
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		ts.Fatalf("%v didn't end\n%s", p.cmd.Args, ts.ReadFile(p.output))
	}
	if p.err != nil {
		ts.Fatalf("%v: %v\n%s", p.cmd.Args, p.err, ts.ReadFile(p.output))
	}
}

// expand FILE... replaces variables in files.
func expand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// until PATTERN COMMAND ARG... repeats a command until it succeeds and its
// output matches. The repetition is a poll of a condition, never a fixed wait.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN COMMAND [ARG...]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0]) // as the built-in commands do
	ts.Check(err)
	var out []byte
	for end := time.Now().Add(pollLimit); time.Now().Before(end); time.Sleep(pollEvery) {
		out, err = run(ts, args[1:])
		if err == nil && pattern.Match(out) {
			return
		}
	}
	ts.Logf("%s", tails(ts))
	ts.Fatalf("no %q, last: %v\n%s", pattern, err, out)
}

func run(ts *testscript.TestScript, args []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTime)
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

// tails returns the last lines that each process wrote, with a dump of the
// state of each instance.
func tails(ts *testscript.TestScript) string {
	const most = 8000
	for _, p := range processes(ts) {
		if p.cmd.Args[1] == "serve" {
			_ = p.cmd.Process.Signal(syscall.SIGUSR1) // it may have ended
		}
	}
	time.Sleep(dumpTime)
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(processes(ts))) {
		text := ts.ReadFile(processes(ts)[name].output)
		fmt.Fprintf(&b, "-- %s\n%s\n", name, text[max(0, len(text)-most):])
	}
	return b.String()
}
