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
	HeaderRequest    = wire.HeaderRequest    // the request's id, echoed in each answer
	HeaderDeadline   = wire.HeaderDeadline   // milliseconds left
	HeaderFault      = wire.HeaderFault      // the kind of a refusal
	HeaderRan        = "Dogwood-Ran"         // whether the work of a refused request ran
	HeaderRetryAfter = "Dogwood-Retry-After" // milliseconds
	HeaderHops       = "Dogwood-Hops"        // how often the request was forwarded
	HeaderRunning    = "Dogwood-Running"     // in the answer to a probe: whether the request runs
	HeaderFree       = "Dogwood-Free"        // free slots, in a peer's answer
	HeaderKey        = wire.HeaderKey
)

const headerPrefix = "Dogwood-"

const maxKeyBytes = 256

// Values of HeaderRan.
var ranNames = [...]string{
	fault.NotRun:   "not-run",
	fault.MaybeRun: "may-have-run",
	fault.DidRun:   "ran",
}

// hopHeaders are meant for one connection and never passed on.
var hopHeaders = map[string]bool{
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

// copyHeader adds to dst what may be passed on of src. The values are
// shared, not copied.
func copyHeader(dst, src http.Header) {
	listed := src["Connection"]
	for name, values := range src {
		if hopHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		if listed != nil && isListed(listed, name) {
			continue
		}
		dst[name] = values
	}
}

// isListed reports whether a Connection header names the header.
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

// isIdempotent reports whether HTTP lets a request of the method be repeated.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// parseMillis reads a header of milliseconds. Values that no Duration holds
// are cut to limit.
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

// formatMillis writes d in whole milliseconds, at least 1.
func formatMillis(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
