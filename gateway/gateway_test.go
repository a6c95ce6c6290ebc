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
		s := newSite(n, "e1", tableOf("e1", "w1"))

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
		is.Equal(s.gateway.Free()["price"], 8)
		is.True(strings.Contains(s.gateway.Dump(), "service name=price window=1"))
	})
}

// The caller reads each piece before the worker sends the next, so an answer
// that was collected first would never end.
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
			time.Sleep(6 * time.Second) // no reason to doubt the connection
			fmt.Fprint(rw, 3)
		})})
		s := newSite(n, "e1", tableOf("e1", "w1"))
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

// Symptom: memory grows with the size of an answer that a caller takes slowly.
// Sequence: the worker sends without end, the caller reads one byte and stops.
// Cause: a copy loop that reads on while its writes wait.
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
		s := newSite(n, "e1", tableOf("e1", "w1"))
		resp, err := s.client.Get("http://e1/services/price")
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		is.NoErr(err)
		synctest.Wait()
		is.True(written < 4*copyBytes)
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
				s := newSite(newNetwork(t), "e1", table, WithBodyBytes(100))
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
					is.Equal(resp.Header.Get("Retry-After"), strconv.FormatInt(seconds(row.RetryAfter), 10))
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

// Symptom: a request runs on a worker that another instance owns.
// Sequence: the worker is chosen; the connection takes two seconds to open;
// the lease lapses after one.
// Cause: the lease was checked when the worker was chosen only.
func TestLapsedLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(nil)
		w.handler = func(_ http.ResponseWriter, r *http.Request) { w.run(r) }
		n.serve("w1", &http.Server{Handler: w})
		table := tableOf("e1", "w1")
		table.Backends["price"][0].Until = time.Now().Add(time.Second)
		s := newSite(n, "e1", table, WithLate(time.Minute))
		resp, err := s.client.Get("http://e1/services/none") // opens the caller's connection
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		n.latency = 2 * time.Second
		a := s.ask(http.MethodPost, "")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.StaleEpoch.String())
		is.Equal(a.ran(), "not-run")
		is.Equal(w.total(), 0)
		is.Equal(s.gateway.Report().Lapsed, uint64(1))
	})
}

// Symptom: a caller gets the price of someone else's load.
// Sequence: a worker answers on a connection with the echo of another request.
// Cause: an answer was bound to its request by the order on the connection.
func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		right := false
		n.serve("w1", &http.Server{Handler: newWorker(func(rw http.ResponseWriter, r *http.Request) {
			if !right {
				rw.Header().Set(HeaderRequest, "another")
				rw.WriteHeader(http.StatusNoContent)
				return
			}
			fmt.Fprint(rw, "gold")
		})})
		s := newSite(n, "e1", tableOf("e1", "w1"))
		a := s.ask(http.MethodPost, "")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.Broken.String())
		is.Equal(a.ran(), "may-have-run")
		synctest.Wait()
		is.Equal(s.gateway.Report().Dropped, uint64(1))
		is.Equal(s.gateway.Report().Connections["w1"], 0) // retired

		right = true
		is.Equal(s.ask(http.MethodPost, "").body, "gold")
	})
}

// Symptom: a caller gets the answer to the request before its own.
// Sequence: a worker sends an answer twice; the connection is used again.
// Cause: the second copy was taken for the next request's answer.
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
			s := newSite(n, "e1", tableOf("e1", "w1"))
			for i := range 4 {
				a := s.ask(http.MethodPost, "", "X-Ask", fmt.Sprint(i))
				is.True(a.fault() == "Broken" || a.body == fmt.Sprint(i))
				time.Sleep(2 * gap)
			}
			if gap > 0 {
				is.Equal(s.gateway.Report().Dropped, uint64(4))
			}
		})
	}
}

// Symptom: a caller takes the first half of an answer for all of it.
// Sequence: the worker's connection ends before the answer does.
// Cause: the caller's answer was ended properly all the same.
func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	tests := []struct {
		name    string
		raw     string // after the header with the echo
		refused bool   // known before any byte was passed
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
				s := newSite(n, "e1", tableOf("e1", "w1"))
				a := s.ask(http.MethodPost, "")
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

// Symptom: a worker goes on with work that nobody waits for.
// Sequence: the caller closes its connection while the worker runs.
// Cause: the request to the worker outlived the caller's.
func TestCallerGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		stopped := make(chan struct{})
		n.serve("w1", &http.Server{Handler: newWorker(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(stopped)
		})})
		s := newSite(n, "e1", tableOf("e1", "w1"))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		a := s.askWith(ctx, http.MethodPost, nil)
		is.True(a.err != nil)
		<-stopped
		is.Equal(time.Since(began), time.Second)
		synctest.Wait()
		is.Equal(s.gateway.Report().Abandoned, uint64(1))
		is.Equal(s.gateway.Report().InFlight, 0)
		is.Equal(s.gateway.Free()["price"], 8)
	})
}

// Symptom: a worker refuses connections.
// Sequence: an instance sends it more requests at a time than it takes connections.
// Cause: the number of connections followed the number of requests.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		n.serve("w1", &http.Server{Handler: newWorker(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })})
		s := newSite(n, "e1", tableOf("e1", "w1"), WithConnections(4), WithLate(time.Minute))
		var asked sync.WaitGroup
		for range 8 {
			asked.Go(func() { is.Equal(s.ask(http.MethodPost, "").status, http.StatusOK) })
		}
		synctest.Wait()
		is.Equal(s.gateway.Report().Connections["w1"], 3) // and one for probes
		asked.Wait()
	})
}

// Symptom: a caller waits past its deadline.
// Sequence: the worker says that it runs the request, and never answers.
// Cause: nothing ended the wait.
func TestDeadlineEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		w := newWorker(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		w.running = "true"
		n.serve("w1", &http.Server{Handler: w})
		s := newSite(n, "e1", tableOf("e1", "w1"))
		began := time.Now()
		a := s.ask(http.MethodPost, "", HeaderDeadline, "3000")
		is.NoErr(a.err)
		is.Equal(a.fault(), fault.TimedOut.String())
		is.Equal(a.ran(), "may-have-run")
		is.Equal(time.Since(began), 3*time.Second)
		is.Equal(s.gateway.Report().Silent, uint64(0))
	})
}
