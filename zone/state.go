package zone

import (
	"iter"
	"time"

	"github.com/dogwoodladder/dogwoodladder/record"
)

// State is the result of applying one availability zone's stream of records.
type State struct {
	availabilityZone string
	settings         settings
	next             uint64 // offset of the next record
	now              int64  // latest time of a record; never goes back
	sweepAt          int64  // time of the next sweep
	revision         uint64
	serial           uint64 // of the last submitted task

	tasks      map[string]*task
	jobs       map[string]*task // first task of each job that hasn't ended
	queue      taskList
	ended      []*task // oldest first
	bytes      int     // upper bound of the encoded size of all tasks
	endedBytes int     // part of bytes that the ended tasks take
	failedOn   map[*task][]*worker

	groups      map[string]*group
	workers     map[string]*worker
	quarantined []*worker // by end of quarantine
	instances   map[string]*instance

	// checksIncarnations is set by the first Own record that earlier programs
	// don't read. Until then the state is the same as theirs.
	checksIncarnations bool
}

// New returns the state before the first record.
func New(availabilityZone string, opts ...Option) *State {
	s := &State{
		availabilityZone: availabilityZone,
		settings:         defaultSettings(),
		tasks:            map[string]*task{},
		jobs:             map[string]*task{},
		failedOn:         map[*task][]*worker{},
		groups:           map[string]*group{},
		workers:          map[string]*worker{},
		instances:        map[string]*instance{},
	}
	for _, opt := range opts {
		opt(&s.settings)
	}
	return s
}

// Next returns the offset after the last applied one.
func (s *State) Next() uint64 {
	return s.next
}

// RecordVersion returns the version of a record with a snapshot of the state.
func (s *State) RecordVersion() uint {
	if s.checksIncarnations {
		return record.Version
	}
	return 0
}

// SkipTo advances Next to offset past records that are lost. Every instance
// must skip the same records.
func (s *State) SkipTo(offset uint64) {
	s.next = max(s.next, offset)
}

// Apply applies the record at offset, which the log accepted at the given
// time. An offset that was applied before changes nothing. An offset after Next
// and a record of a newer version change nothing either and don't advance Next:
// the instance must stop rather than continue with a state that differs from
// that of the other instances.
func (s *State) Apply(offset uint64, at time.Time, r record.Record) Outcome {
	var o Outcome
	switch {
	case offset < s.next:
		o.Effect = Repeated
		return o
	case offset > s.next:
		o.void(Gap, "")
		return o
	case r.Version > record.Version:
		o.void(NewerVersion, "")
		return o
	}
	s.next = offset + 1
	s.advanceTime(at)
	s.applyRecord(offset, &r, &o)
	s.trimEnded()
	return o
}

// applyRecord applies a record if its writer may write and its sequence is new.
func (s *State) applyRecord(offset uint64, r *record.Record, o *Outcome) {
	writer := s.admitWriter(offset, r.Writer, o)
	if writer == nil {
		return
	}
	writer.lastRecordAt = s.now
	if r.Sequence <= writer.sequence {
		o.Effect = Repeated
		return
	}
	writer.sequence = r.Sequence
	if countBodies(r) != 1 {
		o.void(Malformed, "not one body")
		return
	}
	s.applyBody(offset, writer, r, o)
}

func (s *State) applyBody(offset uint64, writer *incarnation, r *record.Record, o *Outcome) {
	switch {
	case r.Limits != nil:
		s.applyLimits(r.Limits, o)
	case r.Submit != nil:
		s.applySubmit(r.Submit, o)
	case r.Own != nil:
		s.applyOwn(writer, r.Version, r.Own, o)
	case r.Claim != nil:
		s.applyClaim(writer, r.Claim, o)
	case r.Return != nil:
		s.applyReturn(writer, r.Return, o)
	case r.Done != nil:
		s.applyDone(writer, r.Done, o)
	case r.Evicted != nil:
		s.applyEvicted(writer, r.Evicted, o)
	case r.Failed != nil:
		s.applyFailed(writer, r.Failed, o)
	case r.Cancel != nil:
		s.applyCancel(r.Cancel, o)
	case r.Park != nil:
		s.applyPark(r.Park, o)
	case r.Fence != nil:
		s.applyFence(offset, r.Fence, o)
	case r.Lapse != nil:
		s.applyLapse(r.Lapse, o)
	}
}

func countBodies(r *record.Record) int {
	set := [...]bool{
		r.Limits != nil, r.Submit != nil, r.Own != nil, r.Claim != nil, r.Return != nil, r.Done != nil, r.Evicted != nil,
		r.Failed != nil, r.Cancel != nil, r.Fence != nil, r.Lapse != nil, r.Snapshot != nil, r.Marker != nil, r.Park != nil,
	}
	n := 0
	for _, is := range set {
		if is {
			n++
		}
	}
	return n
}

// Task returns the task with an ID and reports whether it is known.
func (s *State) Task(id string) (Task, bool) {
	t := s.tasks[id]
	if t == nil {
		return Task{}, false
	}
	return s.view(t), true
}

// QueuedTasks returns the queued tasks in the order of their submission. A task
// that is queued again keeps its position.
func (s *State) QueuedTasks() iter.Seq[Task] {
	return s.views(&s.queue)
}

func (s *State) views(o *taskList) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		for t := range o.all() {
			if !yield(s.view(t)) {
				return
			}
		}
	}
}
