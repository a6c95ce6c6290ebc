package gateway

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"pgregory.net/rapid"
)

const scheduleCount = 2500

// injectedFault is a fault that a worker injects into one request.
type injectedFault int

const (
	noFault            injectedFault = iota
	refuseOverloaded                 // refuse as overloaded
	refuseStaleEpoch                 // refuse for a stale epoch
	closeBefore                      // close the connection without running the request
	closeAfter                       // run the request and close the connection
	truncate                         // run the request and send half of the response
	truncateChunks                   // the same with a chunked response
	wrongEcho                        // run the request and echo the id of another one
	runWithoutResponse               // run the request and don't respond
	noResponse                       // neither run the request nor respond
	silenceConns                     // silence the open connections to the worker
	refuseConns                      // refuse new connections from now on
	numInjectedFaults
)

// faultScript assigns the faults of one schedule to requests in the order of
// arrival.
type faultScript struct {
	mu        sync.Mutex
	remaining []injectedFault
	network   *network
	done      chan struct{} // closed when the schedule is over
}

func (s *faultScript) next() injectedFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.remaining) == 0 {
		return noFault
	}
	f := s.remaining[0]
	s.remaining = s.remaining[1:]
	return f
}

// handler returns the handler of the worker at address. It injects the next
// fault into each request and records the runs in w.
func (s *faultScript) handler(w *worker, address string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		f := s.next()
		switch f {
		case refuseOverloaded:
			refuseWith(fault.Overloaded)(rw, r)
			return
		case refuseStaleEpoch:
			refuseWith(fault.StaleEpoch)(rw, r)
			return
		case closeBefore:
			closeConnection(rw, r)
		case noResponse:
			<-s.done
			closeConnection(rw, r)
		case silenceConns:
			s.network.silence(address)
		case refuseConns:
			s.network.remove(address)
		}
		w.run(r)
		switch f {
		case closeAfter:
			closeConnection(rw, r)
		case truncate:
			rw.Header().Set("Content-Length", "8")
			fmt.Fprint(rw, "gold")
			closeConnection(rw, r)
		case truncateChunks:
			fmt.Fprint(rw, "gold")
			rw.(http.Flusher).Flush()
			closeConnection(rw, r)
		case wrongEcho:
			rw.Header().Set(HeaderRequest, "another")
		case runWithoutResponse:
			<-s.done
			closeConnection(rw, r)
		}
		fmt.Fprint(rw, "gold")
	}
}

// Guards against orders of faults in which a non-idempotent request runs twice,
// or a request that is refused as not run did run. Random requests arrive at
// two entry instances, with random faults at three workers.
func TestFaultSchedules(t *testing.T) {
	flag.Set("rapid.seed", "20")
	flag.Set("rapid.checks", fmt.Sprint(scheduleCount))
	flag.Set("rapid.nofailfile", "true")
	var counts struct{ schedules, requests, refused, broken, aborted, whole, retries, duplicates uint64 }
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			n := newNetwork(t)
			n.cleanup = rt.Cleanup
			w := newWorker(nil)
			w.running = rapid.SampledFrom([]string{"", "false"}).Draw(rt, "running")
			faults := rapid.SliceOfN(rapid.IntRange(0, int(numInjectedFaults)-1), 0, 12).Draw(rt, "faults")
			s := &faultScript{network: n, done: make(chan struct{})}
			for _, m := range faults {
				s.remaining = append(s.remaining, injectedFault(m))
			}
			rt.Cleanup(func() { close(s.done) })
			instances := scheduleInstances(n, s, w)
			requests := rapid.IntRange(1, 10).Draw(rt, "requests")
			var calls sync.WaitGroup
			for i := range requests {
				method := rapid.SampledFrom([]string{http.MethodPost, http.MethodPost, http.MethodGet, http.MethodPut}).Draw(rt, "method")
				instance := instances[rapid.IntRange(0, 1).Draw(rt, "site")]
				body := rapid.SampledFrom([]string{"", "load"}).Draw(rt, "body")
				var header []string
				if rapid.Bool().Draw(rt, "keyed") {
					header = []string{HeaderKey, fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "key"))}
				}
				calls.Go(func() {
					a := instance.send(method, body, header...)
					if problem := w.checkResponse(method, a); problem != "" {
						rt.Errorf("request %d: %s", i, problem)
					}
					w.mu.Lock()
					defer w.mu.Unlock()
					switch {
					case a.err != nil:
						counts.aborted++
					case a.ran() == "not-run":
						counts.refused++
					case a.fault() == "Duplicate":
						counts.duplicates++
					case a.fault() != "":
						counts.broken++
					default:
						counts.whole++
					}
				})
				time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 700, 6000}).Draw(rt, "pause")) * time.Millisecond)
			}
			calls.Wait()
			synctest.Wait()
			for _, instance := range instances {
				counts.retries += instance.gateway.Report().Retries
				if inFlight := instance.gateway.Report().InFlight; inFlight != 0 {
					rt.Errorf("%d requests left in flight", inFlight)
				}
			}
			w.checkRuns(rt)
			counts.schedules++
			counts.requests += uint64(requests)
		})
	})
	t.Logf("%+v", counts)
}

// scheduleInstances starts two entry instances that forward to each other. The
// first has two workers, the second has one.
func scheduleInstances(n *network, s *faultScript, w *worker) []*entryInstance {
	for _, address := range []string{"w1", "w2", "w3"} {
		scripted := *newWorker(nil)
		scripted.handler = s.handler(w, address)
		scripted.running = w.running
		n.serve(address, &http.Server{Handler: &scripted})
	}
	first, second := tableOf("e1", "w1", "w2"), tableOf("e2", "w3")
	instances := []*entryInstance{newInstance(n, "e1", first), newInstance(n, "e2", second)}
	first, second = tableOf("e1", "w1", "w2"), tableOf("e2", "w3")
	first.Peers = append(first.Peers, instances[1].peer("a", 8))
	second.Peers = append(second.Peers, instances[0].peer("b", 8))
	first.Backends["price"][0].Slots = 1 // so that the first instance forwards
	first.Backends["price"][1].Slots = 1
	instances[0].gateway.Publish(first)
	instances[1].gateway.Publish(second)
	return instances
}

// checkResponse compares a response with the runs of its request. It returns
// the violation, or an empty string.
func (w *worker) checkResponse(method string, a response) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.err != nil {
		return ""
	}
	id := a.header.Get(HeaderRequest)
	runs := w.runs[id]
	switch {
	case a.fault() == "" && a.body != "gold":
		return fmt.Sprintf("answer %q", a.body)
	case a.fault() == "" && runs == 0:
		return "answered without a run"
	case a.ran() == "not-run" && runs > 0:
		return fmt.Sprintf("%s says not-run after %d runs", a.fault(), runs)
	case a.ran() == "ran" && runs == 0:
		return a.fault() + " says ran without a run"
	case method == http.MethodPost && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	}
	return ""
}

// checkRuns checks the runs of the whole schedule.
func (w *worker) checkRuns(rt *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, runs := range w.nonIdempotentRuns {
		if runs > 1 {
			rt.Errorf("request %s ran %d times", id, runs)
		}
	}
	for key, runs := range w.keyRuns {
		if runs > 1 {
			rt.Errorf("key %s ran %d times", key, runs)
		}
	}
}
