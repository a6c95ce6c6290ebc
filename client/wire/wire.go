// Package wire holds what the clients of the platform and its stand-ins agree
// on: paths, headers and bodies of plain HTTP requests.
//
// Usage:
//
//	request.Header.Set(wire.HeaderEpoch, strconv.FormatUint(epoch, 10))
//	wire.Refuse(w, fault.New(fault.StaleEpoch, "epoch %d, in force %d", got, epoch))
//
// Bodies are JSON, but for log records, which are binary and travel as CBOR.
// An answer with HeaderFault is a refusal: the request did not take effect.
// Task IDs may hold slashes and so travel in bodies, never in paths.
package wire

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Headers of a request to a service replica, and of refusals.
const (
	HeaderFault    = "Dogwood-Fault"    // name of the refusal's fault.Kind
	HeaderEpoch    = "Dogwood-Epoch"    // lease epoch under which a request is sent
	HeaderRequest  = "Dogwood-Request"  // unique ID, echoed in the answer
	HeaderDeadline = "Dogwood-Deadline" // milliseconds left
	HeaderRunning  = "Dogwood-Running"  // in the answer to a probe: whether the request it names is in hand
	HeaderKey      = "Idempotency-Key"  // set by the caller on a request that may be repeated
)

// Paths.
const (
	PathStreams     = "/streams/" // + stream + PathRecords
	PathRecords     = "/records"
	PathInstances   = "/instances"
	PathAcquire     = "/lease"
	PathRenew       = "/lease/renew"
	PathRelease     = "/lease/release"
	PathTransfer    = "/lease/transfer"
	PathStart       = "/tasks"
	PathStop        = "/tasks/stop"
	PathThrottle    = "/tasks/throttle"
	PathAcknowledge = "/tasks/acknowledge"
	PathReport      = "/report"
	PathHealth      = "/healthz"   // probe
	PathServices    = "/services/" // + service + "/" + anything
)

// Media types of bodies.
const (
	TypeJSON = "application/json"
	TypeCBOR = "application/cbor"
)

// Size bounds, in bytes.
const (
	MaxAppend  = 16 << 20 // body of one append
	MaxPage    = 24 << 20 // body of one page; a server cuts pages at MaxEntries of data
	MaxEntries = 16 << 20
	MaxControl = 4 << 20 // any JSON body
	MaxRefusal = 64 << 10
)

// MaxWait bounds how long a read may wait for its first entry.
const MaxWait = time.Minute

// Appended answers an append.
type Appended struct {
	First uint64 `json:"first"`
}

// Release gives a lease back.
type Release struct {
	Epoch uint64 `json:"epoch"`
}

// Transfer hands a lease to another holder.
type Transfer struct {
	Epoch uint64 `json:"epoch"`
	To    string `json:"to"`
}

// Start starts a task.
type Start struct {
	Epoch uint64            `json:"epoch"`
	Task  provider.TaskSpec `json:"task"`
}

// Stop ends a task, with a checkpoint on request.
type Stop struct {
	Epoch      uint64 `json:"epoch"`
	Task       string `json:"task"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
}

// Throttle limits a task to a percentage of its speed.
type Throttle struct {
	Epoch   uint64 `json:"epoch"`
	Task    string `json:"task"`
	Percent int    `json:"percent"`
}

// Acknowledge lets the worker forget the results of tasks.
type Acknowledge struct {
	Epoch uint64   `json:"epoch"`
	Tasks []string `json:"tasks"`
}
