package peer

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Path is where the peer listener serves links.
const Path = "/peer"

// Mesh holds the links to all peers. It is safe for concurrent use.
type Mesh struct {
	settings
	client       *http.Client
	received     chan Received
	peersChanged chan struct{} // wakes Run after SetPeers

	mu      sync.Mutex
	tomb    *tomb.Tomb // nil before Run
	links   map[string]*link
	serving sync.WaitGroup // accepted links
	random  *rand.Rand
}

// New returns a Mesh without links.
func New(opts ...Option) *Mesh {
	m := &Mesh{
		settings:     newSettings(opts),
		received:     make(chan Received, maxReceived),
		peersChanged: make(chan struct{}, 1),
		links:        map[string]*link{},
	}
	m.random = rand.New(rand.NewPCG(xxhash.Sum64String(m.self.ID), m.self.Incarnation))
	m.client = &http.Client{Transport: &http.Transport{DialContext: m.dial, DisableKeepAlives: true}}
	return m
}

// Run maintains the links until ctx is done. It may be called only once.
func (m *Mesh) Run(ctx context.Context) error {
	t, _ := tomb.WithContext(ctx)
	m.mu.Lock()
	m.tomb = t
	m.mu.Unlock()
	t.Go(func() error { return m.manage(t) })
	err := t.Wait()
	m.serving.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// manage starts a dialing goroutine for each peer that SetPeers adds.
func (m *Mesh) manage(t *tomb.Tomb) error {
	for {
		m.startDialing(t)
		select {
		case <-t.Dying():
			m.serving.Wait()
			return nil
		case <-m.peersChanged:
		}
	}
}

func (m *Mesh) startDialing(t *tomb.Tomb) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if !l.listed || l.dialing {
			continue
		}
		l.dialing = true
		t.Go(func() error { return l.dialLoop(t) })
	}
}

// SetPeers replaces the set of peers to link with. Links to peers that are no
// longer in the set are closed.
func (m *Mesh) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlist(peers)
	for _, p := range peers {
		if p.ID == m.self.ID {
			continue
		}
		if l := m.ensureLink(p.ID); l != nil {
			l.listed = true
			l.setPeer(p)
		}
	}
	select {
	case m.peersChanged <- struct{}{}:
	default:
	}
}

// unlist closes the links to peers that are no longer in the set. The caller
// holds m.mu.
func (m *Mesh) unlist(peers []Peer) {
	listed := map[string]bool{}
	for _, p := range peers {
		listed[p.ID] = true
	}
	for _, l := range m.links {
		if l.listed && !listed[l.id] {
			l.listed = false
			l.close(errUnlisted)
			m.removeIfUnused(l)
		}
	}
}

// ensureLink returns the link of a peer and creates it if necessary. It returns
// nil if there are maxLinks already. The caller holds m.mu.
func (m *Mesh) ensureLink(id string) *link {
	l, ok := m.links[id]
	if ok {
		return l
	}
	if len(m.links) >= maxLinks {
		return nil
	}
	l = newLink(m, id)
	m.links[id] = l
	return l
}

// removeIfUnused removes a link that is neither listed nor in use. The caller
// holds m.mu.
func (m *Mesh) removeIfUnused(l *link) {
	if !l.listed && !l.dialing && l.acceptedCount == 0 {
		delete(m.links, l.id)
	}
}

// Send queues a message and never blocks. An unsent heartbeat is replaced by a
// newer one, and is kept while the link is down; any other message is refused
// while the link is down. A queued message is lost without an error if the link
// goes down before it was written.
func (m *Mesh) Send(id string, message Message) error {
	m.mu.Lock()
	l, ok := m.links[id]
	m.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, "no link with %s", id)
	}
	if h, ok := message.(Heartbeat); ok {
		return l.sendHeartbeat(h)
	}
	f, err := newFrame(message)
	if err != nil {
		return err
	}
	data, err := encode(f)
	if err != nil {
		return err
	}
	return l.send(data)
}

// Received returns the channel of messages and link events. A full channel
// blocks all links.
func (m *Mesh) Received() <-chan Received {
	return m.received
}

// Links returns the state of all links by ID, for dumps.
func (m *Mesh) Links() []Link {
	m.mu.Lock()
	links := slices.Collect(maps.Values(m.links))
	m.mu.Unlock()
	states := make([]Link, 0, len(links))
	for _, l := range links {
		states = append(states, l.state())
	}
	slices.SortFunc(states, func(a, b Link) int { return cmp.Compare(a.ID, b.ID) })
	return states
}

func (m *Mesh) emit(t *tomb.Tomb, r Received) {
	select {
	case m.received <- r:
	case <-t.Dying():
	}
}

// jitter returns a random part of d, at least half of it.
func (m *Mesh) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

func (m *Mesh) newHello(to string) hello {
	return hello{
		Version:          Version,
		ID:               m.self.ID,
		AvailabilityZone: m.self.AvailabilityZone,
		Incarnation:      m.self.Incarnation,
		To:               to,
	}
}

// acquireLink returns the link of a peer that has dialed. The link isn't
// removed until releaseLink.
func (m *Mesh) acquireLink(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ensureLink(id)
	if l != nil {
		l.acceptedCount++
	}
	return l
}

func (m *Mesh) releaseLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.acceptedCount--
	m.removeIfUnused(l)
}

// beginServing returns the parent tomb for an accepted connection, and false if
// the mesh isn't running.
func (m *Mesh) beginServing() (*tomb.Tomb, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tomb == nil || !m.tomb.Alive() {
		return nil, false
	}
	m.serving.Add(1)
	return m.tomb, true
}
