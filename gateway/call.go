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

// idBytes is the length of the part of a request id that names the process.
const idBytes = 12

// call is one request in flight.
type call struct {
	id         string
	service    route.Service
	table      *route.Table
	w          http.ResponseWriter
	r          *http.Request
	path       string // from the service's name on, escaped
	ctx        context.Context
	cancel     context.CancelFunc
	started    time.Time
	deadline   time.Time
	hops       int
	idempotent bool
	body       *body
	key        *claim // nil when no key was claimed

	attempts int
	tried    []string // workers and peers that need not be asked again
	refused  []string // those that refused it, or to which nothing could be sent
	mayRun   bool     // an earlier attempt may have run
}

// newCall reads what routing needs of r, or says why it is refused.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, name string, hops int) (*call, *fault.Error) {
	table := g.table.Load()
	if table == nil {
		return nil, fault.New(fault.NoWorker, "no routes yet")
	}
	service, ok := table.Services[name]
	if !ok {
		return nil, fault.New(fault.NotFound, "no service %q", name)
	}
	if r.ContentLength > g.bodyBytes {
		return nil, fault.New(fault.TooLarge, "body above %d bytes", g.bodyBytes)
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
		path:       strings.TrimPrefix(r.URL.EscapedPath()[1:], rootOf(hops)),
		started:    now,
		deadline:   now.Add(timeout),
		hops:       hops,
		idempotent: service.Idempotent || isIdempotent(r.Method),
	}
	c.service.Name = name
	return c, g.identify(c)
}

func rootOf(hops int) string {
	if hops > 0 {
		return "forward/"
	}
	return "services/"
}

// timeout returns the time that r has left.
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

// identify gives the call its id. A forwarded request keeps the id that the
// first entry instance gave it, and may not be forwarded again.
func (g *Gateway) identify(c *call) *fault.Error {
	if c.hops == 0 {
		c.id = g.prefix + strconv.FormatUint(g.counter.Add(1), 36)
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

// unsent says why a request that wasn't sent is given up: its deadline
// passed or its caller went away.
func (c *call) unsent() *fault.Error {
	return fault.New(fault.DeadlinePassed, "the deadline passed before the request was sent")
}

// expired reports whether the deadline passed.
func (c *call) expired() bool {
	return !time.Now().Before(c.deadline)
}

// gone reports whether the caller went away.
func (c *call) gone() bool {
	return c.r.Context().Err() != nil && !c.expired()
}

// skip reports whether the worker or peer was tried.
func (c *call) skip(id string) bool {
	return slices.Contains(c.tried, id)
}

// hasRefused reports whether the worker refused the call.
func (c *call) hasRefused(id string) bool {
	return slices.Contains(c.refused, id)
}
