package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/matryer/is"
)

func TestRequestEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		var seen *http.Request
		var body []byte
		n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			seen = r
			body, _ = io.ReadAll(r.Body)
			rw.Header().Set("X-Answer", "1")
			rw.WriteHeader(http.StatusCreated)
			fmt.Fprint(rw, "gold")
		})})
		s := newInstance(n, "e1", tableOf("e1", "w1"))

		req, err := http.NewRequest(http.MethodPost, "http://e1/services/price/scrap%2Fcopper?q=1", strings.NewReader("load"))
		is.NoErr(err)
		req.Header.Set(HeaderKey, "k1")
		req.Header.Set("X-Ask", "2")
		req.Header.Set("X-Hop", "3")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set(HeaderEpoch, "9")
		resp, err := s.client.Do(req)
		is.NoErr(err)
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(answer), "gold")
		is.Equal(resp.StatusCode, http.StatusCreated)
		is.Equal(resp.Header.Get("X-Answer"), "1")
		is.Equal(seen.RequestURI, "/services/price/scrap%2Fcopper?q=1")
		is.Equal(string(body), "load")
		is.Equal(seen.Header.Get(HeaderEpoch), "7")
		is.Equal(seen.Header.Get(HeaderDeadline), "10000")
		is.Equal(seen.Header.Get(HeaderKey), "k1")
		is.Equal(seen.Header.Get("X-Ask"), "2")
		is.Equal(seen.Header.Get("X-Hop"), "")
		is.Equal(seen.Header.Get(HeaderRequest), resp.Header.Get(HeaderRequest))
		is.Equal(s.gateway.Report().Answered, uint64(1))
		is.Equal(s.gateway.FreeSlots()["price"], 8)
		is.True(strings.Contains(s.gateway.Dump(), "service name=price window=1"))
	})
}

// Guards against buffering a streamed response: the worker sends each piece
// only after the caller has read the previous one.
func TestStreamIsPassedPieceByPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		read := make(chan struct{})
		n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			for i := range 3 {
				fmt.Fprint(rw, i)
				rw.(http.Flusher).Flush()
				<-read
			}
			time.Sleep(6 * time.Second) // longer than the silence timeout
			fmt.Fprint(rw, 3)
		})})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		resp, err := s.client.Get("http://e1/services/price")
		is.NoErr(err)
		defer resp.Body.Close()
		one := make([]byte, 1)
		for i := range 4 {
			_, err = io.ReadFull(resp.Body, one)
			is.NoErr(err)
			is.Equal(string(one), strconv.Itoa(i))
			if i < 3 {
				read <- struct{}{}
			}
		}
		_, err = resp.Body.Read(one)
		is.Equal(err, io.EOF)
	})
}

// Guards against buffering a large response for a slow caller: the worker sends
// without end, and the caller reads one byte and stops.
func TestSlowCallerSlowsTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		written := 0
		n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			piece := make([]byte, 1<<10)
			for {
				k, err := rw.Write(piece)
				if err != nil {
					return
				}
				written += k
			}
		})})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		resp, err := s.client.Get("http://e1/services/price")
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		is.NoErr(err)
		synctest.Wait()
		is.True(written < 4*copyBufferBytes)
		resp.Body.Close()
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		header []string
		body   string
		kind   fault.Kind
	}{
		{name: "unknown service", path: "/services/none", kind: fault.NotFound},
		{name: "no replica", path: "/services/empty/x", kind: fault.NoWorker},
		{name: "not a number", path: "/services/price", header: []string{HeaderDeadline, "soon"}, kind: fault.Invalid},
		{name: "deadline passed", path: "/services/price", header: []string{HeaderDeadline, "0"}, kind: fault.DeadlinePassed},
		{name: "body too large", path: "/services/price", body: strings.Repeat("x", 101), kind: fault.TooLarge},
		{name: "key too long", path: "/services/price", header: []string{HeaderKey, strings.Repeat("k", 257)}, kind: fault.TooLarge},
		{name: "refused connection", path: "/services/price", kind: fault.NoWorker},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := tableOf("e1", "w1")
				table.Services["empty"] = table.Services["price"]
				s := newInstance(newNetwork(t), "e1", table, WithMaxBodyBytes(100))
				req, err := http.NewRequest(http.MethodPost, "http://e1"+test.path, strings.NewReader(test.body))
				is.NoErr(err)
				for i := 0; i < len(test.header); i += 2 {
					req.Header.Set(test.header[i], test.header[i+1])
				}
				resp, err := s.client.Do(req)
				is.NoErr(err)
				defer resp.Body.Close()
				row := test.kind.Answer()
				is.Equal(resp.StatusCode, row.Status)
				is.Equal(resp.Header.Get(HeaderFault), test.kind.String())
				is.Equal(resp.Header.Get(HeaderRan), "not-run")
				if row.RetryAfter > 0 {
					is.Equal(resp.Header.Get("Retry-After"), strconv.FormatInt(ceilSeconds(row.RetryAfter), 10))
					is.Equal(resp.Header.Get(HeaderRetryAfter), formatMillis(row.RetryAfter))
				}
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(strings.Count(string(body), "\n"), 1)
				is.Equal(s.gateway.Report().Refused[test.kind], uint64(1))
			})
		})
	}
}

// Guards against sending to a worker that another instance may own: the lease
// lapses after one second, while the connection takes two seconds to open.
func TestLapsedLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(nil)
		w.handler = func(_ http.ResponseWriter, r *http.Request) { w.run(r) }
		n.serve("w1", &http.Server{Handler: w})
		table := tableOf("e1", "w1")
		table.Backends["price"][0].LeaseUntil = time.Now().Add(time.Second)
		s := newInstance(n, "e1", table, WithProbeAfter(time.Minute))
		resp, err := s.client.Get("http://e1/services/none") // opens the caller's connection
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		n.latency = 2 * time.Second
		a := s.send(http.MethodPost, "")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.StaleEpoch.String())
		is.Equal(a.ran(), "not-run")
		is.Equal(w.totalRuns(), 0)
		is.Equal(s.gateway.Report().Lapsed, uint64(1))
	})
}

// Guards against relaying another request's response: a worker's response
// echoes the id of another request.
func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		correct := false
		n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			if !correct {
				rw.Header().Set(HeaderRequest, "another")
				rw.WriteHeader(http.StatusNoContent)
				return
			}
			fmt.Fprint(rw, "gold")
		})})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		a := s.send(http.MethodPost, "")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.Broken.String())
		is.Equal(a.ran(), "may-have-run")
		synctest.Wait()
		is.Equal(s.gateway.Report().Dropped, uint64(1))
		is.Equal(s.gateway.Report().Connections["w1"], 0) // retired

		correct = true
		is.Equal(s.send(http.MethodPost, "").body, "gold")
	})
}

// Guards against taking a duplicated response for the response to the next
// request on a reused connection. The copy arrives at once or a second later.
func TestDoubledAnswer(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t)
			n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
				conn, _, _ := rw.(http.Hijacker).Hijack()
				id := r.Header.Get(HeaderRequest)
				once := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\n%s", HeaderRequest, id, r.Header.Get("X-Ask"))
				go func() {
					defer conn.Close()
					if gap == 0 {
						once += once
					}
					io.WriteString(conn, once)
					time.Sleep(gap)
					io.WriteString(conn, once)
				}()
			})})
			s := newInstance(n, "e1", tableOf("e1", "w1"))
			for i := range 4 {
				a := s.send(http.MethodPost, "", "X-Ask", fmt.Sprint(i))
				is.True(a.fault() == "Broken" || a.body == fmt.Sprint(i))
				time.Sleep(2 * gap)
			}
			if gap > 0 {
				is.Equal(s.gateway.Report().Dropped, uint64(4))
			}
		})
	}
}

// Guards against relaying a truncated response as complete: the worker's
// connection closes before the response ends.
func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	tests := []struct {
		name    string
		raw     string // after the header with the echo
		refused bool   // detected before any byte was relayed
	}{
		{name: "short", raw: "Content-Length: 9\r\n\r\ngold", refused: true},
		{name: "long", raw: "Content-Length: 99999\r\n\r\ngold"},
		{name: "chunk without end", raw: "Transfer-Encoding: chunked\r\n\r\n4\r\ngold\r\n"},
		{name: "half a chunk", raw: "Transfer-Encoding: chunked\r\n\r\n9\r\ngold"},
		{name: "no marked end", raw: "\r\ngold", refused: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t)
				n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
					conn, buffer, _ := rw.(http.Hijacker).Hijack()
					fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", HeaderRequest, r.Header.Get(HeaderRequest), test.raw)
					buffer.Flush()
					conn.Close()
				})})
				s := newInstance(n, "e1", tableOf("e1", "w1"))
				a := s.send(http.MethodPost, "")
				is.Equal(s.gateway.Report().Truncated, uint64(1))
				if !test.refused {
					is.True(a.err != nil)
					return
				}
				is.NoErr(a.err)
				is.Equal(a.fault(), fault.Truncated.String())
				is.Equal(a.ran(), "ran")
			})
		})
	}
}

// Guards against a worker that continues to run a request after its caller has
// disconnected.
func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		stopped := make(chan struct{})
		n.serve("w1", &http.Server{Handler: newWorker(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(stopped)
		})})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		a := s.sendWith(ctx, http.MethodPost, nil)
		is.True(a.err != nil)
		<-stopped
		is.Equal(time.Since(began), time.Second)
		synctest.Wait()
		is.Equal(s.gateway.Report().Abandoned, uint64(1))
		is.Equal(s.gateway.Report().InFlight, 0)
		is.Equal(s.gateway.FreeSlots()["price"], 8)
	})
}

// Guards against exhausting a worker's connections: more requests are in flight
// than connections are allowed.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		n.serve("w1", &http.Server{Handler: newWorker(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })})
		s := newInstance(n, "e1", tableOf("e1", "w1"), WithMaxConnections(4), WithProbeAfter(time.Minute))
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() { is.Equal(s.send(http.MethodPost, "").status, http.StatusOK) })
		}
		synctest.Wait()
		is.Equal(s.gateway.Report().Connections["w1"], 3) // the fourth is reserved for probes
		calls.Wait()
	})
}

// Guards against waiting past the deadline: the worker reports that it runs the
// request, and never responds.
func TestDeadlineEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		w.running = "true"
		n.serve("w1", &http.Server{Handler: w})
		s := newInstance(n, "e1", tableOf("e1", "w1"))
		began := time.Now()
		a := s.send(http.MethodPost, "", HeaderDeadline, "3000")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.TimedOut.String())
		is.Equal(a.ran(), "may-have-run")
		is.Equal(time.Since(began), 3*time.Second)
		is.Equal(s.gateway.Report().Silent, uint64(0))
	})
}
