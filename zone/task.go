package zone

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// TaskState is where a task stands. Its values follow task.yaml.
type TaskState int

// States of a task.
const (
	Queued TaskState = iota
	Escrowed
	Parked
	Done
	Cancelled
)

// Task is a copy of what is known of a task. An ended one has lost its
// command and checkpoint.
type Task struct {
	record.Task
	State       TaskState
	Attempt     uint32 // starts at 1
	Owner       string // instance whose escrow holds it
	Incarnation uint64 // of the owner
	Checkpoint  string
	Submitted   time.Time
	Ended       time.Time // zero until done or cancelled
	Worker      string    // last known
	Failures    int       // distinct workers it failed on, not counting quarantined ones
	FailedOn    []string  // those workers
	Reason      string    // of the last failure or of parking
	Result      string    // of a done task
	Cancelling  bool      // cancelled while escrowed; its State stays Escrowed until it ends
}

// Bounds of what a record may set on a task. A longer reason or result is
// cut; a longer checkpoint is ignored, and the task resumes from the one
// before it; a task that is longer elsewhere is refused.
const (
	maxName       = 128
	maxCommand    = 4096
	maxCheckpoint = 1024
	maxNote       = 512
	maxAmount     = 1 << 40 // of a resource, so that sums can't overflow
)

// taskOverhead is the most that a task takes in a snapshot beside its strings.
const taskOverhead = 124

// task is the folded form of a task.
type task struct {
	id, job    string
	command    string
	checkpoint string
	note       string // result when done, else the reason
	worker     string
	need       resource.Vector
	duration   time.Duration
	group      *group
	owner      *run   // nil unless in an escrow
	before     *task  // ring of the job's tasks that haven't ended
	after      *task  // in the order of submission
	serial     uint64 // order of submission; zero once ended
	submitted  int64  // Unix time in microseconds, as all times here
	ended      int64
	attempt    uint32
	state      chart.State
	urgent     bool
	declared   bool   // remembered when it has ended
	found      bool   // an Own record found the attempt on a worker
	suspect    bool   // it has failed somewhere
	failures   uint32 // attempts that failed on workers that weren't quarantined
}

func (t *task) size() int {
	return taskOverhead + len(t.id) + len(t.job) + len(t.command) + len(t.checkpoint) + len(t.note) + len(t.worker) + len(t.group.name)
}

func (s *State) view(t *task) Task {
	v := Task{
		Task: record.Task{
			ID: t.id, Job: t.job, Group: t.group.name, Need: t.need,
			Command: t.command, Duration: t.duration, Urgent: t.urgent, Declared: t.declared,
		},
		State:      TaskState(t.state),
		Attempt:    t.attempt,
		Checkpoint: t.checkpoint,
		Submitted:  moment(t.submitted),
		Ended:      moment(t.ended),
		Worker:     t.worker,
		Failures:   len(s.blames[t]),
	}
	for _, w := range s.blames[t] {
		v.FailedOn = append(v.FailedOn, w.id)
	}
	if t.state == stateCancelling {
		v.State = Escrowed
		v.Cancelling = true
	}
	if t.state == stateDone {
		v.Result = t.note
	} else {
		v.Reason = t.note
	}
	if t.owner != nil {
		v.Owner = t.owner.writer.ID
		v.Incarnation = t.owner.writer.Incarnation
	}
	return v
}

func moment(micro int64) time.Time {
	if micro == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micro).UTC()
}

func validTask(t record.Task) bool {
	return validName(t.ID) && len(t.Job) <= maxName && validName(t.Group) && len(t.Command) <= maxCommand &&
		validAmount(t.Need) && !t.Need.IsZero() && t.Duration >= 0
}

func validName(name string) bool {
	return name != "" && len(name) <= maxName
}

func validAmount(v resource.Vector) bool {
	return !v.IsNegative() && v.Fits(resource.Vector{Processors: maxAmount, Memory: maxAmount, Accelerators: maxAmount})
}
