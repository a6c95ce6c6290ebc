package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 75 * time.Second // longer than load balancers keep idle connections
	serverMargin  = 5 * time.Second  // beyond the longest deadline
)

// Server returns an http.Server for h with timeouts for each connection and a
// bound on headers.
//
// Callers that open connections and send next to nothing would exhaust the
// file descriptors. So every phase of a connection has a timeout: the header,
// the whole request, the response, and the idle time between requests.
func (g *Gateway) Server(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       g.maxDeadline + serverMargin,
		WriteTimeout:      g.maxDeadline + serverMargin,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    g.maxHeaderBytes,
	}
	if log, err := zap.NewStdLogAt(g.logger, zap.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return server
}

// handleProbe answers the probe of another entry instance, and reports whether
// a request that it forwarded is in flight here.
func (g *Gateway) handleProbe(w http.ResponseWriter, r *http.Request) {
	running := "false"
	if g.isInFlight(r.Header.Get(HeaderRequest)) {
		running = "true"
	}
	w.Header().Set(HeaderRunning, running)
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) isInFlight(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if c.id == id {
			return true
		}
	}
	return false
}
