package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/matryer/is"
)

// Guards against requests that wait until their deadline on a dead connection:
// a middlebox loses the state of kept connections, and the next request that is
// written to one of them vanishes.
func TestSilentConnection(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		running string // what the worker reports about the request
		dead    bool   // the worker is unreachable
		fault   string
		within  time.Duration
	}{
		{name: "worker doesn't know it", method: http.MethodPost, running: "false", fault: "Broken", within: 1100 * time.Millisecond},
		{name: "worker doesn't say", method: http.MethodPost, fault: "Broken", within: 5100 * time.Millisecond},
		{name: "worker doesn't say, idempotent", method: http.MethodGet, within: 2100 * time.Millisecond},
		{name: "worker unreachable", method: http.MethodPost, dead: true, fault: "Broken", within: 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				w := newWorker(nil)
				w.handler = func(rw http.ResponseWriter, r *http.Request) {
					w.run(r)
					time.Sleep(time.Millisecond)
				}
				w.running = test.running
				n.serve("w1", &http.Server{Handler: w})
				n.serve("w2", &http.Server{Handler: w})
				s := newInstance(n, "e1", tableOf("e1", "w1"))
				var warm sync.WaitGroup
				for range 20 {
					for range 3 {
						warm.Go(func() { s.send(test.method, "") })
					}
					warm.Wait()
				}
				is.Equal(s.gateway.Report().Connections["w1"], 3)
				n.silence("w1")
				if test.dead {
					n.remove("w1")
				} else {
					s.gateway.Publish(tableOf("e1", "w1", "w2"))
				}
				began := time.Now()
				var a response
				for range 20 { // until w1 is chosen
					began = time.Now()
					a = s.send(test.method, "")
					if s.gateway.Report().Silent > 0 {
						break
					}
				}
				is.Equal(s.gateway.Report().Silent, uint64(1))
				is.Equal(a.fault(), test.fault)
				is.True(time.Since(began) <= test.within)
				if test.fault != "" {
					is.Equal(a.ran(), "may-have-run")
				}
				if test.dead {
					return
				}
				// The other connections that were idle then are not used again.
				for range 4 {
					is.Equal(s.send(test.method, "").status, http.StatusOK)
				}
				is.Equal(s.gateway.Report().Silent, uint64(1))
			})
		})
	}
}

// Guards against taking a slow response for a dead connection: the worker
// answers probes and reports that it runs the request.
func TestSlowAnswerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(9 * time.Second)
			fmt.Fprint(rw, "gold")
		})
		w.running = "true"
		n.serve("w1", &http.Server{Handler: w})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		is.Equal(s.send(http.MethodPost, "").body, "gold")
		is.True(w.probeCount.Load() > 0)
	})
}

// Guards against a caller that hangs in the middle of a response: the worker's
// connection goes silent after a part of it.
func TestSilenceWithinAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(func(rw http.ResponseWriter, r *http.Request) {
			fmt.Fprint(rw, "go")
			rw.(http.Flusher).Flush()
			time.Sleep(time.Second)
			n.silence("w1")
			<-r.Context().Done()
		})
		w.running = "false"
		n.serve("w1", &http.Server{Handler: w})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		began := time.Now()
		a := s.send(http.MethodPost, "")
		is.True(a.err != nil)
		is.True(time.Since(began) < 3*time.Second)
		is.Equal(s.gateway.Report().Truncated, uint64(1))
		is.Equal(s.gateway.Report().Refused[fault.Truncated], uint64(0))
	})
}
