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
	Retry   int64  `json:"retry"` // milliseconds, zero when a repeat is of no use
	Message string `json:"message"`
}

// refuse answers with a fault.
func (g *Gateway) refuse(w http.ResponseWriter, err *fault.Error) {
	g.counts.refuse(err.Kind)
	answer := err.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderFault, err.Kind.String())
	h.Set(HeaderRan, ranNames[answer.Ran])
	if g.isLeaving() {
		h.Set("Connection", "close")
	}
	if answer.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(seconds(answer.RetryAfter), 10))
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

// seconds rounds d up to whole seconds, at least 1.
func seconds(d time.Duration) int64 {
	return max(int64((d+time.Second-1)/time.Second), 1)
}

// readRefusal returns the fault that an answer reports, nil when it reports none.
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
	if after, bad := parseMillis(resp.Header.Get(HeaderRetryAfter), maxRetryAfter); bad == nil && after > 0 {
		err = err.After(after)
	}
	return err
}

// maxRetryAfter bounds what a worker or peer may ask of a caller.
const maxRetryAfter = time.Minute
