package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// Input is an event that a cell reacts to.
type Input interface{ input() }

// Arrived announces a job that was accepted or cancelled.
type Arrived struct {
	Entry catalog.Entry
}

// Hosts carries the platform's list of workers. List.AsOf is on the clock of Step.
type Hosts struct {
	List provider.HostList
}

// Configured carries a new configuration of the queues.
type Configured struct {
	Table *queue.Table
}

// HoldReply is the outcome of a Hold.
type HoldReply struct {
	Host  string
	Token uint64        // of the order
	Sent  time.Duration // when the order was sent
	Held  provider.Held
	Err   error
}

// StartReply is the outcome of a Start.
type StartReply struct {
	Host    string
	Token   uint64 // of the order
	Task    string
	Attempt uint64
	Sent    time.Duration // when the order was sent
	Refusal provider.Refusal
	Err     error
}

// StopReply is the outcome of a Stop.
type StopReply struct {
	Host    string
	Token   uint64 // of the order
	Task    string
	Attempt uint64
	Err     error
}

// PaceReply is the outcome of a Pace.
type PaceReply struct {
	Host    string
	Token   uint64 // of the order
	Task    string
	Attempt uint64
	Percent int
	Err     error
}

// Saved is the outcome of a Save.
type Saved struct {
	Sequence uint64
	Err      error
}

// Waves carries the maintenance waves that the operators requested.
type Waves struct {
	Waves []provider.Wave
}

// Cordoned carries the complete set of cordoned availability zones, whose workers get no
// new tasks.
type Cordoned struct {
	AvailabilityZones []string
}

// Advised is the outcome of an Advise.
type Advised struct {
	Job         string
	Round, Step int
	Hosts       []string
	Tickets     []provider.Ticket
	Valid       time.Duration
	Sent        time.Duration
	Err         error
}

// UpkeepReply is the outcome of an Upkeep.
type UpkeepReply struct {
	Machine string
	Wave    int
	Err     error
}

// Forgotten is the outcome of a Forget.
type Forgotten struct {
	IDs []string
	Err error
}

// MachineList is the outcome of a ListMachines.
type MachineList struct {
	Machines []provider.Machine
	Sent     time.Duration // when the request was sent
	Err      error
}

// Tick reports that time has passed. Wall is the time of day, which schedules go by.
type Tick struct {
	Wall time.Time
}

func (Arrived) input()     {}
func (Hosts) input()       {}
func (Configured) input()  {}
func (HoldReply) input()   {}
func (StartReply) input()  {}
func (StopReply) input()   {}
func (PaceReply) input()   {}
func (Saved) input()       {}
func (Waves) input()       {}
func (Cordoned) input()    {}
func (Advised) input()     {}
func (UpkeepReply) input() {}
func (Forgotten) input()   {}
func (MachineList) input() {}
func (Tick) input()        {}
