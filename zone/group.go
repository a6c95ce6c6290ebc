package zone

import (
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Group is a copy of the limit, usage and counters of a group.
type Group struct {
	Limit     resource.Vector `cbor:"1,keyasint"`
	Used      resource.Vector `cbor:"-"`          // needs of escrowed tasks
	Queued    int             `cbor:"-"`          // tasks
	Escrowed  int             `cbor:"-"`          // tasks
	Parked    int             `cbor:"-"`          // tasks
	Submitted uint64          `cbor:"2,keyasint"` // tasks since the group is known
	Done      uint64          `cbor:"3,keyasint"` // tasks since the group is known
	Cancelled uint64          `cbor:"4,keyasint"` // tasks since the group is known
	Evicted   uint64          `cbor:"5,keyasint"` // attempts that ended without a failure, recoveries included
	Failed    uint64          `cbor:"6,keyasint"` // attempts
}

// maxGroups bounds the groups of one Limits record.
const maxGroups = 1024

// group is the internal state of a group. It is kept while it has a limit or
// a task, ended ones included.
type group struct {
	Group
	name      string
	hasLimit  bool
	taskCount int
}

// addTasks adds n to the counter of a task state, and their need to Used if
// the state belongs to an escrow.
func (g *group) addTasks(state chart.State, need resource.Vector, n int) {
	switch {
	case state == stateQueued:
		g.Queued += n
	case state == stateParked:
		g.Parked += n
	case isInEscrow(state):
		g.Escrowed += n
		g.Used = g.Used.Add(need.Scale(int64(n)))
	}
}

// Group returns the named group, or the zero Group if it is unknown.
func (s *State) Group(name string) Group {
	g := s.groups[name]
	if g == nil {
		return Group{}
	}
	return g.Group
}

// Groups returns the groups sorted by name.
func (s *State) Groups() iter.Seq2[string, Group] {
	return func(yield func(string, Group) bool) {
		for _, name := range slices.Sorted(maps.Keys(s.groups)) {
			if !yield(name, s.groups[name].Group) {
				return
			}
		}
	}
}

// Revision returns the revision of the limits in force.
func (s *State) Revision() uint64 {
	return s.revision
}

func (s *State) applyLimits(body *record.Limits, o *Outcome) {
	if !isValidLimits(body) {
		o.void(Malformed, "limits")
		return
	}
	if body.Revision <= s.revision {
		o.void(OldRevision, "")
		return
	}
	s.revision = body.Revision
	for _, g := range s.groups {
		g.Limit = resource.Vector{}
		g.hasLimit = false
	}
	for name, limit := range body.Groups {
		g := s.ensureGroup(name)
		g.Limit = limit
		g.hasLimit = true
	}
	maps.DeleteFunc(s.groups, func(_ string, g *group) bool { return g.isUnused() })
}

func isValidLimits(body *record.Limits) bool {
	if len(body.Groups) > maxGroups {
		return false
	}
	for name, limit := range body.Groups {
		if !isValidName(name) || limit.IsNegative() {
			return false
		}
	}
	return true
}

// ensureGroup returns the named group and creates it if it is unknown.
func (s *State) ensureGroup(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{name: name}
		s.groups[name] = g
	}
	return g
}

func (g *group) isUnused() bool {
	return !g.hasLimit && g.taskCount == 0
}
