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

// inBubble runs test in virtual time with s listening at "peer".
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

// Symptom: a record shows up in the stream after its writer had decided that
// it wasn't there.
// Sequence: an append is sent; the writer gives up waiting; it reads the
// stream, which lacks the record; the log service accepts it.
// Cause: an append without an answer is taken for one without effect.
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

		page, err = log.Read(t.Context(), stream, 0, 10, 10*time.Second) // a waiting read sees it come
		is.NoErr(err)
		is.Equal(len(page.Entries), 1)
		is.Equal(string(page.Entries[0].Data), "late")
	})
}

// Symptom: a record stands twice in the stream.
// Sequence: an append takes effect; the connection breaks before its answer.
// Cause: the client repeats a call that has an effect, or calls it not run.
func TestLostAnswer(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Lose: 1}})
		_, err := log.Append(t.Context(), stream, [][]byte{[]byte("once")})
		is.True(fault.Is(err, fault.MayHaveRun))
		_, err = log.Read(t.Context(), stream, 0, 10, 0)
		is.True(fault.Is(err, fault.Unavailable)) // a read has no effect that could have run

		s.(*logservice.Service).Set(logservice.Faults{})
		page, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 1)
	})
}

// Symptom: every call to a peer that is well runs into its deadline.
// Sequence: several connections are open and idle; something between the ends
// forgets them; calls go out on them one after the other.
// Cause: a call that timed out leaves the other idle connections in use.
func TestSilentConnection(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		warm := func() { openConnections(t, log) }

		warm()
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Silent: true}})
		start := time.Now()
		_, err := log.Read(t.Context(), stream, 0, 10, 0)
		is.NoErr(err)                        // repeated on a new connection
		is.Equal(time.Since(start), timeout) // after one deadline
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

// openConnections leaves several idle connections by calls at the same time.
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

// Symptom: a slow log service looks like one that lost its answers.
// Sequence: an append is sent; the writer gives up before the service takes
// it up.
// Cause: the stand-in carries out what nobody waits for any more.
func TestSlowAppend(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Slow: faults.Duration(5 * time.Second)}})
		_, err := log.Append(t.Context(), stream, [][]byte{{1}})
		is.True(fault.Is(err, fault.MayHaveRun)) // the client can't know better
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

// Symptom: a caller is told that work did not run, or when to come back, and
// neither is true.
// Sequence: a call fails before it is sent, is refused, or is lost.
// Cause: the three are reported alike.
func TestKinds(t *testing.T) {
	inBubble(t, newLogService, func(t *testing.T, s server, opts []client.Option) {
		is := is.New(t)
		_, err := client.NewLog("nobody", opts...).Append(t.Context(), stream, nil)
		is.True(fault.Is(err, fault.Unavailable)) // nobody listens
		log := client.NewLog("peer", opts...)
		s.(*logservice.Service).Set(logservice.Faults{Common: faults.Common{Down: true}})
		_, err = log.Append(t.Context(), stream, [][]byte{{1}})
		is.True(fault.Is(err, fault.Unavailable)) // the peer's own refusal
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

// Symptom: a broken answer ends the process or is taken for a good one.
// Sequence: the peer answers with something else than it should.
// Cause: bodies are read without a bound, or statuses without a look.
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
			for range wire.MaxPage>>20 + 1 {
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

// Symptom: each instance reads the whole list every second, a quarter of a
// megabyte at 1,100 workers; or goes on with an old list.
// Sequence: the list is read, read again, changed and read.
// Cause: what the reader has is sent again, or taken for new.
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
