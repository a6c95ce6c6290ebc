package peer

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

var (
	errUnlisted      = errors.New("no longer a peer")
	errReplaced      = errors.New("replaced by a newer connection")
	errSilent        = errors.New("no frame or confirmation received in time")
	errWrongInstance = errors.New("the address belongs to another instance")
	errOtherKept     = errors.New("another connection is kept")
)

// Link is the state of one link, for dumps.
type Link struct {
	ID      string    `json:"id"`
	Address string    `json:"address"`
	Up      bool      `json:"up"`
	Dialed  bool      `json:"dialed"` // by this instance
	Since   time.Time `json:"since"`  // of the last change
	Heard   time.Time `json:"heard"`  // last frame received
	Queue   int       `json:"queue"`  // queued messages
	Dropped uint64    `json:"dropped"`
	Sent    uint64    `json:"sent"` // bytes including WebSocket headers
	Got     uint64    `json:"got"`
	Reason  string    `json:"reason,omitempty"` // why it last went down
}

// link holds the current connection with one peer and its queue.
type link struct {
	mesh *Mesh
	id   string

	// Under mesh.mu.
	listed        bool
	dialing       bool
	acceptedCount int // connections that the peer dialed

	// Under mu.
	mu              sync.Mutex
	peer            Peer
	current         *connection
	queue           [][]byte
	queueBytes      int        // in queue
	unsentHeartbeat *Heartbeat // newest unsent heartbeat
	sentHeartbeat   *Heartbeat // newest sent heartbeat
	wake            chan struct{}
	changed         chan struct{} // closed when a connection comes or goes, or the peer is unlisted
	stats           Link
}

func newLink(m *Mesh, id string) *link {
	return &link{
		mesh:    m,
		id:      id,
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		stats:   Link{ID: id, Since: time.Now()},
	}
}

func (l *link) setPeer(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Address != l.peer.Address {
		l.notifyChange() // dial the new address immediately
	}
	l.peer = p
}

// notifyChange wakes the goroutines that wait for a change of the link. The
// caller holds l.mu.
func (l *link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) state() Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Address = l.peer.Address
	s.Up = l.current != nil
	s.Dialed = s.Up && l.current.dialed
	s.Queue = len(l.queue)
	return s
}

func (l *link) sendHeartbeat(h Heartbeat) error {
	if len(h.Free) > maxFree {
		return fault.New(fault.TooLarge, "heartbeat with %d services, limit %d", len(h.Free), maxFree)
	}
	h.Free = maps.Clone(h.Free)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsentHeartbeat = &h
	l.signal()
	return nil
}

func (l *link) send(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return fault.New(fault.Unavailable, "the link with %s is down", l.id)
	}
	if len(l.queue) >= maxQueue || l.queueBytes+len(data) > maxQueueBytes {
		return fault.New(fault.Overloaded, "the queue of %s is full", l.id)
	}
	l.queue = append(l.queue, data)
	l.queueBytes += len(data)
	l.signal()
	return nil
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// next removes and returns the next heartbeat or message to write; a heartbeat
// goes first.
func (l *link) next() (h *Heartbeat, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unsentHeartbeat != nil {
		h = l.unsentHeartbeat
		l.sentHeartbeat = h
		l.unsentHeartbeat = nil
		return h, nil
	}
	if len(l.queue) == 0 {
		return nil, nil
	}
	data = l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.queueBytes -= len(data)
	return nil, data
}

// attach makes c the link's connection and closes the previous one. It returns
// errKept if the previous one has priority.
func (l *link) attach(c *connection) error {
	for {
		l.mu.Lock()
		old := l.current
		if old == nil {
			l.current = c
			if l.unsentHeartbeat == nil {
				l.unsentHeartbeat = l.sentHeartbeat // the last one may not have arrived
			}
			l.stats.Since = time.Now()
			l.stats.Reason = ""
			l.notifyChange()
			l.signal()
			l.mu.Unlock()
			return nil
		}
		l.mu.Unlock()
		if !l.isReplaced(old, c) {
			return errOtherKept
		}
		old.tomb.Kill(errReplaced)
		<-old.done // wait for its last event, so that events stay in order
	}
}

// isReplaced reports whether connection c replaces the old one.
//
// Two instances may dial each other at the same time. If each kept a different
// connection, links would go up and down forever; if a silent connection had
// priority over a working one, a peer would stay unreachable although it
// answers. So both ends keep the connection that the lower ID dialed, but a
// newer incarnation replaces an older one, and so does a redial when nothing has
// been received on the old connection for half of the silence timeout.
func (l *link) isReplaced(old, c *connection) bool {
	switch {
	case c.remote.Incarnation != old.remote.Incarnation:
		return c.remote.Incarnation > old.remote.Incarnation
	case c.isDialedByLower():
		return true
	}
	return time.Since(old.lastContact()) > l.silenceTimeout()/2
}

// detach removes c from its link. The queue is dropped, because a message sent
// much later may no longer be valid.
func (l *link) detach(c *connection, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != c {
		return
	}
	l.current = nil
	l.stats.Since = time.Now()
	l.stats.Reason = reason.Error()
	l.stats.Dropped += uint64(len(l.queue))
	l.queue = nil
	l.queueBytes = 0
	l.notifyChange()
}

func (l *link) close(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.tomb.Kill(reason)
	}
	l.notifyChange()
}

func (l *link) countBytes(sent, got int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Sent += uint64(sent)
	l.stats.Got += uint64(got)
	if got > 0 {
		l.stats.Heard = time.Now()
	}
}

// silenceTimeout returns the silence timeout for this peer.
func (l *link) silenceTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	zone := l.peer.AvailabilityZone
	if l.current != nil {
		zone = l.current.remote.AvailabilityZone
	}
	if zone == l.mesh.self.AvailabilityZone {
		return l.mesh.settings.silenceTimeout
	}
	return l.mesh.remoteSilenceTimeout
}
