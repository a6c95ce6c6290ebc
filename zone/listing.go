package zone

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
)

// Owners returns the incarnations that aren't fenced and own a worker or an
// escrowed task, sorted by ID and incarnation.
func (s *State) Owners() iter.Seq[record.Writer] {
	var owners []record.Writer
	for _, i := range s.instances {
		for _, r := range i.incarnations {
			if !r.fenced && (len(r.workers) > 0 || !r.used.IsZero()) {
				owners = append(owners, r.writer)
			}
		}
	}
	slices.SortFunc(owners, func(a, b record.Writer) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.Values(owners)
}

// Active returns the tasks that haven't ended, sorted by ID.
func (s *State) Active() iter.Seq[Task] {
	return s.tasksWhere(func(t Task) bool { return t.State != Done && t.State != Cancelled })
}

// Declared returns the declared tasks, ended ones included, sorted by ID.
func (s *State) Declared() iter.Seq[Task] {
	return s.tasksWhere(func(t Task) bool { return t.Declared })
}

// Parked returns the parked tasks, sorted by ID.
func (s *State) Parked() iter.Seq[Task] {
	return s.tasksWhere(func(t Task) bool { return t.State == Parked })
}

func (s *State) tasksWhere(want func(Task) bool) iter.Seq[Task] {
	var tasks []Task
	for _, t := range s.tasks {
		if v := s.view(t); want(v) {
			tasks = append(tasks, v)
		}
	}
	slices.SortFunc(tasks, func(a, b Task) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Values(tasks)
}
