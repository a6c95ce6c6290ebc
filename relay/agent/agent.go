// Package agent forwards the orders that the owner of a cell sends through this
// instance to workers in its availability zone.
//
// Usage:
//
//	a := agent.New("edge-1", executor)
//	mux.Handle(wire.Path, a)
//	a.Leave() // owners use other routes from now on
//
// An Agent makes no decisions and stores no state: each order carries the owner's
// token and deadline, which the worker checks, and its outcome is returned unchanged.
// When a connection ends, its orders in flight are cancelled.
package agent

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Agent serves the connections of owners. It is safe for concurrent use.
type Agent struct {
	instance string
	executor provider.Executor
	logger   *zap.Logger
	clock    func() time.Duration

	mu       sync.Mutex
	sessions map[*session]struct{}
	leaving  bool
}

// Option changes an Agent.
type Option func(*Agent)

// WithLogger sets the logger for connections; the default logs nothing.
func WithLogger(l *zap.Logger) Option {
	return func(a *Agent) { a.logger = l }
}

// WithClock sets the clock for the detection of late orders. It must include time in
// which the machine is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(a *Agent) { a.clock = clock }
}

// New returns an Agent for the named instance that forwards orders through executor.
func New(instance string, executor provider.Executor, opts ...Option) *Agent {
	start := time.Now()
	a := &Agent{
		instance: instance,
		executor: executor,
		logger:   zap.NewNop(),
		clock:    func() time.Duration { return time.Since(start) },
		sessions: make(map[*session]struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// ServeHTTP serves an owner's connection until it ends.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(wire.ToHeader) != a.instance {
		http.Error(w, "this is "+a.instance, http.StatusMisdirectedRequest)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{wire.AckedProtocol}})
	if err != nil {
		a.logger.Warn("relay connection not accepted", zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(wire.MaxMessageSize)
	s := newSession(a, socket)
	if sent, err := strconv.ParseInt(r.Header.Get(wire.SentHeader), 10, 64); err == nil {
		s.compareClocks(sent)
	}
	a.addSession(s)
	defer a.removeSession(s)
	err = s.run(r.Context())
	a.logger.Debug("relay connection closed", zap.String("from", r.RemoteAddr), zap.Error(err))
}

func (a *Agent) addSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = struct{}{}
	if a.leaving {
		s.leave()
	}
}

func (a *Agent) removeSession(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, s)
}

// Sessions returns how many owners are connected.
func (a *Agent) Sessions() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.sessions)
}

// Leave tells all owners to use other routes. Orders that have arrived are still
// carried out.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for s := range a.sessions {
		s.leave()
	}
}
