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
	client   *http.Client
	received chan Received
	changed  chan struct{} // wakes Run after Set

	mu      sync.Mutex
	tomb    *tomb.Tomb // nil before Run
	links   map[string]*link
	serving sync.WaitGroup // accepted links
	random  *rand.Rand
}

// New returns a new Mesh without links.
func New(opts ...Option) *Mesh {
	m := &Mesh{
		settings: newSettings(opts),
		received: make(chan Received, maxReceived),
		changed:  make(chan struct{}, 1),
		links:    map[string]*link{},
	}
	m.random = rand.New(rand.NewPCG(xxhash.Sum64String(m.self.ID), m.self.Incarnation))
	m.client = &http.Client{Transport: &http.Transport{DialContext: m.dial, DisableKeepAlives: true}}
	return m
}

// Run holds the links until ctx is done. It may be called once.
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

// manage starts and ends the goroutines that dial, as Set demands.
func (m *Mesh) manage(t *tomb.Tomb) error {
	for {
		m.startDialing(t)
		select {
		case <-t.Dying():
			m.serving.Wait()
			return nil
		case <-m.changed:
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

// Set says whom to link with. A link to a peer that was in the last set and
// isn't in this one is closed.
func (m *Mesh) Set(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlist(peers)
	for _, p := range peers {
		if p.ID == m.self.ID {
			continue
		}
		if l := m.link(p.ID); l != nil {
			l.listed = true
			l.setPeer(p)
		}
	}
	select {
	case m.changed <- struct{}{}:
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
			m.forget(l)
		}
	}
}

// link returns the link of a peer, a new one if need be, and nil above the
// bound. The caller holds m.mu.
func (m *Mesh) link(id string) *link {
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

// forget drops a link that nobody needs. The caller holds m.mu.
func (m *Mesh) forget(l *link) {
	if !l.listed && !l.dialing && l.accepted == 0 {
		delete(m.links, l.id)
	}
}

// Send queues a message and never blocks. An unsent heartbeat is replaced by
// a newer one, and waits for the link if it is down; any other message is
// refused while the link is down. A message that was queued is lost, without
// a word, when the link goes down before it was written.
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
	f, err := frameOf(message)
	if err != nil {
		return err
	}
	data, err := encode(f)
	if err != nil {
		return err
	}
	return l.send(data)
}

// Received is where messages and link events arrive. Whoever doesn't take
// them holds up all links.
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

func (m *Mesh) hello(to string) hello {
	return hello{
		Version:          Version,
		ID:               m.self.ID,
		AvailabilityZone: m.self.AvailabilityZone,
		Incarnation:      m.self.Incarnation,
		To:               to,
	}
}

// enter returns the link of a peer that has dialed, and keeps it from being
// forgotten until leave.
func (m *Mesh) enter(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.link(id)
	if l != nil {
		l.accepted++
	}
	return l
}

func (m *Mesh) leave(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.accepted--
	m.forget(l)
}

// begin returns the tomb that an accepted link lives under, and false when
// none may begin.
func (m *Mesh) begin() (*tomb.Tomb, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tomb == nil || !m.tomb.Alive() {
		return nil, false
	}
	m.serving.Add(1)
	return m.tomb, true
}
