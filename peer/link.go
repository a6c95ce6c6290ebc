package peer

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

var (
	errUnlisted = errors.New("no longer a peer")
	errReplaced = errors.New("replaced by a newer connection")
	errSilent   = errors.New("silent")
	errOther    = errors.New("the address belongs to another instance")
	errKept     = errors.New("another connection is kept")
)

// Link is the state of one link, for dumps.
type Link struct {
	ID      string    `json:"id"`
	Address string    `json:"address"`
	Up      bool      `json:"up"`
	Dialed  bool      `json:"dialed"` // by this instance
	Since   time.Time `json:"since"`  // of the last change
	Heard   time.Time `json:"heard"`  // last frame received
	Queue   int       `json:"queue"`  // messages that wait
	Dropped uint64    `json:"dropped"`
	Sent    uint64    `json:"sent"` // bytes with the WebSocket's framing
	Got     uint64    `json:"got"`
	Reason  string    `json:"reason,omitempty"` // why it went down last
}

// link is the place for the connection with one peer.
type link struct {
	mesh *Mesh
	id   string

	// Under mesh.mu.
	listed   bool
	dialing  bool
	accepted int // connections that the peer dialed

	// Under mu.
	mu      sync.Mutex
	peer    Peer
	current *connection
	queue   [][]byte
	bytes   int        // in queue
	beat    *Heartbeat // newest unsent
	last    *Heartbeat // newest sent
	wake    chan struct{}
	moved   chan struct{} // closed when a connection comes or goes, or the peer is unlisted
	stats   Link
}

func newLink(m *Mesh, id string) *link {
	return &link{
		mesh:  m,
		id:    id,
		wake:  make(chan struct{}, 1),
		moved: make(chan struct{}),
		stats: Link{ID: id, Since: time.Now()},
	}
}

func (l *link) setPeer(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Address != l.peer.Address {
		l.shift() // a new address is tried at once
	}
	l.peer = p
}

// shift wakes whoever waits for a change. The caller holds l.mu.
func (l *link) shift() {
	close(l.moved)
	l.moved = make(chan struct{})
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
	l.beat = &h
	l.signal()
	return nil
}

func (l *link) send(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return fault.New(fault.Unavailable, "the link with %s is down", l.id)
	}
	if len(l.queue) >= maxQueue || l.bytes+len(data) > maxQueueBytes {
		return fault.New(fault.Overloaded, "the queue of %s is full", l.id)
	}
	l.queue = append(l.queue, data)
	l.bytes += len(data)
	l.signal()
	return nil
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// next takes what is to be written next; a heartbeat goes first.
func (l *link) next() (h *Heartbeat, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beat != nil {
		h = l.beat
		l.last = h
		l.beat = nil
		return h, nil
	}
	if len(l.queue) == 0 {
		return nil, nil
	}
	data = l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.bytes -= len(data)
	return nil, data
}

// attach makes c the link's connection, and ends the one before if it gives
// way. It returns errKept if it doesn't.
func (l *link) attach(c *connection) error {
	for {
		l.mu.Lock()
		old := l.current
		if old == nil {
			l.current = c
			if l.beat == nil {
				l.beat = l.last // may not have arrived
			}
			l.stats.Since = time.Now()
			l.stats.Reason = ""
			l.shift()
			l.signal()
			l.mu.Unlock()
			return nil
		}
		l.mu.Unlock()
		if !l.gives(old, c) {
			return errKept
		}
		old.tomb.Kill(errReplaced)
		<-old.done // after its last event, so that events stay in order
	}
}

// gives reports whether a connection gives way to a new one.
//
// What goes wrong: two instances dial each other at once and each keeps
// another connection, or a silent connection keeps a good one out. One would
// see links that go up and down without end, or a peer that can't be reached
// although it answers. Of two connections both ends therefore keep the one
// that the lower ID dialed, and a newer run, or a peer that redials because
// nothing gets through, replaces the old one.
func (l *link) gives(old, c *connection) bool {
	switch {
	case c.remote.Incarnation != old.remote.Incarnation:
		return c.remote.Incarnation > old.remote.Incarnation
	case c.byLower():
		return true
	}
	return time.Since(old.lastHeard()) > l.silence()/2
}

// detach ends c's time as the link's connection. What was queued goes with
// it, because a message sent much later may no longer be meant.
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
	l.bytes = 0
	l.shift()
}

func (l *link) close(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.tomb.Kill(reason)
	}
	l.shift()
}

func (l *link) count(sent, got int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Sent += uint64(sent)
	l.stats.Got += uint64(got)
	if got > 0 {
		l.stats.Heard = time.Now()
	}
}

// silence returns the bound for this peer.
func (l *link) silence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	zone := l.peer.AvailabilityZone
	if l.current != nil {
		zone = l.current.remote.AvailabilityZone
	}
	if zone == l.mesh.self.AvailabilityZone {
		return l.mesh.settings.silence
	}
	return l.mesh.remoteSilence
}
