package peer

import (
	"context"
	"io"
	"net/http"

	"github.com/coder/websocket"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/ingress"
)

// ServeHTTP accepts a connection; mount it at Path on the peer listener. It
// returns when the connection ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, ok := m.beginServing()
	if !ok {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.serving.Done()
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = socket.CloseNow() }()
	remote, err := m.receiveHello(t, r.Context(), socket)
	if err != nil {
		return
	}
	l := m.acquireLink(remote.ID)
	if l == nil {
		return // above the bound on links
	}
	defer m.releaseLink(l)
	c := newConnection(l, socket, remote, false)
	c.client = r.Context()
	if err := c.admit(t); err == nil {
		c.serve(t)
	}
}

// receiveHello reads and checks the hello of the dialing instance.
func (m *Mesh) receiveHello(t *tomb.Tomb, client context.Context, socket *websocket.Conn) (hello, error) {
	socket.SetReadLimit(maxHello)
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), m.timeout)
	defer cancel()
	remote, err := readHello(ctx, client, socket)
	if err != nil {
		return hello{}, err
	}
	socket.SetReadLimit(MaxFrame)
	if remote.To != m.self.ID || remote.ID == m.self.ID {
		_ = writeHello(ctx, socket, m.newHello(remote.ID)) // tells the dialer which instance it reached
		return hello{}, errWrongInstance
	}
	return remote, nil
}

// admit attaches an accepted connection to its link and answers the hello.
func (c *connection) admit(t *tomb.Tomb) error {
	if err := c.link.attach(c); err != nil {
		return err
	}
	m := c.link.mesh
	ctx, cancel := context.WithTimeout(t.Context(context.Background()), m.timeout)
	defer cancel()
	err := writeHello(ctx, c.socket, m.newHello(c.link.id))
	if err != nil {
		c.link.detach(c, err)
		close(c.done)
	}
	return err
}

func writeHello(ctx context.Context, socket *websocket.Conn, h hello) error {
	data, err := encode(frame{Hello: &h})
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, data)
}

// readFrame reads a message. client is the context of the request by which the
// connection was made, if it was accepted.
func readFrame(ctx, client context.Context, socket *websocket.Conn) ([]byte, error) {
	_, r, err := socket.Reader(ctx)
	if err != nil {
		return nil, err
	}
	message, done := ingress.Message(client, r)
	defer done()
	return io.ReadAll(message)
}

func readHello(ctx, client context.Context, socket *websocket.Conn) (hello, error) {
	data, err := readFrame(ctx, client, socket)
	if err != nil {
		return hello{}, err
	}
	f, err := decode(data)
	if err != nil {
		return hello{}, err
	}
	if f.Hello == nil || !f.Hello.isValid() {
		return hello{}, fault.New(fault.Invalid, "first frame isn't a valid hello")
	}
	return *f.Hello, nil
}
