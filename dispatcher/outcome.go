package dispatcher

import (
	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Outcomes of a request in the line "accept", which package loss counts.
const (
	outcomeAccepted = "accepted"
	outcomeRejected = "rejected" // the job will never run
	outcomeUnknown  = "unknown"  // the job may run
)

// outcomeFields returns the fields of the line "accept" that tell whether a job was accepted,
// and the cause if it wasn't.
func outcomeFields(err error) []zap.Field {
	if err == nil {
		return []zap.Field{zap.String("outcome", outcomeAccepted)}
	}
	outcome := outcomeUnknown
	if fault.KindOf(err).Answer().Ran == fault.NotRun {
		outcome = outcomeRejected
	}
	return []zap.Field{zap.String("outcome", outcome), zap.Stringer("cause", fault.ReasonOf(err))}
}
