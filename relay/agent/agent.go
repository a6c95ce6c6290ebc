// Package agent carries out the orders that the owner of a cell sends through
// this instance to workers near it.
//
// Usage:
//
//	a := agent.New("edge-1", executor)
//	mux.Handle(wire.Path, a)
//	a.Leave() // owners send their orders another way from now on
//
// An Agent decides nothing and keeps nothing: each order carries the owner's
// token and deadline, which the worker checks, and its outcome goes back as it is.
// When the connection ends, what is under way for it ends too.
package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Agent takes the connections of owners. It is safe for concurrent use.
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

// WithLogger sets where connections are logged; the default drops them.
func WithLogger(l *zap.Logger) Option {
	return func(a *Agent) { a.logger = l }
}

// WithClock sets the clock by which an order is found to be late. It has to go
// on while the machine is suspended.
func WithClock(clock func() time.Duration) Option {
	return func(a *Agent) { a.clock = clock }
}

// New returns an Agent of the instance named that orders through executor.
func New(instance string, executor provider.Executor, opts ...Option) *Agent {
	begun := time.Now()
	a := &Agent{
		instance: instance,
		executor: executor,
		logger:   zap.NewNop(),
		clock:    func() time.Duration { return time.Since(begun) },
		sessions: make(map[*session]struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// ServeHTTP takes a connection, and returns when it ends.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(wire.ToHeader) != a.instance {
		http.Error(w, "this is "+a.instance, http.StatusMisdirectedRequest)
		return
	}
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		a.logger.Warn("relay not accepted", zap.String("from", r.RemoteAddr), zap.Error(err))
		return
	}
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(wire.MaxFrame)
	s := newSession(a, socket)
	a.enter(s)
	defer a.leave(s)
	err = s.run(r.Context())
	a.logger.Debug("relay ended", zap.String("from", r.RemoteAddr), zap.Error(err))
}

func (a *Agent) enter(s *session) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sessions[s] = struct{}{}
	if a.leaving {
		s.leave()
	}
}

func (a *Agent) leave(s *session) {
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

// Leave tells all owners to send their orders another way. Those that came are
// carried out.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	for s := range a.sessions {
		s.leave()
	}
}
