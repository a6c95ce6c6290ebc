package cell

import (
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Action is what a cell asks to be done. Each but Note, Deposed and ReportWave is
// answered by the input that is named after it.
type Action interface{ action() }

// Hold asks a worker what runs, and extends its lease.
type Hold struct {
	Order provider.HoldOrder
}

// Start starts a task.
type Start struct {
	Order provider.StartOrder
}

// Stop stops a run.
type Stop struct {
	Order provider.RunOrder
}

// Pace changes the speed of a run.
type Pace struct {
	Order provider.RunOrder
}

// Save writes records under the owner's term. A Save that is repeated has
// the same sequence and records.
type Save struct {
	Term     uint64
	Sequence uint64
	Records  []provider.KeyedRecord
}

// Advise asks which workers may run a step.
type Advise struct {
	Job         string
	Round, Step int
	Hosts       []string
}

// Upkeep takes a machine down for its upkeep.
type Upkeep struct {
	Order provider.MachineOrder
}

// ReportWave tells the operators how far a wave is. It has no answer.
type ReportWave struct {
	Number    int
	Completed bool
}

// Forget drops the records of jobs that ended long ago.
type Forget struct {
	IDs []string
}

// ListMachines asks the platform what became of its machines.
type ListMachines struct{}

// Deposed says that another owner took the cell; the cell gives no more
// orders.
type Deposed struct {
	Reason string
}

// Note is a decision for the log.
type Note struct {
	Event  string
	Fields []any // names and values in turn
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
func (Note) action()         {}
