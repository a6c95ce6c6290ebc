package client

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// list caches the latest instance list with its entity tag, since the list is
// read often and changes rarely.
type list struct {
	peer *peer

	mu        sync.Mutex
	etag      string
	instances []provider.Instance
}

// NewList returns a client of the instance list at address.
func NewList(address string, opts ...Option) provider.List {
	return &list{peer: newPeer(address, opts)}
}

func (l *list) Instances(ctx context.Context) ([]provider.Instance, error) {
	tag, known := l.cached()
	c := call{method: http.MethodGet, path: wire.PathInstances, etag: tag, maxResponseBytes: wire.MaxControlBytes}
	resp, err := l.peer.do(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case resp.refusal != nil:
		return nil, resp.refusal
	case resp.notModified && tag != "":
		return known, nil
	}
	var instances []provider.Instance
	if err := json.Unmarshal(resp.body, &instances); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "decode instance list")
	}
	l.store(resp.etag, instances)
	return slices.Clone(instances), nil
}

func (l *list) cached() (string, []provider.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, slices.Clone(l.instances)
}

func (l *list) store(tag string, instances []provider.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag = tag
	l.instances = instances
}
