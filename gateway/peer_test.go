package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/route"
	"github.com/matryer/is"
)

// respondWith returns a handler that responds with name.
func respondWith(name string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, name) }
}

func TestForwardToPeer(t *testing.T) {
	tests := []struct {
		name  string
		own   int // slots of the own worker, one of them in use
		near  int // free slots reported by the peer in the same zone
		far   int // free slots reported by the peer in another zone
		age   time.Duration
		want  string
		fault string
	}{
		{name: "own slot is free", own: 2, near: 8, want: "own"},
		{name: "same zone first", own: 1, near: 2, far: 8, want: "near"},
		{name: "other zone", own: 1, far: 8, want: "far"},
		{name: "what was told is old", own: 1, near: 8, age: 11 * time.Second, want: "own"}, // waits
		{name: "no own replica", near: 8, want: "near"},
		{name: "no own replica, all full when heard", want: "near"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				busy := make(chan struct{})
				n.serve("own", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get("X-Hold") != "" {
						<-busy
					}
					respondWith("own")(rw, r)
				})})
				table := tableOf("e1")
				if test.own > 0 {
					table = tableOf("e1", "own")
					table.Backends["price"][0].Slots = test.own
				}
				for name, free := range map[string]int{"near": test.near, "far": test.far} {
					if free == 0 && test.want != name {
						continue
					}
					n.serve("w-"+name, &http.Server{Handler: newWorker(respondWith(name))})
					zone := map[string]string{"near": "a", "far": "b"}[name]
					table.Peers = append(table.Peers, newInstance(n, name, tableOf(name, "w-"+name)).peer(zone, free))
				}
				time.Sleep(test.age)
				withoutService := route.Peer{ID: "without", AvailabilityZone: "a", LastContact: time.Now()}
				table.Peers = append(table.Peers, withoutService)
				s := newInstance(n, "e1", table)
				if test.own > 0 {
					go s.send(http.MethodPost, "", "X-Hold", "1")
				}
				synctest.Wait()
				time.AfterFunc(time.Second, func() { close(busy) })
				a := s.send(http.MethodPost, "load")
				is.NoErr(a.err)
				is.Equal(a.body, test.want)
				is.Equal(s.gateway.Report().Forwards > 0, test.want != "own")
				synctest.Wait()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against forwarding a request twice, and against changing a peer's
// refusal: the instance forwards, and the peer can't serve the request or may
// have run it.
func TestPeerRefusalIsPassedTruthfully(t *testing.T) {
	tests := []struct {
		name  string
		table *route.Table // of the peer
		fault fault.Kind
		ran   string
	}{
		{name: "no replica there either", table: tableOf("e2"), fault: fault.NoWorker, ran: "not-run"},
		{name: "lost there", table: tableOf("e2", "w2"), fault: fault.Broken, ran: "may-have-run"},
		{name: "leaving", table: &route.Table{Instance: "e2", Leaving: true, Services: tableOf("").Services}, fault: fault.Leaving, ran: "not-run"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				n.serve("w2", &http.Server{Handler: newWorker(closeConnection)})
				n.serve("w3", &http.Server{Handler: newWorker(respondWith("third"))})
				third := newInstance(n, "e3", tableOf("e3", "w3"))
				test.table.Peers = []route.Peer{third.peer("a", 8)}
				second := newInstance(n, "e2", test.table)
				table := tableOf("e1")
				table.Peers = []route.Peer{second.peer("a", 8)}
				s := newInstance(n, "e1", table)
				a := s.send(http.MethodPost, "load")
				is.NoErr(a.err)
				is.Equal(a.fault(), test.fault.String())
				is.Equal(a.ran(), test.ran)
				is.Equal(third.gateway.Report().Answered, uint64(0))
			})
		})
	}
}

// Guards against reporting "not run" for a request that a peer may have run: the
// kind of the peer's refusal implies "not run", but the peer reports "may have
// run" or nothing.
func TestPeerMustSayNotRun(t *testing.T) {
	for _, ran := range []string{"may-have-run", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t)
			n.serve("e2-peer", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set(HeaderRan, ran)
				refuseWith(fault.Overloaded)(rw, r)
			})})
			table := tableOf("e1")
			table.Peers = []route.Peer{(&entryInstance{id: "e2"}).peer("a", 8)}
			a := newInstance(n, "e1", table).send(http.MethodPost, "load")
			is.NoErr(a.err)
			is.Equal(a.ran(), "may-have-run")
		})
	}
}

// Guards against breaking requests in a planned stop: an instance drains while
// it serves a forwarded request, and while callers keep connections open.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		busy := make(chan struct{})
		n.serve("w2", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			<-busy
			fmt.Fprint(rw, "gold")
		})})
		second := newInstance(n, "e2", tableOf("e2", "w2"))
		table := tableOf("e1")
		table.Peers = []route.Peer{second.peer("a", 8)}
		first := newInstance(n, "e1", table)
		answers := make(chan response, 1)
		go func() { answers <- first.send(http.MethodPost, "load") }()
		synctest.Wait()

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(fault.Is(second.gateway.Drain(short), fault.TimedOut))
		a := second.send(http.MethodPost, "load")
		is.Equal(a.fault(), fault.Leaving.String())
		is.Equal(a.ran(), "not-run")
		is.True(a.closed)
		is.True(a.header.Get("Retry-After") != "")

		drained := make(chan error, 2)
		go func() { drained <- first.gateway.Drain(t.Context()) }()
		go func() { drained <- second.gateway.Drain(t.Context()) }()
		synctest.Wait()
		is.Equal(len(drained), 0)
		close(busy)
		is.NoErr(<-drained)
		is.NoErr(<-drained)
		a = <-answers
		is.NoErr(a.err)
		is.Equal(a.body, "gold")
		is.True(a.closed)
	})
}
