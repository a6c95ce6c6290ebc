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

// list keeps the newest list with its entity tag, since it is asked for often
// and changes seldom.
type list struct {
	peer *peer

	mu        sync.Mutex
	tag       string
	instances []provider.Instance
}

// NewList returns a client of the instance list at address.
func NewList(address string, opts ...Option) provider.List {
	return &list{peer: newPeer(address, opts)}
}

func (l *list) Instances(ctx context.Context) ([]provider.Instance, error) {
	tag, known := l.known()
	c := call{method: http.MethodGet, path: wire.PathInstances, tag: tag, limit: wire.MaxControl}
	a, err := l.peer.do(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case a.refusal != nil:
		return nil, a.refusal
	case a.same && tag != "":
		return known, nil
	}
	var instances []provider.Instance
	if err := json.Unmarshal(a.body, &instances); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "instance list")
	}
	l.learn(a.tag, instances)
	return slices.Clone(instances), nil
}

func (l *list) known() (string, []provider.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, slices.Clone(l.instances)
}

func (l *list) learn(tag string, instances []provider.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = tag
	l.instances = instances
}
