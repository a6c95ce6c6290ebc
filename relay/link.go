package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/relay/wire"
)

// Times of a connection. A response of an instance takes 3 to 10 ms, plus the wait of a
// hold at the worker.
const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	minBackoff   = 300 * time.Millisecond
	maxBackoff   = 10 * time.Second
	// maxDoublings is enough for minBackoff to exceed maxBackoff.
	maxDoublings = 6
	// pingAfterOrder is how long an order without a wait may have no result before the
	// instance is pinged.
	pingAfterOrder = 150 * time.Millisecond
	// pingAfterSilence is how long an instance may send nothing while holds are waiting
	// there before it is pinged.
	pingAfterSilence = 500 * time.Millisecond
	// pongTimeout is how long an instance may take to answer a ping. With it orders
	// avoid a frozen or partitioned instance 0.5 to 0.9 s after it went silent.
	pongTimeout = 350 * time.Millisecond
	// allSilentPongTimeout is the timeout if no other instance has sent anything since
	// the ping either, given at least minLinksToCompare connections. This instance's own
	// link is probably saturated then: at 2 Mbit/s a read of 256 KB takes 1 s.
	allSilentPongTimeout = 2 * time.Second
	minLinksToCompare    = 3
)

// maxQueued bounds the orders queued for one instance's connection. Further orders are
// sent to the workers directly.
const maxQueued = 1024

// link relays orders through one instance. It reconnects when its connection ends.
type link struct {
	executor *Executor
	peer     Instance

	mu         sync.Mutex
	dialing    bool
	session    *session // nil while there is none
	failures   int
	nextDialAt time.Time // earliest time of the next dial
}

func newLink(e *Executor, i Instance) *link {
	return &link{executor: e, peer: i}
}

// isUp reports whether the link accepts orders.
func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil && l.session.accepts()
}

// resetBackoff clears the failures that were counted during an earlier ownership.
func (l *link) resetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.nextDialAt = time.Time{}
}

// isUsable reports whether there is a connection, or none has failed so far.
func (l *link) isUsable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session != nil || l.failures == 0
}

// wasTried reports whether a connection attempt has succeeded or failed.
func (l *link) wasTried() bool {
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

// handlesAcked reports whether the instance acknowledges the ends of one incarnation only.
func (l *link) handlesAcked() bool {
	s := l.current()
	return s != nil && s.socket.Subprotocol() == wire.AckedProtocol
}

// check connects a wanted link that has no connection, and closes a connection that is
// silent. otherContact is the time of the last contact with any other instance, or now
// if there are too few connections to compare.
func (l *link) check(now, otherContact time.Time, wanted bool, t *tomb.Tomb) {
	l.mu.Lock()
	s := l.session
	dial := wanted && s == nil && !l.dialing && now.After(l.nextDialAt)
	if dial {
		l.dialing = true
	}
	l.mu.Unlock()
	if s != nil {
		s.check(now, otherContact)
	}
	if dial {
		t.Go(func() error {
			l.serve(t)
			return nil
		})
	}
}

// serve dials the instance and runs the connection until it ends.
func (l *link) serve(t *tomb.Tomb) {
	ctx := t.Context(context.Background())
	socket, err := l.dial(ctx)
	wanted := l.executor.mayConnect(l)
	l.mu.Lock()
	l.dialing = false
	if err == nil && !wanted {
		_ = socket.CloseNow()
		err = fault.New(fault.Unavailable, "connection is no longer wanted")
	}
	if err != nil {
		l.backOff(l.failures + 1)
		l.mu.Unlock()
		l.executor.releaseWaiting()
		l.executor.logger.Debug("relay connection failed", zap.String("through", l.peer.ID), zap.Error(err))
		return
	}
	s := newSession(l.executor, socket)
	l.session = s
	l.mu.Unlock()
	l.handleUp()
	err = s.run(ctx)
	l.handleDown(s, err)
}

func (l *link) handleUp() {
	l.executor.counters.linksUp.Add(1)
	l.executor.linkChanged()
	l.executor.logger.Info("relay", zap.String("through", l.peer.ID), zap.String("zone", l.peer.AvailabilityZone))
}

// backOff sets the time of the next dial after the given number of consecutive
// failures. The caller holds l.mu.
func (l *link) backOff(failures int) {
	l.failures = failures
	l.nextDialAt = time.Now().Add(min(maxBackoff, minBackoff<<min(failures, maxDoublings)))
}

func (l *link) handleDown(s *session, err error) {
	l.mu.Lock()
	l.session = nil
	failures := min(l.failures, 1) + 1
	if s.hasReceived() {
		failures = 1
	}
	l.backOff(failures)
	l.mu.Unlock()
	l.executor.counters.linksUp.Add(-1)
	l.executor.linkChanged()
	l.executor.logger.Info("relay connection lost", zap.String("through", l.peer.ID), zap.Error(err))
	s.abandon()
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(timeoutCtx, "ws://"+l.peer.Address+wire.Path, &websocket.DialOptions{
		HTTPClient: l.executor.client,
		HTTPHeader: http.Header{
			wire.ToHeader:   {l.peer.ID},
			wire.SentHeader: {strconv.FormatInt(l.executor.clock().Milliseconds(), 10)},
		},
		Subprotocols: []string{wire.AckedProtocol},
	})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(wire.MaxMessageSize)
	return socket, nil
}

// close ends the connection.
func (l *link) close(reason error) {
	if s := l.current(); s != nil {
		s.tomb.Kill(reason)
	}
}

var errDown = errors.New("no connection to the relay")

// do sends an order through the instance and returns its result. The answer to a hold is
// returned decoded.
func (l *link) do(ctx context.Context, h provider.Host, o wire.Order, spec string) (wire.Result, provider.HoldResult) {
	s := l.current()
	if s == nil {
		return wire.Result{Outcome: wire.NotSent, Text: errDown.Error()}, provider.HoldResult{}
	}
	return s.do(ctx, h, o, spec)
}
