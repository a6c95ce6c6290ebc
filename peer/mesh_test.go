package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/member"
	"github.com/dogwoodladder/dogwoodladder/peer"
	"github.com/dogwoodladder/dogwoodladder/standin/network"
)

var (
	selfA = member.Self{ID: "a", AvailabilityZone: "z", Incarnation: 1}
	selfB = member.Self{ID: "b", AvailabilityZone: "z", Incarnation: 1}
	farB  = member.Self{ID: "b", AvailabilityZone: "y", Incarnation: 1}
)

// linkedNodes starts two nodes that are linked with each other.
func linkedNodes(t *testing.T, a, b member.Self, opts ...peer.Option) (*network.Network, *node, *node) {
	n := newNetwork(t)
	x, y := startNode(t, n, a, "a:1", opts...), startNode(t, n, b, "b:1", opts...)
	x.SetPeers([]peer.Peer{x.peer(), y.peer()})
	y.SetPeers([]peer.Peer{x.peer(), y.peer()})
	exchangeHeartbeats(time.Second, time.Second, x, y)
	return n, x, y
}

func TestMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := linkedNodes(t, selfA, selfB)
		is.True(a.Links()[0].Dialed) // the lower ID
		is.True(b.Links()[0].Up && !b.Links()[0].Dialed)
		a.collect()

		first := b.heartbeat(map[string]int{"price": 8, "style": 3})
		first.Revision = 7
		first.Digest = "d7"
		second := first
		second.Sequence++
		second.Free = map[string]int{"price": 5, "grade": 1}
		third := second
		third.Sequence++
		third.Free = nil
		third.Leaving = true
		messages := []peer.Message{
			first, second, third,
			peer.ConfigRequest{Revision: 7},
			peer.Config{Revision: 7, Digest: "d7", Manifest: []byte("groups: []")},
			peer.Handover{Worker: "w1", Epoch: 12},
			peer.Call{ID: 1, Kind: "submit", Body: []byte{1}},
			peer.Reply{ID: 1, Kind: "submit", Body: []byte{2}},
		}
		for _, m := range messages {
			is.NoErr(b.Send("a", m))
			synctest.Wait()
		}
		var want []peer.Received
		for _, m := range messages {
			if h, ok := m.(peer.Heartbeat); ok && h.Leaving {
				h.Free = map[string]int{}
				m = h
			}
			want = append(want, peer.Received{From: "b", Message: m})
		}
		is.Equal(a.collect(), want)
	})
}

// A connection goes silent permanently without a failing read or write, while
// new ones would work. It must be replaced, or a healthy peer is suspected until
// a process is restarted.
func TestSilentConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		other member.Self
		every time.Duration
		bound time.Duration // until a heartbeat comes through again
	}{
		{"same zone", selfB, time.Second, 6 * time.Second},
		{"other zone", farB, 10 * time.Second, 50 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, a, b := linkedNodes(t, selfA, c.other)
				exchangeHeartbeats(3*c.every, c.every, a, b)
				a.collect()
				b.collect()
				n.Silence()
				exchangeHeartbeats(c.bound, c.every, a, b)
				for _, x := range []*node{a, b} {
					got := x.collect()
					is.Equal(count[peer.Unlinked](got), 1)
					is.Equal(count[peer.Linked](got), 1)
					is.True(count[peer.Heartbeat](got) > 0)
				}
				exchangeHeartbeats(20*c.every, c.every, a, b)
				is.Equal(count[peer.Unlinked](a.collect()), 0)
			})
		})
	}
}

// A revision is published after a connection across zones went silent, where
// heartbeats come every 10 s. If silence were detected by missing heartbeats
// alone, a zone that can't reach the log would use an old configuration for
// longer than 12 s although its peers hold the new one.
func TestRevisionOnSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := linkedNodes(t, selfA, farB)
		n.Silence()
		b.collect()
		published := a.heartbeat(nil)
		published.Revision = 8
		is.NoErr(a.Send("b", published))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		got := b.collect()
		is.True(count[peer.Heartbeat](got) > 0)
		is.Equal(got[len(got)-1].Message.(peer.Heartbeat).Revision, uint64(8))
	})
}

// b starts and knows a, but a doesn't know b until later. If only the lower ID
// dialed, a new instance would be unreachable while the list of the others lags.
func TestHigherDialsAnUnawareLower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		a, b := startNode(t, n, selfA, "a:1"), startNode(t, n, selfB, "b:1")
		b.SetPeers([]peer.Peer{a.peer()})
		exchangeHeartbeats(4*time.Second, time.Second, a, b)
		is.True(b.Links()[0].Up && b.Links()[0].Dialed)
		is.True(count[peer.Heartbeat](a.collect()) > 0)
		is.NoErr(a.Send("b", peer.Handover{Worker: "w"}))
		a.SetPeers([]peer.Peer{b.peer()})
		exchangeHeartbeats(time.Minute, time.Second, a, b)
		is.Equal(count[peer.Unlinked](a.collect()), 0) // the existing connection is kept
	})
}

// Both ends dial at the same time, and again after a cut. If each end kept a
// different connection, the link would go up and down forever.
func TestBothDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, network.WithLatency(20*time.Millisecond))
		noDelay := []peer.Option{peer.WithDialDelay(0), peer.WithBackoff(10*time.Millisecond, 10*time.Millisecond)}
		a, b := startNode(t, n, selfA, "a:1", noDelay...), startNode(t, n, selfB, "b:1", noDelay...)
		a.SetPeers([]peer.Peer{b.peer()})
		b.SetPeers([]peer.Peer{a.peer()})
		for range 10 {
			exchangeHeartbeats(10*time.Second, time.Second, a, b)
			is.True(count[peer.Linked](a.collect()) <= 2)
			is.True(count[peer.Linked](b.collect()) <= 2)
			exchangeHeartbeats(5*time.Second, time.Second, a, b)
			is.True(a.Links()[0].Up && b.Links()[0].Up)
			is.True(a.Links()[0].Dialed != b.Links()[0].Dialed)
			is.Equal(count[peer.Unlinked](a.collect())+count[peer.Unlinked](b.collect()), 0)
			n.Silence()
		}
	})
}

// b stops, and nobody or another instance listens at its address. If the address
// identified the instance, another one could execute messages meant for b, or
// the death of b would be detected late.
func TestRefusedAddress(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor string
	}{
		{"nobody", ""},
		{"another instance", "c"},
		{"the instance itself", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, a, b := linkedNodes(t, selfA, selfB)
				b.stop()
				if c.successor != "" {
					next := startNode(t, n, member.Self{ID: c.successor, AvailabilityZone: "z", Incarnation: 2}, "b:1")
					defer func() { is.Equal(len(next.collect()), 0) }()
				}
				a.collect()
				time.Sleep(time.Second)
				synctest.Wait()
				got := a.collect()
				refused, ok := got[len(got)-1].Message.(peer.Unlinked)
				is.True(ok)
				is.True(refused.Refused)
				is.Equal(count[peer.Linked](got), 0)
				is.True(fault.Is(a.Send("b", peer.Call{ID: 1}), fault.Unavailable))
			})
		})
	}
}

// b is killed without closing its connection and restarts under its ID and
// address long before a detects the silence. The new connection must replace the
// old one, or b would stay unreachable.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := linkedNodes(t, selfA, selfB, peer.WithSilenceTimeouts(time.Hour, time.Hour))
		n.Silence()
		b.stop()
		again := startNode(t, n, member.Self{ID: "b", AvailabilityZone: "z", Incarnation: 2}, "b:1")
		again.SetPeers([]peer.Peer{a.peer()})
		a.collect()
		exchangeHeartbeats(5*time.Second, time.Second, a, again)
		got := a.collect()
		is.True(len(got) > 2)
		is.Equal(got[0].Message.(peer.Unlinked).Refused, false) // the events stay in order
		is.Equal(got[1].Message, peer.Linked{})
		is.Equal(got[2].Message.(peer.Heartbeat).Incarnation, uint64(2))
	})
}

// A connection goes silent; b detects it and dials, while a has a much longer
// silence timeout and doesn't know where to dial. If a kept the silent
// connection, b couldn't reach it for as long as a's timeout.
func TestOneEndNoticesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		a := startNode(t, n, selfA, "a:1", peer.WithSilenceTimeouts(time.Minute, time.Minute))
		b := startNode(t, n, selfB, "b:1")
		b.SetPeers([]peer.Peer{a.peer()})
		exchangeHeartbeats(5*time.Second, time.Second, a, b)
		is.True(b.Links()[0].Up)
		n.Silence()
		exchangeHeartbeats(10*time.Second, time.Second, a, b)
		is.True(!b.Links()[0].Up) // too early for a to replace the connection
		exchangeHeartbeats(30*time.Second, time.Second, a, b)
		is.True(b.Links()[0].Up)
	})
}

// Calls are queued for b when the link goes down and comes back. If the queue
// outlived the connection, a command could be executed long after its sender
// gave up.
func TestQueueEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := linkedNodes(t, selfA, selfB)
		for range 600 { // b receives nothing
			_ = a.Send("b", peer.Call{ID: 1})
			synctest.Wait()
		}
		is.True(a.Links()[0].Queue > 0)
		b.stop()
		again := startNode(t, n, member.Self{ID: "b", AvailabilityZone: "z", Incarnation: 2}, "b:1")
		a.collect()
		exchangeHeartbeats(10*time.Second, time.Second, a, again)
		got := again.collect()
		is.True(count[peer.Heartbeat](got) > 0)
		is.Equal(count[peer.Call](got), 0)
	})
}

// b receives nothing from its links while a keeps sending. If Send blocked or
// queued without bound, one slow peer would stop the control loop or exhaust the
// memory of a.
func TestSlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := linkedNodes(t, selfA, selfB)
		b.collect()
		refused := 0
		for range 600 {
			if err := a.Send("b", peer.Call{ID: 1}); err != nil {
				is.True(fault.Is(err, fault.Overloaded))
				refused++
			}
			synctest.Wait()
		}
		is.True(refused > 0)
		is.True(a.Links()[0].Queue <= 64)
		for range 5 {
			is.NoErr(a.Send("b", a.heartbeat(nil)))
		}
		newest := a.sequence
		got := b.collect()
		synctest.Wait()
		got = append(got, b.collect()...)
		var beats []uint64
		for _, r := range got {
			if h, ok := r.Message.(peer.Heartbeat); ok {
				beats = append(beats, h.Sequence)
			}
		}
		is.Equal(beats, []uint64{newest}) // older ones were replaced
	})
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := linkedNodes(t, selfA, selfB)
		is.True(fault.Is(a.Send("b", peer.Config{Manifest: make([]byte, peer.MaxFrame)}), fault.TooLarge))
		is.True(fault.Is(a.Send("b", peer.Linked{}), fault.Invalid))
		is.True(fault.Is(a.Send("c", peer.Call{}), fault.NotFound))
		is.NoErr(a.Send("b", peer.Config{Manifest: make([]byte, peer.MaxFrame/2)}))
		synctest.Wait()
		is.Equal(count[peer.Config](b.collect()), 1)

		var many []peer.Peer
		for i := range 300 {
			many = append(many, peer.Peer{ID: fmt.Sprint("b", i), Address: "nowhere:1"})
		}
		a.SetPeers(many)
		b.SetPeers(nil)
		synctest.Wait()
		a.SetPeers(many) // the slot of b is free now
		is.Equal(len(a.Links()), 256)
		is.Equal(len(b.Links()), 0)
		a.SetPeers(nil)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(len(a.Links()), 0)
	})
}
