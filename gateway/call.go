package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
)

// idPrefixBytes is the length of the random prefix that makes the request ids
// of this process unique.
const idPrefixBytes = 12

// call is one request in flight.
type call struct {
	id         string
	service    route.Service
	table      *route.Table
	w          http.ResponseWriter
	r          *http.Request
	path       string // escaped, starting with the service name
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
	deadline   time.Time
	hops       int
	idempotent bool
	body       *body
	keyClaim   *claim // nil when no key was claimed
	callerWait callerWait

	attempts   int
	triedIDs   []string // workers and peers that were tried
	refusedBy  []string // of these, the ones that refused or got no byte
	mayHaveRun bool     // an earlier attempt may have run
}

// newCall validates r and returns its call, or the fault to refuse it with.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, name string, hops int) (*call, *fault.Error) {
	table := g.table.Load()
	if table == nil {
		return nil, fault.New(fault.NoWorker, "no routing table published yet")
	}
	service, ok := table.Services[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "no service %q", name)
	}
	if r.ContentLength > g.maxBodyBytes {
		return nil, fault.New(fault.TooLarge, "body above %d bytes", g.maxBodyBytes)
	}
	if len(r.Header.Get(HeaderKey)) > maxKeyBytes {
		return nil, fault.New(fault.TooLarge, "%s above %d bytes", HeaderKey, maxKeyBytes)
	}
	timeout, err := g.timeout(r, service)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &call{
		service:    service,
		table:      table,
		w:          w,
		r:          r,
		path:       strings.TrimPrefix(r.URL.EscapedPath()[1:], pathPrefixOf(hops)),
		startedAt:  now,
		deadline:   now.Add(timeout),
		hops:       hops,
		idempotent: service.Idempotent || isIdempotent(r.Method),
	}
	c.service.Name = name
	return c, g.assignID(c)
}

func pathPrefixOf(hops int) string {
	if hops > 0 {
		return "forward/"
	}
	return "services/"
}

// timeout returns the time left until the deadline of r.
func (g *Gateway) timeout(r *http.Request, service route.Service) (time.Duration, *fault.Error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		if service.Timeout > 0 {
			return min(service.Timeout, g.maxDeadline), nil
		}
		return defaultTimeout, nil
	}
	left, err := parseMillis(text, g.maxDeadline)
	if err != nil {
		return 0, fault.New(fault.Invalid, "%s: %q isn't a number of milliseconds", HeaderDeadline, text)
	}
	if left <= 0 {
		return 0, fault.New(fault.DeadlinePassed, "the deadline passed")
	}
	return left, nil
}

// assignID sets the id of the call. A forwarded request keeps the id assigned
// by the first entry instance, and must not be forwarded again.
func (g *Gateway) assignID(c *call) *fault.Error {
	if c.hops == 0 {
		c.id = g.idPrefix + strconv.FormatUint(g.idCounter.Add(1), 36)
		return nil
	}
	c.id = c.r.Header.Get(HeaderRequest)
	if c.id == "" {
		return fault.New(fault.Invalid, "%s is missing", HeaderRequest)
	}
	if c.r.Header.Get(HeaderHops) != "1" {
		return fault.New(fault.Invalid, "%s must be 1", HeaderHops)
	}
	return nil
}

// notSentFault is the fault of a request that was not sent because its deadline
// passed or its caller disconnected.
func (c *call) notSentFault() *fault.Error {
	return fault.New(fault.DeadlinePassed, "the deadline passed before the request was sent")
}

// isExpired reports whether the deadline passed.
func (c *call) isExpired() bool {
	return !time.Now().Before(c.deadline)
}

// isCallerGone reports whether the caller disconnected before the deadline.
func (c *call) isCallerGone() bool {
	return c.r.Context().Err() != nil && !c.isExpired()
}

// wasTried reports whether the worker or peer was tried.
func (c *call) wasTried(id string) bool {
	return slices.Contains(c.triedIDs, id)
}

// wasRefusedBy reports whether the worker refused the call or could not be
// reached.
func (c *call) wasRefusedBy(id string) bool {
	return slices.Contains(c.refusedBy, id)
}
