// Package record defines what is written to an availability zone's stream in
// the log service, and its compact CBOR form.
//
// Usage:
//
//	data, err := record.Encode(record.Record{Writer: w, Sequence: 7, Claim: &record.Claim{...}})
//	r, err := record.Decode(entry.Data)
//
// A Record carries exactly one body. Its writer numbers its records with a
// sequence that only grows: the fold ignores a record whose sequence is not
// above the last one it took from that writer, so a record that was appended
// twice, or that arrives after the writer gave it up, changes nothing.
package record

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Version is the newest record version this program writes and understands.
const Version = 1

// Writer names one run of an entry instance. A restart under the same ID has
// a larger incarnation.
type Writer struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Record is one entry of a zone stream. One body is set.
type Record struct {
	Version  uint   `cbor:"0,keyasint"`
	Writer   Writer `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`

	Limits   *Limits   `cbor:"3,keyasint,omitempty"`
	Submit   *Submit   `cbor:"4,keyasint,omitempty"`
	Own      *Own      `cbor:"5,keyasint,omitempty"`
	Claim    *Claim    `cbor:"6,keyasint,omitempty"`
	Return   *Return   `cbor:"7,keyasint,omitempty"`
	Done     *Done     `cbor:"8,keyasint,omitempty"`
	Evicted  *Evicted  `cbor:"9,keyasint,omitempty"`
	Failed   *Failed   `cbor:"10,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"11,keyasint,omitempty"`
	Fence    *Fence    `cbor:"12,keyasint,omitempty"`
	Lapse    *Lapse    `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
	Marker   *Marker   `cbor:"15,keyasint,omitempty"`
	Park     *Park     `cbor:"16,keyasint,omitempty"`
}

// Limits sets what each group may hold in this zone. It is void unless its
// revision is above the one in force.
type Limits struct {
	Revision uint64                     `cbor:"1,keyasint"`
	Groups   map[string]resource.Vector `cbor:"2,keyasint"` // for batch, after services are taken off
}

// Submit adds tasks to the queue. A task whose ID is known changes nothing,
// but for a declared one that was cancelled after it had ended: it is queued
// again, with the next attempt.
type Submit struct {
	Tasks []Task `cbor:"1,keyasint"`
}

// Task is the declaration of a batch task.
type Task struct {
	ID       string          `cbor:"1,keyasint"`
	Job      string          `cbor:"2,keyasint,omitempty"` // several tasks may belong to a job
	Group    string          `cbor:"3,keyasint"`
	Need     resource.Vector `cbor:"4,keyasint"`
	Command  string          `cbor:"5,keyasint,omitempty"`
	Duration time.Duration   `cbor:"6,keyasint,omitempty"`
	Urgent   bool            `cbor:"7,keyasint,omitempty"`
	Declared bool            `cbor:"8,keyasint,omitempty"` // remembered until it is cancelled, also when it has ended
}

// Own states that the writer holds a worker's lease at an epoch, and what
// the worker held when the lease was granted. It is void when the writer is
// fenced or the epoch isn't above the one on record.
type Own struct {
	Worker   string          `cbor:"1,keyasint"`
	Epoch    uint64          `cbor:"2,keyasint"`
	Capacity resource.Vector `cbor:"3,keyasint"`
	Rack     string          `cbor:"4,keyasint,omitempty"`
	Held     []Attempt       `cbor:"5,keyasint,omitempty"` // batch tasks running or with a result kept
}

// Attempt names one attempt at a task.
type Attempt struct {
	Task   string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"`
}

// Claim moves queued tasks into the writer's escrow. Each task is taken or
// refused by itself.
type Claim struct {
	Tasks []string `cbor:"1,keyasint"`
}

// Return gives back escrowed tasks that the writer has not started. It is void
// for a task whose attempt an Own record found on a worker.
type Return struct {
	Tasks []string `cbor:"1,keyasint"`
}

// Done completes a task. Only the current attempt, from its owner, counts.
type Done struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Result  string  `cbor:"3,keyasint,omitempty"`
}

// Evicted ends an attempt without blame and queues the next one.
type Evicted struct {
	Attempt    Attempt `cbor:"1,keyasint"`
	Worker     string  `cbor:"2,keyasint"`
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
}

// Failed ends an attempt that the task or the worker is to blame for and
// queues the next one, unless the task has failed on enough sound workers.
type Failed struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Reason  string  `cbor:"3,keyasint,omitempty"`
}

// Cancel ends tasks, and lets ended ones that were declared be forgotten: a
// queued one ends at once, an escrowed one when its owner
// reports that it stopped (Evicted, Failed or Done; whichever comes first).
type Cancel struct {
	Tasks []string `cbor:"1,keyasint,omitempty"`
	Jobs  []string `cbor:"2,keyasint,omitempty"`
}

// Park sets a queued task aside that can't run as declared.
type Park struct {
	Task   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Fence voids all later records of one run of an instance and starts the
// recovery of its escrow.
type Fence struct {
	Instance Writer `cbor:"1,keyasint"`
}

// Lapse states that the writer waited out every lease that a fenced owner
// may have extended on a worker at an epoch. It is void when the worker has
// a newer epoch on record or its owner isn't fenced.
type Lapse struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Snapshot holds the zone's state after the record at offset At. A recovery
// snapshot is written when records expired before anyone folded them: it
// carries on from the newest state that its writer had, and the first one
// that a reader without a state meets decides.
type Snapshot struct {
	At       uint64 `cbor:"1,keyasint"`
	State    []byte `cbor:"2,keyasint"`
	Recovery bool   `cbor:"3,keyasint,omitempty"`
}

// Marker has no effect but to show how far the stream goes: once a writer
// reads it back, none of its earlier records can still take effect.
type Marker struct{}
