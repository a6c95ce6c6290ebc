// Package progress records what became of a job: which tasks are done, how
// often each failed, and where an interrupted one resumes. One record a job,
// rewritten as it changes, is both log and snapshot.
//
// Usage:
//
//	p := progress.New(j)
//	p.Fail(task, attempt)
//	if p.Failures(task) >= j.Terms.Attempts {
//		p.State = progress.Failed
//	}
//	data, err := p.Encode()
//
// Every change is idempotent: an end that a worker lists again after a
// takeover changes nothing the second time.
package progress

//go:generate go tool stringer -type=State -linecomment -output=strings.go

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/crash"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
)

// State is how far a job is.
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

// Progress is what became of one job. Claimed is recorded before the first
// start: the tasks of a job without it were never started by anyone.
type Progress struct {
	State   State         `cbor:"1,keyasint,omitempty"`
	Rounds  map[int]Round `cbor:"2,keyasint,omitempty"` // by occurrence, of those begun and not yet done
	Closed  []int         `cbor:"3,keyasint,omitempty"` // occurrences that are done
	Ended   int64         `cbor:"4,keyasint,omitempty"` // when the state became final, Unix milliseconds
	Claimed bool          `cbor:"5,keyasint,omitempty"`
	offset  []int         // number of tasks before each step
}

// Round is the progress of one occurrence. Tasks are numbered through all
// steps.
type Round struct {
	Done    []byte                `cbor:"1,keyasint,omitempty"` // a bit for each task
	Failed  map[int][]uint64      `cbor:"2,keyasint,omitempty"` // attempts that failed, by task
	Saved   map[int]string        `cbor:"3,keyasint,omitempty"` // checkpoints of tasks that were interrupted
	Crashes map[int]crash.History `cbor:"4,keyasint,omitempty"` // of the tasks whose workers crashed
}

// New returns the progress of a job that hasn't begun.
func New(j *job.Job) *Progress {
	p := &Progress{}
	p.Bind(j)
	return p
}

// Bind tells a decoded Progress the shape of its job.
func (p *Progress) Bind(j *job.Job) {
	p.offset = make([]int, len(j.Steps)+1)
	for i := range j.Steps {
		p.offset[i+1] = p.offset[i] + j.Steps[i].Count
	}
	for n, r := range p.Rounds {
		if size := p.doneBytes(); len(r.Done) > 0 && len(r.Done) < size {
			r.Done = append(r.Done, make([]byte, size-len(r.Done))...) // written for fewer tasks
			p.Rounds[n] = r
		}
	}
}

// doneBytes is the size of a round's Done.
func (p *Progress) doneBytes() int {
	return (p.offset[len(p.offset)-1] + 7) / 8
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

func (p *Progress) number(t job.Task) int {
	return p.offset[t.Step] + t.Index
}

// IsClosed reports whether an occurrence is done.
func (p *Progress) IsClosed(occurrence int) bool {
	return slices.Contains(p.Closed, occurrence)
}

// IsDone reports whether a task has ended well.
func (p *Progress) IsDone(t job.Task) bool {
	if p.IsClosed(t.Occurrence) {
		return true
	}
	done := p.Rounds[t.Occurrence].Done
	n := p.number(t)
	return n/8 < len(done) && done[n/8]&(1<<(n%8)) != 0
}

// Done records that a task has ended well. It reports whether that is news.
func (p *Progress) Done(t job.Task) bool {
	if p.IsDone(t) {
		return false
	}
	r := p.round(t.Occurrence)
	n := p.number(t)
	if len(r.Done) == 0 {
		r.Done = make([]byte, p.doneBytes())
	}
	r.Done[n/8] |= 1 << (n % 8)
	delete(r.Saved, n)
	delete(r.Failed, n)
	delete(r.Crashes, n)
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

// Fail records that an attempt at a task failed. It reports whether that is
// news: a worker lists an end again until it is acknowledged, also to the
// next owner, and counting it twice would fail the job too early.
func (p *Progress) Fail(t job.Task, attempt uint64) bool {
	n := p.number(t)
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
	return len(p.Rounds[t.Occurrence].Failed[p.number(t)])
}

// Save records where an interrupted task resumes. It reports whether that is
// news.
func (p *Progress) Save(t job.Task, checkpoint string) bool {
	n := p.number(t)
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

// Saved returns where a task resumes, empty for its beginning.
func (p *Progress) Saved(t job.Task) string {
	return p.Rounds[t.Occurrence].Saved[p.number(t)]
}

// Crashes returns what is known of workers that crashed under a task.
func (p *Progress) Crashes(t job.Task) crash.History {
	return p.Rounds[t.Occurrence].Crashes[p.number(t)]
}

// SetCrashes records what is known of them.
func (p *Progress) SetCrashes(t job.Task, h crash.History) {
	n := p.number(t)
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

func (p *Progress) round(occurrence int) Round {
	if p.Rounds == nil {
		p.Rounds = make(map[int]Round)
	}
	return p.Rounds[occurrence]
}
