package client

import (
	"context"
	"net/http"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/platform"
)

type list struct {
	peer *peer
}

// NewList returns a client of the instance list at address.
func NewList(address string, opts ...Option) platform.List {
	return &list{peer: newPeer(address, opts)}
}

func (l *list) Instances(ctx context.Context) ([]platform.Instance, error) {
	var instances []platform.Instance
	c := call{method: http.MethodGet, path: wire.PathInstances}
	if err := l.peer.json(ctx, c, nil, &instances); err != nil {
		return nil, err
	}
	return instances, nil
}
