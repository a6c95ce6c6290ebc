package zone

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// maxInstances bounds the instances that the state holds.
const maxInstances = 1024

// instance is an entry instance with its incarnations, oldest first. Only the
// last one may write; earlier ones are kept until their recovery is complete.
type instance struct {
	incarnations []*incarnation
}

func (i *instance) newest() *incarnation {
	return i.incarnations[len(i.incarnations)-1]
}

// incarnation is one incarnation of an entry instance.
type incarnation struct {
	writer       record.Writer
	sequence     uint64
	lastRecordAt int64 // time of its last record
	fenced       bool
	fencedAt     uint64 // offset of the fence
	escrow       taskList
	used         resource.Vector // needs of the escrow
	capacity     resource.Vector // of the workers
	workers      map[string]*worker
	classes      []capacityClass
}

// capacityClass counts the workers of one capacity that aren't quarantined.
type capacityClass struct {
	capacity resource.Vector
	workers  int
}

func (r *incarnation) addWorker(w *worker) {
	w.owner = r
	r.workers[w.id] = w
	r.capacity = r.capacity.Add(w.capacity)
	if !w.isQuarantined() {
		r.countCapacity(w.capacity, 1)
	}
}

func (r *incarnation) removeWorker(w *worker) {
	delete(r.workers, w.id)
	r.capacity = r.capacity.Sub(w.capacity)
	if !w.isQuarantined() {
		r.countCapacity(w.capacity, -1)
	}
}

// countCapacity adds n to the workers of one capacity.
func (r *incarnation) countCapacity(capacity resource.Vector, n int) {
	i := slices.IndexFunc(r.classes, func(s capacityClass) bool { return s.capacity == capacity })
	if i < 0 {
		r.classes = append(r.classes, capacityClass{capacity, n})
		return
	}
	r.classes[i].workers += n
	if r.classes[i].workers == 0 {
		r.classes = slices.Delete(r.classes, i, i+1)
	}
}

// fits reports whether a single worker, if empty, could hold need.
func (r *incarnation) fits(need resource.Vector) bool {
	return slices.ContainsFunc(r.classes, func(s capacityClass) bool { return need.Fits(s.capacity) })
}

// admitWriter returns the incarnation of a writer, or nil after marking the
// outcome void if its records have no effect.
//
// A fenced incarnation, and any incarnation older than the newest of its ID,
// changes nothing, whatever it writes and whenever that arrives. Otherwise late
// records of a paused or replaced process could claim or end tasks that others
// hold by then, and a task would be in two escrows.
func (s *State) admitWriter(offset uint64, w record.Writer, o *Outcome) *incarnation {
	if !isValidName(w.ID) {
		o.void(Malformed, "writer")
		return nil
	}
	i := s.instances[w.ID]
	if i == nil && len(s.instances) >= maxInstances {
		o.void(Full, "instances")
		return nil
	}
	if i == nil || i.newest().writer.Incarnation < w.Incarnation {
		return s.addIncarnation(offset, w, o)
	}
	newest := i.newest()
	if newest.writer.Incarnation > w.Incarnation {
		o.void(OldIncarnation, "")
		return nil
	}
	if newest.fenced {
		o.void(WriterFenced, "")
		return nil
	}
	return newest
}

// addIncarnation adds an incarnation and fences the ones before it: their
// process is gone, so nothing else would ever end their escrow.
func (s *State) addIncarnation(offset uint64, w record.Writer, o *Outcome) *incarnation {
	i := s.instances[w.ID]
	if i == nil {
		i = &instance{}
		s.instances[w.ID] = i
	}
	r := &incarnation{writer: w, workers: map[string]*worker{}, lastRecordAt: s.now}
	i.incarnations = append(i.incarnations, r)
	for _, earlier := range slices.Clone(i.incarnations) {
		if earlier == r {
			continue
		}
		if !earlier.fenced {
			earlier.fenced = true
			earlier.fencedAt = offset
		}
		s.recoverEscrow(earlier, o)
	}
	return r
}

func (s *State) applyFence(offset uint64, body *record.Fence, o *Outcome) {
	w := body.Instance
	if !isValidName(w.ID) {
		o.void(Malformed, "fence")
		return
	}
	i := s.instances[w.ID]
	if i != nil && s.Fenced(w) {
		o.void(AlreadyFenced, "")
		return
	}
	if i == nil && len(s.instances) >= maxInstances {
		o.void(Full, "instances")
		return
	}
	var r *incarnation
	if i == nil || i.newest().writer.Incarnation < w.Incarnation {
		r = s.addIncarnation(offset, w, o)
	} else {
		r = i.newest()
	}
	r.fenced = true
	r.fencedAt = offset
	s.recoverEscrow(r, o)
}

// recoverEscrow queues the escrow of a fenced incarnation once none of its
// workers is pending.
//
// Queueing a task of a dead owner while an unreachable worker still runs it
// would run the task on two workers. The fence closes the set of workers, since
// every later Own of that incarnation is void. Once each of them has been taken
// over, with the tasks it held, or has lapsed, the remaining tasks run nowhere.
func (s *State) recoverEscrow(r *incarnation, o *Outcome) {
	if !r.fenced || len(r.workers) > 0 {
		return
	}
	for _, t := range slices.Collect(r.escrow.all()) {
		s.requeue(t, eventRecover, o)
	}
	i := s.instances[r.writer.ID]
	if r != i.newest() {
		i.incarnations = slices.DeleteFunc(i.incarnations, func(other *incarnation) bool { return other == r })
	}
}

// Fenced reports whether records of w are void.
func (s *State) Fenced(w record.Writer) bool {
	i := s.instances[w.ID]
	if i == nil {
		return false
	}
	newest := i.newest()
	return w.Incarnation < newest.writer.Incarnation || w == newest.writer && newest.fenced
}

// Sequence returns the last sequence accepted from w. It is 0 if there is none
// or if w is an earlier incarnation whose recovery is complete.
func (s *State) Sequence(w record.Writer) uint64 {
	r := s.findIncarnation(w)
	if r == nil {
		return 0
	}
	return r.sequence
}

// Incarnation returns the newest recorded incarnation of an instance.
func (s *State) Incarnation(id string) uint64 {
	i := s.instances[id]
	if i == nil {
		return 0
	}
	return i.newest().writer.Incarnation
}

func (s *State) findIncarnation(w record.Writer) *incarnation {
	i := s.instances[w.ID]
	if i == nil {
		return nil
	}
	at := slices.IndexFunc(i.incarnations, func(r *incarnation) bool { return r.writer == w })
	if at < 0 {
		return nil
	}
	return i.incarnations[at]
}

// Escrow returns the tasks in the escrow of an instance's newest
// incarnation, in the order of their submission.
func (s *State) Escrow(owner string) iter.Seq[Task] {
	i := s.instances[owner]
	if i == nil {
		return func(func(Task) bool) {}
	}
	return s.views(&i.newest().escrow)
}

// EscrowOf returns the tasks in the escrow of one incarnation of an instance.
func (s *State) EscrowOf(w record.Writer) iter.Seq[Task] {
	r := s.findIncarnation(w)
	if r == nil {
		return func(func(Task) bool) {}
	}
	return s.views(&r.escrow)
}

// sortedIncarnations returns all incarnations by ID and number.
func (s *State) sortedIncarnations() []*incarnation {
	var sorted []*incarnation
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		sorted = append(sorted, s.instances[id].incarnations...)
	}
	return sorted
}

// Recovery is a fenced instance whose escrow hasn't been queued again. Pending
// holds the sorted IDs of its workers that are neither taken over nor lapsed.
type Recovery struct {
	Instance record.Writer
	Offset   uint64 // of the fence
	Pending  []string
}

// Recoveries returns the recoveries in progress, in the order of their fences.
func (s *State) Recoveries() iter.Seq[Recovery] {
	recovering := slices.DeleteFunc(s.sortedIncarnations(), func(r *incarnation) bool { return !r.fenced || len(r.workers) == 0 })
	slices.SortStableFunc(recovering, func(a, b *incarnation) int { return cmp.Compare(a.fencedAt, b.fencedAt) })
	return func(yield func(Recovery) bool) {
		for _, r := range recovering {
			pending := slices.Sorted(maps.Keys(r.workers))
			if !yield(Recovery{Instance: r.writer, Offset: r.fencedAt, Pending: pending}) {
				return
			}
		}
	}
}
