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

const schedules = 2500

// mishap is what happens to one request at a worker.
type mishap int

const (
	none           mishap = iota
	refuse                // refused by the worker
	stale                 // refused for its epoch
	closeBefore           // the connection is closed, nothing ran
	closeAfter            // it ran, and the connection is closed
	truncate              // it ran, and half of the answer is sent
	truncateChunks        // the same without a length
	wrongEcho             // it ran, and the answer is another request's
	silent                // it ran, and no answer comes
	silentBefore          // nothing ran, and no answer comes
	silenceLinks          // the open connections to the worker go silent
	refuseConnects        // new connections are refused from now on
	mishaps
)

// script hands out the mishaps of one schedule, in the order of arrival.
type script struct {
	mu      sync.Mutex
	left    []mishap
	network *network
	idle    chan struct{} // closed when the schedule is over
}

func (s *script) next() mishap {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.left) == 0 {
		return none
	}
	m := s.left[0]
	s.left = s.left[1:]
	return m
}

// handler lets the next mishap happen.
func (s *script) handler(w *worker, address string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		m := s.next()
		switch m {
		case refuse:
			refuseAs(fault.Overloaded)(rw, r)
			return
		case stale:
			refuseAs(fault.StaleEpoch)(rw, r)
			return
		case closeBefore:
			cut(rw, r)
		case silentBefore:
			<-s.idle
			cut(rw, r)
		case silenceLinks:
			s.network.silence(address)
		case refuseConnects:
			s.network.remove(address)
		}
		w.run(r)
		switch m {
		case closeAfter:
			cut(rw, r)
		case truncate:
			rw.Header().Set("Content-Length", "8")
			fmt.Fprint(rw, "gold")
			cut(rw, r)
		case truncateChunks:
			fmt.Fprint(rw, "gold")
			rw.(http.Flusher).Flush()
			cut(rw, r)
		case wrongEcho:
			rw.Header().Set(HeaderRequest, "another")
		case silent:
			<-s.idle
			cut(rw, r)
		}
		fmt.Fprint(rw, "gold")
	}
}

// Symptom: a request that must run at most once ran twice, or one that was
// refused as not run did run.
// Sequence: any of requests at two entry instances, with any mishaps at three
// workers, at any times.
// Cause: a rule of repeats that some order of faults breaks.
func TestFaultSchedules(t *testing.T) {
	flag.Set("rapid.seed", "20")
	flag.Set("rapid.checks", fmt.Sprint(schedules))
	flag.Set("rapid.nofailfile", "true")
	var counts struct{ schedules, requests, refused, broken, aborted, whole, retries, duplicates uint64 }
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			n := newNetwork(t)
			n.quit = rt.Cleanup
			w := newWorker(nil)
			w.running = rapid.SampledFrom([]string{"", "false"}).Draw(rt, "running")
			drawn := rapid.SliceOfN(rapid.IntRange(0, int(mishaps)-1), 0, 12).Draw(rt, "mishaps")
			s := &script{network: n, idle: make(chan struct{})}
			for _, m := range drawn {
				s.left = append(s.left, mishap(m))
			}
			rt.Cleanup(func() { close(s.idle) })
			sites := scheduleSites(n, s, w)
			requests := rapid.IntRange(1, 10).Draw(rt, "requests")
			var asking sync.WaitGroup
			for i := range requests {
				method := rapid.SampledFrom([]string{http.MethodPost, http.MethodPost, http.MethodGet, http.MethodPut}).Draw(rt, "method")
				at := sites[rapid.IntRange(0, 1).Draw(rt, "site")]
				body := rapid.SampledFrom([]string{"", "load"}).Draw(rt, "body")
				var header []string
				if rapid.Bool().Draw(rt, "keyed") {
					header = []string{HeaderKey, fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "key"))}
				}
				asking.Go(func() {
					a := at.ask(method, body, header...)
					if problem := w.judge(method, a); problem != "" {
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
			asking.Wait()
			synctest.Wait()
			for _, site := range sites {
				counts.retries += site.gateway.Report().Retries
				if left := site.gateway.Report().InFlight; left != 0 {
					rt.Errorf("%d requests left in flight", left)
				}
			}
			w.judgeAll(rt)
			counts.schedules++
			counts.requests += uint64(requests)
		})
	})
	t.Logf("%+v", counts)
}

// scheduleSites starts two entry instances. The first has two workers and
// the second one; each forwards to the other.
func scheduleSites(n *network, s *script, w *worker) []*site {
	for _, address := range []string{"w1", "w2", "w3"} {
		scripted := *newWorker(nil)
		scripted.handler = s.handler(w, address)
		scripted.running = w.running
		n.serve(address, &http.Server{Handler: &scripted})
	}
	first, second := tableOf("e1", "w1", "w2"), tableOf("e2", "w3")
	sites := []*site{newSite(n, "e1", first), newSite(n, "e2", second)}
	first, second = tableOf("e1", "w1", "w2"), tableOf("e2", "w3")
	first.Peers = append(first.Peers, sites[1].peer("a", 8))
	second.Peers = append(second.Peers, sites[0].peer("b", 8))
	first.Backends["price"][0].Slots = 1 // soon full, so that it forwards
	first.Backends["price"][1].Slots = 1
	sites[0].gateway.Publish(first)
	sites[1].gateway.Publish(second)
	return sites
}

// judge compares an answer with what ran.
func (w *worker) judge(method string, a answer) string {
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

// judgeAll checks what ran over the whole schedule.
func (w *worker) judgeAll(rt *rapid.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, runs := range w.posts {
		if runs > 1 {
			rt.Errorf("request %s ran %d times", id, runs)
		}
	}
	for key, runs := range w.keys {
		if runs > 1 {
			rt.Errorf("key %s ran %d times", key, runs)
		}
	}
}
