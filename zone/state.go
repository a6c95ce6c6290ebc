package zone

import (
	"iter"
	"time"

	"github.com/dogwoodladder/dogwoodladder/record"
)

// State is the folded state of one availability zone's stream.
type State struct {
	availabilityZone string
	settings         settings
	next             uint64 // offset
	now              int64  // latest time of a record, never going back
	sweepAt          int64  // when to look for what can be forgotten
	revision         uint64
	serial           uint64 // of the last submitted task

	tasks      map[string]*task
	jobs       map[string]*task // first task of the job that hasn't ended
	queue      order
	ended      []*task // oldest first
	bytes      int     // encoded size of all tasks, at most
	endedBytes int     // the part of it that ended ones take
	blames     map[*task][]*worker

	groups     map[string]*group
	workers    map[string]*worker
	quarantine []*worker // by end of quarantine
	instances  map[string]*instance
}

// New returns the state before the first record.
func New(availabilityZone string, opts ...Option) *State {
	s := &State{
		availabilityZone: availabilityZone,
		settings:         defaultSettings(),
		tasks:            map[string]*task{},
		jobs:             map[string]*task{},
		blames:           map[*task][]*worker{},
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

// SkipTo moves on to offset without the records before it, which are lost.
// Every instance has to skip the same ones.
func (s *State) SkipTo(offset uint64) {
	s.next = max(s.next, offset)
}

// Apply folds the record at offset, which the log accepted at a time, into
// the state. An offset that was applied before changes nothing. An offset
// after Next and a record of a newer version change nothing either and leave
// Next where it is: this instance must stop rather than go on from a state
// that the others don't share.
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
	s.advance(at)
	s.write(offset, &r, &o)
	s.trim()
	return o
}

// write applies a record if its writer may write and its sequence is new.
func (s *State) write(offset uint64, r *record.Record, o *Outcome) {
	by := s.admit(offset, r.Writer, o)
	if by == nil {
		return
	}
	by.seen = s.now
	if r.Sequence <= by.sequence {
		o.Effect = Repeated
		return
	}
	by.sequence = r.Sequence
	if bodies(r) != 1 {
		o.void(Malformed, "not one body")
		return
	}
	s.apply(offset, by, r, o)
}

func (s *State) apply(offset uint64, by *run, r *record.Record, o *Outcome) {
	switch {
	case r.Limits != nil:
		s.limit(r.Limits, o)
	case r.Submit != nil:
		s.submit(r.Submit, o)
	case r.Own != nil:
		s.own(by, r.Own, o)
	case r.Claim != nil:
		s.claim(by, r.Claim, o)
	case r.Return != nil:
		s.giveBack(by, r.Return, o)
	case r.Done != nil:
		s.done(by, r.Done, o)
	case r.Evicted != nil:
		s.evicted(by, r.Evicted, o)
	case r.Failed != nil:
		s.failed(by, r.Failed, o)
	case r.Cancel != nil:
		s.cancel(r.Cancel, o)
	case r.Park != nil:
		s.park(r.Park, o)
	case r.Fence != nil:
		s.fence(offset, r.Fence, o)
	case r.Lapse != nil:
		s.lapse(r.Lapse, o)
	}
}

func bodies(r *record.Record) int {
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

// Task returns a task.
func (s *State) Task(id string) (Task, bool) {
	t := s.tasks[id]
	if t == nil {
		return Task{}, false
	}
	return s.view(t), true
}

// Queued returns the queued tasks in the order of their submission, which a
// task keeps when it is queued again.
func (s *State) Queued() iter.Seq[Task] {
	return s.views(&s.queue)
}

func (s *State) views(o *order) iter.Seq[Task] {
	return func(yield func(Task) bool) {
		for t := range o.all() {
			if !yield(s.view(t)) {
				return
			}
		}
	}
}
