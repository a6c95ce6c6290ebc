package wire

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Held is a worker's answer to a hold, as the difference from the one before on
// the same connection.
type Held struct {
	Clock int64   `cbor:"1,keyasint"`
	Kept  []Kept  `cbor:"2,keyasint,omitempty"`
	Fresh []Run   `cbor:"3,keyasint,omitempty"`
	Ended []Ended `cbor:"4,keyasint,omitempty"`
	Born  uint64  `cbor:"5,keyasint,omitempty"`
}

// Kept is a run that was on the list before.
type Kept struct {
	_          struct{} `cbor:",toarray"`
	Index      int      // in the list before
	Percent    int
	Tail       int64 // milliseconds
	Processors int64
	Checkpoint string // empty for the same as before
}

// Run is a run that wasn't.
type Run struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Attempt    uint64
	Checkpoint string
	Percent    int
	Tail       int64 // milliseconds
	Processors int64
}

// Ended is a run that ended.
type Ended struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       string
	Attempt    uint64
	How        provider.End
	Checkpoint string
}

// Lists remembers the last list of what runs on each worker, at either end of a
// connection. Both ends see the answers in the same order, so that both remember the
// same. It isn't safe for concurrent use.
type Lists struct {
	last map[uint64][]provider.Run // by the worker's number
}

// NewLists returns Lists of a new connection.
func NewLists() *Lists {
	return &Lists{last: make(map[uint64][]provider.Run)}
}

// Shrink returns an answer as its difference from the last one, and remembers it.
func (l *Lists) Shrink(host uint64, held provider.Held) *Held {
	type key struct {
		task    string
		attempt uint64
	}
	before := l.last[host]
	at := make(map[key]int, len(before))
	for i := range before {
		at[key{before[i].Task, before[i].Attempt}] = i
	}
	h := &Held{Born: held.Born, Clock: held.Clock}
	now := make([]provider.Run, 0, len(held.Running))
	var fresh []provider.Run
	for _, r := range held.Running {
		i, ok := at[key{r.Task, r.Attempt}]
		if !ok {
			h.Fresh = append(h.Fresh, Run{Task: r.Task, Attempt: r.Attempt, Checkpoint: r.Checkpoint, Percent: r.Percent, Tail: r.Tail.Milliseconds(), Processors: r.Processors})
			fresh = append(fresh, r)
			continue
		}
		k := Kept{Index: i, Percent: r.Percent, Tail: r.Tail.Milliseconds(), Processors: r.Processors}
		if r.Checkpoint != before[i].Checkpoint {
			k.Checkpoint = r.Checkpoint
		}
		h.Kept = append(h.Kept, k)
		now = append(now, r)
	}
	l.last[host] = append(now, fresh...)
	for _, e := range held.Ended {
		h.Ended = append(h.Ended, Ended{Number: e.Number, Task: e.Task, Attempt: e.Attempt, How: e.How, Checkpoint: e.Checkpoint})
	}
	return h
}

// Restore returns the answer that a difference stands for, and remembers it. One
// that doesn't fit the list before says that the ends don't remember the same; the
// connection has to be made anew.
func (l *Lists) Restore(host uint64, h *Held) (provider.Held, error) {
	before := l.last[host]
	held := provider.Held{Born: h.Born, Clock: h.Clock}
	for _, k := range h.Kept {
		if k.Index < 0 || k.Index >= len(before) {
			return held, fault.New(fault.Invalid, "run %d of %d", k.Index, len(before))
		}
		r := before[k.Index]
		r.Percent = k.Percent
		r.Tail = time.Duration(k.Tail) * time.Millisecond
		r.Processors = k.Processors
		if k.Checkpoint != "" {
			r.Checkpoint = k.Checkpoint
		}
		held.Running = append(held.Running, r)
	}
	for _, f := range h.Fresh {
		held.Running = append(held.Running, provider.Run{
			Task:       f.Task,
			Attempt:    f.Attempt,
			Checkpoint: f.Checkpoint,
			Percent:    f.Percent,
			Tail:       time.Duration(f.Tail) * time.Millisecond,
			Processors: f.Processors,
		})
	}
	for _, e := range h.Ended {
		held.Ended = append(held.Ended, provider.Ended{Number: e.Number, Task: e.Task, Attempt: e.Attempt, How: e.How, Checkpoint: e.Checkpoint})
	}
	l.last[host] = held.Running
	return held, nil
}
