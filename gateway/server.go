package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	headerTime = 5 * time.Second
	idleTime   = 75 * time.Second // longer than balancers keep connections unused
	serverTime = 5 * time.Second  // beyond the longest deadline
)

// Server returns an http.Server for h with a bound on each connection's
// times and on headers.
//
// A caller can open connections and send next to nothing. It would show as
// file descriptors that run out. Every state of a connection has its bound:
// the header, the whole request, the answer, and the time between requests.
func (g *Gateway) Server(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       g.maxDeadline + serverTime,
		WriteTimeout:      g.maxDeadline + serverTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    g.headerBytes,
	}
	if log, err := zap.NewStdLogAt(g.logger, zap.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return server
}

// serveProbe tells another entry instance that this one answers, and whether
// a request that it forwarded is in flight here.
func (g *Gateway) serveProbe(w http.ResponseWriter, r *http.Request) {
	running := "false"
	if g.inFlight(r.Header.Get(HeaderRequest)) {
		running = "true"
	}
	w.Header().Set(HeaderRunning, running)
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) inFlight(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.calls {
		if c.id == id {
			return true
		}
	}
	return false
}
