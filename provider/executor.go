package provider

//go:generate go tool stringer -type=End,Refusal -linecomment -output=strings.go

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Host is one incarnation of a worker that runs tasks of jobs. A restarted
// worker may have a new ID or its previous one; its new incarnation runs
// nothing, has seen no fencing token, and starts its numbering of ends and its
// clock anew.
type Host struct {
	ID               string          `cbor:"1,keyasint"`
	Address          string          `cbor:"2,keyasint"` // host:port of its control interface
	Service          string          `cbor:"3,keyasint"` // pool that it belongs to
	AvailabilityZone string          `cbor:"4,keyasint"`
	Machine          string          `cbor:"5,keyasint,omitempty"`
	Labels           []string        `cbor:"6,keyasint,omitempty"` // such as its kind and its rack
	Capacity         resource.Vector `cbor:"7,keyasint"`
	Draining         bool            `cbor:"8,keyasint,omitempty"`
	TimeLeft         time.Duration   `cbor:"9,keyasint,omitempty"`  // minimum time until a draining worker stops
	ColdFor          time.Duration   `cbor:"10,keyasint,omitempty"` // slow for this long after its start
	StartedAt        uint64          `cbor:"11,keyasint,omitempty"` // start of this incarnation, milliseconds since 1970; zero where the platform doesn't say
}

// HostList is the platform's complete list of workers, with everything that
// was written to it before AsOf, a time on the reader's clock. Workers come,
// announce that they leave, and stop within seconds, so a decision based on a
// list depends on the list's age. The previous content of an entry that has
// become invalid must not be used. A reader that finds no change returns the
// same Hosts, which must not be modified.
type HostList struct {
	Hosts   []Host
	Writes  []EntryWrite // of the entries in Hosts, in the same order; empty if nothing is known
	Invalid []string     // IDs of workers whose entry is unusable
	AsOf    time.Duration
}

// EntryWrite tells when a worker's entry was last written, as far as it is known. A worker
// describes itself as it is then: a list that was just read may have entries from before an
// outage, in which no worker could report that it changed.
type EntryWrite struct {
	Clock int64         // on the worker's clock, as in HoldResult; zero if the entry doesn't say
	After time.Duration // the entry was written after this time on the reader's clock
}

// HasLabel reports whether the worker has a label.
func (h *Host) HasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// End is how a run of a task ended.
type End uint8

// Ends of runs: completed; failed because of the task or the worker; stopped
// by an order; lease expired; another member of its gang ended; the rest of its
// gang didn't start in time; its worker is gone.
const (
	EndDone           End = iota // done
	EndFailed                    // failed
	EndStopped                   // stopped
	EndLapsed                    // lapsed
	EndGangBroken                // broken
	EndGangIncomplete            // alone
	EndLost                      // lost
)

// Run is a task that is running on a worker.
type Run struct {
	Task        string
	Attempt     uint64
	Checkpoint  string        // the newest one
	Percent     int           // completed part of its work; 100 for a long-running task once it is in service
	TailLatency time.Duration // tail latency of a serving task
	Processors  int64         // processors used by any other task, in thousandths of a core
}

// EndedRun is an ended run, which a worker lists until it is acknowledged.
type EndedRun struct {
	Number     uint64 // counts the ends of one incarnation from 1
	Task       string
	Attempt    uint64
	End        End
	Checkpoint string
}

// HoldResult is a worker's answer to a HoldOrder: all running tasks, and the ended runs
// that aren't acknowledged, the oldest first. An answer with MoreEnded may leave out the
// newest of these: a run that it doesn't list may have ended in any way.
type HoldResult struct {
	StartedAt uint64 // start of the incarnation that answers, as in Host
	Clock     int64  // worker's monotonic clock, milliseconds
	Running   []Run
	Ended     []EndedRun
	MoreEnded bool
}

// HoldOrder extends the lease of all tasks running on a worker, acknowledges
// ended runs and requests the list of both. The acknowledgement is left out unless
// the order can't reach any other incarnation than AckedIncarnation; the answer then
// lists the ended runs again.
type HoldOrder struct {
	Host             Host
	Token            uint64 // fencing token; the worker refuses orders with a lower one than it has seen
	AckedEnd         uint64 // ended runs up to this number are recorded and may be forgotten
	AckedIncarnation uint64 // StartedAt of the incarnation that numbered AckedEnd; zero if IDs of workers aren't used again
	Deadline         int64  // lease end on the worker's clock, milliseconds; zero leaves it unchanged
	Wait             time.Duration
}

// StartOrder starts a task on a worker. The worker refuses it after Deadline,
// so that a delayed order has no effect.
type StartOrder struct {
	Host       Host
	Token      uint64
	Task       string
	Attempt    uint64
	Spec       string
	Deadline   int64 // on the worker's clock, milliseconds
	Checkpoint string
	Ticket     string // from the adviser, if the queue has one
}

// RunOrder stops a run or changes its speed.
type RunOrder struct {
	Host    Host
	Token   uint64
	Task    string
	Attempt uint64
	Percent int // of full speed, only for Pace
}

// Refusal is the reason why a worker didn't start a task.
type Refusal uint8

// Refusals of a start: the worker has seen a higher token; the attempt isn't
// higher than one that ended there; the deadline has passed; there is no
// capacity; the ticket isn't valid; the worker is unhealthy and did nothing; the
// order is malformed or names unknown work.
const (
	Accepted        Refusal = iota // none
	RefusedToken                   // token
	RefusedAttempt                 // old
	RefusedLate                    // late
	RefusedCapacity                // room
	RefusedTicket                  // ticket
	RefusedHealth                  // health
	RefusedOther                   // other
)

// Executor sends orders to workers. An error of kind fault.NotFound means that
// a worker with another ID answered at the address, one of kind
// fault.StaleEpoch that the worker has seen a higher token. After
// fault.MayHaveRun an order may still be carried out later, even by the next
// incarnation under the same ID.
type Executor interface {
	Hold(ctx context.Context, order HoldOrder) (HoldResult, error)
	Start(ctx context.Context, order StartOrder) (Refusal, error)
	Stop(ctx context.Context, order RunOrder) error
	Pace(ctx context.Context, order RunOrder) error
}

// Ticket allows a worker to run a step.
type Ticket struct {
	Host  string
	Value string
}

// Adviser returns the workers that may run a step, for queues that require it.
type Adviser interface {
	Advise(ctx context.Context, step string, hosts []string) ([]Ticket, time.Duration, error)
}

// MachineState is the state of a machine as reported by the platform.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota
	MachineMoving
	MachineUpkeep
	MachineDown
	MachineUnknown // the platform reported a state that isn't known
)

// Machine is a machine that runs one incarnation of a worker at a time. A
// machine without an ID has state MachineUnknown: it can be any machine that
// isn't on the list.
type Machine struct {
	ID    string
	Pool  string
	State MachineState
	Host  string // ID of its worker
}

// MachineOrder moves a machine to another pool, or starts its upkeep.
type MachineOrder struct {
	Machine string
	Pool    string // for a move
	Wave    int    // for an upkeep
	Holder  string
	Token   uint64
}

// Machines is the platform's interface to the machines that run the workers.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, order MachineOrder) error
	Move(ctx context.Context, order MachineOrder) error
	// Report informs the operators of the progress of a wave of upkeep.
	Report(ctx context.Context, wave int, completed bool) error
}

// Wave requests the upkeep of a set of machines within a time.
type Wave struct {
	Number         int
	Machines       []string
	CompleteWithin time.Duration // counted from the publication of the wave
	MaxConcurrent  int           // maximum number of machines in upkeep at once
}
