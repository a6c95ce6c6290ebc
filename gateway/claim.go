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
	claimRoot    = "/claim/"
	claimPattern = claimRoot + ":hash"
	keyHomes     = 2
	claimTime    = time.Second            // for a home to answer
	releaseTime  = 250 * time.Millisecond // for a home to forget
	hashBase     = 36
)

// claim is an idempotency key that a call holds at its homes.
type claim struct {
	hash  uint64
	homes []home
}

// home is an entry instance that remembers a key.
type home struct {
	id      string
	address string // empty for this instance
}

// claim claims the key of c before its first attempt.
//
// A caller whose answer was lost repeats its request, and the platform's
// balancer may take the repeat to another entry instance. It would show as a
// lorry that is paid twice. Both instances ask the same homes first, which
// grant a key once.
func (g *Gateway) claim(c *call) *fault.Error {
	key := c.r.Header.Get(HeaderKey)
	if key == "" || c.idempotent || c.hops > 0 || c.key != nil {
		return nil
	}
	hash := xxhash.Sum64String(c.service.Name + "\x00" + key)
	c.key = &claim{hash: hash, homes: homesOf(c.table, hash)}
	err := g.claimAll(c)
	if err != nil {
		g.unclaim(c)
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
	homes := make([]home, 0, keyHomes)
	for _, id := range order[:min(keyHomes, len(order))] {
		homes = append(homes, home{id: id, address: addresses[id]})
	}
	return homes
}

// claimAll claims at one home after the other. The order is the same
// everywhere, so of two requests with one key the first home lets one go on.
func (g *Gateway) claimAll(c *call) *fault.Error {
	ctx, cancel := context.WithTimeout(c.ctx, claimTime)
	defer cancel()
	for _, h := range c.key.homes {
		if err := g.claimAt(ctx, c, h); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) claimAt(ctx context.Context, c *call, h home) *fault.Error {
	if h.address == "" {
		return grantFault(g.keys.claim(time.Now(), c.key.hash, c.id))
	}
	resp, err := g.askHome(ctx, http.MethodPost, c.key.hash, c.id, h)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "a home of the key can't be reached").After(time.Second)
	}
	if resp.Header.Get(HeaderRequest) != c.id {
		return fault.New(fault.Unavailable, "a home of the key answered another request").After(time.Second)
	}
	if refused := readRefusal(resp); refused != nil {
		return refused
	}
	return nil
}

// askHome asks a home to remember or to forget a key for a request, and
// returns the answer without its body.
func (g *Gateway) askHome(ctx context.Context, method string, hash uint64, id string, h home) (*http.Response, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   h.address,
		Path:   claimRoot + strconv.FormatUint(hash, hashBase),
	}
	req := &http.Request{Method: method, URL: target, Header: http.Header{HeaderRequest: {id}}}
	permit := conduit.NewPermit(time.Time{})
	defer permit.End()
	resp, err := g.conduitTo(h.address).Send(ctx, req, permit)
	if err != nil {
		return nil, err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, discardBytes)
	return resp, resp.Body.Close()
}

// unclaim makes the homes forget the key, so that a repeat may run. Where a
// home can't be reached, the repeat is answered with Duplicate there.
func (g *Gateway) unclaim(c *call) {
	if c.key == nil {
		return
	}
	key := *c.key
	c.key = nil
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), releaseTime)
	defer cancel()
	var asked sync.WaitGroup
	for _, h := range g.holders(key) {
		asked.Go(func() { g.releaseAt(ctx, key.hash, c.id, h) })
	}
	asked.Wait()
}

// holders returns the homes where a key was claimed, and those that it may
// have been passed on to since.
func (g *Gateway) holders(key claim) []home {
	holders := key.homes
	for _, h := range homesOf(g.table.Load(), key.hash) {
		if !isHome(holders, h.id) {
			holders = append(holders, h)
		}
	}
	return holders
}

func isHome(homes []home, id string) bool {
	return slices.ContainsFunc(homes, func(h home) bool { return h.id == id })
}

func (g *Gateway) releaseAt(ctx context.Context, hash uint64, id string, h home) {
	if h.address == "" {
		g.keys.release(hash, id)
		return
	}
	_, _ = g.askHome(ctx, http.MethodDelete, hash, id, h)
}

// grantFault returns the fault of a claim that wasn't granted.
func grantFault(answer grant) *fault.Error {
	switch answer {
	case duplicate:
		return fault.New(fault.Duplicate, "the %s was seen before", HeaderKey)
	case crowded:
		return fault.New(fault.Overloaded, "too many keys are remembered")
	}
	return nil
}

// serveClaim remembers a key for another entry instance.
func (g *Gateway) serveClaim(w http.ResponseWriter, r *http.Request) {
	hash, owner, ok := g.readClaim(w, r)
	if !ok {
		return
	}
	if err := grantFault(g.keys.claim(time.Now(), hash, owner)); err != nil {
		g.refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveRelease forgets a key for another entry instance.
func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
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
		g.refuse(w, fault.New(fault.Invalid, "a claim needs a hash and %s", HeaderRequest))
		return 0, "", false
	}
	w.Header().Set(HeaderRequest, owner)
	return hash, owner, true
}
