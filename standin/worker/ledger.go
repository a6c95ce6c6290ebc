package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const maxLedgerEntries = 500_000 // of each map

// Ledger records what ran on a worker, for checks at the end of a test run.
type Ledger struct {
	Worker   string         `json:"worker"`
	Requests map[string]int `json:"requests"` // runs by Dogwood-Request
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Nonces   map[string]int `json:"nonces"`   // runs by the caller's nonce
	Tasks    []TaskRuns     `json:"tasks"`    // ordered by ID
	Dropped  int            `json:"dropped"`  // runs not recorded because the ledger was full
}

// TaskRuns holds all runs of one batch task.
type TaskRuns struct {
	Task    string     `json:"task"`
	Runs    []Interval `json:"runs"` // ordered by start
	Overlap bool       `json:"overlap"`
}

// Interval is one run of a task. End is zero while it runs.
type Interval struct {
	Worker  string             `json:"worker"`
	Attempt uint32             `json:"attempt"`
	Start   time.Time          `json:"start"`
	End     time.Time          `json:"end,omitzero"`
	From    time.Duration      `json:"from"` // work done when the run started
	To      time.Duration      `json:"to"`   // work done when the run ended
	State   provider.TaskState `json:"state"`
}

// Merge merges the ledgers of several workers, so that simultaneous runs of a
// task on different workers show as an overlap.
func Merge(ledgers ...Ledger) Ledger {
	m := Ledger{Requests: make(map[string]int), Keys: make(map[string]int), Nonces: make(map[string]int)}
	runs := make(map[string][]Interval)
	for _, l := range ledgers {
		addCounts(m.Requests, l.Requests)
		addCounts(m.Keys, l.Keys)
		addCounts(m.Nonces, l.Nonces)
		m.Dropped += l.Dropped
		for _, a := range l.Tasks {
			runs[a.Task] = append(runs[a.Task], a.Runs...)
		}
	}
	m.Tasks = sortedTaskRuns(runs)
	return m
}

// Ledger returns a copy of the worker's ledger up to now.
func (w *Worker) Ledger() Ledger {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.ledger.copy()
}

// ledger collects the entries of a Ledger.
type ledger struct {
	worker        string
	requests      map[string]int
	keys          map[string]int
	nonces        map[string]int
	runs          map[string][]Interval
	intervalCount int // intervals in runs
	dropped       int
}

func newLedger(worker string) *ledger {
	return &ledger{
		worker:   worker,
		requests: make(map[string]int),
		keys:     make(map[string]int),
		nonces:   make(map[string]int),
		runs:     make(map[string][]Interval),
	}
}

func (l *ledger) recordRequest(id, key, nonce string) {
	l.countRun(l.requests, id)
	l.countRun(l.keys, key)
	l.countRun(l.nonces, nonce)
}

func (l *ledger) countRun(runs map[string]int, name string) {
	if name == "" {
		return
	}
	if _, ok := runs[name]; !ok && len(runs) >= maxLedgerEntries {
		l.dropped++
		return
	}
	runs[name]++
}

func (l *ledger) recordStart(t *task, now time.Time) {
	if !t.isBatch() {
		return
	}
	if l.intervalCount >= maxLedgerEntries {
		l.dropped++
		return
	}
	l.intervalCount++
	l.runs[t.spec.ID] = append(l.runs[t.spec.ID], Interval{
		Worker:  l.worker,
		Attempt: t.spec.Attempt,
		Start:   now,
		From:    t.workDone,
		State:   provider.TaskRunning,
	})
}

func (l *ledger) recordEnd(t *task, at time.Time) {
	runs := l.runs[t.spec.ID]
	if len(runs) == 0 || !runs[len(runs)-1].End.IsZero() {
		return // a service replica, or a run that was dropped
	}
	last := &runs[len(runs)-1]
	last.End = at
	last.To = t.progress(at)
	last.State = t.state
}

func (l *ledger) copy() Ledger {
	return Ledger{
		Worker:   l.worker,
		Requests: maps.Clone(l.requests),
		Keys:     maps.Clone(l.keys),
		Nonces:   maps.Clone(l.nonces),
		Tasks:    sortedTaskRuns(l.runs),
		Dropped:  l.dropped,
	}
}

func sortedTaskRuns(runs map[string][]Interval) []TaskRuns {
	all := make([]TaskRuns, 0, len(runs))
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		sorted := slices.Clone(runs[id])
		slices.SortStableFunc(sorted, func(a, b Interval) int {
			return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Attempt, b.Attempt))
		})
		all = append(all, TaskRuns{Task: id, Runs: sorted, Overlap: hasOverlap(sorted)})
	}
	return all
}

// hasOverlap reports whether a run started before an earlier one ended.
func hasOverlap(runs []Interval) bool {
	for n := 1; n < len(runs); n++ {
		for _, earlier := range runs[:n] {
			if earlier.End.IsZero() || runs[n].Start.Before(earlier.End) {
				return true
			}
		}
	}
	return false
}

func addCounts(sum, runs map[string]int) {
	for name, n := range runs {
		sum[name] += n
	}
}
