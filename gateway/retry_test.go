package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/matryer/is"
)

// Guards against hidden retries by net/http's Transport. A worker runs the
// second request on a kept connection and closes it without a response, as a
// keep-alive timeout at the wrong moment would. Transport then resends requests
// that it considers replayable, such as bodiless ones with an Idempotency-Key.
func TestReusedConnectionThatDies(t *testing.T) {
	tests := []struct {
		name   string
		method string
		body   string
		header []string
		runs   int
		fault  string
	}{
		{name: "bodiless", method: http.MethodPost, runs: 1, fault: "Broken"},
		{name: "bodiless with key", method: http.MethodPost, header: []string{HeaderKey, "k"}, runs: 1, fault: "Broken"},
		{name: "bodiless with other key", method: http.MethodPost, header: []string{"X-Idempotency-Key", "k"}, runs: 1, fault: "Broken"},
		{name: "body", method: http.MethodPost, body: "load", runs: 1, fault: "Broken"},
		{name: "body with key", method: http.MethodPost, body: "load", header: []string{HeaderKey, "k"}, runs: 1, fault: "Broken"},
		{name: "patch", method: http.MethodPatch, runs: 1, fault: "Broken"},
		{name: "idempotent", method: http.MethodGet, runs: 2},
		{name: "idempotent with body", method: http.MethodPut, body: "load", runs: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				closing := false
				w := newWorker(nil)
				w.handler = func(rw http.ResponseWriter, r *http.Request) {
					w.run(r)
					if closing {
						closing = false
						closeConnection(rw, r)
					}
				}
				n.serve("w1", &http.Server{Handler: w})
				s := newInstance(n, "e1", tableOf("e1", "w1"))
				is.Equal(s.send(test.method, test.body).status, http.StatusOK)
				before := w.totalRuns()
				closing = true
				a := s.send(test.method, test.body, test.header...)
				is.NoErr(a.err)
				is.Equal(a.fault(), test.fault)
				is.Equal(w.totalRuns()-before, test.runs)
				is.Equal(s.gateway.Report().Retries, uint64(test.runs-1))
			})
		})
	}
}

// Guards against relaying a refusal although the request did not run and
// another replica can serve it. The first worker refuses in each possible way.
func TestNotRunIsTriedElsewhere(t *testing.T) {
	refusals := []http.HandlerFunc{
		nil, // the connection is refused
		refuseWith(fault.StaleEpoch),
		refuseWith(fault.Overloaded),
		refuseWith(fault.NotFound),
	}
	for _, refusal := range refusals {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t)
			good := newWorker(nil)
			good.handler = func(rw http.ResponseWriter, r *http.Request) {
				good.run(r)
				body, _ := io.ReadAll(r.Body)
				rw.Write(body)
			}
			n.serve("w2", &http.Server{Handler: good})
			refused := 0
			if refusal != nil {
				n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
					refused++
					refusal(rw, r)
				})})
			}
			s := newInstance(n, "e1", tableOf("e1", "w1"))
			a := s.send(http.MethodPost, "load")
			is.NoErr(a.err)
			is.Equal(a.ran(), "not-run")
			is.True(refused <= 1) // not retried at the same worker

			s.gateway.Publish(tableOf("e1", "w1", "w2"))
			for range 4 {
				a = s.send(http.MethodPost, "load")
				if a.fault() == "" {
					is.Equal(a.body, "load")
				}
			}
			is.Equal(good.totalRuns(), 4)
		})
	}
}

func refuseWith(kind fault.Kind) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(HeaderFault, kind.String())
		rw.WriteHeader(kind.Answer().Status)
	}
}

// Guards against reporting "not run" for a request that may have run: the
// connection fails during the first attempt, and the second worker refuses.
func TestRefusalAfterALostAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		tries := 0
		w := newWorker(func(rw http.ResponseWriter, r *http.Request) {
			tries++
			if tries == 1 {
				closeConnection(rw, r)
			}
			refuseWith(fault.Overloaded)(rw, r)
		})
		n.serve("w1", &http.Server{Handler: w})
		n.serve("w2", &http.Server{Handler: w})
		s := newInstance(n, "e1", tableOf("e1", "w1", "w2"))
		a := s.send(http.MethodGet, "")
		is.NoErr(a.err)
		is.Equal(tries, 2)
		is.Equal(a.fault(), fault.MayHaveRun.String())
		is.Equal(a.ran(), "may-have-run")
	})
}

// Guards against sending the rest of a streamed body to a second worker: the
// first worker fails in the middle of a body that is too long to buffer.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		tries := 0
		w := newWorker(func(rw http.ResponseWriter, r *http.Request) {
			tries++
			io.CopyN(io.Discard, r.Body, 4)
			closeConnection(rw, r)
		})
		n.serve("w1", &http.Server{Handler: w})
		n.serve("w2", &http.Server{Handler: w})
		s := newInstance(n, "e1", tableOf("e1", "w1", "w2"), WithMaxReplayBytes(8))
		a := s.send(http.MethodPut, fmt.Sprintf("%4096d", 1))
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.Broken.String())
		is.Equal(tries, 1)
	})
}

// Guards against retries that multiply the load during an outage: every attempt
// fails.
func TestRetriesKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		tries := 0
		w := newWorker(func(rw http.ResponseWriter, r *http.Request) {
			tries++
			closeConnection(rw, r)
		})
		for _, address := range []string{"w1", "w2", "w3"} {
			n.serve(address, &http.Server{Handler: w})
		}
		s := newInstance(n, "e1", tableOf("e1", "w1", "w2", "w3"))
		const requestCount = 40
		for range requestCount {
			s.send(http.MethodGet, "")
		}
		is.True(tries <= requestCount+requestCount/10+1)
		is.True(s.gateway.Report().Unbudgeted > 0)
	})
}
