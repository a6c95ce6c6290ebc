package cell

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// Input is an event that a cell reacts to.
type Input interface{ input() }

// JobChanged announces a job that was accepted or cancelled.
type JobChanged struct {
	Entry catalog.Entry
}

// WorkerList carries the platform's list of workers. List.AsOf is on the clock of Step.
type WorkerList struct {
	List provider.HostList
}

// ConfigChanged carries a new configuration of the queues.
type ConfigChanged struct {
	Table *queue.Table
}

// HoldReply is the outcome of a Hold.
type HoldReply struct {
	Host  string
	Token uint64        // of the order
	Sent  time.Duration // when the order was sent
	Held  provider.HoldResult
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
	Sent    time.Duration // when the order was sent
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

// SaveReply is the outcome of a Save.
type SaveReply struct {
	Sequence uint64
	Err      error
}

// WavesRequested carries the maintenance waves that the operators requested.
type WavesRequested struct {
	Waves []provider.Wave
}

// ZonesCordoned carries the complete set of cordoned availability zones, whose workers get no
// new tasks.
type ZonesCordoned struct {
	AvailabilityZones []string
}

// AdviseReply is the outcome of an Advise.
type AdviseReply struct {
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

// ForgetReply is the outcome of a Forget.
type ForgetReply struct {
	IDs []string
	Err error
}

// ListMachinesReply is the outcome of a ListMachines.
type ListMachinesReply struct {
	Machines []provider.Machine
	Sent     time.Duration // when the request was sent
	Err      error
}

// Tick reports that time has passed. Wall is the time of day, which schedules go by.
type Tick struct {
	Wall time.Time
}

func (JobChanged) input()        {}
func (WorkerList) input()        {}
func (ConfigChanged) input()     {}
func (HoldReply) input()         {}
func (StartReply) input()        {}
func (StopReply) input()         {}
func (PaceReply) input()         {}
func (SaveReply) input()         {}
func (WavesRequested) input()    {}
func (ZonesCordoned) input()     {}
func (AdviseReply) input()       {}
func (UpkeepReply) input()       {}
func (ForgetReply) input()       {}
func (ListMachinesReply) input() {}
func (Tick) input()              {}
