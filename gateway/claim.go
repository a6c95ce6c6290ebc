package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/route"
	"goji.io/pat"
)

const (
	claimPathPrefix = "/claim/"
	claimPattern    = claimPathPrefix + ":hash"
	homesPerKey     = 2
	claimTimeout    = time.Second            // for the claims at all homes
	releaseTimeout  = 250 * time.Millisecond // for the releases at all homes
	hashBase        = 36
)

// claim is an idempotency key that a call holds at its homes.
type claim struct {
	hash  uint64
	homes []home
}

// home is an entry instance that stores a key.
type home struct {
	id      string
	address string // empty for this instance
}

// claimKey claims the key of c before its first attempt.
//
// A caller whose response was lost repeats its request, and the platform's
// load balancer may route the repeat to another entry instance, where it would
// run a second time. Both instances claim the key at the same homes, which
// grant it only once.
func (g *Gateway) claimKey(c *call) *fault.Error {
	key := c.r.Header.Get(HeaderKey)
	if key == "" || c.idempotent || c.hops > 0 || c.keyClaim != nil {
		return nil
	}
	hash := xxhash.Sum64String(c.service.Name + "\x00" + key)
	c.keyClaim = &claim{hash: hash, homes: homesOf(c.table, hash)}
	err := g.claimAtHomes(c)
	if err != nil {
		g.releaseKey(c)
	}
	return err
}

// homesOf returns the homes of a key: the first entry instances in
// rendezvous order.
func homesOf(t *route.Table, hash uint64) []home {
	addresses := make(map[string]string, len(t.Peers)+1)
	members := make([]string, 0, len(t.Peers)+1)
	for _, peer := range t.Peers {
		if peer.ID == t.Instance {
			continue
		}
		addresses[peer.ID] = peer.Address
		members = append(members, peer.ID)
	}
	if t.Instance != "" {
		members = append(members, t.Instance)
	}
	order := rendezvous.Order(strconv.FormatUint(hash, hashBase), members)
	homes := make([]home, 0, homesPerKey)
	for _, id := range order[:min(homesPerKey, len(order))] {
		homes = append(homes, home{id: id, address: addresses[id]})
	}
	return homes
}

// claimAtHomes claims the key at one home after the other. All instances use
// the same order, so the first home grants only one of two concurrent requests
// with the same key.
func (g *Gateway) claimAtHomes(c *call) *fault.Error {
	ctx, cancel := context.WithTimeout(c.ctx, claimTimeout)
	defer cancel()
	for _, h := range c.keyClaim.homes {
		if err := g.claimAtHome(ctx, c, h); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) claimAtHome(ctx context.Context, c *call, h home) *fault.Error {
	if h.address == "" {
		return claimFault(g.keys.claim(time.Now(), c.keyClaim.hash, c.id))
	}
	resp, err := g.callHome(ctx, http.MethodPost, c.keyClaim.hash, c.id, h)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "can't reach instance %s, which stores the idempotency key", h.id).After(time.Second)
	}
	if resp.Header.Get(HeaderRequest) != c.id {
		return fault.New(fault.Unavailable, "instance %s responded to the claim of another request", h.id).After(time.Second)
	}
	if refused := readRefusal(resp); refused != nil {
		return refused
	}
	return nil
}

// callHome sends the claim (POST) or release (DELETE) of a key to a home, and
// returns the response with its body closed.
func (g *Gateway) callHome(ctx context.Context, method string, hash uint64, id string, h home) (*http.Response, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   h.address,
		Path:   claimPathPrefix + strconv.FormatUint(hash, hashBase),
	}
	req := &http.Request{Method: method, URL: target, Header: http.Header{HeaderRequest: {id}}}
	permit := conduit.NewPermit(time.Time{})
	defer permit.End()
	resp, err := g.conduitTo(h.address).Send(ctx, req, permit)
	if err != nil {
		return nil, err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	return resp, resp.Body.Close()
}

// releaseKey releases the key at its homes, so that a repeat may run. A home
// that can't be reached refuses the repeat with Duplicate.
func (g *Gateway) releaseKey(c *call) {
	if c.keyClaim == nil {
		return
	}
	key := *c.keyClaim
	c.keyClaim = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), releaseTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, h := range g.holders(key) {
		calls.Go(func() { g.releaseAtHome(ctx, key.hash, c.id, h) })
	}
	calls.Wait()
}

// holders returns the homes where a key was claimed, and those that it may
// have been transferred to since.
func (g *Gateway) holders(key claim) []home {
	holders := key.homes
	for _, h := range homesOf(g.table.Load(), key.hash) {
		if !containsHome(holders, h.id) {
			holders = append(holders, h)
		}
	}
	return holders
}

func containsHome(homes []home, id string) bool {
	return slices.ContainsFunc(homes, func(h home) bool { return h.id == id })
}

func (g *Gateway) releaseAtHome(ctx context.Context, hash uint64, id string, h home) {
	if h.address == "" {
		g.keys.release(hash, id)
		return
	}
	_, _ = g.callHome(ctx, http.MethodDelete, hash, id, h)
}

// claimFault returns the fault of a claim that wasn't granted, else nil.
func claimFault(result claimResult) *fault.Error {
	switch result {
	case duplicate:
		return fault.New(fault.Duplicate, "the %s was used before", HeaderKey)
	case storeFull:
		return fault.New(fault.Overloaded, "too many idempotency keys are stored")
	}
	return nil
}

// handleClaim claims a key for a request of another entry instance.
func (g *Gateway) handleClaim(w http.ResponseWriter, r *http.Request) {
	hash, owner, ok := g.readClaim(w, r)
	if !ok {
		return
	}
	if err := claimFault(g.keys.claim(time.Now(), hash, owner)); err != nil {
		g.refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleRelease releases a key for a request of another entry instance.
func (g *Gateway) handleRelease(w http.ResponseWriter, r *http.Request) {
	hash, owner, ok := g.readClaim(w, r)
	if !ok {
		return
	}
	g.keys.release(hash, owner)
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gateway) readClaim(w http.ResponseWriter, r *http.Request) (uint64, string, bool) {
	owner := r.Header.Get(HeaderRequest)
	hash, err := strconv.ParseUint(pat.Param(r, "hash"), hashBase, 64)
	if err != nil || owner == "" {
		g.refuse(w, fault.New(fault.Invalid, "invalid hash of an idempotency key, or %s is missing", HeaderRequest))
		return 0, "", false
	}
	w.Header().Set(HeaderRequest, owner)
	return hash, owner, true
}
