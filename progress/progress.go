// Package progress records the progress of a job: which tasks are done, how
// often each failed, and the checkpoints from which interrupted tasks resume. A job has
// one record, which is rewritten with each change.
//
// Usage:
//
//	p := progress.New(j)
//	p.RecordFailure(task, attempt)
//	if p.Failures(task) >= j.Terms.Attempts {
//		p.State = progress.Failed
//	}
//	data, err := p.Encode()
//
// Every change is idempotent: a worker may report the end of a task again after a
// takeover.
package progress

//go:generate go tool stringer -type=State -linecomment -output=strings.go

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/crash"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
)

// State is the state of a job.
type State uint8

// States of a job. The last three are final.
const (
	Queued    State = iota // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Cancelled              // cancelled
)

// Final reports whether the state can't change any more.
func (s State) Final() bool {
	return s >= Completed
}

// Progress is the progress of one job. Claimed is recorded before the first start of a
// task, so that no owner has started a task of a job without it.
type Progress struct {
	State       State         `cbor:"1,keyasint,omitempty"`
	Rounds      map[int]Round `cbor:"2,keyasint,omitempty"` // by occurrence, of occurrences that have started and aren't done
	Closed      []int         `cbor:"3,keyasint,omitempty"` // occurrences that are done
	Ended       int64         `cbor:"4,keyasint,omitempty"` // when the state became final, Unix milliseconds
	Claimed     bool          `cbor:"5,keyasint,omitempty"`
	stepOffsets []int         // number of tasks before each step
}

// Round is the progress of one occurrence. Tasks are numbered through all
// steps.
type Round struct {
	Done    []byte                `cbor:"1,keyasint,omitempty"` // a bit for each task
	Failed  map[int][]uint64      `cbor:"2,keyasint,omitempty"` // failed attempts by task
	Saved   map[int]string        `cbor:"3,keyasint,omitempty"` // checkpoints of interrupted tasks
	Crashes map[int]crash.History `cbor:"4,keyasint,omitempty"` // by tasks whose workers crashed
	Strays  map[int][]string      `cbor:"5,keyasint,omitempty"` // by task, the workers that a start without an outcome may reach late
	Starts  map[int]Start         `cbor:"6,keyasint,omitempty"` // by task, the last start of those whose starts are on record
}

// Start is a start of a task that was put on record before it was ordered.
type Start struct {
	Host  string `cbor:"1,keyasint"`           // ID of the worker
	Begun bool   `cbor:"2,keyasint,omitempty"` // the worker has listed the run
}

// New returns the progress of a job that hasn't started.
func New(j *job.Job) *Progress {
	p := &Progress{}
	p.Bind(j)
	return p
}

// Bind sets the numbering of tasks from the steps of the job. A decoded Progress needs it
// before use.
func (p *Progress) Bind(j *job.Job) {
	p.stepOffsets = make([]int, len(j.Steps)+1)
	for i := range j.Steps {
		p.stepOffsets[i+1] = p.stepOffsets[i] + j.Steps[i].Count
	}
	for n, r := range p.Rounds {
		if size := p.doneBytes(); len(r.Done) > 0 && len(r.Done) < size {
			r.Done = append(r.Done, make([]byte, size-len(r.Done))...) // the record was written for fewer tasks
			p.Rounds[n] = r
		}
	}
}

// doneBytes returns the size of a round's Done.
func (p *Progress) doneBytes() int {
	return (p.stepOffsets[len(p.stepOffsets)-1] + 7) / 8
}

// Decode returns the Progress of a record. Bind it before use.
func Decode(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "progress record")
	}
	if p.State > Cancelled {
		return nil, fault.New(fault.Invalid, "progress record of state %d", p.State)
	}
	return p, nil
}

// Encode returns the record of p.
func (p *Progress) Encode() ([]byte, error) {
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "progress record")
	}
	return data, nil
}

func (p *Progress) taskNumber(t job.Task) int {
	return p.stepOffsets[t.Step] + t.Index
}

// IsClosed reports whether an occurrence is done.
func (p *Progress) IsClosed(occurrence int) bool {
	return slices.Contains(p.Closed, occurrence)
}

// IsDone reports whether a task has succeeded.
func (p *Progress) IsDone(t job.Task) bool {
	if p.IsClosed(t.Occurrence) {
		return true
	}
	done := p.Rounds[t.Occurrence].Done
	n := p.taskNumber(t)
	return n/8 < len(done) && done[n/8]&(1<<(n%8)) != 0
}

// RecordDone records that a task has succeeded. It reports whether the record changed.
func (p *Progress) RecordDone(t job.Task) bool {
	if p.IsDone(t) {
		return false
	}
	r := p.round(t.Occurrence)
	n := p.taskNumber(t)
	if len(r.Done) == 0 {
		r.Done = make([]byte, p.doneBytes())
	}
	r.Done[n/8] |= 1 << (n % 8)
	delete(r.Saved, n)
	delete(r.Failed, n)
	delete(r.Crashes, n)
	delete(r.Strays, n)
	delete(r.Starts, n)
	p.Rounds[t.Occurrence] = r
	return true
}

// Close records that an occurrence is done as a whole.
func (p *Progress) Close(occurrence int) {
	delete(p.Rounds, occurrence)
	if !p.IsClosed(occurrence) {
		p.Closed = append(p.Closed, occurrence)
	}
}

// RecordFailure records a failed attempt at a task. It reports whether the record
// changed. A worker repeats the end of an attempt until it is acknowledged, also to the
// next owner; counting it twice would fail the job too early.
func (p *Progress) RecordFailure(t job.Task, attempt uint64) bool {
	n := p.taskNumber(t)
	r := p.round(t.Occurrence)
	if slices.Contains(r.Failed[n], attempt) {
		return false
	}
	if r.Failed == nil {
		r.Failed = make(map[int][]uint64)
	}
	r.Failed[n] = append(r.Failed[n], attempt)
	p.Rounds[t.Occurrence] = r
	return true
}

// Failures returns how many attempts at a task failed.
func (p *Progress) Failures(t job.Task) int {
	return len(p.Rounds[t.Occurrence].Failed[p.taskNumber(t)])
}

// SetCheckpoint records the checkpoint of an interrupted task. It reports whether the record
// changed.
func (p *Progress) SetCheckpoint(t job.Task, checkpoint string) bool {
	n := p.taskNumber(t)
	r := p.round(t.Occurrence)
	if checkpoint == "" || r.Saved[n] == checkpoint {
		return false
	}
	if r.Saved == nil {
		r.Saved = make(map[int]string)
	}
	r.Saved[n] = checkpoint
	p.Rounds[t.Occurrence] = r
	return true
}

// Checkpoint returns the checkpoint from which a task resumes, empty if there is none.
func (p *Progress) Checkpoint(t job.Task) string {
	return p.Rounds[t.Occurrence].Saved[p.taskNumber(t)]
}

// Crashes returns the history of workers that crashed while they ran a task.
func (p *Progress) Crashes(t job.Task) crash.History {
	return p.Rounds[t.Occurrence].Crashes[p.taskNumber(t)]
}

// SetCrashes records the history of workers that crashed while they ran a task.
func (p *Progress) SetCrashes(t job.Task, h crash.History) {
	n := p.taskNumber(t)
	r := p.round(t.Occurrence)
	if r.Crashes == nil {
		r.Crashes = make(map[int]crash.History)
	}
	r.Crashes[n] = h
	if h == (crash.History{}) {
		delete(r.Crashes, n)
	}
	p.Rounds[t.Occurrence] = r
}

// AddStray records that a start of a task may reach a worker late, or any worker if host is
// empty. It reports whether the record changed.
func (p *Progress) AddStray(t job.Task, host string) bool {
	n := p.taskNumber(t)
	r := p.round(t.Occurrence)
	if slices.Contains(r.Strays[n], host) {
		return false
	}
	if r.Strays == nil {
		r.Strays = make(map[int][]string)
	}
	r.Strays[n] = append(r.Strays[n], host)
	p.Rounds[t.Occurrence] = r
	return true
}

// Strays returns the workers that a start of a task may reach late.
func (p *Progress) Strays(t job.Task) []string {
	return p.Rounds[t.Occurrence].Strays[p.taskNumber(t)]
}

// DropStrays records that no start of a task may reach a worker late any more. It reports
// whether the record changed.
func (p *Progress) DropStrays(t job.Task) bool {
	n := p.taskNumber(t)
	strays := p.Rounds[t.Occurrence].Strays
	if len(strays[n]) == 0 {
		return false
	}
	delete(strays, n)
	return true
}

// RecordStart records the last start of a task. It reports whether the record changed.
func (p *Progress) RecordStart(t job.Task, s Start) bool {
	n := p.taskNumber(t)
	r := p.round(t.Occurrence)
	if r.Starts[n] == s {
		return false
	}
	if r.Starts == nil {
		r.Starts = make(map[int]Start)
	}
	r.Starts[n] = s
	p.Rounds[t.Occurrence] = r
	return true
}

// LastStart returns the last start of a task, the zero Start if none is on record or it has
// ended.
func (p *Progress) LastStart(t job.Task) Start {
	return p.Rounds[t.Occurrence].Starts[p.taskNumber(t)]
}

// DropStart records that the last start of a task has ended. It reports whether the record
// changed.
func (p *Progress) DropStart(t job.Task) bool {
	n := p.taskNumber(t)
	starts := p.Rounds[t.Occurrence].Starts
	if starts[n] == (Start{}) {
		return false
	}
	delete(starts, n)
	return true
}

func (p *Progress) round(occurrence int) Round {
	if p.Rounds == nil {
		p.Rounds = make(map[int]Round)
	}
	return p.Rounds[occurrence]
}
