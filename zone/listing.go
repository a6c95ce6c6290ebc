package zone

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/record"
)

// ActiveOwners returns the incarnations that aren't fenced and own a worker or
// an escrowed task, sorted by ID and incarnation.
func (s *State) ActiveOwners() iter.Seq[record.Writer] {
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

// LiveTasks returns the tasks that haven't ended, sorted by ID.
func (s *State) LiveTasks() iter.Seq[Task] {
	return s.tasksWhere(func(t Task) bool { return t.State != Done && t.State != Cancelled })
}

// DeclaredTasks returns the declared tasks, ended ones included, sorted by ID.
func (s *State) DeclaredTasks() iter.Seq[Task] {
	return s.tasksWhere(func(t Task) bool { return t.Declared })
}

// ParkedTasks returns the parked tasks, sorted by ID.
func (s *State) ParkedTasks() iter.Seq[Task] {
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
