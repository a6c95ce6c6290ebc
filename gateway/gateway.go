// Package gateway is the traffic side of an entry instance: it takes the
// requests of callers and of other entry instances, admits them, sends them
// to replicas on the instance's own workers or forwards them to a peer, and
// passes the answers back whole.
//
// Usage:
//
//	g := gateway.New(gateway.WithLogger(log))
//	g.Publish(table) // and again with each new table
//	go g.Server(g.Callers()).Serve(callers)
//	go g.Server(g.Forwards()).Serve(peers)
//	...
//	g.Drain(ctx) // then Shutdown of both servers
//
// A request is POST /services/{service}/{rest}, of any method. A refusal
// carries its kind (Dogwood-Fault), whether the work ran (Dogwood-Ran) and
// when to come back (Retry-After, Dogwood-Retry-After), as package fault's
// table has them.
//
// # Repeats
//
// A request is sent again only if it is idempotent (by its method or by its
// service) or provably did not run, while its body can be replayed, its
// deadline is ahead and the service's retry budget allows it. Anything else
// is sent at most once; see package conduit for the guard beneath.
//
// A caller may repeat a non-idempotent request under the same
// Idempotency-Key, here or at another entry instance. Before such a request
// is sent, its key is claimed at two homes, the first two entry instances in
// rendezvous order; a repeat is answered with Duplicate. When members come or
// go, each instance passes its keys on to their new homes, and a leaving one
// does so before it stops. This holds within the key's time, unless both
// homes die before one could pass the key on, or two parts of a network
// each count the other's instances as gone: then a repeat can run again. The
// key is passed to the worker, which may remember it longer. Where a home
// can't be reached the request is refused and did not run.
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

// Gateway serves requests by the newest published table.
type Gateway struct {
	config
	prefix  string // of request ids
	counter atomic.Uint64
	table   atomic.Pointer[route.Table]
	buffers sync.Pool
	kept    atomic.Int64 // bytes of kept bodies
	counts  counts
	leaving atomic.Bool // set with draining
	keys    *keys

	mu        sync.Mutex
	chooser   *forward.Chooser // nil until a table is published
	gate      *admission.Gate
	waiters   map[*admission.Ticket]chan struct{}
	expiry    *time.Timer
	expiryAt  time.Time
	balancers map[string]*balancer.Balancer
	budgets   map[string]*budget.Budget
	conduits  map[string]*conduit.Conduit
	latencies map[string]*latency
	calls     map[*call]struct{}
	spread    *route.Table // by whose members the keys were last spread
	spreading bool
	draining  bool
	drained   chan struct{} // closed when draining and no call is left
}

// New returns a Gateway that refuses everything until a table is published.
func New(opts ...Option) *Gateway {
	g := &Gateway{
		config:    defaults(),
		prefix:    rand.Text()[:idBytes],
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
	g.keys = newKeys(g.config.keys, g.keyTime)
	g.buffers.New = func() any { return new([copyBytes]byte) }
	return g
}

// Callers returns the handler of the listener for callers.
func (g *Gateway) Callers() http.Handler {
	return g.mux("services", 0)
}

// Forwards returns the handler of the listener for other entry instances.
func (g *Gateway) Forwards() http.Handler {
	mux := g.mux("forward", 1)
	mux.HandleFunc(pat.Post(claimPattern), g.serveClaim)
	mux.HandleFunc(pat.Delete(claimPattern), g.serveRelease)
	mux.HandleFunc(pat.Post(spreadPath), g.serveSpread)
	mux.HandleFunc(pat.Get(probePath), g.serveProbe)
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

// Free returns the free slots by service, none when the instance is leaving.
func (g *Gateway) Free() map[string]int {
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

// conduitTo returns the connections to address.
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
		conduit.WithConnections(g.connections - 1),
		conduit.WithStray(func() { g.counts.dropped.Add(1) }),
	}
	if g.dial != nil {
		opts = append(opts, conduit.WithDial(g.dial))
	}
	return opts
}
