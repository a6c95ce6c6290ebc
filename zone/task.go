package zone

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// TaskState is the state of a task. Its values are in the order of task.yaml.
type TaskState int

// States of a task.
const (
	Queued TaskState = iota
	Escrowed
	Parked
	Done
	Cancelled
)

// Task is a copy of the state of a task. The command and checkpoint of an
// ended task are empty.
type Task struct {
	record.Task
	State       TaskState
	Attempt     uint32 // starts at 1
	Owner       string // instance whose escrow holds the task
	Incarnation uint64 // of the owner
	Checkpoint  string
	Submitted   time.Time
	Ended       time.Time // zero until done or cancelled
	Worker      string    // last known worker
	Failures    int       // number of workers in FailedOn
	FailedOn    []string  // distinct workers that the task failed on, without quarantined ones
	Reason      string    // of the last failure or of parking
	Result      string    // of a done task
	Cancelling  bool      // cancelled while escrowed; its State stays Escrowed until it ends
}

// Bounds of the fields that a record may set on a task, in bytes. A longer
// reason or result is cut. A longer checkpoint is ignored, and the task resumes
// from the previous one. A task with another field above its bound is refused.
const (
	maxName       = 128
	maxCommand    = 4096
	maxCheckpoint = 1024
	maxMessage    = 512
)

// taskOverhead is the maximum size of a task in a snapshot without its strings,
// in bytes.
const taskOverhead = 124

// task is the internal state of a task.
type task struct {
	id, job       string
	command       string
	checkpoint    string
	message       string // result of a done task, otherwise the reason
	worker        string
	need          resource.Vector
	duration      time.Duration
	group         *group
	owner         *incarnation // nil unless in an escrow
	prevInJob     *task        // circular list of the job's tasks that haven't ended,
	nextInJob     *task        // in the order of submission
	serial        uint64       // order of submission; zero once ended
	submittedAt   int64        // Unix time in microseconds, like all times of the state
	endedAt       int64
	attempt       uint32
	state         chart.State
	urgent        bool
	declared      bool   // kept after its end until it is cancelled
	foundOnWorker bool   // an Own record listed the current attempt as held by a worker
	hasFailed     bool   // an attempt has failed before
	failures      uint32 // attempts that failed on workers that weren't quarantined
}

func (t *task) encodedSize() int {
	return taskOverhead + len(t.id) + len(t.job) + len(t.command) + len(t.checkpoint) + len(t.message) + len(t.worker) + len(t.group.name)
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
		Submitted:  toTime(t.submittedAt),
		Ended:      toTime(t.endedAt),
		Worker:     t.worker,
		Failures:   len(s.failedOn[t]),
	}
	for _, w := range s.failedOn[t] {
		v.FailedOn = append(v.FailedOn, w.id)
	}
	if t.state == stateCancelling {
		v.State = Escrowed
		v.Cancelling = true
	}
	if t.state == stateDone {
		v.Result = t.message
	} else {
		v.Reason = t.message
	}
	if t.owner != nil {
		v.Owner = t.owner.writer.ID
		v.Incarnation = t.owner.writer.Incarnation
	}
	return v
}

func toTime(micro int64) time.Time {
	if micro == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micro).UTC()
}

func isValidTask(t record.Task) bool {
	return isValidName(t.ID) && len(t.Job) <= maxName && isValidName(t.Group) && len(t.Command) <= maxCommand &&
		t.Need.IsValid() && !t.Need.IsZero() && t.Duration >= 0
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxName
}
