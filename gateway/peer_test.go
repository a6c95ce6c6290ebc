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

// named answers with a name.
func named(name string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, name) }
}

func TestForwardToPeer(t *testing.T) {
	tests := []struct {
		name  string
		own   int // slots of the own worker; it is busy
		near  int // free slots that the peer of the same zone told
		far   int
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
					named("own")(rw, r)
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
					n.serve("w-"+name, &http.Server{Handler: newWorker(named(name))})
					zone := map[string]string{"near": "a", "far": "b"}[name]
					table.Peers = append(table.Peers, newSite(n, name, tableOf(name, "w-"+name)).peer(zone, free))
				}
				time.Sleep(test.age)
				without := route.Peer{ID: "without", AvailabilityZone: "a", Heard: time.Now()}
				table.Peers = append(table.Peers, without)
				s := newSite(n, "e1", table)
				if test.own > 0 {
					go s.ask(http.MethodPost, "", "X-Hold", "1")
				}
				synctest.Wait()
				time.AfterFunc(time.Second, func() { close(busy) })
				a := s.ask(http.MethodPost, "load")
				is.NoErr(a.err)
				is.Equal(a.body, test.want)
				is.Equal(s.gateway.Report().Forwards > 0, test.want != "own")
				synctest.Wait()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Symptom: a request circles between entry instances; a refusal by a peer
// is reported as something it was not.
// Sequence: the instance forwards, and the peer can't or may have served.
// Cause: a forwarded request was forwarded again, or a peer's refusal was
// replaced by the forwarder's own guess.
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
				n.serve("w2", &http.Server{Handler: newWorker(cut)})
				n.serve("w3", &http.Server{Handler: newWorker(named("third"))})
				third := newSite(n, "e3", tableOf("e3", "w3"))
				test.table.Peers = []route.Peer{third.peer("a", 8)}
				second := newSite(n, "e2", test.table)
				table := tableOf("e1")
				table.Peers = []route.Peer{second.peer("a", 8)}
				s := newSite(n, "e1", table)
				a := s.ask(http.MethodPost, "load")
				is.NoErr(a.err)
				is.Equal(a.fault(), test.fault.String())
				is.Equal(a.ran(), test.ran)
				is.Equal(third.gateway.Report().Answered, uint64(0))
			})
		})
	}
}

// Symptom: "not run" for a request that a peer may have run.
// Sequence: the peer's refusal names a kind that stands for "not run", but
// says that the work may have run, or nothing of it.
// Cause: the kind was believed.
func TestPeerMustSayNotRun(t *testing.T) {
	for _, ran := range []string{"may-have-run", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t)
			n.serve("e2-peer", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set(HeaderRan, ran)
				refuseAs(fault.Overloaded)(rw, r)
			})})
			table := tableOf("e1")
			table.Peers = []route.Peer{(&site{id: "e2"}).peer("a", 8)}
			a := newSite(n, "e1", table).ask(http.MethodPost, "load")
			is.NoErr(a.err)
			is.Equal(a.ran(), "may-have-run")
		})
	}
}

// Symptom: a planned stop cuts off requests.
// Sequence: an instance is told to leave while it serves a forwarded request,
// and its caller's connection is kept open.
// Cause: the stop waited for its own callers only, or closed their connections.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		busy := make(chan struct{})
		n.serve("w2", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			<-busy
			fmt.Fprint(rw, "gold")
		})})
		second := newSite(n, "e2", tableOf("e2", "w2"))
		table := tableOf("e1")
		table.Peers = []route.Peer{second.peer("a", 8)}
		first := newSite(n, "e1", table)
		answers := make(chan answer, 1)
		go func() { answers <- first.ask(http.MethodPost, "load") }()
		synctest.Wait()

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(fault.Is(second.gateway.Drain(short), fault.TimedOut))
		a := second.ask(http.MethodPost, "load")
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
