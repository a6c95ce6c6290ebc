package wire

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Held is a worker's answer to a hold, encoded as the difference from the previous
// answer on the same connection.
type Held struct {
	Clock int64   `cbor:"1,keyasint"`
	Kept  []Kept  `cbor:"2,keyasint,omitempty"`
	Added []Run   `cbor:"3,keyasint,omitempty"`
	Ended []Ended `cbor:"4,keyasint,omitempty"`
	Born  uint64  `cbor:"5,keyasint,omitempty"`
	More  bool    `cbor:"6,keyasint,omitempty"` // it may leave out ended runs
}

// Kept is a run that was in the previous list.
type Kept struct {
	_          struct{} `cbor:",toarray"`
	Index      int      // in the previous list
	Percent    int
	Tail       int64 // milliseconds
	Processors int64
	Checkpoint string // empty if unchanged
}

// Run is a run that wasn't in the previous list.
type Run struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Attempt    uint64
	Checkpoint string
	Percent    int
	Tail       int64 // milliseconds
	Processors int64
}

// Ended is a run that has ended.
type Ended struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Task       string
	Attempt    uint64
	How        provider.End
	Checkpoint string
}

// RunLists holds the last list of runs of each worker, at one end of a connection. Both
// ends process the answers in the same order, so that their lists agree. It isn't safe
// for concurrent use.
type RunLists struct {
	last map[uint64][]provider.Run // by worker's number
}

// NewRunLists returns the RunLists of a new connection.
func NewRunLists() *RunLists {
	return &RunLists{last: make(map[uint64][]provider.Run)}
}

// Encode encodes an answer as its difference from the previous one, and stores the
// answer as the last one.
func (l *RunLists) Encode(host uint64, held provider.HoldResult) *Held {
	type key struct {
		task    string
		attempt uint64
	}
	previous := l.last[host]
	index := make(map[key]int, len(previous))
	for i := range previous {
		index[key{previous[i].Task, previous[i].Attempt}] = i
	}
	h := &Held{Born: held.StartedAt, Clock: held.Clock, More: held.MoreEnded}
	running := make([]provider.Run, 0, len(held.Running))
	var added []provider.Run
	for _, r := range held.Running {
		i, ok := index[key{r.Task, r.Attempt}]
		// A run that has lost its checkpoint, as on another incarnation of the worker, is
		// sent in full: an empty checkpoint in Kept stands for an unchanged one.
		if !ok || r.Checkpoint == "" && previous[i].Checkpoint != "" {
			h.Added = append(h.Added, Run{Task: r.Task, Attempt: r.Attempt, Checkpoint: r.Checkpoint, Percent: r.Percent, Tail: r.TailLatency.Milliseconds(), Processors: r.Processors})
			added = append(added, r)
			continue
		}
		k := Kept{Index: i, Percent: r.Percent, Tail: r.TailLatency.Milliseconds(), Processors: r.Processors}
		if r.Checkpoint != previous[i].Checkpoint {
			k.Checkpoint = r.Checkpoint
		}
		h.Kept = append(h.Kept, k)
		running = append(running, r)
	}
	l.last[host] = append(running, added...)
	for _, e := range held.Ended {
		h.Ended = append(h.Ended, Ended{Number: e.Number, Task: e.Task, Attempt: e.Attempt, How: e.End, Checkpoint: e.Checkpoint})
	}
	return h
}

// Decode decodes an answer from its difference, and stores the answer as the last one.
// An error means that the lists of the two ends don't agree, and the connection must be
// closed.
func (l *RunLists) Decode(host uint64, h *Held) (provider.HoldResult, error) {
	previous := l.last[host]
	held := provider.HoldResult{StartedAt: h.Born, Clock: h.Clock, MoreEnded: h.More}
	for _, k := range h.Kept {
		if k.Index < 0 || k.Index >= len(previous) {
			return held, fault.New(fault.Invalid, "reference to run %d of %d in the previous list", k.Index, len(previous))
		}
		r := previous[k.Index]
		r.Percent = k.Percent
		r.TailLatency = time.Duration(k.Tail) * time.Millisecond
		r.Processors = k.Processors
		if k.Checkpoint != "" {
			r.Checkpoint = k.Checkpoint
		}
		held.Running = append(held.Running, r)
	}
	for _, f := range h.Added {
		held.Running = append(held.Running, provider.Run{
			Task:        f.Task,
			Attempt:     f.Attempt,
			Checkpoint:  f.Checkpoint,
			Percent:     f.Percent,
			TailLatency: time.Duration(f.Tail) * time.Millisecond,
			Processors:  f.Processors,
		})
	}
	for _, e := range h.Ended {
		held.Ended = append(held.Ended, provider.EndedRun{Number: e.Number, Task: e.Task, Attempt: e.Attempt, End: e.How, Checkpoint: e.Checkpoint})
	}
	l.last[host] = held.Running
	return held, nil
}
