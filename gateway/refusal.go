package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// refusal is the body of a refusal.
type refusal struct {
	Fault   string `json:"fault"`
	Ran     string `json:"ran"`
	Retry   int64  `json:"retry"` // milliseconds, zero when a retry is useless
	Message string `json:"message"`
}

// refuse responds with a fault.
func (g *Gateway) refuse(w http.ResponseWriter, err *fault.Error) {
	g.counters.countRefusal(err.Kind)
	answer := err.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderFault, err.Kind.String())
	h.Set(HeaderRan, ranNames[answer.Ran])
	if g.isLeaving() {
		h.Set("Connection", "close")
	}
	if answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(answer.RetryAfter), 10))
		h.Set(HeaderRetryAfter, formatMillis(answer.RetryAfter))
	}
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(refusal{
		Fault:   err.Kind.String(),
		Ran:     ranNames[answer.Ran],
		Retry:   answer.RetryAfter.Milliseconds(),
		Message: err.Message,
	})
}

// ceilSeconds rounds d up to whole seconds, at least 1.
func ceilSeconds(d time.Duration) int64 {
	return max(int64((d+time.Second-1)/time.Second), 1)
}

// readRefusal returns the fault that a response reports, nil when it reports
// none.
func readRefusal(resp *http.Response) *fault.Error {
	name := resp.Header.Get(HeaderFault)
	if name == "" {
		return nil
	}
	kind, ok := wire.ParseKind(name)
	if !ok {
		return fault.New(fault.MayHaveRun, "unknown fault %q", name)
	}
	err := fault.New(kind, "refused by %s", resp.Request.URL.Host)
	if after, parseErr := parseMillis(resp.Header.Get(HeaderRetryAfter), maxRetryAfter); parseErr == nil && after > 0 {
		err = err.After(after)
	}
	return err
}

// maxRetryAfter bounds the retry delay that a worker or peer may request.
const maxRetryAfter = time.Minute
