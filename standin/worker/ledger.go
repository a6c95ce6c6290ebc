package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

const maxLedger = 500_000 // entries of each map

// Ledger is what ran on a worker, for checks at the end of a run.
type Ledger struct {
	Worker   string         `json:"worker"`
	Requests map[string]int `json:"requests"` // runs by Dogwood-Request
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Nonces   map[string]int `json:"nonces"`   // runs by the caller's nonce
	Tasks    []Account      `json:"tasks"`    // ordered by ID
	Dropped  int            `json:"dropped"`  // not recorded for want of room
}

// Account is every run of one batch task.
type Account struct {
	Task    string     `json:"task"`
	Runs    []Interval `json:"runs"` // ordered by start
	Overlap bool       `json:"overlap"`
}

// Interval is one run of a task. End is zero while it goes on.
type Interval struct {
	Worker  string             `json:"worker"`
	Attempt uint32             `json:"attempt"`
	Start   time.Time          `json:"start"`
	End     time.Time          `json:"end,omitzero"`
	From    time.Duration      `json:"from"` // work done before
	To      time.Duration      `json:"to"`   // work done in the end
	State   provider.TaskState `json:"state"`
}

// Merge returns the accounts of several workers together, so that two runs
// of a task on different workers show as an overlap.
func Merge(ledgers ...Ledger) Ledger {
	m := Ledger{Requests: make(map[string]int), Keys: make(map[string]int), Nonces: make(map[string]int)}
	runs := make(map[string][]Interval)
	for _, l := range ledgers {
		add(m.Requests, l.Requests)
		add(m.Keys, l.Keys)
		add(m.Nonces, l.Nonces)
		m.Dropped += l.Dropped
		for _, a := range l.Tasks {
			runs[a.Task] = append(runs[a.Task], a.Runs...)
		}
	}
	m.Tasks = accounts(runs)
	return m
}

// Ledger returns what ran so far.
func (w *Worker) Ledger() Ledger {
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(now)
	return w.ledger.copy()
}

// ledger is a Ledger under way.
type ledger struct {
	worker   string
	requests map[string]int
	keys     map[string]int
	nonces   map[string]int
	runs     map[string][]Interval
	count    int // of intervals
	dropped  int
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

func (l *ledger) request(id, key, nonce string) {
	l.note(l.requests, id)
	l.note(l.keys, key)
	l.note(l.nonces, nonce)
}

func (l *ledger) note(runs map[string]int, name string) {
	if name == "" {
		return
	}
	if _, ok := runs[name]; !ok && len(runs) >= maxLedger {
		l.dropped++
		return
	}
	runs[name]++
}

func (l *ledger) start(t *task, now time.Time) {
	if !t.isBatch() {
		return
	}
	if l.count >= maxLedger {
		l.dropped++
		return
	}
	l.count++
	l.runs[t.spec.ID] = append(l.runs[t.spec.ID], Interval{
		Worker:  l.worker,
		Attempt: t.spec.Attempt,
		Start:   now,
		From:    t.done,
		State:   provider.TaskRunning,
	})
}

func (l *ledger) end(t *task, at time.Time) {
	runs := l.runs[t.spec.ID]
	if len(runs) == 0 || !runs[len(runs)-1].End.IsZero() {
		return // a service replica, or dropped
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
		Tasks:    accounts(l.runs),
		Dropped:  l.dropped,
	}
}

func accounts(runs map[string][]Interval) []Account {
	all := make([]Account, 0, len(runs))
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		sorted := slices.Clone(runs[id])
		slices.SortStableFunc(sorted, func(a, b Interval) int {
			return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Attempt, b.Attempt))
		})
		all = append(all, Account{Task: id, Runs: sorted, Overlap: overlap(sorted)})
	}
	return all
}

// overlap reports whether a run starts before an earlier one ended.
func overlap(runs []Interval) bool {
	for n := 1; n < len(runs); n++ {
		for _, earlier := range runs[:n] {
			if earlier.End.IsZero() || runs[n].Start.Before(earlier.End) {
				return true
			}
		}
	}
	return false
}

func add(sum, runs map[string]int) {
	for name, n := range runs {
		sum[name] += n
	}
}
