package caller

//go:generate go tool stringer -type=Outcome -output=strings.go

import "github.com/dogwoodladder/dogwoodladder/fault"

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes.
const (
	Answered   Outcome = iota // the whole answer to this request
	Failed                    // a whole answer to this request, with an error status
	Refused                   // an error that states that the request did not run
	Unsent                    // no entry instance could be reached
	MayHaveRun                // an error that leaves open whether it ran, or no answer
	Truncated                 // the answer ended early
	Foreign                   // the answer belongs to another request
	outcomes
)

func outcomeOf(kind fault.Kind) Outcome {
	switch {
	case kind == fault.Truncated:
		return Truncated
	case kind.Answer().Ran == fault.NotRun:
		return Refused
	default:
		return MayHaveRun
	}
}
