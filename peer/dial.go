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
	for t.Alive() && l.wanted() {
		l.mu.Lock()
		moved, up := l.moved, l.current != nil
		l.mu.Unlock()
		if up {
			wait(t, moved, nil)
			continue
		}
		timer := time.NewTimer(l.backoff(failures))
		moving := wait(t, moved, timer.C)
		timer.Stop()
		if moving {
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
	l.mesh.forget(l)
	select { // the peer may have been listed again meanwhile
	case l.mesh.changed <- struct{}{}:
	default:
	}
}

func (l *link) wanted() bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	return l.listed
}

// wait returns true when moved was closed, and false when the time came or
// the mesh ends.
func wait(t *tomb.Tomb, moved <-chan struct{}, timer <-chan time.Time) bool {
	select {
	case <-moved:
		return true
	case <-timer:
	case <-t.Dying():
	}
	return false
}

// backoff returns how long to wait before dialing.
func (l *link) backoff(failures int) time.Duration {
	d := l.mesh.mostBackoff
	if failures < maxDoublings {
		d = min(d, l.mesh.leastBackoff<<failures)
	}
	if l.mesh.self.ID > l.id {
		d = max(d, l.mesh.patience) // the lower ID dials
	}
	return l.mesh.jitter(d)
}

// dial makes a connection and serves it to its end. It reports whether the
// peer sent anything after its hello.
func (l *link) dial(t *tomb.Tomb) bool {
	c, err := l.connect(t)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errOther)
		l.mesh.emit(t, Received{From: l.id, Message: Unlinked{Refused: refused, Reason: err.Error()}})
		return false
	}
	if err := l.attach(c); err != nil {
		_ = c.socket.CloseNow()
		return true // another one came about meanwhile
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
	remote, err := l.greet(ctx, socket)
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	return newConnection(l, socket, remote, true), nil
}

func (l *link) greet(ctx context.Context, socket *websocket.Conn) (hello, error) {
	socket.SetReadLimit(MaxFrame)
	if err := writeHello(ctx, socket, l.mesh.hello(l.id)); err != nil {
		return hello{}, err
	}
	remote, err := readHello(ctx, socket)
	if err != nil {
		return hello{}, err
	}
	// What goes wrong: an address is given to another instance while the list
	// still shows it for the old one. One would see messages for one instance
	// acted on by another. So both ends say who they are before anything else.
	if remote.ID != l.id {
		return hello{}, errOther
	}
	return remote, nil
}
