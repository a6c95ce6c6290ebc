//go:build review

package kit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Case is the frame of a script: a store, workers and entries, and the record.
type Case struct {
	Record  *Record
	Trouble bool
	Store   *Store
	Workers []*Worker
	Entries []*Entry
	Dir     string

	mu     sync.Mutex
	events []Event
	start  time.Time
}

// NewCase prepares a case. It ends all processes when it is interrupted.
func NewCase() *Case {
	if len(os.Args) != 2 {
		Fatal("usage: %s RECORD", filepath.Base(os.Args[0]))
	}
	rec, err := NewRecord(os.Args[1])
	if err != nil {
		Fatal("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		Fatal("temporary folder: %v", err)
	}
	s, err := NewStore()
	if err != nil {
		Fatal("store: %v", err)
	}
	c := &Case{Record: rec, Trouble: os.Getenv("TROUBLE") != "0", Store: s, Dir: dir, start: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		c.Exit(2, "interrupted")
	}()
	rec.Printf("trouble %v", c.Trouble)
	return c
}

// Observe records what a worker sees.
func (c *Case) Observe(e Event) {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	c.Record.Event(e)
}

// Events returns all that the workers saw so far.
func (c *Case) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Event(nil), c.events...)
}

// Since returns the time from the start of the case to t.
func (c *Case) Since(t time.Time) float64 { return t.Sub(c.start).Seconds() }

// AddWorkers starts workers of a service, like those of a small deployment.
func (c *Case) AddWorkers(n int, o WorkerOptions) {
	for range n {
		i := len(c.Workers)
		w := o
		if w.ID == "" {
			w.ID = fmt.Sprintf("i-%08x", rand.Uint32())
		}
		w.Zone = fmt.Sprintf("z%d", i%3+1)
		w.Rack = fmt.Sprintf("r%d-%d", i%3+1, i/6)
		w.MaxHold, w.Stop, w.Beat = 10*time.Second, 400*time.Millisecond, 1100*time.Millisecond
		if w.Save == 0 {
			w.Save = 2 * time.Second
		}
		if w.Label == "" {
			w.Label = "kind-a"
		}
		if w.Observe == nil {
			w.Observe = c.Observe
		}
		worker, err := NewWorker(c.Store, w)
		if err != nil {
			c.Exit(2, "worker: %v", err)
		}
		c.mu.Lock()
		c.Workers = append(c.Workers, worker)
		c.mu.Unlock()
	}
}

// AddEntries starts entries and waits until they are ready.
func (c *Case) AddEntries(n int, extra ...string) {
	for i := range n {
		e, err := NewEntry(c.Dir, fmt.Sprintf("edge-z%d-1", i+1), fmt.Sprintf("z%d", i%3+1), c.Store.Address, extra...)
		if err == nil {
			err = e.Start()
		}
		if err != nil {
			c.Exit(2, "entry: %v", err)
		}
		c.Entries = append(c.Entries, e)
	}
	if !AwaitReady(c.Entries, 20*time.Second) {
		c.Exit(2, "the entries aren't ready")
	}
	c.Record.Printf("%d entries are ready", n)
}

// ID returns a new job ID.
func ID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Exit ends all processes and the case.
func (c *Case) Exit(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Record.Printf("exit %d: %s", code, text)
	for _, e := range c.Entries {
		if e.cmd != nil && e.cmd.Process != nil {
			e.Signal(syscall.SIGCONT)
			e.Kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Dir)
	} else {
		fmt.Println(c.Dir)
	}
	fmt.Println(text)
	os.Exit(code)
}
