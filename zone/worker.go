package zone

import (
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Worker is a copy of the state of a worker.
type Worker struct {
	ID          string
	Owner       string // empty once lapsed
	Incarnation uint64 // of the owner
	Epoch       uint64
	Capacity    resource.Vector
	Rack        string
	Lapsed      bool
	Quarantined bool
	Failures    int // distinct tasks failed since the last completed one, at most maxFailureStreak
}

// maxWorkers bounds the workers that the state holds.
const maxWorkers = 2048

// worker is the internal state of a worker. A lapsed one has no owner and is
// forgotten after the retention time.
type worker struct {
	id, rack         string
	owner            *incarnation
	epoch            uint64
	capacity         resource.Vector
	recordedAt       int64          // time of the last Own or Lapse
	quarantinedUntil int64          // end of the quarantine, zero if not quarantined
	failureStreak    []string       // distinct tasks failed since the last completed one
	failedTasks      map[*task]bool // tasks with a counted failure on this worker
}

func (w *worker) isQuarantined() bool {
	return w.quarantinedUntil != 0
}

func (w *worker) view() Worker {
	v := Worker{
		ID:          w.id,
		Epoch:       w.epoch,
		Capacity:    w.capacity,
		Rack:        w.rack,
		Lapsed:      w.owner == nil,
		Quarantined: w.isQuarantined(),
		Failures:    len(w.failureStreak),
	}
	if w.owner != nil {
		v.Owner = w.owner.writer.ID
		v.Incarnation = w.owner.writer.Incarnation
	}
	return v
}

// Worker returns the worker with an ID and reports whether it is known.
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

// applyOwn records the writer as the owner of a worker and moves the tasks that
// the worker held into the writer's escrow.
func (s *State) applyOwn(writer *incarnation, version uint, body *record.Own, o *Outcome) {
	if !isValidName(body.Worker) || len(body.Rack) > maxName || !body.Capacity.IsValid() {
		o.void(Malformed, "own")
		return
	}
	if version >= record.Version {
		s.checksIncarnations = true
	}
	w := s.workers[body.Worker]
	if w == nil && len(s.workers) >= maxWorkers {
		o.void(Full, "workers")
		return
	}
	if w == nil {
		w = &worker{id: body.Worker}
	}
	if body.Epoch <= w.epoch || s.mayPrecede(body, w) {
		o.void(OldEpoch, "")
		return
	}
	s.workers[w.id] = w
	previousOwner := w.owner
	if previousOwner != nil {
		previousOwner.removeWorker(w)
	}
	w.epoch = body.Epoch
	w.capacity = body.Capacity
	w.rack = body.Rack
	w.recordedAt = s.now
	writer.addWorker(w)
	for _, held := range body.Held {
		s.adoptHeld(writer, w, held, o)
	}
	if previousOwner != nil {
		s.recoverEscrow(previousOwner, o)
	}
}

// mayPrecede reports whether a lease may have been granted by an incarnation of
// a worker that ended before the recorded one began.
//
// An Own record can reach the log long after its grant. If one of an incarnation
// that is gone took effect, its list of tasks would be taken for that of the
// present one, and what runs there would be started elsewhere. The order of the
// epochs doesn't tell, as a restarted worker doesn't know the epochs before.
func (s *State) mayPrecede(body *record.Own, w *worker) bool {
	if !s.checksIncarnations || w.epoch == 0 || provider.SameIncarnation(body.Epoch, w.epoch) {
		return false
	}
	return body.After != w.epoch
}

// adoptHeld moves a task that a worker holds into the escrow of the worker's
// new owner.
//
// A worker continues a task while its ownership changes. If the task were
// queued or left to the old owner, a second worker could be given it too.
// Only the new owner may talk to the worker, so only its escrow is safe. The
// state of a stale attempt isn't changed, and the new owner has to stop it.
func (s *State) adoptHeld(writer *incarnation, w *worker, held record.Attempt, o *Outcome) {
	t, reason := s.currentAttempt(held)
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
	t.foundOnWorker = true
	if t.owner == writer {
		return
	}
	s.transition(t, next, writer)
	o.addChanged(t)
}

// applyLapse removes a worker from the set that the recovery of its fenced
// owner waits for.
func (s *State) applyLapse(body *record.Lapse, o *Outcome) {
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
	previousOwner := w.owner
	previousOwner.removeWorker(w)
	w.owner = nil
	w.recordedAt = s.now
	s.recoverEscrow(previousOwner, o)
}
