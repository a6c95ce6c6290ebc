// Package peer links entry instances with each other by WebSocket, with
// messages in CBOR. There is one link for each pair, used both ways.
//
// Usage:
//
//	mesh := peer.New(peer.WithSelf(self))
//	mux.Handle(peer.Path, mesh) // on the peer listener
//	t.Go(func() error { return mesh.Run(t.Context(nil)) })
//	mesh.Set([]peer.Peer{{ID: id, Address: address, AvailabilityZone: zone}})
//	err := mesh.Send(id, peer.Heartbeat(table.Heartbeat(...)))
//	for r := range mesh.Received() {
//		switch m := r.Message.(type) {
//		case peer.Heartbeat: ...
//		}
//	}
//
// The instance with the lower ID dials. The other one dials as well when no
// link has come about for a while, because the lower may not know of it yet;
// of two links the one that the lower dialed stays. A link on which nothing
// was heard for the silence bound is closed and made anew, with a jittered
// backoff. Heartbeats are the pings: whoever uses a Mesh sends them more often
// than the silence bound of the peer.
//
// On a link only what changed since the last heartbeat is sent, and service
// names once. Frames, queues and the number of links are bounded; a message
// that doesn't fit is refused when it is sent.
package peer
