package gateway

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/fault"
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
	score   uint64
}

// claim claims the key of c before its first attempt.
//
// A caller whose answer was lost repeats its request, and the platform's
// balancer may take the repeat to another entry instance. It would show as a
// lorry that is paid twice. Both instances ask the same homes first, which
// grant a key once.
func (g *Gateway) claim(c *call) *fault.Error {
	key := c.r.Header.Get(HeaderKey)
	if key == "" || c.idempotent || c.hops > 0 {
		return nil
	}
	hash := xxhash.Sum64String(c.service.Name + "\x00" + key)
	c.key = &claim{hash: hash, homes: homesOf(c.table, hash)}
	return g.claimAll(c)
}

// homesOf returns the homes of a key: the first entry instances in
// rendezvous order.
func homesOf(t *route.Table, hash uint64) []home {
	homes := []home{{id: t.Instance}}
	for _, peer := range t.Peers {
		if peer.ID != t.Instance {
			homes = append(homes, home{id: peer.ID, address: peer.Address})
		}
	}
	suffix := "\x00" + strconv.FormatUint(hash, hashBase)
	for i := range homes {
		homes[i].score = xxhash.Sum64String(homes[i].id + suffix)
	}
	slices.SortFunc(homes, func(a, b home) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	return homes[:min(keyHomes, len(homes))]
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
	defer resp.Body.Close()
	if resp.Header.Get(HeaderRequest) != c.id {
		return fault.New(fault.Unavailable, "a home of the key answered another request").After(time.Second)
	}
	if refused := readRefusal(resp); refused != nil {
		return refused
	}
	return nil
}

// askHome asks a home to remember or to forget a key for a request.
func (g *Gateway) askHome(ctx context.Context, method string, hash uint64, id string, h home) (*http.Response, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   h.address,
		Path:   claimRoot + strconv.FormatUint(hash, hashBase),
	}
	req := &http.Request{Method: method, URL: target, Header: http.Header{HeaderRequest: {id}}}
	return g.conduitTo(h.address).Send(ctx, req, conduit.NewPermit(time.Time{}))
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
	for _, h := range key.homes {
		asked.Go(func() { g.releaseAt(ctx, key.hash, c.id, h) })
	}
	asked.Wait()
}

func (g *Gateway) releaseAt(ctx context.Context, hash uint64, id string, h home) {
	if h.address == "" {
		g.keys.release(hash, id)
		return
	}
	resp, err := g.askHome(ctx, http.MethodDelete, hash, id, h)
	if err == nil {
		_ = resp.Body.Close()
	}
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
