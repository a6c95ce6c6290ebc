package share

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// selection is the state of one call of Select.
type selection struct {
	scheduler          *Scheduler
	now                time.Time
	groups             []*group // sorted by name
	workers            []*worker
	maxReservations    int
	previouslyReserved []*task           // tasks with a reservation from an earlier call
	reserved           map[string]string // worker by task, kept for the next call
	choices            []Choice
}

// task is a queued task with its position in the order of its group.
type task struct {
	*Task
	rank     int64 // submission time in nanoseconds, less the aging time when urgent
	pressing bool
}

type group struct {
	Group
	queue          []*task
	running        []Running
	next           int     // index in queue
	share          float64 // dominant share of the limit
	guard          *guard  // for the first task that could not start
	hasReservation bool
}

type worker struct {
	ID          string
	free        resource.Vector
	total       resource.Vector // free once all running tasks have ended
	running     []Running       // sorted by expected end
	guard       *guard          // for the task in reservedFor
	reservedFor string          // task with the reservation
}

func newSelection(s *Scheduler, now time.Time, in Input) *selection {
	sel := &selection{
		scheduler:       s,
		now:             now,
		maxReservations: min(s.maxReservations, max(1, len(in.Workers)/4)),
		reserved:        map[string]string{},
	}
	index := make(map[string]*group, len(in.Groups))
	for _, g := range in.Groups {
		state := &group{Group: g, share: g.Used.Dominant(g.Limit)}
		index[g.Name] = state
		sel.groups = append(sel.groups, state)
	}
	sel.addWorkers(in.Workers, index)
	sel.addTasks(in.Queue, index)
	slices.SortFunc(sel.groups, func(a, b *group) int { return strings.Compare(a.Name, b.Name) })
	return sel
}

func (sel *selection) addWorkers(workers []Worker, groups map[string]*group) {
	for _, w := range workers {
		state := &worker{ID: w.ID, free: w.Free, total: w.Free, running: slices.Clone(w.Running)}
		for _, r := range w.Running {
			state.total = state.total.Add(r.Need)
			if g := groups[r.Group]; g != nil {
				g.running = append(g.running, r)
			}
		}
		slices.SortStableFunc(state.running, func(a, b Running) int {
			return sel.expectedEnd(a).Compare(sel.expectedEnd(b))
		})
		sel.workers = append(sel.workers, state)
	}
	slices.SortFunc(sel.workers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
}

// addTasks queues the tasks that fit their group's limit. The others can never
// run and must not block the group.
func (sel *selection) addTasks(queue []Task, groups map[string]*group) {
	pressing := sel.now.Add(-sel.scheduler.aging).UnixNano()
	tasks := make([]task, len(queue))
	for i := range queue {
		t := &tasks[i]
		t.Task = &queue[i]
		t.rank = t.Submitted.UnixNano()
		g := groups[t.Group]
		if g == nil || !t.Need.Fits(g.Limit) {
			continue
		}
		if t.Urgent {
			t.rank -= int64(sel.scheduler.aging)
		}
		t.pressing = t.rank <= pressing
		g.queue = append(g.queue, t)
	}
	for _, g := range sel.groups {
		slices.SortFunc(g.queue, byRank)
		sel.collectReserved(g)
	}
	slices.SortFunc(sel.previouslyReserved, byRank)
}

func (sel *selection) collectReserved(g *group) {
	if len(sel.scheduler.reserved) == 0 {
		return
	}
	for _, t := range g.queue {
		if _, held := sel.scheduler.reserved[t.ID]; held {
			sel.previouslyReserved = append(sel.previouslyReserved, t)
		}
	}
}

func byRank(a, b *task) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.ID, b.ID))
}

// startQualifying tries to start each task that qualifies, always from the
// group with the lowest share. Tasks that qualify must precede the others in
// their group's queue.
func (sel *selection) startQualifying(qualifies func(*task) bool) {
	for {
		g := sel.lowestShareGroup(qualifies)
		if g == nil {
			return
		}
		started := false
		for !started && g.nextQualifies(qualifies) {
			t := g.queue[g.next]
			g.next++
			started = sel.tryStart(g, t)
		}
	}
}

// lowestShareGroup returns the group with the lowest share among those whose
// next task qualifies.
func (sel *selection) lowestShareGroup(qualifies func(*task) bool) *group {
	var least *group
	for _, g := range sel.groups {
		if g.nextQualifies(qualifies) && (least == nil || g.share < least.share) {
			least = g
		}
	}
	return least
}

func (g *group) nextQualifies(qualifies func(*task) bool) bool {
	return g.next < len(g.queue) && qualifies(g.queue[g.next])
}

// tryStart assigns t to a worker, or guards what it needs if it is the first
// of its group that can't start. It reports whether t starts.
func (sel *selection) tryStart(g *group, t *task) bool {
	left := g.Limit.Sub(g.Used)
	if !g.guard.allows(t, left, sel) {
		return false
	}
	if !t.Need.Fits(left) {
		sel.guardLimit(g, t)
		return false
	}
	w := sel.bestFit(t)
	if w == nil {
		sel.guardBlocked(g, t)
		return false
	}
	sel.assign(g, t, w)
	return true
}

// bestFit returns the worker that t fits most closely, so that large gaps stay
// whole. For a task that needs no accelerators it prefers workers without any.
func (sel *selection) bestFit(t *task) *worker {
	var best *worker
	var lowest float64
	for _, w := range sel.workers {
		if !t.Need.Fits(w.free) {
			continue
		}
		if w.reservedFor != t.ID && !w.guard.allows(t, w.free, sel) {
			continue
		}
		left := w.free.Sub(t.Need).Dominant(w.total)
		if t.Need.Accelerators == 0 && w.total.Accelerators > 0 {
			left++
		}
		if best == nil || left < lowest {
			best, lowest = w, left
		}
	}
	return best
}

func (sel *selection) assign(g *group, t *task, w *worker) {
	sel.choices = append(sel.choices, Choice{Task: t.ID, Worker: w.ID})
	g.Used = g.Used.Add(t.Need)
	g.share = g.Used.Dominant(g.Limit)
	w.free = w.free.Sub(t.Need)
	started := Running{Group: g.Name, Need: t.Need, Started: sel.now, Duration: t.Duration}
	g.running = append(g.running, started)
	at, _ := slices.BinarySearchFunc(w.running, started, func(a, b Running) int {
		return sel.expectedEnd(a).Compare(sel.expectedEnd(b))
	})
	w.running = slices.Insert(w.running, at, started)
	sel.releaseReservation(g, t)
}
