// Package record defines the records of an availability zone's stream in the log
// service, and their compact CBOR encoding.
//
// Usage:
//
//	data, err := record.Encode(record.Record{Writer: w, Sequence: 7, Claim: &record.Claim{...}})
//	r, err := record.Decode(entry.Data)
//
// A Record has exactly one body. A writer numbers its records with an increasing
// sequence. Readers ignore a record whose sequence is not above the last one
// that they accepted from that writer, so a record that was appended twice, or
// that arrives after the writer gave it up, changes nothing.
package record

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Version is the newest record version that this program reads and writes.
const Version = 2

// firstVersion is the version of all records but those that earlier programs
// would apply differently, so that they read the log as long as possible.
const firstVersion = 1

// Writer identifies one incarnation of an entry instance. A restart under the
// same ID has a larger incarnation.
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

// Limits sets the resources that each group may use in this zone. It is void
// unless its revision is above the one in force.
type Limits struct {
	Revision uint64                     `cbor:"1,keyasint"`
	Groups   map[string]resource.Vector `cbor:"2,keyasint"` // for batch work, after subtracting services
}

// Submit adds tasks to the queue. A task whose ID is known is refused, unless it
// is declared and the known one has ended and isn't declared, for example because
// it was cancelled: then it is queued again with the next attempt number.
type Submit struct {
	Tasks []Task `cbor:"1,keyasint"`
}

// Task is the declaration of a batch task.
type Task struct {
	ID       string          `cbor:"1,keyasint"`
	Job      string          `cbor:"2,keyasint,omitempty"` // job that the task belongs to
	Group    string          `cbor:"3,keyasint"`
	Need     resource.Vector `cbor:"4,keyasint"`
	Command  string          `cbor:"5,keyasint,omitempty"`
	Duration time.Duration   `cbor:"6,keyasint,omitempty"`
	Urgent   bool            `cbor:"7,keyasint,omitempty"`
	Declared bool            `cbor:"8,keyasint,omitempty"` // kept until it is cancelled, even after it has ended
}

// Own states that the writer holds a worker's lease at an epoch, and lists the
// tasks that the worker held when the lease was granted. It is void if the
// writer is fenced or the epoch isn't above the recorded one.
//
// An epoch of another incarnation of the worker than the recorded one needs
// Version. The record is void unless After is the recorded epoch, because only
// then was the lease granted after the recorded one.
type Own struct {
	Worker   string          `cbor:"1,keyasint"`
	Epoch    uint64          `cbor:"2,keyasint"`
	Capacity resource.Vector `cbor:"3,keyasint"`
	Rack     string          `cbor:"4,keyasint,omitempty"`
	Held     []Attempt       `cbor:"5,keyasint,omitempty"` // batch tasks that run or whose result is kept
	After    uint64          `cbor:"6,keyasint,omitempty"` // recorded epoch that the writer knew when it requested the lease
}

// Attempt identifies one attempt at a task.
type Attempt struct {
	Task   string `cbor:"1,keyasint"`
	Number uint32 `cbor:"2,keyasint"`
}

// Claim moves queued tasks into the writer's escrow. Each task is accepted or
// refused on its own.
type Claim struct {
	Tasks []string `cbor:"1,keyasint"`
}

// Return queues escrowed tasks again that the writer has not started. A task
// whose current attempt an Own record listed as held by a worker is refused.
type Return struct {
	Tasks []string `cbor:"1,keyasint"`
}

// Done completes a task. It is void unless it names the current attempt and
// comes from its owner.
type Done struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Result  string  `cbor:"3,keyasint,omitempty"`
}

// Evicted ends an attempt without counting a failure and queues the next one.
type Evicted struct {
	Attempt    Attempt `cbor:"1,keyasint"`
	Worker     string  `cbor:"2,keyasint"`
	Checkpoint string  `cbor:"3,keyasint,omitempty"`
}

// Failed ends an attempt, counts a failure for the task and the worker, and
// queues the next attempt unless the task has failed on enough workers that
// aren't quarantined.
type Failed struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Worker  string  `cbor:"2,keyasint"`
	Reason  string  `cbor:"3,keyasint,omitempty"`
}

// Cancel ends tasks, and allows ended ones that were declared to be forgotten. A
// queued task ends at once, an escrowed one when its owner reports the end of
// the attempt (the first of Evicted, Failed or Done).
type Cancel struct {
	Tasks []string `cbor:"1,keyasint,omitempty"`
	Jobs  []string `cbor:"2,keyasint,omitempty"`
}

// Park parks a queued task that can't run as declared.
type Park struct {
	Task   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Fence makes all later records of one incarnation of an instance void and
// starts the recovery of its escrow.
type Fence struct {
	Instance Writer `cbor:"1,keyasint"`
}

// Lapse states that the writer has waited until every lease that a fenced owner
// may have extended on a worker at an epoch has ended. It is void if the worker
// has a newer recorded epoch or its owner isn't fenced.
type Lapse struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Snapshot holds the zone's state after the record at offset At. A recovery
// snapshot is written if records expired before any instance applied them. It
// holds the newest state that its writer had; the first one in the stream takes
// effect unless a regular snapshot overrules it.
type Snapshot struct {
	At       uint64 `cbor:"1,keyasint"`
	State    []byte `cbor:"2,keyasint"`
	Recovery bool   `cbor:"3,keyasint,omitempty"`
}

// Marker has no effect of its own. Once a writer reads it back, none of its
// earlier records that it hasn't read can still take effect.
type Marker struct{}
