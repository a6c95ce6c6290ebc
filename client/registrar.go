package client

import (
	"context"
	"net/http"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Registrar updates the stand-in of the instance list, in deployments without a
// platform that maintains the list.
type Registrar struct {
	peer *peer
}

// NewRegistrar returns a registrar for the instance list at address.
func NewRegistrar(address string, opts ...Option) *Registrar {
	return &Registrar{peer: newPeer(address, opts)}
}

// Put adds an instance to the list, or replaces its entry.
func (r *Registrar) Put(ctx context.Context, instance provider.Instance) error {
	c := call{method: http.MethodPut, path: instancePath(instance.ID), hasEffect: true}
	return r.peer.json(ctx, c, instance, nil)
}

// Delete removes an instance from the list.
func (r *Registrar) Delete(ctx context.Context, id string) error {
	c := call{method: http.MethodDelete, path: instancePath(id), hasEffect: true}
	return r.peer.json(ctx, c, nil, nil)
}

func instancePath(id string) string {
	return wire.PathInstances + "/" + id
}
