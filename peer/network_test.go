package peer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
	"github.com/dogwoodladder/dogwoodladder/standin/network"
)

// node is one instance with its mesh.
type node struct {
	*peer.Mesh
	self     member.Self
	address  string
	stop     func() // ends the node and frees its address
	sequence uint64
}

func newNetwork(t *testing.T, opts ...network.Option) *network.Network {
	n := network.New(opts...)
	t.Cleanup(n.Close)
	return n
}

func startNode(t *testing.T, n *network.Network, self member.Self, address string, opts ...peer.Option) *node {
	t.Helper()
	opts = append([]peer.Option{peer.WithSelf(self), peer.WithDialer(n.Dial)}, opts...)
	x := &node{Mesh: peer.New(opts...), self: self, address: address}
	server := &http.Server{Handler: x.Mesh}
	l := n.Listen(t.Context(), address)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { _ = server.Serve(l) }()
	go func() { defer close(stopped); _ = x.Run(ctx) }()
	x.stop = sync.OnceFunc(func() {
		n.Unlisten(address)
		cancel()
		<-stopped
		_ = server.Close()
	})
	t.Cleanup(x.stop)
	synctest.Wait()
	return x
}

// collect returns the messages received so far.
func (x *node) collect() []peer.Received {
	var got []peer.Received
	for {
		select {
		case r := <-x.Received():
			got = append(got, r)
		default:
			return got
		}
	}
}

func (x *node) peer() peer.Peer {
	return peer.Peer{ID: x.self.ID, Address: x.address, AvailabilityZone: x.self.AvailabilityZone}
}

func (x *node) heartbeat(free map[string]int) peer.Heartbeat {
	x.sequence++
	return peer.Heartbeat{
		ID:               x.self.ID,
		AvailabilityZone: x.self.AvailabilityZone,
		Address:          x.address,
		Incarnation:      x.self.Incarnation,
		Sequence:         x.sequence,
		Free:             free,
	}
}

// exchangeHeartbeats advances time while two nodes send each other heartbeats.
func exchangeHeartbeats(d, interval time.Duration, x, y *node) {
	for range d / interval {
		_ = x.Send(y.self.ID, x.heartbeat(nil))
		_ = y.Send(x.self.ID, y.heartbeat(nil))
		time.Sleep(interval)
		synctest.Wait()
	}
}

// count returns how many of the received messages have type M.
func count[M peer.Message](received []peer.Received) int {
	n := 0
	for _, r := range received {
		if _, ok := r.Message.(M); ok {
			n++
		}
	}
	return n
}
