// Package provider declares what the surrounding platform gives: a log
// service, an instance list and workers. It holds interfaces and plain data
// only, so that decision packages may use its types without any transport.
//
// Usage:
//
//	page, err := log.Read(ctx, "zone/a", next, 500)
//	grant, err := worker.Acquire(ctx, provider.LeaseRequest{Holder: id, TTL: 6 * time.Second})
//
// Errors carry a kind of package fault. An Append that returns
// fault.MayHaveRun may still take effect later.
package provider

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Entry is one record of a log stream.
type Entry struct {
	Offset uint64    `cbor:"1,keyasint" json:"offset"`
	Time   time.Time `cbor:"2,keyasint" json:"time"` // when the log service accepted it
	Data   []byte    `cbor:"3,keyasint" json:"data"`
}

// Page is a run of consecutive entries. Oldest is the first offset still
// kept; Next is the offset the next append will get.
type Page struct {
	Oldest  uint64  `cbor:"1,keyasint" json:"oldest"`
	Next    uint64  `cbor:"2,keyasint" json:"next"`
	Entries []Entry `cbor:"3,keyasint" json:"entries"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns entries from an offset on, at most limit of them, and
	// waits up to wait for the first. An offset older than Page.Oldest gives
	// fault.Expired together with a page that holds Oldest and Next.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Role tells what a listed instance runs.
type Role string

// Roles of listed instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Status tells whether a listed instance is in service.
type Status string

// Statuses of listed instances.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	ID               string          `json:"id"`
	Role             Role            `json:"role"`
	AvailabilityZone string          `json:"zone"`
	Rack             string          `json:"rack,omitempty"`
	Address          string          `json:"address"`          // host:port; of an entry instance its peer listener
	Caller           string          `json:"caller,omitempty"` // host:port of an entry instance's caller listener
	Status           Status          `json:"status"`
	Capacity         resource.Vector `json:"capacity"`        // of a worker
	Slots            int             `json:"slots,omitempty"` // concurrent requests a worker serves
}

// List is the platform's instance list. It lags behind what is true.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// LeaseRequest asks a worker for its lease, or to extend it when Epoch is
// the epoch held. A worker's lease is exclusive and expires; each new grant
// carries a larger epoch. A lease that has expired has no epoch in force, also
// when nobody else holds the worker. A task that is started is covered by the
// later of the lease's end and what Tasks extended to.
type LeaseRequest struct {
	Holder string        `json:"holder"`
	Epoch  uint64        `json:"epoch,omitempty"` // zero to acquire, else the epoch to renew
	After  uint64        `json:"after,omitempty"` // the highest epoch known; one that is acquired is above it, also where the worker has restarted since
	TTL    time.Duration `json:"ttl"`             // how long the lease lasts
	Tasks  time.Duration `json:"tasks,omitempty"` // extends the batch tasks' own leases; zero leaves them
}

// Lease is a worker's answer to a LeaseRequest.
type Lease struct {
	Epoch    uint64          `json:"epoch"`
	TTL      time.Duration   `json:"ttl"`
	Capacity resource.Vector `json:"capacity"`
	Slots    int             `json:"slots"`
	Tasks    []Running       `json:"tasks"` // what the worker holds now
}

// TaskKind tells a batch task from a replica of a service.
type TaskKind string

// Kinds of tasks.
const (
	KindBatch   TaskKind = "batch"
	KindService TaskKind = "service"
)

// TaskSpec is what a worker needs to run a task.
type TaskSpec struct {
	ID         string          `json:"id"`
	Kind       TaskKind        `json:"kind"`
	Group      string          `json:"group"`
	Attempt    uint32          `json:"attempt"`
	Need       resource.Vector `json:"need"`
	Command    string          `json:"command,omitempty"`    // opaque to the scheduler
	Duration   time.Duration   `json:"duration,omitempty"`   // declared run time, a hint
	Checkpoint string          `json:"checkpoint,omitempty"` // where to resume, empty for the start
	Slots      int             `json:"slots,omitempty"`      // of a service replica
}

// TaskState is a worker's view of a task.
type TaskState string

// States of a task on a worker. A stopped task was ended by the worker or on
// request; a result (done, failed, stopped) is kept until acknowledged.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// Running is a task that a worker holds, running or with its result kept.
type Running struct {
	ID         string          `json:"id"`
	Kind       TaskKind        `json:"kind"`
	Group      string          `json:"group"`
	Attempt    uint32          `json:"attempt"`
	State      TaskState       `json:"state"`
	Need       resource.Vector `json:"need"`
	Checkpoint string          `json:"checkpoint,omitempty"`
	Result     string          `json:"result,omitempty"`
	Reason     string          `json:"reason,omitempty"`
}

// Usage is what one task was measured to use over an interval that ended at
// Measured; it arrives later than that.
type Usage struct {
	Task     string          `json:"task"`
	Group    string          `json:"group"`
	Measured time.Time       `json:"measured"`
	Interval time.Duration   `json:"interval"`
	Used     resource.Vector `json:"used"`
	Latency  time.Duration   `json:"latency,omitempty"` // p99 of a service replica's answers
	Requests int             `json:"requests,omitempty"`
}

// Report is a worker's account of itself.
type Report struct {
	Worker string    `json:"worker"`
	Epoch  uint64    `json:"epoch"`
	Tasks  []Running `json:"tasks"`
	Usage  []Usage   `json:"usage,omitempty"`
}

// Worker is the control side of one worker. Each call but Acquire carries
// the lease's epoch, and the worker refuses an epoch that isn't in force with
// fault.StaleEpoch.
type Worker interface {
	Acquire(ctx context.Context, request LeaseRequest) (Lease, error)
	Renew(ctx context.Context, request LeaseRequest) (Lease, error)
	Release(ctx context.Context, epoch uint64) error
	// Transfer gives the lease to another holder, which gets a new epoch; tasks go on.
	Transfer(ctx context.Context, epoch uint64, to string) (Lease, error)
	Start(ctx context.Context, epoch uint64, task TaskSpec) error
	Stop(ctx context.Context, epoch uint64, task string, checkpoint bool) error
	Throttle(ctx context.Context, epoch uint64, task string, percent int) error
	Acknowledge(ctx context.Context, epoch uint64, tasks []string) error
	Report(ctx context.Context) (Report, error)
}
