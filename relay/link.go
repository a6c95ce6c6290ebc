package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Times of a connection. An answer of an instance takes 3 to 10 ms beside what
// the worker is allowed to wait.
const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	leastBackoff = 300 * time.Millisecond
	mostBackoff  = 10 * time.Second
	// mostDoublings of leastBackoff are above mostBackoff.
	mostDoublings = 6
	// promptFor is how long an order that waits for nothing may be without a
	// result before its instance is asked whether it is there.
	promptFor = 150 * time.Millisecond
	// quietFor is the same for one that says nothing while holds wait there.
	quietFor = 500 * time.Millisecond
	// answerWithin is how long it may take to say so. With it a frozen or cut off
	// instance is passed over 0.5 to 0.9 s after it went silent.
	answerWithin = 350 * time.Millisecond
	// allAnswerWithin is the same where nothing was heard of others either, of
	// fewLinks at least. Over a link of 2 Mbit/s a read of 256 KB takes 1 s.
	allAnswerWithin = 2 * time.Second
	fewLinks        = 3
)

// maxQueued bounds the orders that wait to be sent to one instance. They are sent
// as fast as its connection takes them; beyond it they go the direct way.
const maxQueued = 1024

// link is the way through one instance. Its connection is made anew when it ends.
type link struct {
	executor *Executor
	peer     Instance

	mu       sync.Mutex
	dialing  bool
	session  *session // nil while there is none
	failures int
	again    time.Time // no dial before then
}

func newLink(e *Executor, i Instance) *link {
	return &link{executor: e, peer: i}
}

// isUp reports whether orders can be sent.
func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil && l.session.takes()
}

// begin forgets what an earlier ownership saw of the instance.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.again = time.Time{}
}

// works reports whether there is a connection, or nothing speaks against one.
func (l *link) works() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil || l.failures == 0
}

// tried reports whether there is a connection, or it couldn't be made.
func (l *link) tried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil || l.failures > 0
}

// current returns the connection, nil if there is none.
func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// look makes a connection where there is none and one is wanted, and ends one that
// is silent. Elsewhere is when another instance was last heard.
func (l *link) look(now, elsewhere time.Time, wanted bool, t *tomb.Tomb) {
	l.mu.Lock()
	s := l.session
	dial := wanted && s == nil && !l.dialing && now.After(l.again)
	if dial {
		l.dialing = true
	}
	l.mu.Unlock()
	if s != nil {
		s.look(now, elsewhere)
	}
	if dial {
		t.Go(func() error {
			l.serve(t)
			return nil
		})
	}
}

// serve makes a connection and uses it to its end.
func (l *link) serve(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	socket, err := l.dial(ctx)
	wanted := l.executor.wants(l)
	l.mu.Lock()
	l.dialing = false
	if err == nil && !wanted {
		_ = socket.CloseNow()
		err = fault.New(fault.Unavailable, "not wanted any more")
	}
	if err != nil {
		l.backOff(l.failures + 1)
		l.mu.Unlock()
		l.executor.tried()
		l.executor.logger.Debug("relay not reached", zap.String("through", l.peer.ID), zap.Error(err))
		return
	}
	s := newSession(l.executor, socket)
	l.session = s
	l.mu.Unlock()
	l.up()
	err = s.run(ctx)
	l.down(s, err)
}

func (l *link) up() {
	l.executor.counters.up.Add(1)
	l.executor.changed()
	l.executor.logger.Info("relay", zap.String("through", l.peer.ID), zap.String("zone", l.peer.AvailabilityZone))
}

// backOff has no connection made for a while after so many failures in a row. The
// caller holds l.mu.
func (l *link) backOff(failures int) {
	l.failures = failures
	l.again = time.Now().Add(min(mostBackoff, leastBackoff<<min(failures, mostDoublings)))
}

func (l *link) down(s *session, err error) {
	l.mu.Lock()
	l.session = nil
	failures := min(l.failures, 1) + 1
	if s.served() {
		failures = 1
	}
	l.backOff(failures)
	l.mu.Unlock()
	l.executor.counters.up.Add(-1)
	l.executor.changed()
	l.executor.logger.Info("relay lost", zap.String("through", l.peer.ID), zap.Error(err))
	s.abandon()
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	once, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(once, "ws://"+l.peer.Address+wire.Path, &websocket.DialOptions{
		HTTPClient: l.executor.client,
		HTTPHeader: http.Header{wire.ToHeader: {l.peer.ID}},
	})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(wire.MaxFrame)
	return socket, nil
}

// close ends the connection.
func (l *link) close(reason error) {
	if s := l.current(); s != nil {
		s.tomb.Kill(reason)
	}
}

var errDown = errors.New("no connection")

// do sends an order and returns its result.
func (l *link) do(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, provider.Held) {
	s := l.current()
	if s == nil {
		return wire.Result{Outcome: wire.NotSent, Text: errDown.Error()}, provider.Held{}
	}
	return s.do(ctx, h, o, spec)
}
