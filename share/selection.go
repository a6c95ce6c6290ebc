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
	scheduler *Scheduler
	now       time.Time
	groups    []*group // by name
	workers   []*worker
	limit     int               // of reservations
	before    []*task           // tasks with a reservation from an earlier call
	held      map[string]string // worker by task, from this call on
	choices   []Choice
}

// task is a queued task with its place in the order of its group.
type task struct {
	*Task
	rank     int64 // time of submission, less the aging time when urgent
	pressing bool
}

type group struct {
	Group
	queue    []*task
	running  []Running
	next     int     // in queue
	share    float64 // dominant share of the limit
	guard    *guard  // of the first task that could not start
	reserved bool
}

type worker struct {
	ID      string
	free    resource.Vector
	whole   resource.Vector // free once all that runs has ended
	running []Running       // by expected end
	guard   *guard          // of the reservation
	holder  string          // task with the reservation
}

func newSelection(s *Scheduler, now time.Time, in Input) *selection {
	sel := &selection{
		scheduler: s,
		now:       now,
		limit:     min(s.reservations, max(1, len(in.Workers)/4)),
		held:      map[string]string{},
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
		state := &worker{ID: w.ID, free: w.Free, whole: w.Free, running: slices.Clone(w.Running)}
		for _, r := range w.Running {
			state.whole = state.whole.Add(r.Need)
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

// addTasks queues the tasks that can ever run within their group's limit. The
// others must not hold up the group.
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
		sel.findHeld(g)
	}
	slices.SortFunc(sel.before, byRank)
}

func (sel *selection) findHeld(g *group) {
	if len(sel.scheduler.held) == 0 {
		return
	}
	for _, t := range g.queue {
		if _, held := sel.scheduler.held[t.ID]; held {
			sel.before = append(sel.before, t)
		}
	}
}

func byRank(a, b *task) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.ID, b.ID))
}

// pass tries each task that qualifies, always one of the group with the least
// share. Those that qualify come first in their queues.
func (sel *selection) pass(qualifies func(*task) bool) {
	for {
		g := sel.least(qualifies)
		if g == nil {
			return
		}
		started := false
		for !started && g.waits(qualifies) {
			t := g.queue[g.next]
			g.next++
			started = sel.try(g, t)
		}
	}
}

// least returns the group with the least share whose next task qualifies.
func (sel *selection) least(qualifies func(*task) bool) *group {
	var least *group
	for _, g := range sel.groups {
		if g.waits(qualifies) && (least == nil || g.share < least.share) {
			least = g
		}
	}
	return least
}

func (g *group) waits(qualifies func(*task) bool) bool {
	return g.next < len(g.queue) && qualifies(g.queue[g.next])
}

// try puts t on a worker, or guards what it needs if it is the first of its
// group that can't start. It reports whether t starts.
func (sel *selection) try(g *group, t *task) bool {
	left := g.Limit.Sub(g.Used)
	if !g.guard.allows(t, left, sel) {
		return false
	}
	if !t.Need.Fits(left) {
		sel.guardLimit(g, t)
		return false
	}
	w := sel.room(t)
	if w == nil {
		sel.block(g, t)
		return false
	}
	sel.put(g, t, w)
	return true
}

// room returns the worker that t fits most closely, so that large gaps stay
// whole, and rather one without accelerators for a task that needs none.
func (sel *selection) room(t *task) *worker {
	var best *worker
	var lowest float64
	for _, w := range sel.workers {
		if !t.Need.Fits(w.free) {
			continue
		}
		if w.holder != t.ID && !w.guard.allows(t, w.free, sel) {
			continue
		}
		left := w.free.Sub(t.Need).Dominant(w.whole)
		if t.Need.Accelerators == 0 && w.whole.Accelerators > 0 {
			left++
		}
		if best == nil || left < lowest {
			best, lowest = w, left
		}
	}
	return best
}

func (sel *selection) put(g *group, t *task, w *worker) {
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
	sel.release(g, t)
}
