package share

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// guard protects what a waiting task needs from later tasks. Otherwise small
// tasks that fill every gap could delay a large one forever. A later task
// passes only if the waiting one can't be delayed by it, even when run times
// are wrong by the error factor.
type guard struct {
	need          resource.Vector
	earliestStart time.Time // the waiting task can't start before
}

// allows reports whether t may use part of free: either t fits into what the
// waiting task leaves of it now, or t surely ends before the waiting task can
// start.
func (g *guard) allows(t *task, free resource.Vector, sel *selection) bool {
	if g == nil {
		return true
	}
	if t.Need.Fits(remainder(free, g.need)) {
		return true
	}
	longest := t.Duration * time.Duration(sel.scheduler.errorFactor)
	return t.Duration > 0 && !sel.now.Add(longest).After(g.earliestStart)
}

// guardLimit guards the part of the group's limit that t waits for, unless an
// earlier task of the group is already guarded.
func (sel *selection) guardLimit(g *group, t *task) {
	if g.guard == nil {
		g.guard = &guard{need: t.Need, earliestStart: sel.earliestLimitStart(g, t.Need)}
	}
}

// guardBlocked guards what t needs: its part of the group's limit, and a
// worker if a reservation is left. A task that no worker can ever hold guards
// nothing.
func (sel *selection) guardBlocked(g *group, t *task) {
	if g.guard != nil {
		return
	}
	w := sel.earliestWorker(t)
	if w == nil {
		return
	}
	g.guard = &guard{need: t.Need, earliestStart: sel.now}
	if g.hasReservation {
		return
	}
	if w.guard == nil && len(sel.reserved) < sel.maxReservations {
		sel.reserve(g, t, w)
		g.guard.earliestStart = w.guard.earliestStart
	}
}

// earliestWorker returns the worker on which t is expected to start first. It
// returns a reserved worker only if no other one can hold t, and nil if none
// can.
func (sel *selection) earliestWorker(t *task) *worker {
	var best, reserved *worker
	var earliest time.Time
	for _, w := range sel.workers {
		if !t.Need.Fits(w.total) {
			continue
		}
		if w.guard != nil {
			reserved = w
			continue
		}
		start := sel.startTime(w.free, t.Need, w.running, sel.expectedEnd)
		if best == nil || start.Before(earliest) {
			best, earliest = w, start
		}
	}
	if best == nil {
		return reserved
	}
	return best
}

func (sel *selection) reserve(g *group, t *task, w *worker) {
	running := slices.Clone(w.running)
	slices.SortFunc(running, func(a, b Running) int { return sel.earliestEnd(a).Compare(sel.earliestEnd(b)) })
	w.guard = &guard{need: t.Need, earliestStart: sel.startTime(w.free, t.Need, running, sel.earliestEnd)}
	w.reservedFor = t.ID
	g.hasReservation = true
	sel.reserved[t.ID] = w.ID
}

// restoreReservations restores the reservations of an earlier call. If a
// reservation were chosen anew in each call, it could move to another worker
// with every wrong estimate of a run time while the previous worker is filled,
// and the task would never start. It therefore keeps its worker until it
// starts, its group's limit is used up, or the worker is gone.
func (sel *selection) restoreReservations(qualifies func(*task) bool) {
	for _, t := range sel.previouslyReserved {
		w := sel.findWorker(sel.scheduler.reserved[t.ID])
		g := sel.findGroup(t.Group)
		if !qualifies(t) || w == nil || g.hasReservation || w.guard != nil || len(sel.reserved) >= sel.maxReservations {
			continue
		}
		if t.Need.Fits(w.total) && t.Need.Fits(g.Limit.Sub(g.Used)) {
			sel.reserve(g, t, w)
		}
	}
}

// releaseReservation ends the reservation of t if it has one.
func (sel *selection) releaseReservation(g *group, t *task) {
	id, held := sel.reserved[t.ID]
	if !held {
		return
	}
	w := sel.findWorker(id)
	w.guard, w.reservedFor = nil, ""
	g.hasReservation = false
	delete(sel.reserved, t.ID)
}

// startTime returns when need fits, if the running tasks end in the given
// order at the given times.
func (sel *selection) startTime(free, need resource.Vector, running []Running, end func(Running) time.Time) time.Time {
	at := sel.now
	for _, r := range running {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.Need)
		at = end(r)
	}
	return at
}

// earliestLimitStart returns the earliest time at which need can fit the
// group's limit. What the group uses without running may end at any time.
func (sel *selection) earliestLimitStart(g *group, need resource.Vector) time.Time {
	running := slices.Clone(g.running)
	slices.SortFunc(running, func(a, b Running) int { return sel.earliestEnd(a).Compare(sel.earliestEnd(b)) })
	free := g.Limit
	for _, r := range running {
		free = free.Sub(r.Need)
	}
	return sel.startTime(free, need, running, sel.earliestEnd)
}

// expectedEnd returns when r is expected to end, which is now when it is
// overdue.
func (sel *selection) expectedEnd(r Running) time.Time {
	if r.Duration == 0 {
		return sel.now.Add(sel.scheduler.assumedDuration)
	}
	return later(sel.now, r.Started.Add(r.Duration))
}

// earliestEnd returns the earliest time at which r can end.
func (sel *selection) earliestEnd(r Running) time.Time {
	return later(sel.now, r.Started.Add(r.Duration/time.Duration(sel.scheduler.errorFactor)))
}

func (sel *selection) findWorker(id string) *worker {
	for _, w := range sel.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (sel *selection) findGroup(name string) *group {
	for _, g := range sel.groups {
		if g.Name == name {
			return g
		}
	}
	return nil
}

// remainder returns what need leaves of free, without negative components.
func remainder(free, need resource.Vector) resource.Vector {
	left := free.Sub(need)
	return resource.Vector{
		Processors:   max(left.Processors, 0),
		Memory:       max(left.Memory, 0),
		Accelerators: max(left.Accelerators, 0),
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
