package dispatcher

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Guards against a rejection that is counted as an unknown outcome, or under a wrong cause.
func TestOutcomeFields(t *testing.T) {
	full := fault.New(fault.Overloaded, "pool").Because(fault.PoolFull)
	tests := []struct {
		name           string
		err            error
		outcome, cause string
	}{
		{"accepted", nil, "accepted", ""},
		{"store rejects", fault.New(fault.Unavailable, "status 503"), "rejected", "rejects"},
		{"store silent", fault.New(fault.Unavailable, "no answer").Because(fault.StoreSilent), "rejected", "silent"},
		{"reason of the cause", fault.Wrap(fault.Unavailable, full, "not written"), "rejected", "full"},
		{"write unanswered", fault.Wrap(fault.MayHaveRun, errors.New("timeout"), "append"), "unknown", "silent"},
		{"overloaded", fault.New(fault.Overloaded, "backlog"), "rejected", "overloaded"},
		{"invalid", fault.New(fault.Invalid, "count"), "rejected", "other"},
		{"no kind", errors.New("defect"), "unknown", "other"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := outcomeFields(tt.err)
			is.Equal(got[0], zap.String("outcome", tt.outcome))
			if tt.cause == "" {
				is.Equal(len(got), 1)
				return
			}
			is.Equal(got[1].Key, "cause")
			is.Equal(got[1].Interface.(fault.Reason).String(), tt.cause)
		})
	}
}
