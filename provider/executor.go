package provider

//go:generate go tool stringer -type=End,Refusal -linecomment -output=strings.go

import (
	"context"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Host is one incarnation of a worker that runs tasks of jobs. A worker that restarts may
// have a new ID or the one it had; its next incarnation runs nothing, knows no token, and
// counts its ends and its clock anew.
type Host struct {
	ID               string          `cbor:"1,keyasint"`
	Address          string          `cbor:"2,keyasint"` // host:port of its control side
	Service          string          `cbor:"3,keyasint"` // pool that it belongs to
	AvailabilityZone string          `cbor:"4,keyasint"`
	Machine          string          `cbor:"5,keyasint,omitempty"`
	Labels           []string        `cbor:"6,keyasint,omitempty"` // its kind and its rack
	Capacity         resource.Vector `cbor:"7,keyasint"`
	Draining         bool            `cbor:"8,keyasint,omitempty"`
	Left             time.Duration   `cbor:"9,keyasint,omitempty"`  // at least so long until a draining worker goes
	Cold             time.Duration   `cbor:"10,keyasint,omitempty"` // slow for so long after its start
	Born             uint64          `cbor:"11,keyasint,omitempty"` // start of this incarnation, milliseconds since 1970; zero where the platform doesn't say
}

// HostList is the platform's list of workers, whole, with all that was written
// to it before AsOf, a time on the reader's clock. Workers come, say that they
// leave and go within seconds, so an order that leans on a list has to know how
// old it is. What an entry said before it became unsound doesn't count any more. A reader
// that finds nothing changed hands over the same Hosts, which nobody changes.
type HostList struct {
	Hosts   []Host
	Unsound []string // IDs of workers whose entry names none that can be used
	AsOf    time.Duration
}

// HasLabel reports whether the worker carries a label.
func (h *Host) HasLabel(label string) bool {
	for _, l := range h.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// End tells how a run of a task ended.
type End uint8

// Ends of runs: it completed; failed by its own fault or the worker's; was
// stopped on order; its lease ran out; another member of its gang ended; the rest
// of its gang didn't come in time; its worker is gone.
const (
	EndDone    End = iota // done
	EndFailed             // failed
	EndStopped            // stopped
	EndLapsed             // lapsed
	EndBroken             // broken
	EndAlone              // alone
	EndLost               // lost
)

// Run is a task that a worker runs.
type Run struct {
	Task       string
	Attempt    uint64
	Checkpoint string        // newest one
	Percent    int           // of its work that is done; of a lasting task 100 once it is at work
	Tail       time.Duration // of a serving task: the tail of its response times
	Processors int64         // of any other: thousandths of a core in use
}

// Ended is a run that a worker lists until it is acknowledged.
type Ended struct {
	Number     uint64 // counts the ends of one incarnation from 1
	Task       string
	Attempt    uint64
	How        End
	Checkpoint string
}

// Held is a worker's answer to a HoldOrder: all that runs there, and all ends
// that aren't acknowledged.
type Held struct {
	Born    uint64 // start of the incarnation that answers, as in Host
	Clock   int64  // worker's steady clock, milliseconds
	Running []Run
	Ended   []Ended
}

// HoldOrder extends the lease of all that runs on a worker, acknowledges ends
// and asks what runs.
type HoldOrder struct {
	Host     Host
	Token    uint64 // fencing token; the worker ignores lower ones than it has seen
	Seen     uint64 // ends up to this number are recorded and may be forgotten
	Deadline int64  // lease end on the worker's clock, milliseconds; zero leaves it
	Wait     time.Duration
}

// StartOrder starts a task on a worker. It is refused after Deadline, so that
// an order that was held up on its way does nothing.
type StartOrder struct {
	Host       Host
	Token      uint64
	Task       string
	Attempt    uint64
	Spec       string
	Deadline   int64 // on the worker's clock, milliseconds
	Checkpoint string
	Ticket     string // from the adviser, where the queue has one
}

// RunOrder stops or paces a run.
type RunOrder struct {
	Host    Host
	Token   uint64
	Task    string
	Attempt uint64
	Percent int // of full speed, for a pace
}

// Refusal tells why a worker didn't start a task.
type Refusal uint8

// Refusals of a start: a higher token was seen; the attempt isn't higher than
// one that ended there; the deadline had passed; there is no capacity; the ticket
// isn't valid; the worker is unhealthy and did nothing; the order was malformed
// or named unknown work.
const (
	Accepted      Refusal = iota // none
	RefusedToken                 // token
	RefusedOld                   // old
	RefusedLate                  // late
	RefusedRoom                  // room
	RefusedTicket                // ticket
	RefusedHealth                // health
	RefusedOther                 // other
)

// Executor gives orders to workers. An error of kind fault.NotFound says that a
// worker with another ID answered at the address, one of kind fault.StaleEpoch
// that a higher token was seen. After fault.MayHaveRun an order may still be
// carried out, also by the next incarnation under the ID.
type Executor interface {
	Hold(ctx context.Context, order HoldOrder) (Held, error)
	Start(ctx context.Context, order StartOrder) (Refusal, error)
	Stop(ctx context.Context, order RunOrder) error
	Pace(ctx context.Context, order RunOrder) error
}

// Ticket allows a worker to run a step.
type Ticket struct {
	Host   string
	Ticket string
}

// Adviser says which workers may run a step of a queue that asks for it.
type Adviser interface {
	Advise(ctx context.Context, step string, hosts []string) ([]Ticket, time.Duration, error)
}

// MachineState is what the platform says of a machine.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota
	MachineMoving
	MachineUpkeep
	MachineDown
	MachineUnknown // what the platform says of it isn't understood
)

// Machine is a machine that carries one incarnation of a worker at a time. One without
// an ID is of state MachineUnknown: any machine that isn't on its list may be it.
type Machine struct {
	ID    string
	Pool  string
	State MachineState
	Host  string // ID of its worker
}

// MachineOrder moves a machine to another pool, or has its upkeep done.
type MachineOrder struct {
	Machine string
	Pool    string // for a move
	Wave    int    // for an upkeep
	Holder  string
	Token   uint64
}

// Machines is the platform's interface to the machines under the workers.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, order MachineOrder) error
	Move(ctx context.Context, order MachineOrder) error
	// Report tells the operators how far a wave of upkeep is.
	Report(ctx context.Context, wave int, completed bool) error
}

// Wave asks that each of its machines has its upkeep in time.
type Wave struct {
	Number   int
	Machines []string
	Within   time.Duration // from when it was published
	Most     int           // at once
}
