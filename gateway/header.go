package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Headers between callers, entry instances and workers.
const (
	HeaderEpoch      = wire.HeaderEpoch      // the lease's epoch
	HeaderRequest    = wire.HeaderRequest    // the request's id, echoed in each response
	HeaderDeadline   = wire.HeaderDeadline   // milliseconds left
	HeaderFault      = wire.HeaderFault      // the kind of a refusal
	HeaderRan        = "Dogwood-Ran"         // whether the work of a refused request ran
	HeaderRetryAfter = "Dogwood-Retry-After" // milliseconds
	HeaderHops       = "Dogwood-Hops"        // how often the request was forwarded
	HeaderRunning    = "Dogwood-Running"     // in the response to a probe: whether the request runs
	HeaderFree       = "Dogwood-Free"        // free slots, in a peer's response
	HeaderKey        = wire.HeaderIdempotencyKey
)

const headerPrefix = "Dogwood-"

const maxKeyBytes = 256

// Values of HeaderRan.
var ranNames = [...]string{
	fault.NotRun:   "not-run",
	fault.MaybeRun: "may-have-run",
	fault.DidRun:   "ran",
}

// hopByHopHeaders are the hop-by-hop headers, which are never passed on.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// copyHeader adds the headers of src that may be passed on to dst. The values
// are shared, not copied.
func copyHeader(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopByHopHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		if listed != nil && isListed(listed, name) {
			continue
		}
		dst[name] = values
	}
}

// isListed reports whether the Connection header lists name.
func isListed(connection []string, name string) bool {
	for _, line := range connection {
		for token := range strings.SplitSeq(line, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

// isIdempotent reports whether HTTP defines the method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// parseMillis parses a number of milliseconds. Values above limit, which might
// overflow a Duration, are reduced to limit.
func parseMillis(text string, limit time.Duration) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if ms > limit.Milliseconds() {
		return limit, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// formatMillis formats d in whole milliseconds, at least 1.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
