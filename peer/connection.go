package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"
)

// silenceChecks is how often within a silence bound silence is looked for, so
// that it is found after at most 1.25 times the bound.
const silenceChecks = 4

// Sizes of a WebSocket frame's header (RFC 6455, 5.2).
const (
	smallHeader  = 2
	mediumHeader = 4
	largeHeader  = 10
	maskSize     = 4 // what a client sends is masked
	smallPayload = 125
	mediumMax    = 1<<16 - 1
)

// connection is one WebSocket connection with a peer.
type connection struct {
	link   *link
	socket *websocket.Conn
	remote hello
	dialed bool // by this instance
	tomb   tomb.Tomb
	done   chan struct{} // closed after the last event
	asked  chan struct{} // wakes confirm
	writer beatWriter
	reader beatReader

	mu         sync.Mutex
	heard      time.Time
	delivering bool      // the receiver is waited for
	owed       time.Time // since when a confirmation is waited for, zero for none
}

func newConnection(l *link, socket *websocket.Conn, remote hello, dialed bool) *connection {
	return &connection{
		link:   l,
		socket: socket,
		remote: remote,
		dialed: dialed,
		done:   make(chan struct{}),
		asked:  make(chan struct{}, 1),
		heard:  time.Now(),
	}
}

// byLower reports whether the instance with the lower ID dialed.
func (c *connection) byLower() bool {
	return c.dialed == (c.link.mesh.self.ID < c.remote.ID)
}

// serve runs the connection to its end and reports whether anything was
// received on it.
func (c *connection) serve(mesh *tomb.Tomb) bool {
	m := c.link.mesh
	begun := c.lastHeard()
	m.emit(mesh, Received{From: c.link.id, Message: Linked{}})
	ctx := c.tomb.Context(mesh.Context(context.Background()))
	c.tomb.Go(func() error {
		c.tomb.Go(func() error { return c.read(ctx) })
		c.tomb.Go(func() error { return c.write(ctx) })
		c.tomb.Go(func() error { return c.confirm(ctx) })
		return c.watch(mesh)
	})
	err := c.tomb.Wait()
	_ = c.socket.CloseNow()
	c.link.detach(c, err)
	m.emit(mesh, Received{From: c.link.id, Message: Unlinked{Reason: err.Error()}})
	close(c.done)
	return c.lastHeard().After(begun)
}

// watch ends a connection on which nothing is heard, or something sent isn't
// confirmed.
//
// What goes wrong: something between the two ends loses track of the
// connection, which then stays open and carries nothing, while a new one would
// work. One would see a peer suspected that others hear well. No read or write
// fails for a long time, so silence itself ends the connection.
func (c *connection) watch(mesh *tomb.Tomb) error {
	bound := c.link.silence()
	owing := c.link.mesh.settings.silence
	ticker := time.NewTicker(min(bound, owing) / silenceChecks)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-mesh.Dying():
			return errors.New("shutting down")
		case <-ticker.C:
			if c.silent(bound, owing) {
				return errSilent
			}
		}
	}
}

func (c *connection) silent(bound, owing time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		return false
	}
	unconfirmed := !c.owed.IsZero() && time.Since(c.owed) >= owing
	return unconfirmed || time.Since(c.heard) >= bound
}

// owe asks for a confirmation of what was just written.
//
// What goes wrong: a new configuration or a command is written to a connection
// that has gone silent, and heartbeats across zones are so rare that this is
// found long after the configuration had to be in force. One would see a zone
// that can't reach the log stay behind although new connections to it work. So
// a ping follows whatever isn't a routine heartbeat, and its pong, which proves
// that all before it arrived, must come within the silence bound of the zone.
func (c *connection) owe() {
	c.mu.Lock()
	if c.owed.IsZero() {
		c.owed = time.Now()
	}
	c.mu.Unlock()
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// confirm sends pings and waits for their pongs.
func (c *connection) confirm(ctx context.Context) error {
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-c.asked:
		}
		if err := c.socket.Ping(ctx); err != nil {
			return err
		}
		c.mu.Lock()
		c.heard = time.Now()
		c.owed = time.Time{}
		c.mu.Unlock()
	}
}

func (c *connection) lastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

// note marks that something was heard, and whether it is being delivered.
func (c *connection) note(delivering bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	c.delivering = delivering
}

func (c *connection) read(ctx context.Context) error {
	for {
		_, data, err := c.socket.Read(ctx)
		if err != nil {
			return err
		}
		c.note(true)
		c.link.count(0, frameSize(len(data), !c.dialed))
		if err := c.deliver(data); err != nil {
			return err
		}
		c.note(false)
	}
}

func (c *connection) deliver(data []byte) error {
	f, err := decode(data)
	if err != nil {
		return err
	}
	message := f.message()
	if f.Beat != nil {
		if message, err = c.reader.read(c.remote, f.Beat); err != nil {
			return err
		}
	}
	if message != nil { // nil is of a newer version
		c.link.mesh.emit(&c.tomb, Received{From: c.link.id, Message: message})
	}
	return nil
}

func (c *connection) write(ctx context.Context) error {
	for {
		data, routine, err := c.nextFrame()
		if err != nil {
			return err
		}
		if data == nil {
			select {
			case <-c.tomb.Dying():
				return nil
			case <-c.link.wake:
			}
			continue
		}
		if err := c.writeFrame(ctx, data); err != nil {
			return err
		}
		if !routine {
			c.owe()
		}
	}
}

// nextFrame returns what is to be written next, nil for nothing, and whether
// it is a heartbeat without news. What changed since the last heartbeat is
// found here, so that heartbeats which were replaced while they waited leave
// no gap.
func (c *connection) nextFrame() (data []byte, routine bool, err error) {
	h, data := c.link.next()
	if h == nil {
		return data, false, nil
	}
	b, err := c.writer.write(*h)
	if err != nil {
		return nil, false, err
	}
	data, err = encode(frame{Beat: b})
	return data, b.Revision == nil && !b.Leaving, err
}

func (c *connection) writeFrame(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.link.mesh.timeout)
	defer cancel()
	c.link.count(frameSize(len(data), c.dialed), 0)
	return c.socket.Write(ctx, websocket.MessageBinary, data)
}

// frameSize returns the bytes of a frame with its header.
func frameSize(payload int, masked bool) int {
	size := payload + smallHeader
	switch {
	case payload > mediumMax:
		size = payload + largeHeader
	case payload > smallPayload:
		size = payload + mediumHeader
	}
	if masked {
		size += maskSize
	}
	return size
}
