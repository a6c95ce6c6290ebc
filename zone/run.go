package zone

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// maxInstances bounds the instances on record.
const maxInstances = 1024

// instance is an entry instance with its runs, oldest first. Only the last
// run may write; the ones before it are kept until their recovery is settled.
type instance struct {
	runs []*run
}

func (i *instance) newest() *run {
	return i.runs[len(i.runs)-1]
}

// run is one incarnation of an entry instance.
type run struct {
	writer   record.Writer
	sequence uint64
	seen     int64 // time of its last record
	fenced   bool
	fencedAt uint64 // offset
	escrow   order
	used     resource.Vector // needs of the escrow
	capacity resource.Vector // of the workers
	workers  map[string]*worker
	shapes   []shape
}

// shape counts the workers of one capacity that aren't quarantined.
type shape struct {
	capacity resource.Vector
	workers  int
}

func (r *run) take(w *worker) {
	w.owner = r
	r.workers[w.id] = w
	r.capacity = r.capacity.Add(w.capacity)
	if !w.quarantined() {
		r.shape(w.capacity, 1)
	}
}

func (r *run) drop(w *worker) {
	delete(r.workers, w.id)
	r.capacity = r.capacity.Sub(w.capacity)
	if !w.quarantined() {
		r.shape(w.capacity, -1)
	}
}

func (r *run) shape(capacity resource.Vector, n int) {
	i := slices.IndexFunc(r.shapes, func(s shape) bool { return s.capacity == capacity })
	if i < 0 {
		r.shapes = append(r.shapes, shape{capacity, n})
		return
	}
	r.shapes[i].workers += n
	if r.shapes[i].workers == 0 {
		r.shapes = slices.Delete(r.shapes, i, i+1)
	}
}

// fits reports whether one worker by itself could hold need.
func (r *run) fits(need resource.Vector) bool {
	return slices.ContainsFunc(r.shapes, func(s shape) bool { return need.Fits(s.capacity) })
}

// admit returns the run that wrote r, or why its records are void.
//
// What goes wrong: a paused or replaced process comes back and its late
// records claim or end tasks that others now hold. One would notice a task in
// two escrows. A fenced run, and any run older than the newest of its ID,
// changes nothing, whatever it writes and whenever that arrives.
func (s *State) admit(offset uint64, w record.Writer, o *Outcome) *run {
	if !validName(w.ID) {
		o.void(Malformed, "writer")
		return nil
	}
	i := s.instances[w.ID]
	if i == nil && len(s.instances) >= maxInstances {
		o.void(Full, "instances")
		return nil
	}
	if i == nil || i.newest().writer.Incarnation < w.Incarnation {
		return s.begin(offset, w, o)
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

// begin adds a run and fences the run before it: the process is gone, so
// nothing else would ever end its escrow.
func (s *State) begin(offset uint64, w record.Writer, o *Outcome) *run {
	i := s.instances[w.ID]
	if i == nil {
		i = &instance{}
		s.instances[w.ID] = i
	}
	r := &run{writer: w, workers: map[string]*worker{}, seen: s.now}
	i.runs = append(i.runs, r)
	for _, before := range slices.Clone(i.runs) {
		if before == r {
			continue
		}
		if !before.fenced {
			before.fenced = true
			before.fencedAt = offset
		}
		s.settle(before, o)
	}
	return r
}

func (s *State) fence(offset uint64, body *record.Fence, o *Outcome) {
	w := body.Instance
	if !validName(w.ID) {
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
	var r *run
	if i == nil || i.newest().writer.Incarnation < w.Incarnation {
		r = s.begin(offset, w, o)
	} else {
		r = i.newest()
	}
	r.fenced = true
	r.fencedAt = offset
	s.settle(r, o)
}

// settle queues the escrow of a fenced run once none of its workers is
// pending.
//
// What goes wrong: a task of a dead owner is queued while a worker that
// nobody has reached still runs it. One would notice two workers reporting
// the same task. The set of workers is closed by the fence, since every later
// Own of that run is void; waiting until each was taken (and what it held
// moved) or lapsed leaves only tasks that run nowhere.
func (s *State) settle(r *run, o *Outcome) {
	if !r.fenced || len(r.workers) > 0 {
		return
	}
	for _, t := range slices.Collect(r.escrow.all()) {
		s.requeue(t, eventRecover, o)
	}
	i := s.instances[r.writer.ID]
	if r != i.newest() {
		i.runs = slices.DeleteFunc(i.runs, func(other *run) bool { return other == r })
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

// Sequence returns the last sequence taken from w, and 0 when there is none
// or w has nothing left to recover.
func (s *State) Sequence(w record.Writer) uint64 {
	r := s.run(w)
	if r == nil {
		return 0
	}
	return r.sequence
}

// Incarnation returns the newest incarnation on record of an instance.
func (s *State) Incarnation(id string) uint64 {
	i := s.instances[id]
	if i == nil {
		return 0
	}
	return i.newest().writer.Incarnation
}

func (s *State) run(w record.Writer) *run {
	i := s.instances[w.ID]
	if i == nil {
		return nil
	}
	at := slices.IndexFunc(i.runs, func(r *run) bool { return r.writer == w })
	if at < 0 {
		return nil
	}
	return i.runs[at]
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

// EscrowOf returns the tasks in the escrow of one run of an instance.
func (s *State) EscrowOf(w record.Writer) iter.Seq[Task] {
	r := s.run(w)
	if r == nil {
		return func(func(Task) bool) {}
	}
	return s.views(&r.escrow)
}

// sortedRuns returns all runs by ID and incarnation.
func (s *State) sortedRuns() []*run {
	var runs []*run
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		runs = append(runs, s.instances[id].runs...)
	}
	return runs
}

// Recovery is a fenced instance whose escrow isn't settled. Pending holds
// the IDs of its workers that are neither taken nor lapsed, sorted.
type Recovery struct {
	Instance record.Writer
	Offset   uint64 // of the fence
	Pending  []string
}

// Recoveries returns the recoveries that aren't settled, in the order of
// their fences.
func (s *State) Recoveries() iter.Seq[Recovery] {
	runs := slices.DeleteFunc(s.sortedRuns(), func(r *run) bool { return !r.fenced || len(r.workers) == 0 })
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.fencedAt, b.fencedAt) })
	return func(yield func(Recovery) bool) {
		for _, r := range runs {
			pending := slices.Sorted(maps.Keys(r.workers))
			if !yield(Recovery{Instance: r.writer, Offset: r.fencedAt, Pending: pending}) {
				return
			}
		}
	}
}
