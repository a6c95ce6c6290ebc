// Package gateway serves the request traffic of an entry instance. It accepts
// requests from callers and from other entry instances, admits them, sends
// them to replicas on the instance's own workers or forwards them to a peer,
// and relays the responses. A truncated response is never relayed as complete.
//
// Usage:
//
//	g := gateway.New(gateway.WithLogger(log))
//	g.Publish(table) // and again with each new table
//	go g.Server(g.CallerHandler()).Serve(callers)
//	go g.Server(g.PeerHandler()).Serve(peers)
//	...
//	g.Drain(ctx) // then Shutdown of both servers
//
// A request is POST /services/{service}/{rest}, of any method. A refusal
// carries its kind (Dogwood-Fault), whether the work ran (Dogwood-Ran) and
// when to retry (Retry-After, Dogwood-Retry-After), as defined by the table
// in package fault.
//
// # Retries
//
// A request is retried only if it is idempotent (by its method or by its
// service) or provably did not run, and only while its body can be replayed,
// its deadline is ahead and the service's retry budget allows it. Any other
// request is sent at most once; package conduit enforces this per connection.
//
// A caller may repeat a non-idempotent request under the same
// Idempotency-Key, at this or at another entry instance. Before such a request
// is sent, its key is claimed at two homes, the first two entry instances in
// rendezvous order; a repeat is refused with Duplicate. When the membership
// changes, each instance transfers its keys to their new homes, and a leaving
// one does so before it stops. The guarantee lasts for the key's lifetime. It
// is lost, and a repeat can run again, if both homes die before either could
// transfer the key, or if both sides of a network partition consider the
// other side's instances gone. The key is also passed to the worker, which
// may remember it longer. If a home is unreachable, the request is refused
// without having run.
package gateway

import (
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodladder/dogwoodladder/admission"
	"github.com/dogwoodladder/dogwoodladder/balancer"
	"github.com/dogwoodladder/dogwoodladder/budget"
	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
	"goji.io"
	"goji.io/pat"
)

// Gateway serves requests according to the latest published table.
type Gateway struct {
	config
	idPrefix      string // of request ids
	idCounter     atomic.Uint64
	table         atomic.Pointer[route.Table]
	buffers       sync.Pool
	bufferedBytes atomic.Int64 // memory held by buffered bodies
	counters      counters
	leaving       atomic.Bool // copy of draining that can be read without mu
	keys          *keyStore

	mu              sync.Mutex
	chooser         *forward.Chooser // nil until a table is published
	gate            *admission.Gate
	waiters         map[*admission.Ticket]chan struct{}
	expiryTimer     *time.Timer
	expiryAt        time.Time
	balancers       map[string]*balancer.Balancer
	budgets         map[string]*budget.Budget
	conduits        map[string]*conduit.Conduit
	latencies       map[string]*latency
	calls           map[*call]struct{}
	rebalancedTable *route.Table // membership for which the keys were last rebalanced
	rebalancing     bool
	nextStallSearch time.Time
	draining        bool
	drained         chan struct{} // closed once draining has left no call in flight
}

// New returns a Gateway that refuses all requests until a table is published.
func New(opts ...Option) *Gateway {
	g := &Gateway{
		config:    defaults(),
		idPrefix:  rand.Text()[:idPrefixBytes],
		gate:      admission.New(),
		waiters:   make(map[*admission.Ticket]chan struct{}),
		balancers: make(map[string]*balancer.Balancer),
		budgets:   make(map[string]*budget.Budget),
		conduits:  make(map[string]*conduit.Conduit),
		latencies: make(map[string]*latency),
		calls:     make(map[*call]struct{}),
		drained:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(&g.config)
	}
	g.keys = newKeyStore(g.config.maxKeys, g.keyTTL)
	g.buffers.New = func() any { return new([copyBufferBytes]byte) }
	return g
}

// CallerHandler returns the handler of the listener for callers.
func (g *Gateway) CallerHandler() http.Handler {
	return g.mux("services", 0)
}

// PeerHandler returns the handler of the listener for other entry instances.
func (g *Gateway) PeerHandler() http.Handler {
	mux := g.mux("forward", 1)
	mux.HandleFunc(pat.Post(claimPattern), g.handleClaim)
	mux.HandleFunc(pat.Delete(claimPattern), g.handleRelease)
	mux.HandleFunc(pat.Post(keyTransferPath), g.handleKeyTransfer)
	mux.HandleFunc(pat.Get(probePath), g.handleProbe)
	return mux
}

func (g *Gateway) mux(root string, hops int) *goji.Mux {
	mux := goji.NewMux()
	handle := func(w http.ResponseWriter, r *http.Request) {
		g.serve(w, r, pat.Param(r, "service"), hops)
	}
	mux.HandleFunc(pat.New("/"+root+"/:service"), handle)
	mux.HandleFunc(pat.New("/"+root+"/:service/*"), handle)
	return mux
}

// FreeSlots returns the number of free slots by service, and nil when the
// instance is leaving.
func (g *Gateway) FreeSlots() map[string]int {
	if g.isLeaving() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	free := make(map[string]int, len(g.balancers))
	for service, b := range g.balancers {
		free[service] = b.Free(now)
	}
	return free
}

// conduitTo returns the conduit to address, creating it on first use.
func (g *Gateway) conduitTo(address string) *conduit.Conduit {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.conduits[address]
	if !ok {
		c = conduit.New(address, g.conduitOptions()...)
		g.conduits[address] = c
	}
	return c
}

func (g *Gateway) conduitOptions() []conduit.Option {
	opts := []conduit.Option{
		conduit.WithMaxConnections(g.maxConnections - 1),
		conduit.WithOnUnsolicited(func() { g.counters.dropped.Add(1) }),
	}
	if g.dial != nil {
		opts = append(opts, conduit.WithDial(g.dial))
	}
	return opts
}
