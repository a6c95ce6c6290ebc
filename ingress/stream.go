package ingress

import (
	"net/http"
	"time"
)

// PassOn tells that the handler passes the request's body on as it reads it, so that its bytes
// don't count. Until the body is complete, the connection may still be closed to make room.
func PassOn(r *http.Request) {
	if b, ok := r.Body.(*body); ok {
		b.passedOn = true
	}
}

// SetDeadline sets both deadlines, which hold beside the pool's.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.Store(nanoseconds(t))
	c.writeDeadline.Store(nanoseconds(t))
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads, which holds beside the pool's.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(nanoseconds(t))
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes, which holds beside the pool's.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(nanoseconds(t))
	return c.Conn.SetWriteDeadline(t)
}

// nanoseconds returns t in Unix nanoseconds, zero for no time.
func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// earlier returns the earlier of t and a deadline in Unix nanoseconds, zero for none.
func earlier(t time.Time, deadline int64) time.Time {
	if deadline == 0 {
		return t
	}
	if d := time.Unix(0, deadline); t.IsZero() || d.Before(t) {
		return d
	}
	return t
}
