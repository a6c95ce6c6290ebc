package share

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/resource"
)

// guard keeps what a waiting task needs from tasks that come after it.
//
// Small tasks that fill every gap keep a large one waiting for ever: it would
// be seen in the queue with a growing age while its group and the workers are
// busy. A guard lets a later task pass only if the waiting one can't lose by
// it, even when run times are wrong by the error factor.
type guard struct {
	need  resource.Vector
	early time.Time // the waiting task can't start before
}

// allows reports whether t may take part of free: it needs no more than the
// waiting task leaves of it now, or it ends for sure before the waiting task
// can start.
func (g *guard) allows(t *task, free resource.Vector, sel *selection) bool {
	if g == nil {
		return true
	}
	if t.Need.Fits(rest(free, g.need)) {
		return true
	}
	longest := t.Duration * time.Duration(sel.scheduler.errorFactor)
	return t.Duration > 0 && !sel.now.Add(longest).After(g.early)
}

// guardLimit keeps the room in the group's limit that t waits for. The first
// task of the group that could not start has gone before.
func (sel *selection) guardLimit(g *group, t *task) {
	if g.guard == nil {
		g.guard = &guard{need: t.Need, early: sel.earlyLimit(g, t.Need)}
	}
}

// block guards what t needs: its part of the group's limit, and a worker if a
// reservation is left. A task that no worker can ever hold guards nothing.
func (sel *selection) block(g *group, t *task) {
	if g.guard != nil {
		return
	}
	w := sel.soonest(t)
	if w == nil {
		return
	}
	g.guard = &guard{need: t.Need, early: sel.now}
	if g.reserved {
		return
	}
	if w.guard == nil && len(sel.held) < sel.limit {
		sel.reserve(g, t, w)
		g.guard.early = w.guard.early
	}
}

// soonest returns the worker on which t is expected to start first, without
// those that are reserved unless all are, and nil when none can ever hold it.
func (sel *selection) soonest(t *task) *worker {
	var best, reserved *worker
	var earliest time.Time
	for _, w := range sel.workers {
		if !t.Need.Fits(w.whole) {
			continue
		}
		if w.guard != nil {
			reserved = w
			continue
		}
		start := sel.start(w.free, t.Need, w.running, sel.expectedEnd)
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
	slices.SortFunc(running, func(a, b Running) int { return sel.earlyEnd(a).Compare(sel.earlyEnd(b)) })
	w.guard = &guard{need: t.Need, early: sel.start(w.free, t.Need, running, sel.earlyEnd)}
	w.holder = t.ID
	g.reserved = true
	sel.held[t.ID] = w.ID
}

// restore brings back the reservations of an earlier call.
//
// A reservation that was chosen anew each time could move to another worker
// with every wrong guess of a run time, and the worker it left would be filled:
// the task waits on although it holds a reservation all the time. So it keeps
// the worker until it starts, its group's limit is used up, or the worker is
// gone.
func (sel *selection) restore(qualifies func(*task) bool) {
	for _, t := range sel.before {
		w := sel.find(sel.scheduler.held[t.ID])
		g := sel.group(t.Group)
		if !qualifies(t) || w == nil || g.reserved || w.guard != nil || len(sel.held) >= sel.limit {
			continue
		}
		if t.Need.Fits(w.whole) && t.Need.Fits(g.Limit.Sub(g.Used)) {
			sel.reserve(g, t, w)
		}
	}
}

// release ends the reservation of t when it has one.
func (sel *selection) release(g *group, t *task) {
	id, held := sel.held[t.ID]
	if !held {
		return
	}
	w := sel.find(id)
	w.guard, w.holder = nil, ""
	g.reserved = false
	delete(sel.held, t.ID)
}

// start returns when need fits, if the running tasks end in the given order
// at the given times.
func (sel *selection) start(free, need resource.Vector, running []Running, end func(Running) time.Time) time.Time {
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

// earlyLimit returns when the group's limit can have room for need at the
// earliest. Whatever the group holds that isn't running may end at any time.
func (sel *selection) earlyLimit(g *group, need resource.Vector) time.Time {
	running := slices.Clone(g.running)
	slices.SortFunc(running, func(a, b Running) int { return sel.earlyEnd(a).Compare(sel.earlyEnd(b)) })
	free := g.Limit
	for _, r := range running {
		free = free.Sub(r.Need)
	}
	return sel.start(free, need, running, sel.earlyEnd)
}

// expectedEnd returns when r should end, which is now when it is overdue.
func (sel *selection) expectedEnd(r Running) time.Time {
	if r.Duration == 0 {
		return sel.now.Add(sel.scheduler.duration)
	}
	return latest(sel.now, r.Started.Add(r.Duration))
}

// earlyEnd returns when r can end at the earliest.
func (sel *selection) earlyEnd(r Running) time.Time {
	return latest(sel.now, r.Started.Add(r.Duration/time.Duration(sel.scheduler.errorFactor)))
}

func (sel *selection) find(id string) *worker {
	for _, w := range sel.workers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (sel *selection) group(name string) *group {
	for _, g := range sel.groups {
		if g.Name == name {
			return g
		}
	}
	return nil
}

// rest returns what need leaves of free, and none of what it lacks.
func rest(free, need resource.Vector) resource.Vector {
	left := free.Sub(need)
	return resource.Vector{
		Processors:   max(left.Processors, 0),
		Memory:       max(left.Memory, 0),
		Accelerators: max(left.Accelerators, 0),
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
