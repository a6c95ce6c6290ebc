package peer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"
)

// maxDoublings bounds how often the backoff doubles.
const maxDoublings = 16

// dialLoop dials while the peer is listed and there is no connection.
func (l *link) dialLoop(t *tomb.Tomb) error {
	defer l.endDialing()
	failures := 0
	for t.Alive() && l.isListed() {
		l.mu.Lock()
		changed, up := l.changed, l.current != nil
		l.mu.Unlock()
		if up {
			waitForChange(t, changed, nil)
			continue
		}
		timer := time.NewTimer(l.backoff(failures))
		isChanged := waitForChange(t, changed, timer.C)
		timer.Stop()
		if isChanged {
			continue
		}
		if l.dial(t) {
			failures = 0
			continue
		}
		failures++
	}
	return nil
}

func (l *link) endDialing() {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	l.dialing = false
	l.mesh.removeIfUnused(l)
	select { // the peer may have been listed again meanwhile
	case l.mesh.peersChanged <- struct{}{}:
	default:
	}
}

func (l *link) isListed() bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	return l.listed
}

// waitForChange reports true if changed was closed, and false if the timer fired
// or the mesh ends.
func waitForChange(t *tomb.Tomb, changed <-chan struct{}, timer <-chan time.Time) bool {
	select {
	case <-changed:
		return true
	case <-timer:
	case <-t.Dying():
	}
	return false
}

// backoff returns how long to wait before dialing.
func (l *link) backoff(failures int) time.Duration {
	d := l.mesh.maxBackoff
	if failures < maxDoublings {
		d = min(d, l.mesh.minBackoff<<failures)
	}
	if l.mesh.self.ID > l.id {
		d = max(d, l.mesh.dialDelay) // the lower ID dials
	}
	return l.mesh.jitter(d)
}

// dial connects to the peer and serves the connection until it ends. It reports
// whether the peer sent anything after its hello.
func (l *link) dial(t *tomb.Tomb) bool {
	c, err := l.connect(t)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errWrongInstance)
		l.mesh.emit(t, Received{From: l.id, Message: Unlinked{Refused: refused, Reason: err.Error()}})
		return false
	}
	if err := l.attach(c); err != nil {
		_ = c.socket.CloseNow()
		return true // another connection was established meanwhile
	}
	return c.serve(t)
}

func (l *link) connect(t *tomb.Tomb) (*connection, error) {
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), l.mesh.timeout)
	defer cancel()
	l.mu.Lock()
	address := l.peer.Address
	l.mu.Unlock()
	socket, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: l.mesh.client})
	if err != nil {
		return nil, err
	}
	remote, err := l.exchangeHello(ctx, socket)
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	return newConnection(l, socket, remote, true), nil
}

func (l *link) exchangeHello(ctx context.Context, socket *websocket.Conn) (hello, error) {
	socket.SetReadLimit(maxHello)
	if err := writeHello(ctx, socket, l.mesh.newHello(l.id)); err != nil {
		return hello{}, err
	}
	remote, err := readHello(ctx, context.Background(), socket)
	if err != nil {
		return hello{}, err
	}
	socket.SetReadLimit(MaxFrame)
	// The list may show an address for an instance although another one uses it
	// now. So both ends identify themselves first; otherwise an instance could
	// execute messages meant for another.
	if remote.ID != l.id {
		return hello{}, errWrongInstance
	}
	return remote, nil
}
