package client_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/instancelist"
	"github.com/dogwoodladder/dogwoodladder/standin/logservice"
	"github.com/dogwoodladder/dogwoodladder/standin/memory"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const (
	timeout = time.Second
	stream  = "zone/a"
)

type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// inBubble runs test in a synctest bubble, with the server that s returns
// listening at "peer".
func inBubble(t *testing.T, s func() server, test func(t *testing.T, s server, opts []client.Option)) {
	synctest.Test(t, func(t *testing.T) {
		network := memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		running := s()
		listener := network.Listen("peer")
		go func() {
			defer close(served)
			_ = running.Serve(ctx, listener)
		}()
		test(t, running, []client.Option{client.WithDial(network.Dial), client.WithTimeout(timeout)})
		cancel()
		<-served
	})
}

func newLogService() server {
	return logservice.New()
}

// Guards against taking an append without a response for one without effect: the
// log service accepts the record after the writer has timed out and read the
// stream without finding it.
func TestLateAppend(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Late: faults.Duration(5 * time.Second)}})
		_, err := log.Append(t.Context(), stream, [][]byte{[]byte("late")})
		is.True(fault.Is(err, fault.MayHaveRun))
		page, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 0)

		page, err = log.Read(t.Context(), stream, 0, 10, 10*time.Second) // a waiting read returns it
		is.NoErr(err)
		is.Equal(len(page.Entries), 1)
		is.Equal(string(page.Entries[0].Data), "late")
	})
}

// Guards against a duplicated record: an append takes effect and its connection
// breaks before the response. The client must neither retry the call nor report
// it as not run.
func TestLostAnswer(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Lose: 1}})
		_, err := log.Append(t.Context(), stream, [][]byte{[]byte("once")})
		is.True(fault.Is(err, fault.MayHaveRun))
		_, err = log.Read(t.Context(), stream, 0, 10, 0)
		is.True(fault.Is(err, fault.Unavailable)) // a read has no effect

		s.(*logservice.Service).Set(logservice.Faults{})
		page, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 1)
	})
}

// Guards against calls to a healthy server that time out one after the other: a
// middlebox loses the state of several idle connections, and a call that times
// out on one of them must close the others.
func TestSilentConnection(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		warm := func() { openConnections(t, log) }

		warm()
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Silent: true}})
		start := time.Now()
		_, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)                        // retried on a new connection
		is.Equal(time.Since(start), timeout) // after one timeout
		_, err = log.Append(t.Context(), stream, [][]byte{[]byte("a")})
		is.NoErr(err)

		warm()
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Silent: true}})
		_, err = log.Append(t.Context(), stream, [][]byte{[]byte("b")})
		is.True(fault.Is(err, fault.MayHaveRun))
		first, err := log.Append(t.Context(), stream, [][]byte{[]byte("c")})
		is.NoErr(err)
		is.Equal(first, uint64(1)) // b never arrived
	})
}

// openConnections leaves several idle connections, by concurrent calls.
func openConnections(t *testing.T, log provider.Log) {
	page, err := log.Read(t.Context(), stream, 0, 1, 0)
	is.New(t).NoErr(err)
	var calls sync.WaitGroup
	for range client.DefaultConnections {
		calls.Go(func() {
			_, _ = log.Read(t.Context(), stream, page.Next, 1, time.Millisecond)
		})
	}
	calls.Wait()
}

// Guards against a stand-in that still processes an append after its client has
// disconnected: the writer times out before the slow service handles the append.
func TestSlowAppend(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Slow: faults.Duration(5 * time.Second)}})
		_, err := log.Append(t.Context(), stream, [][]byte{{1}})
		is.True(fault.Is(err, fault.MayHaveRun)) // the client can't know whether it ran
		s.(*logservice.Service).Set(logservice.Faults{})
		time.Sleep(10 * time.Second)
		page, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)
		is.Equal(page.Next, uint64(0))
	})
}

func TestReadAndExpiry(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		for range 3 {
			_, err := log.Append(t.Context(), stream, [][]byte{{0, 1}, {0xff}})
			is.NoErr(err)
		}
		page, err := log.Read(t.Context(), stream, 1, 2, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 2)
		is.Equal(page.Entries[0].Offset, uint64(1))
		is.Equal(page.Entries[0].Data, []byte{0xff})
		is.True(page.Entries[0].Time.Equal(time.Now()))

		s.(*logservice.Service).Set(logservice.Faults{Keep: 2})
		page, err = log.Read(t.Context(), stream, 1, 2, 0)
		is.True(fault.Is(err, fault.Expired))
		is.Equal(page.Oldest, uint64(4))
		is.Equal(page.Next, uint64(6))
	})
}

// Guards against wrong fault kinds of calls that fail before they are sent or
// that the server refuses.
func TestKinds(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		_, err := client.NewLog("nobody", opts...).Append(t.Context(), stream, nil)
		is.True(fault.Is(err, fault.Unavailable)) // nobody listens
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Down: true}})
		_, err = log.Append(t.Context(), stream, [][]byte{{1}})
		is.True(fault.Is(err, fault.Unavailable)) // refused by the server
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = log.Append(ended, stream, [][]byte{{1}})
		is.True(fault.Is(err, fault.DeadlinePassed))
		_, err = log.Append(t.Context(), "../x", [][]byte{{1}})
		is.True(fault.Is(err, fault.Invalid))
	})
}

func TestWorkerRefusal(t *testing.T) {
	newWorker := func() server { return worker.New("w1") }
	inBubble(t, newWorker, func(t *testing.T, _ server, opts []client.Option) {
		is := is.New(t)
		w := client.NewWorker("peer", opts...)
		_, err := w.Acquire(t.Context(), provider.LeaseRequest{Holder: "a", TTL: 1500 * time.Millisecond})
		is.NoErr(err)
		_, err = w.Acquire(t.Context(), provider.LeaseRequest{Holder: "b", TTL: time.Second})
		is.True(fault.Is(err, fault.Conflict))
		is.Equal(err.(*fault.Error).RetryAfter, 1500*time.Millisecond) // not rounded to seconds
		is.True(fault.Is(w.Stop(t.Context(), 9, "some/task", false), fault.StaleEpoch))
	})
}

// Guards against invalid responses that exhaust the memory or are taken for
// valid ones: the server sends an unexpected status, a redirect, garbage, an
// endless or a truncated body.
func TestBadAnswers(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"status", func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = w.Write(goodBody(r))
		}},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusFound) }},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff}) }},
		{"endless", func(w http.ResponseWriter, _ *http.Request) {
			chunk := []byte(strings.Repeat(" ", 1<<20))
			for range wire.MaxPageBytes>>20 + 1 {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		}},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"first":1}`))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serve := func() server { return handlerServer{tt.answer} }
			inBubble(t, serve, func(t *testing.T, _ server, opts []client.Option) {
				is := is.New(t)
				log := client.NewLog("peer", opts...)
				_, err := log.Append(t.Context(), stream, [][]byte{{1}})
				is.True(fault.Is(err, fault.MayHaveRun))
				_, err = log.Read(t.Context(), stream, 0, 1, 0)
				is.True(fault.Is(err, fault.Unavailable))
			})
		})
	}
}

func goodBody(r *http.Request) []byte {
	if r.Method == http.MethodPost {
		return []byte(`{"first":1}`)
	}
	body, _ := wire.EncodePage(provider.Page{})
	return body
}

type handlerServer struct {
	handler http.Handler
}

func (h handlerServer) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: h.handler}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	return s.Serve(l)
}

// Guards against transferring an unchanged list, a quarter of a megabyte at
// 1,100 workers that each instance reads every second, and against using an
// outdated one.
func TestListIsSentWhenItChanged(t *testing.T) {
	is := is.New(t)
	instances := instancelist.New()
	sizes := []int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		instances.ServeHTTP(recorder, r)
		sizes = append(sizes, recorder.Body.Len())
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	list := client.NewList(server.Listener.Addr().String())
	for i, want := range []int{1, 1, 2} {
		if want > len(instances.Instances()) {
			is.NoErr(instances.Put(provider.Instance{ID: fmt.Sprint("w", i), Role: provider.RoleWorker, Status: provider.StatusLive, Address: "127.0.0.1:1", AvailabilityZone: "a"}))
		}
		got, err := list.Instances(t.Context())
		is.NoErr(err)
		is.Equal(len(got), want)
	}
	is.Equal(len(sizes), 3)
	is.True(sizes[0] > 0)
	is.Equal(sizes[1], 0)
	is.True(sizes[2] > sizes[0])
}

// Guards against one entry of the instance list that makes the whole list unreadable.
func TestListWithInvalidEntry(t *testing.T) {
	const first = `{"id":"w1","role":"worker","zone":"a","address":"127.0.0.1:1","status":"live","capacity":{"processors":1000,"memory":100,"accelerators":0},"slots":4}`
	last := strings.Replace(first, "w1", "w2", 1)
	deep := strings.Repeat("[", 1<<17) + strings.Repeat("]", 1<<17)
	tests := []struct {
		name, entry string
	}{
		{"no object", `"w3"`},
		{"null", `null`},
		{"no ID", `{"role":"worker","address":"127.0.0.1:1"}`},
		{"a field of another type", `{"id":"w3","zone":7}`},
		{"a number beyond its type", `{"id":"w3","slots":1e400}`},
		{"fewer than no slots", `{"id":"w3","slots":-1}`},
		{"a capacity whose sums overflow", `{"id":"w3","capacity":{"processors":9223372036854775807}}`},
		{"a negative capacity", `{"id":"w3","capacity":{"memory":-1}}`},
		{"deeply nested", `{"id":"w3","capacity":` + deep + `}`},
		{"deeply nested alone", deep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, "[%s,%s,%s]", first, tt.entry, last)
			}))
			defer server.Close()
			logs, entries := observer.New(zap.WarnLevel)
			list := client.NewList(server.Listener.Addr().String(), client.WithLogger(zap.New(logs)))
			for range 2 {
				got, err := list.Instances(t.Context())
				is.NoErr(err)
				var ids []string
				for _, i := range got {
					ids = append(ids, i.ID)
				}
				is.Equal(ids, []string{"w1", "w2"})
			}
			is.Equal(entries.Len(), 1)
		})
	}
}
