package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodladder/dogwoodladder/conduit"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

const (
	spreadPath  = "/claims"
	spreadTime  = 5 * time.Second // for one batch
	spreadBatch = 1000            // keys
	spreadBytes = 1 << 20         // of one batch
	ownerBytes  = 64              // of a request id
)

// passedKey is a key on its way to a new home.
type passedKey struct {
	Hash  uint64        `cbor:"1,keyasint"`
	Owner string        `cbor:"2,keyasint"`
	Left  time.Duration `cbor:"3,keyasint"`
}

// spreadKeys starts to pass keys on when t has other members than the table
// by which the keys were last spread; g.mu is held.
//
// Entry instances are replaced one after the other. It would show as a repeat
// that runs again once both homes of its key are new. Each home passes its
// keys on as soon as it sees that the members changed.
func (g *Gateway) spreadKeys(t *route.Table) {
	if g.spread == nil {
		g.spread = t
		return
	}
	if g.spreading || sameMembers(g.spread, t) {
		return
	}
	g.spreading = true
	go g.spreadAll()
}

// spreadAll passes keys on until the newest table's members have them.
func (g *Gateway) spreadAll() {
	for {
		before, after, ok := g.nextSpread()
		if !ok {
			return
		}
		g.passOn(context.Background(), before, after)
	}
}

// nextSpread returns the tables between which the members changed.
func (g *Gateway) nextSpread() (before, after *route.Table, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, after = g.spread, g.table.Load()
	if sameMembers(before, after) {
		g.spreading = false
		return nil, nil, false
	}
	g.spread = after
	return before, after, true
}

// handOver passes the keys on to their homes among the others.
func (g *Gateway) handOver(ctx context.Context) {
	table := g.table.Load()
	if table == nil {
		return
	}
	g.passOn(ctx, table, &route.Table{Peers: table.Peers})
}

// passOn sends each key to the homes that it has by the members after and
// had not by those before.
func (g *Gateway) passOn(ctx context.Context, before, after *route.Table) {
	now := time.Now()
	batches := make(map[string][]passedKey)
	for _, entry := range g.keys.list(now) {
		had := homesOf(before, entry.hash)
		for _, h := range homesOf(after, entry.hash) {
			if h.address == "" || isHome(had, h.id) {
				continue
			}
			batches[h.address] = append(batches[h.address], passedKey{entry.hash, entry.owner, entry.until.Sub(now)})
		}
	}
	for address, keys := range batches {
		if err := g.sendKeys(ctx, address, keys); err != nil {
			g.logger.Warn("keys not passed on", zap.String("address", address), zap.Int("keys", len(keys)), zap.Error(err))
		}
	}
}

func (g *Gateway) sendKeys(ctx context.Context, address string, keys []passedKey) error {
	for len(keys) > 0 {
		n := min(len(keys), spreadBatch)
		if err := g.sendBatch(ctx, address, keys[:n]); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

func (g *Gateway) sendBatch(ctx context.Context, address string, keys []passedKey) error {
	body, err := cbor.Marshal(keys)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode keys")
	}
	ctx, cancel := context.WithTimeout(ctx, spreadTime)
	defer cancel()
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: spreadPath},
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	resp, err := g.conduitTo(address).Send(ctx, req, conduit.NewPermit(time.Time{}))
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "pass keys on")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fault.New(fault.Unavailable, "pass keys on: status %d", resp.StatusCode)
	}
	return nil
}

// serveSpread remembers keys for which this instance has become a home.
func (g *Gateway) serveSpread(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, spreadBytes))
	if err != nil {
		g.refuse(w, fault.New(fault.TooLarge, "keys above %d bytes", spreadBytes))
		return
	}
	var keys []passedKey
	if err := cbor.Unmarshal(body, &keys); err != nil {
		g.refuse(w, fault.Wrap(fault.Invalid, err, "decode keys"))
		return
	}
	now := time.Now()
	for _, key := range keys {
		if len(key.Owner) <= ownerBytes {
			g.keys.adopt(now, keyEntry{key.Hash, key.Owner, now.Add(key.Left)})
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// sameMembers reports whether two tables have the same entry instances.
func sameMembers(a, b *route.Table) bool {
	if len(a.Peers) != len(b.Peers) {
		return false
	}
	addresses := make(map[string]string, len(a.Peers))
	for _, peer := range a.Peers {
		addresses[peer.ID] = peer.Address
	}
	for _, peer := range b.Peers {
		if address, ok := addresses[peer.ID]; !ok || address != peer.Address {
			return false
		}
	}
	return true
}
