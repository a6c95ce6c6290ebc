package revision

import "fmt"

//go:generate go tool stringer -type=Kind -output=strings.go

// Kind tells what became of a record.
type Kind int

// Kinds of outcomes.
const (
	Ignored   Kind = iota // read before, damaged or too large; the same everywhere
	Published             // a new revision is in force
	Repeated              // another copy of the record that published the revision in force
	Void                  // a Publish whose base isn't in force
	Restated              // a Restate from which a late joiner can start
	Stale                 // a Restate that a Publish overtook; it has to be written again
	Unknown               // what is in force can't be told yet, or the record is of a newer version
)

// Outcome is what became of one record. Winner is the revision in force in
// the stream after it, without its manifest; it means nothing when Kind is
// Unknown.
type Outcome struct {
	Kind   Kind
	Offset uint64
	Winner Revision
}

// String returns the outcome as a line for an operator.
func (o Outcome) String() string {
	text := fmt.Sprintf("offset=%d outcome=%s", o.Offset, o.Kind)
	if o.Kind == Unknown {
		return text
	}
	return fmt.Sprintf("%s revision=%d author=%q published=%d", text, o.Winner.Number, o.Winner.Author, o.Winner.Offset)
}
