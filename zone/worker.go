package zone

import (
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Worker is a copy of what is known of a worker.
type Worker struct {
	ID          string
	Owner       string // empty once lapsed
	Incarnation uint64 // of the owner
	Epoch       uint64
	Capacity    resource.Vector
	Rack        string
	Lapsed      bool
	Quarantined bool
	Failures    int // distinct tasks failed since the last one done, counted up to the quarantine
}

// maxWorkers bounds the workers on record.
const maxWorkers = 2048

// worker is the folded form of a worker. A lapsed one has no owner and is
// forgotten after the retention time.
type worker struct {
	id, rack string
	owner    *run
	epoch    uint64
	capacity resource.Vector
	recorded int64          // time of the last Own or Lapse
	until    int64          // end of the quarantine, zero without
	streak   []string       // distinct tasks failed since the last one done
	blamed   map[*task]bool // tasks that count a failure on it
}

func (w *worker) quarantined() bool {
	return w.until != 0
}

func (w *worker) view() Worker {
	v := Worker{
		ID:          w.id,
		Epoch:       w.epoch,
		Capacity:    w.capacity,
		Rack:        w.rack,
		Lapsed:      w.owner == nil,
		Quarantined: w.quarantined(),
		Failures:    len(w.streak),
	}
	if w.owner != nil {
		v.Owner = w.owner.writer.ID
		v.Incarnation = w.owner.writer.Incarnation
	}
	return v
}

// Worker returns a worker.
func (s *State) Worker(id string) (Worker, bool) {
	w := s.workers[id]
	if w == nil {
		return Worker{}, false
	}
	return w.view(), true
}

// Workers returns the workers sorted by ID.
func (s *State) Workers() iter.Seq[Worker] {
	return func(yield func(Worker) bool) {
		for _, w := range s.sortedWorkers() {
			if !yield(w.view()) {
				return
			}
		}
	}
}

func (s *State) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(s.workers))
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		sorted = append(sorted, s.workers[id])
	}
	return sorted
}

// own records the writer as the owner of a worker and moves what the worker
// held into the writer's escrow.
func (s *State) own(by *run, body *record.Own, o *Outcome) {
	if !validName(body.Worker) || len(body.Rack) > maxName || !validAmount(body.Capacity) {
		o.void(Malformed, "own")
		return
	}
	w := s.workers[body.Worker]
	if w == nil && len(s.workers) >= maxWorkers {
		o.void(Full, "workers")
		return
	}
	if w == nil {
		w = &worker{id: body.Worker}
	}
	if body.Epoch <= w.epoch {
		o.void(OldEpoch, "")
		return
	}
	s.workers[w.id] = w
	before := w.owner
	if before != nil {
		before.drop(w)
	}
	w.epoch = body.Epoch
	w.capacity = body.Capacity
	w.rack = body.Rack
	w.recorded = s.now
	by.take(w)
	for _, held := range body.Held {
		s.hold(by, w, held, o)
	}
	if before != nil {
		s.settle(before, o)
	}
}

// hold keeps a task where a worker was found to hold it.
//
// What goes wrong: a worker goes on with a task while its ownership moves;
// were the task queued or left to the old owner, a second worker would be
// given it too. One would notice two workers reporting the same task. Moving
// it into the escrow of the one instance that may now speak to the worker
// prevents that. A stale attempt stays where it is, and the new owner has to
// stop it.
func (s *State) hold(by *run, w *worker, held record.Attempt, o *Outcome) {
	t, reason := s.current(held)
	if reason != None {
		o.refuse(held.Task, reason)
		return
	}
	next, err := taskChart.Next(t.state, eventHold)
	if err != nil {
		o.refuse(held.Task, AlreadyEnded)
		return
	}
	s.setWorker(t, w.id)
	t.found = true
	if t.owner == by {
		return
	}
	s.move(t, next, by)
	o.change(t)
}

// lapse takes a worker out of the set that a fenced owner's recovery waits for.
func (s *State) lapse(body *record.Lapse, o *Outcome) {
	w := s.workers[body.Worker]
	if w == nil {
		o.void(UnknownWorker, "")
		return
	}
	if w.epoch != body.Epoch {
		o.void(OldEpoch, "")
		return
	}
	if w.owner == nil {
		o.void(AlreadyLapsed, "")
		return
	}
	if !w.owner.fenced {
		o.void(OwnerNotFenced, "")
		return
	}
	before := w.owner
	before.drop(w)
	w.owner = nil
	w.recorded = s.now
	s.settle(before, o)
}
