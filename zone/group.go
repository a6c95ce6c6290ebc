package zone

import (
	"iter"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/chart"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Group is a copy of what is known of a group.
type Group struct {
	Limit     resource.Vector `cbor:"1,keyasint"`
	Used      resource.Vector `cbor:"-"`          // needs of escrowed tasks
	Queued    int             `cbor:"-"`          // tasks
	Escrowed  int             `cbor:"-"`          // tasks
	Parked    int             `cbor:"-"`          // tasks
	Submitted uint64          `cbor:"2,keyasint"` // tasks since the group is known
	Done      uint64          `cbor:"3,keyasint"` // tasks since the group is known
	Cancelled uint64          `cbor:"4,keyasint"` // tasks since the group is known
	Evicted   uint64          `cbor:"5,keyasint"` // attempts ended without blame, recoveries included
	Failed    uint64          `cbor:"6,keyasint"` // attempts
}

// maxGroups bounds the groups of one Limits record.
const maxGroups = 1024

// group is the folded form of a group. It is known while it has a limit or
// a task, ended ones included.
type group struct {
	Group
	name    string
	limited bool
	tasks   int
}

// count adds n tasks in a state, and their need where it is escrowed.
func (g *group) count(state chart.State, need resource.Vector, n int) {
	switch {
	case state == stateQueued:
		g.Queued += n
	case state == stateParked:
		g.Parked += n
	case inEscrow(state):
		g.Escrowed += n
		g.Used = g.Used.Add(need.Scale(int64(n)))
	}
}

// Group returns a group, and the zero Group when it is unknown.
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

func (s *State) limit(body *record.Limits, o *Outcome) {
	if !validLimits(body) {
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
		g.limited = false
	}
	for name, limit := range body.Groups {
		g := s.group(name)
		g.Limit = limit
		g.limited = true
	}
	maps.DeleteFunc(s.groups, func(_ string, g *group) bool { return g.unused() })
}

func validLimits(body *record.Limits) bool {
	if len(body.Groups) > maxGroups {
		return false
	}
	for name, limit := range body.Groups {
		if !validName(name) || limit.IsNegative() {
			return false
		}
	}
	return true
}

// group returns the group of a name, made when it is unknown.
func (s *State) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{name: name}
		s.groups[name] = g
	}
	return g
}

func (g *group) unused() bool {
	return !g.limited && g.tasks == 0
}
