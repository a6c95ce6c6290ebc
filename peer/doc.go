// Package peer links entry instances with each other by WebSocket, with
// messages in CBOR. There is one link for each pair, used both ways.
//
// Usage:
//
//	mesh := peer.New(peer.WithSelf(self))
//	mux.Handle(peer.Path, mesh) // on the peer listener
//	t.Go(func() error { return mesh.Run(t.Context(nil)) })
//	mesh.SetPeers([]peer.Peer{{ID: id, Address: address, AvailabilityZone: zone}})
//	err := mesh.Send(id, peer.Heartbeat(table.Heartbeat(...)))
//	for r := range mesh.Received() {
//		switch m := r.Message.(type) {
//		case peer.Heartbeat: ...
//		}
//	}
//
// The instance with the lower ID dials. The other one dials too if no link is
// established for a while, because the lower may not know of it yet. Of two
// connections the one that the lower ID dialed is kept. A connection that
// receives nothing for the silence timeout is closed and dialed again, with a
// jittered backoff. Heartbeats serve as pings: the user of a Mesh must send them
// more often than the silence timeout of the peer.
//
// Heartbeats are delta-encoded on each connection, and a service name is sent
// only once. Frames, queues and the number of links are bounded; a message that
// exceeds a bound is refused when it is sent.
package peer
