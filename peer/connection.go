package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"
)

// silenceChecks is the number of checks within a silence timeout, so that
// silence is detected after at most 1.25 times the timeout.
const silenceChecks = 4

// Sizes of a WebSocket frame's header (RFC 6455, 5.2).
const (
	smallHeader  = 2
	mediumHeader = 4
	largeHeader  = 10
	maskSize     = 4 // only frames from the client are masked
	smallPayload = 125
	mediumMax    = 1<<16 - 1
)

// connection is one WebSocket connection with a peer.
type connection struct {
	link             *link
	socket           *websocket.Conn
	remote           hello
	dialed           bool            // by this instance
	client           context.Context // of the request that was accepted
	tomb             tomb.Tomb
	done             chan struct{} // closed after the last event
	confirmRequested chan struct{} // wakes confirm
	writer           beatWriter
	reader           beatReader

	mu               sync.Mutex
	lastReceived     time.Time
	delivering       bool      // a message waits for the receiver
	unconfirmedSince time.Time // when the oldest unconfirmed message was written, zero for none
}

func newConnection(l *link, socket *websocket.Conn, remote hello, dialed bool) *connection {
	return &connection{
		link:             l,
		socket:           socket,
		remote:           remote,
		dialed:           dialed,
		client:           context.Background(),
		done:             make(chan struct{}),
		confirmRequested: make(chan struct{}, 1),
		lastReceived:     time.Now(),
	}
}

// isDialedByLower reports whether the instance with the lower ID dialed.
func (c *connection) isDialedByLower() bool {
	return c.dialed == (c.link.mesh.self.ID < c.remote.ID)
}

// serve runs the connection until it ends and reports whether anything was
// received on it.
func (c *connection) serve(mesh *tomb.Tomb) bool {
	m := c.link.mesh
	startedAt := c.lastContact()
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
	return c.lastContact().After(startedAt)
}

// watch closes a connection on which nothing is received, or on which a
// message isn't confirmed.
//
// A device between the two ends may lose the state of the connection, which
// then stays open but carries nothing, while a new one would work. No read or
// write fails for a long time, and a healthy peer would be suspected. So the
// connection is closed after a period of silence.
func (c *connection) watch(mesh *tomb.Tomb) error {
	bound := c.link.silenceTimeout()
	confirmTimeout := c.link.mesh.settings.silenceTimeout
	ticker := time.NewTicker(min(bound, confirmTimeout) / silenceChecks)
	defer ticker.Stop()
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-mesh.Dying():
			return errors.New("shutting down")
		case <-ticker.C:
			if c.isSilent(bound, confirmTimeout) {
				return errSilent
			}
		}
	}
}

func (c *connection) isSilent(bound, confirmTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.delivering {
		return false
	}
	unconfirmed := !c.unconfirmedSince.IsZero() && time.Since(c.unconfirmedSince) >= confirmTimeout
	return unconfirmed || time.Since(c.lastReceived) >= bound
}

// requestConfirmation requests a confirmation of the message just written.
//
// A new configuration or a command may be written to a connection that has gone
// silent. Heartbeats across zones are so rare that this would be detected long
// after the configuration had to be in force, and a zone that can't reach the
// log would stay behind although new connections to it work. So a ping follows
// every message other than a routine heartbeat. Its pong, which proves that
// everything before it arrived, must come within the silence timeout of the
// zone.
func (c *connection) requestConfirmation() {
	c.mu.Lock()
	if c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = time.Now()
	}
	c.mu.Unlock()
	select {
	case c.confirmRequested <- struct{}{}:
	default:
	}
}

// confirm sends pings and waits for their pongs.
func (c *connection) confirm(ctx context.Context) error {
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case <-c.confirmRequested:
		}
		if err := c.socket.Ping(ctx); err != nil {
			return err
		}
		c.mu.Lock()
		c.lastReceived = time.Now()
		c.unconfirmedSince = time.Time{}
		c.mu.Unlock()
	}
}

func (c *connection) lastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived
}

// recordContact records that a frame was received, and whether its delivery is
// in progress.
func (c *connection) recordContact(delivering bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	c.delivering = delivering
}

func (c *connection) read(ctx context.Context) error {
	for {
		data, err := readFrame(ctx, c.client, c.socket)
		if err != nil {
			return err
		}
		c.recordContact(true)
		c.link.countBytes(0, frameSize(len(data), !c.dialed))
		if err := c.deliver(data); err != nil {
			return err
		}
		c.recordContact(false)
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
	if message != nil { // nil if the body is of a newer version
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
			c.requestConfirmation()
		}
	}
}

// nextFrame returns the next frame to write, nil if there is none, and whether
// it is a routine heartbeat: one without a new revision or leaving. The delta is
// computed here, against the last heartbeat written, so that heartbeats replaced
// in the queue leave no gap.
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
	c.link.countBytes(frameSize(len(data), c.dialed), 0)
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
