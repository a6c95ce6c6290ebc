package mitigation

import (
	"slices"
	"strings"
	"time"
)

// Mode is what the ladder does on a worker.
type Mode int

// Modes of a worker.
const (
	Watching     Mode = iota // all services are below the limit
	Protecting               // a service is above the limit
	Conservative             // reports stopped
)

// record is what the ladder remembers of a worker.
type record struct {
	mode      Mode
	seen      time.Time // last decision
	acted     time.Time // last action
	throttled time.Time
	released  time.Time
	since     time.Time // a service is above the limit since then
	backoff   int
}

// WorkerState is the dump of a worker's record.
type WorkerState struct {
	Worker  string        `json:"worker"`
	Mode    string        `json:"mode"`
	Acted   time.Time     `json:"acted"`
	Hold    time.Duration `json:"hold"`
	Backoff int           `json:"backoff"`
}

// State returns a dump of the workers that aren't merely watched, in order.
func (l *Ladder) State() []WorkerState {
	list := []WorkerState{}
	for name, r := range l.workers {
		if r.mode != Watching || r.backoff > 0 {
			list = append(list, WorkerState{name, r.mode.String(), r.acted, l.holdOf(r), r.backoff})
		}
	}
	slices.SortFunc(list, func(a, b WorkerState) int { return strings.Compare(a.Worker, b.Worker) })
	return list
}

func (l *Ladder) record(now time.Time, worker string) *record {
	r := l.workers[worker]
	if r == nil {
		r = &record{}
		l.workers[worker] = r
	}
	r.seen = now
	return r
}

// sweep forgets workers that weren't decided on for an hour, and evictions
// that left the budget's window.
func (l *Ladder) sweep(now time.Time) {
	if now.Sub(l.swept) < l.window {
		return
	}
	l.swept = now
	for name, r := range l.workers {
		if now.Sub(r.seen) > forgetAfter {
			delete(l.workers, name)
		}
	}
	l.budget.sweep(now.Add(-l.window))
}

// budget counts evictions in a sliding window.
type budget struct {
	spent map[string][]time.Time
}

// limitOf is how many may be spent under a name in a window.
type limitOf struct {
	name string
	most int
}

// take spends one under each name, or nothing when any is used up.
func (b *budget) take(now time.Time, window time.Duration, limits ...limitOf) bool {
	for _, limit := range limits {
		b.trim(limit.name, now.Add(-window))
		if len(b.spent[limit.name]) >= limit.most {
			return false
		}
	}
	for _, limit := range limits {
		b.spent[limit.name] = append(b.spent[limit.name], now)
	}
	return true
}

func (b *budget) trim(name string, horizon time.Time) {
	kept := slices.DeleteFunc(b.spent[name], func(at time.Time) bool { return !at.After(horizon) })
	if len(kept) == 0 {
		delete(b.spent, name)
		return
	}
	b.spent[name] = kept
}

func (b *budget) sweep(horizon time.Time) {
	for name := range b.spent {
		b.trim(name, horizon)
	}
}
