package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodladder/dogwoodladder/forward"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

const service = "price"

func peer(id, zone string, free int, age time.Duration) route.Peer {
	return route.Peer{ID: id, AvailabilityZone: zone, Free: map[string]int{service: free}, LastContact: start.Add(-age)}
}

// Guards each rule of the choice with one request: zone, free slots, age of the
// information and number of hops.
func TestChoice(t *testing.T) {
	old := forward.DefaultMaxAge
	cases := []struct {
		name  string
		peers []route.Peer
		hops  int
		want  string
	}{
		{"own zone first", []route.Peer{peer("far", "b", 9, 0), peer("near", "a", 1, 0)}, 0, "near"},
		{"far when near is full", []route.Peer{peer("far", "b", 9, 0), peer("near", "a", 0, 0)}, 0, "far"},
		{"one hop only", []route.Peer{peer("near", "a", 9, 0)}, forward.MaxHops, ""},
		{"too old", []route.Peer{peer("near", "a", 9, old)}, 0, ""},
		{"old counts for less", []route.Peer{peer("near", "a", 2, old*3/4), peer("far", "b", 2, 0)}, 0, "far"},
		{"full ones are asked after a while", []route.Peer{peer("near", "a", 0, time.Second)}, 0, "near"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := forward.New(1, "a").Choose(start, service, c.hops, c.peers, nil)
			is.Equal(got.ID, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

// Guards against flooding a peer between two heartbeats, and against avoiding it
// until the next heartbeat after a refusal: four requests for three free slots,
// a refusal, the retry after a delay, and a response that reports free slots.
func TestSubtractsSentRequests(t *testing.T) {
	is := is.New(t)
	c := forward.New(1, "a")
	peers := []route.Peer{peer("p", "b", 3, 0)}
	choose := func(now time.Time) bool {
		_, ok := c.Choose(now, service, 0, peers, nil)
		return ok
	}
	for range 3 {
		is.True(choose(start))
	}
	is.True(!choose(start))
	c.RecordRefused(start, service, "p")
	is.True(!choose(start.Add(forward.DefaultRetryInterval - 1)))
	is.True(choose(start.Add(forward.DefaultRetryInterval)))  // tried once
	is.True(!choose(start.Add(forward.DefaultRetryInterval))) // and not twice
	c.RecordFree(start.Add(forward.DefaultRetryInterval), service, "p", 2)
	is.True(choose(start.Add(forward.DefaultRetryInterval)))
}

// Guards against forwarding to a peer that doesn't respond while its last
// heartbeat still reports free slots. It is chosen again after its next
// heartbeat.
func TestLostPeerWaitsForHeartbeat(t *testing.T) {
	is := is.New(t)
	c := forward.New(1, "a")
	later := start.Add(time.Second)
	c.RecordUnreachable(later, "p")
	_, ok := c.Choose(later, service, 0, []route.Peer{peer("p", "a", 9, 0)}, nil)
	is.True(!ok)
	_, ok = c.Choose(later, service, 0, []route.Peer{peer("p", "a", 9, -2*time.Second)}, nil)
	is.True(ok)
}

// Guards against all full instances choosing the same peer on the same
// information: many instances choose among peers with 1 to 3 free slots, and
// must do so in proportion to them.
func TestSpreadsByFreeSlots(t *testing.T) {
	is := is.New(t)
	peers := []route.Peer{peer("1", "a", 1, 0), peer("2", "a", 2, 0), peer("3", "a", 3, 0)}
	chosen := map[string]int{}
	for seed := range uint64(6000) {
		p, _ := forward.New(seed, "a").Choose(start, service, 0, peers, nil)
		chosen[p.ID]++
	}
	for i, want := range []int{1000, 2000, 3000} {
		got := chosen[fmt.Sprint(i+1)]
		is.True(got > want*8/10 && got < want*12/10)
	}
}
