package cell

import (
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Action is something that the caller of Step has to carry out. Its outcome comes back as
// an input, for example HoldReply for Hold. LogEvent, CopyEnded, Deposed and ReportWave have
// no outcome.
type Action interface{ action() }

// Hold asks a worker for its runs, their progress and their ends, and renews its lease.
type Hold struct {
	Order provider.HoldOrder
}

// Start starts a task.
type Start struct {
	Order provider.StartOrder
	Copy  bool // it is the second run of its task
}

// CopyEnded reports the outcome of a second run.
type CopyEnded struct {
	Won         bool    // its task was completed by it, or left to it
	CoreSeconds float64 // duplicate work that wasn't used
}

// Stop stops a run.
type Stop struct {
	Order provider.RunOrder
}

// Pace sets the speed of a run.
type Pace struct {
	Order provider.RunOrder
}

// Save writes records under the owner's term. A retried Save has the same sequence and
// records.
type Save struct {
	Term     uint64
	Sequence uint64
	Records  []provider.KeyedRecord
}

// Advise asks the adviser which of the given workers may run a step.
type Advise struct {
	Job         string
	Round, Step int
	Hosts       []string
}

// Upkeep takes a machine down for maintenance.
type Upkeep struct {
	Order provider.MachineOrder
}

// ReportWave reports the state of a maintenance wave to the operators.
type ReportWave struct {
	Number    int
	Completed bool
}

// Forget deletes the records of jobs that ended long ago.
type Forget struct {
	IDs []string
}

// ListMachines asks the platform for the state of its machines.
type ListMachines struct{}

// Deposed reports that another owner took the cell. The cell emits no more actions.
type Deposed struct {
	Reason string
}

// LogEvent is a log line about a decision.
type LogEvent struct {
	Event  string
	Fields []any // alternating keys and values
}

func (Hold) action()         {}
func (Start) action()        {}
func (Stop) action()         {}
func (Pace) action()         {}
func (Save) action()         {}
func (Deposed) action()      {}
func (Advise) action()       {}
func (Upkeep) action()       {}
func (ReportWave) action()   {}
func (Forget) action()       {}
func (ListMachines) action() {}
func (CopyEnded) action()    {}
func (LogEvent) action()     {}
