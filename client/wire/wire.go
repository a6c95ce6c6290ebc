// Package wire defines the HTTP protocol between the platform's clients and its
// services or stand-ins: paths, headers and bodies.
//
// Usage:
//
//	request.Header.Set(wire.HeaderEpoch, strconv.FormatUint(epoch, 10))
//	wire.Refuse(w, fault.New(fault.StaleEpoch, "epoch %d, in force %d", got, epoch))
//
// Bodies are JSON, except for log records, which are binary and encoded as CBOR.
// A response with HeaderFault is a refusal: the request did not take effect.
// Task IDs may contain slashes and are therefore sent in bodies, never in paths.
package wire

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Headers of a request to a service replica, and of refusals.
const (
	HeaderFault          = "Dogwood-Fault"    // name of the refusal's fault.Kind
	HeaderEpoch          = "Dogwood-Epoch"    // lease epoch under which a request is sent
	HeaderRequest        = "Dogwood-Request"  // unique ID, echoed in the response
	HeaderDeadline       = "Dogwood-Deadline" // milliseconds left
	HeaderRunning        = "Dogwood-Running"  // in the response to a probe: whether the request with the probe's ID is running
	HeaderIdempotencyKey = "Idempotency-Key"  // set by the caller on a request that it may repeat
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
	MaxAppendBytes   = 16 << 20 // body of one append
	MaxPageBytes     = 24 << 20 // body of one page; a server limits the data of a page to MaxPageDataBytes
	MaxPageDataBytes = 16 << 20
	MaxControlBytes  = 4 << 20 // any JSON body
	MaxRefusalBytes  = 64 << 10
)

// MaxWait bounds how long a read may wait for its first entry.
const MaxWait = time.Minute

// AppendResponse is the response to an append.
type AppendResponse struct {
	First uint64 `json:"first"`
}

// Release releases a lease.
type Release struct {
	Epoch uint64 `json:"epoch"`
}

// Transfer transfers a lease to another holder.
type Transfer struct {
	Epoch uint64 `json:"epoch"`
	To    string `json:"to"`
}

// Start starts a task.
type Start struct {
	Epoch uint64            `json:"epoch"`
	Task  provider.TaskSpec `json:"task"`
}

// Stop stops a task, optionally with a checkpoint.
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

// Acknowledge allows the worker to discard the results of tasks.
type Acknowledge struct {
	Epoch uint64   `json:"epoch"`
	Tasks []string `json:"tasks"`
}
