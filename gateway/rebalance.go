package gateway

import (
	"bytes"
	"context"
	"errors"
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
	keyTransferPath = "/claims"
	keyBatchTimeout = 5 * time.Second
	maxBatchKeys    = 1000
	maxBatchBytes   = 1 << 20
	maxOwnerBytes   = 64 // of a request id
)

// keyTransfer is the wire form of a key that is sent to a new home.
type keyTransfer struct {
	Hash  uint64        `cbor:"1,keyasint"`
	Owner string        `cbor:"2,keyasint"`
	Left  time.Duration `cbor:"3,keyasint"`
}

// startRebalance starts to transfer keys when the membership of t differs from
// that of the last rebalance. g.mu is held.
//
// A rolling replacement of entry instances can replace both homes of a key,
// after which a repeat would run again. So each home transfers its keys as soon
// as it observes a membership change.
func (g *Gateway) startRebalance(t *route.Table) {
	if g.rebalancedTable == nil {
		g.rebalancedTable = t
		return
	}
	if g.rebalancing || sameMembers(g.rebalancedTable, t) {
		return
	}
	g.rebalancing = true
	go g.rebalance()
}

// rebalance transfers keys until they match the membership of the latest table.
func (g *Gateway) rebalance() {
	for {
		before, after, ok := g.nextRebalance()
		if !ok {
			return
		}
		g.transferKeys(context.Background(), before, after)
	}
}

// nextRebalance returns the table of the last rebalance and the latest one, or
// ends the rebalancing when their members are the same.
func (g *Gateway) nextRebalance() (before, after *route.Table, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, after = g.rebalancedTable, g.table.Load()
	if sameMembers(before, after) {
		g.rebalancing = false
		return nil, nil, false
	}
	g.rebalancedTable = after
	return before, after, true
}

// handOverKeys transfers the keys to their homes among the other instances.
func (g *Gateway) handOverKeys(ctx context.Context) {
	table := g.table.Load()
	if table == nil {
		return
	}
	g.transferKeys(ctx, table, &route.Table{Peers: table.Peers})
}

// transferKeys sends each key to those of its homes in after that were not its
// homes in before.
func (g *Gateway) transferKeys(ctx context.Context, before, after *route.Table) {
	now := time.Now()
	batches := make(map[string][]keyTransfer)
	for _, entry := range g.keys.list(now) {
		formerHomes := homesOf(before, entry.hash)
		for _, h := range homesOf(after, entry.hash) {
			if h.address == "" || containsHome(formerHomes, h.id) {
				continue
			}
			batches[h.address] = append(batches[h.address], keyTransfer{entry.hash, entry.owner, entry.expiresAt.Sub(now)})
		}
	}
	for address, keys := range batches {
		if err := g.sendKeys(ctx, address, keys); err != nil {
			g.logger.Warn("idempotency keys not transferred", zap.String("address", address), zap.Int("keys", len(keys)), zap.Error(err))
		}
	}
}

func (g *Gateway) sendKeys(ctx context.Context, address string, keys []keyTransfer) error {
	for len(keys) > 0 {
		n := min(len(keys), maxBatchKeys)
		if err := g.sendKeyBatch(ctx, address, keys[:n]); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

func (g *Gateway) sendKeyBatch(ctx context.Context, address string, keys []keyTransfer) error {
	body, err := cbor.Marshal(keys)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode keys")
	}
	ctx, cancel := context.WithTimeout(ctx, keyBatchTimeout)
	defer cancel()
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: keyTransferPath},
		Header:        http.Header{},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	resp, err := g.conduitTo(address).Send(ctx, req, conduit.NewPermit(time.Time{}))
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "transfer keys to %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fault.New(fault.Unavailable, "transfer keys to %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// handleKeyTransfer stores keys for which this instance has become a home.
func (g *Gateway) handleKeyTransfer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBatchBytes))
	if err != nil {
		g.refuse(w, batchFault(err))
		return
	}
	var keys []keyTransfer
	if err := cbor.Unmarshal(body, &keys); err != nil {
		g.refuse(w, fault.Wrap(fault.Invalid, err, "decode keys"))
		return
	}
	now := time.Now()
	for _, key := range keys {
		if len(key.Owner) <= maxOwnerBytes {
			g.keys.add(now, keyEntry{key.Hash, key.Owner, now.Add(key.Left)})
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// batchFault is the fault of a batch of keys that can't be read.
func batchFault(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	var f *fault.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "batch of keys above %d bytes", maxBatchBytes)
	}
	return fault.Wrap(fault.Invalid, err, "read keys")
}

// sameMembers reports whether two tables list the same peers.
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
