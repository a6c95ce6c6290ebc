// Package provider declares what the surrounding platform provides: a log
// service, an instance list and workers. It has only interfaces and plain
// data, so that decision packages can use its types without any transport.
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

// Page is a run of consecutive entries. Oldest is the first offset still kept;
// Next is the offset of the next entry to be appended.
type Page struct {
	Oldest  uint64  `cbor:"1,keyasint" json:"oldest"`
	Next    uint64  `cbor:"2,keyasint" json:"next"`
	Entries []Entry `cbor:"3,keyasint" json:"entries"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records to a stream and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to limit entries starting at an offset, and waits up to wait
	// for the first. An offset older than Page.Oldest gives fault.Expired together
	// with a page that has Oldest and Next.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Role is what a listed instance runs.
type Role string

// Roles of listed instances.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Status is whether a listed instance is in service.
type Status string

// Statuses of listed instances.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID               string          `json:"id"`
	Role             Role            `json:"role"`
	AvailabilityZone string          `json:"zone"`
	Rack             string          `json:"rack,omitempty"`
	Address          string          `json:"address"`          // host:port; of an entry instance its peer listener
	Caller           string          `json:"caller,omitempty"` // host:port of an entry instance's caller listener
	Status           Status          `json:"status"`
	Capacity         resource.Vector `json:"capacity"`        // of a worker
	Slots            int             `json:"slots,omitempty"` // concurrent requests that a worker serves
}

// List is the platform's instance list. It lags behind the actual state.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// LeaseRequest requests a worker's lease, or its renewal when Epoch is the
// current epoch. A worker's lease is exclusive and expires; each new grant has a
// higher epoch, and one that no other incarnation of the worker grants, see
// NextEpoch. After a lease has expired, no epoch is in force, even when the
// worker has no new holder. A started task is covered until the end of the lease
// or until the time to which TaskExtension extended its own lease, whichever is
// later.
type LeaseRequest struct {
	Holder        string        `json:"holder"`
	Worker        string        `json:"worker,omitempty"` // ID of the worker; another one, which may have its address now, refuses to grant
	Epoch         uint64        `json:"epoch,omitempty"`  // zero to acquire, else the epoch to renew
	AboveEpoch    uint64        `json:"after,omitempty"`  // highest known epoch; an acquired epoch is above it, even if the worker has restarted since
	TTL           time.Duration `json:"ttl"`              // duration of the lease
	TaskExtension time.Duration `json:"tasks,omitempty"`  // extends the batch tasks' own leases by this time; zero leaves them unchanged
}

// Lease is a worker's answer to a LeaseRequest.
type Lease struct {
	Epoch    uint64          `json:"epoch"`
	TTL      time.Duration   `json:"ttl"`
	Capacity resource.Vector `json:"capacity"`
	Slots    int             `json:"slots"`
	Tasks    []TaskStatus    `json:"tasks"` // all tasks on the worker, also those with a result that isn't acknowledged
}

// TaskKind distinguishes batch tasks from replicas of services.
type TaskKind string

// Kinds of tasks.
const (
	KindBatch   TaskKind = "batch"
	KindService TaskKind = "service"
)

// TaskSpec specifies a task for a worker.
type TaskSpec struct {
	ID         string          `json:"id"`
	Kind       TaskKind        `json:"kind"`
	Group      string          `json:"group"`
	Attempt    uint32          `json:"attempt"`
	Need       resource.Vector `json:"need"`
	Command    string          `json:"command,omitempty"`    // opaque to the scheduler
	Duration   time.Duration   `json:"duration,omitempty"`   // declared run time, a hint
	Checkpoint string          `json:"checkpoint,omitempty"` // checkpoint to resume from; empty for the start
	Slots      int             `json:"slots,omitempty"`      // only for a service replica
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker. A stopped task was ended by the worker or on
// request; a result (done, failed, stopped) is kept until acknowledged.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// TaskStatus is a task on a worker, either running or ended with its result
// kept.
type TaskStatus struct {
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

// Usage is the measured use of one task over an interval that ended at
// MeasuredAt. It arrives later than that.
type Usage struct {
	Task       string          `json:"task"`
	Group      string          `json:"group"`
	MeasuredAt time.Time       `json:"measured"`
	Interval   time.Duration   `json:"interval"`
	Used       resource.Vector `json:"used"`
	Latency    time.Duration   `json:"latency,omitempty"` // p99 of a service replica's response times
	Requests   int             `json:"requests,omitempty"`
}

// Report is a worker's state and usage measurements.
type Report struct {
	Worker string       `json:"worker"`
	Epoch  uint64       `json:"epoch"`
	Tasks  []TaskStatus `json:"tasks"`
	Usage  []Usage      `json:"usage,omitempty"`
}

// Worker is the control interface of one worker. Each call except Acquire
// carries the lease's epoch, and the worker refuses an epoch that isn't in
// force with fault.StaleEpoch.
type Worker interface {
	Acquire(ctx context.Context, request LeaseRequest) (Lease, error)
	Renew(ctx context.Context, request LeaseRequest) (Lease, error)
	Release(ctx context.Context, epoch uint64) error
	// Transfer passes the lease to another holder under a new epoch. Tasks keep
	// running.
	Transfer(ctx context.Context, epoch uint64, to string) (Lease, error)
	Start(ctx context.Context, epoch uint64, task TaskSpec) error
	Stop(ctx context.Context, epoch uint64, task string, checkpoint bool) error
	Throttle(ctx context.Context, epoch uint64, task string, percent int) error
	Acknowledge(ctx context.Context, epoch uint64, tasks []string) error
	Report(ctx context.Context) (Report, error)
}
