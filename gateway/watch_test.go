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

// Symptom: requests end at their deadline although the worker is idle, while
// others at the same worker are answered.
// Sequence: a connection is used and kept; a device on the way forgets it;
// the next request is written to it and vanishes.
// Cause: only the deadline ended the wait, and the connection was never doubted.
func TestSilentConnection(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		running string // what the worker says of the request
		dead    bool   // it can't be reached at all
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
				s := newSite(n, "e1", tableOf("e1", "w1"))
				var warm sync.WaitGroup
				for range 20 {
					for range 3 {
						warm.Go(func() { s.ask(test.method, "") })
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
				var a answer
				for range 20 { // until w1 is chosen
					began = time.Now()
					a = s.ask(test.method, "")
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
				// The others that were open with it are not used any more.
				for range 4 {
					is.Equal(s.ask(test.method, "").status, http.StatusOK)
				}
				is.Equal(s.gateway.Report().Silent, uint64(1))
			})
		})
	}
}

// Symptom: long work is cut off and reported as broken.
// Sequence: a request takes long; its worker answers probes and runs it.
// Cause: a late answer was taken for a dead connection.
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
		s := newSite(n, "e1", tableOf("e1", "w1"))
		is.Equal(s.ask(http.MethodPost, "").body, "gold")
		is.True(w.probed.Load() > 0)
	})
}

// Symptom: a caller hangs in the middle of an answer.
// Sequence: the worker sends a part and its connection goes silent.
// Cause: the watch ended with the answer's header.
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
		s := newSite(n, "e1", tableOf("e1", "w1"))
		began := time.Now()
		a := s.ask(http.MethodPost, "")
		is.True(a.err != nil)
		is.True(time.Since(began) < 3*time.Second)
		is.Equal(s.gateway.Report().Truncated, uint64(1))
		is.Equal(s.gateway.Report().Refused[fault.Truncated], uint64(0))
	})
}
