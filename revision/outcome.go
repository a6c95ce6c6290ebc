package revision

import "fmt"

//go:generate go tool stringer -type=Kind -output=strings.go

// Kind is the kind of an outcome.
type Kind int

// Kinds of outcomes.
const (
	Ignored   Kind = iota // the record was read before, is damaged or too large
	Published             // a new revision is in force
	Repeated              // another copy of the record that published the revision in force
	Void                  // a Publish whose base isn't in force
	Restated              // a Restate from which a late joiner can start
	Stale                 // a Restate that a Publish made outdated; it must be written again
	Unknown               // the revision in force isn't known yet, or the record is of a newer version
)

// Outcome is the effect of one record. InForce is the revision in force in the
// stream after it, without its manifest; it is meaningless if Kind is Unknown.
type Outcome struct {
	Kind    Kind
	Offset  uint64
	InForce Revision
}

// String returns the outcome as a line for an operator.
func (o Outcome) String() string {
	text := fmt.Sprintf("offset=%d outcome=%s", o.Offset, o.Kind)
	if o.Kind == Unknown {
		return text
	}
	return fmt.Sprintf("%s revision=%d author=%q published=%d", text, o.InForce.Number, o.InForce.Author, o.InForce.Offset)
}
