//go:build review

package kit

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Ledger knows all runs on all workers and checks rule TWICE.
type Ledger struct {
	OnEnd func(worker, task, how string) // called for each end; may be nil

	record *Record
	mu     sync.Mutex
	tasks  map[string]*taskLedger
	starts int
	dones  int
	failed int
}

type taskLedger struct {
	running map[string]uint64   // attempt by worker
	done    map[string]*doneRun // by attempt and worker
}

// doneRun is a run that has ended done.
type doneRun struct {
	at    time.Time
	noted bool     // that end was taken note of
	late  []string // starts after it, while it isn't taken note of
}

func runName(attempt uint64, w *Worker) string {
	return fmt.Sprintf("attempt %d on %s", attempt, w.ID)
}

// NewLedger returns an empty Ledger.
func NewLedger(r *Record) *Ledger {
	return &Ledger{record: r, tasks: make(map[string]*taskLedger)}
}

func (l *Ledger) task(name string) *taskLedger {
	t := l.tasks[name]
	if t == nil {
		t = &taskLedger{running: make(map[string]uint64), done: make(map[string]*doneRun)}
		l.tasks[name] = t
	}
	return t
}

func (l *Ledger) started(w *Worker, name string, attempt uint64, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(name)
	l.starts++
	l.record.Printf("start %s attempt %d on %s", name, attempt, w.ID)
	for other, a := range t.running {
		l.record.Break("TWICE: %s attempt %d starts on %s while attempt %d runs on %s, which is up", name, attempt, w.ID, a, other)
	}
	for run, d := range t.done {
		line := fmt.Sprintf("TWICE: %s attempt %d starts on %s, %s had ended done %.1f s before, and that end is taken note of", name, attempt, w.ID, run, time.Since(d.at).Seconds())
		if d.noted {
			l.record.Break("%s", line)
		} else {
			d.late = append(d.late, line)
		}
	}
	t.running[w.ID] = attempt
	if !strings.Contains(spec, strings.SplitN(name, ".", 2)[0]) {
		l.record.Break("UNASKED: %s starts with spec %q", name, spec)
	}
}

func (l *Ledger) ended(w *Worker, name string, attempt uint64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(name)
	delete(t.running, w.ID)
	switch how {
	case "done":
		l.dones++
		t.done[runName(attempt, w)] = &doneRun{at: time.Now()}
	case "failed":
		l.failed++
	}
	if l.OnEnd != nil {
		l.OnEnd(w.ID, name, how)
	}
	l.record.Printf("end %s attempt %d on %s: %s", name, attempt, w.ID, how)
}

// noted records that an owner has taken note of an end: lastSeen has reached it.
func (l *Ledger) noted(w *Worker, name string, attempt uint64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.task(name).done[runName(attempt, w)]
	if how != "done" || d == nil {
		return
	}
	d.noted = true
	for _, line := range d.late {
		l.record.Break("%s", line)
	}
	d.late = nil
}

// Counts returns the number of starts and of ends done and failed.
func (l *Ledger) Counts() (starts, dones, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, l.dones, l.failed
}
