package worker_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/client"
	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/answer"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/memory"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// firstEpoch is the first epoch of a worker whose incarnation is zero.
var (
	firstEpoch  = provider.NextEpoch(0, 0)
	firstHeader = strconv.FormatUint(firstEpoch, 10)
)

func request(w *worker.Worker, epoch, target string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, target, strings.NewReader("lorry"))
	r.Header.Set(wire.HeaderEpoch, epoch)
	r.Header.Set(wire.HeaderRequest, "r1")
	r.Header.Set(wire.HeaderDeadline, "1000")
	recorder := httptest.NewRecorder()
	w.ServeHTTP(recorder, r)
	return recorder
}

func startReplica(t *testing.T, w *worker.Worker) {
	t.Helper()
	lease := acquire(t, w, "a", time.Minute, 0)
	replica := provider.TaskSpec{ID: "pricing/1", Kind: provider.KindService, Group: "yard"}
	is.New(t).NoErr(w.Start(lease.Epoch, replica))
}

// TestServiceRequests sends valid requests and requests with a wrong epoch, for
// an unknown service, without a free slot and with an invalid size. It guards
// against refused requests that are counted as run because they are refused
// after a slot was reserved, and against requests that run uncounted.
func TestServiceRequests(t *testing.T) {
	tests := []struct {
		name   string
		slots  int
		epoch  string
		target string
		fault  string
	}{
		{"answered", 1, firstHeader, "/services/pricing/weigh?nonce=n&size=2KB", ""},
		{"stale", 1, strconv.FormatUint(provider.NextEpoch(firstEpoch, 0), 10), "/services/pricing/weigh?nonce=n", "StaleEpoch"},
		{"no epoch", 1, "", "/services/pricing/weigh?nonce=n", "Invalid"},
		{"no replica", 1, firstHeader, "/services/style/check?nonce=n", "NotFound"},
		{"full", 0, firstHeader, "/services/pricing/weigh?nonce=n", "Overloaded"},
		{"too much", 1, firstHeader, "/services/pricing/weigh?nonce=n&size=65MB", "Invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := worker.New("w1", worker.WithClock(newClock().now), worker.WithSlots(tt.slots), worker.WithIncarnation(0))
			startReplica(t, w)
			got := request(w, tt.epoch, tt.target)
			is.Equal(got.Header().Get(wire.HeaderFault), tt.fault)
			ledger := w.Ledger()
			if tt.fault != "" {
				is.Equal(ledger.Nonces["n"]+ledger.Requests["r1"], 0)
				return
			}
			is.Equal(got.Header().Get(wire.HeaderRequest), "r1")
			is.NoErr(answer.Answer{Nonce: "n", Request: answer.Sum([]byte("lorry")), Size: 2048}.Check(got.Body.Bytes()))
			is.Equal(ledger.Nonces["n"]+ledger.Requests["r1"], 2)
		})
	}
}

func TestInterference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pairs := worker.Interference{"yard": {"batch": 3}}
		w := worker.New("w1", worker.WithInterference(pairs), worker.WithSlots(1), worker.WithIncarnation(0))
		startReplica(t, w)
		is.NoErr(w.Start(firstEpoch, batch("t", 1, "never")))
		took := func() time.Duration {
			start := time.Now()
			is.Equal(request(w, firstHeader, "/services/pricing/x?work=10ms").Code, http.StatusOK)
			return time.Since(start)
		}
		is.Equal(took(), 30*time.Millisecond)
		is.NoErr(w.Throttle(firstEpoch, "t", 50))
		is.Equal(took(), 20*time.Millisecond)

		go request(w, firstHeader, "/services/pricing/x?work=10s")
		synctest.Wait()
		is.Equal(request(w, firstHeader, "/services/pricing/x").Header().Get(wire.HeaderFault), "Overloaded")
		is.NoErr(w.Start(firstEpoch, provider.TaskSpec{ID: "pricing/2", Kind: provider.KindService, Slots: 5}))
		is.Equal(request(w, firstHeader, "/services/pricing/x").Header().Get(wire.HeaderFault), "Overloaded") // the worker's slots bound all replicas together
		is.NoErr(w.Stop(firstEpoch, "t", false))
		time.Sleep(30 * time.Second)
		is.Equal(took(), 10*time.Millisecond) // the slot is free again, and no batch task interferes
	})
}

// TestLateStart delays a start, by a pause of the worker or on its way, until
// the owner's lease has ended and the task may run elsewhere. It guards against
// checking the epoch when a request arrives instead of when it takes effect,
// which would run the task in two places.
func TestLateStart(t *testing.T) {
	for _, f := range []faults.Common{{Pause: faults.Duration(10 * time.Second)}, {Late: faults.Duration(10 * time.Second)}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := memory.New()
			w := worker.New("w1")
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan struct{})
			listener := network.Listen("w1")
			go func() {
				defer close(served)
				_ = w.Serve(ctx, listener)
			}()
			control := client.NewWorker("w1", client.WithDial(network.Dial), client.WithTimeout(time.Second))
			lease, err := control.Acquire(t.Context(), provider.LeaseRequest{Holder: "a", TTL: 6 * time.Second})
			is.NoErr(err)
			w.Set(worker.Faults{Common: f})
			err = control.Start(t.Context(), lease.Epoch, batch("t", 1, "never"))
			is.True(fault.Is(err, fault.MayHaveRun))
			time.Sleep(20 * time.Second)
			is.Equal(len(w.Report().Tasks), 0)
			is.Equal(len(w.Ledger().Tasks), 0)
			cancel()
			<-served
		})
	}
}

// TestDeath guards against a dead worker whose tasks keep running in the ledger
// or whose connections hang, because the stand-in closes only its listener.
func TestDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memory.New()
		w := worker.New("w1")
		listener := network.Listen("w1")
		died := make(chan error, 1)
		go func() { died <- w.Serve(t.Context(), listener) }()
		lease := acquire(t, w, "a", time.Minute, 0)
		is.NoErr(w.Start(lease.Epoch, batch("t", 1, "never")))
		time.Sleep(time.Second)
		w.Set(worker.Faults{Common: faults.Common{Dead: true}})
		is.Equal(<-died, faults.ErrDead)
		run := w.Ledger().Tasks[0].Runs[0]
		is.Equal(run.End.Sub(run.Start), time.Second)
		_, err := client.NewWorker("w1", client.WithDial(network.Dial)).Report(t.Context())
		is.True(fault.Is(err, fault.Unavailable))
	})
}

func TestFaultsAtRunTime(t *testing.T) {
	is := is.New(t)
	w := worker.New("w1", worker.WithClock(newClock().now), worker.WithIncarnation(0))
	put := func(body string) int {
		recorder := httptest.NewRecorder()
		w.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/faults", strings.NewReader(body)))
		return recorder.Code
	}
	is.Equal(put(`{"fail":true,"slow":"2s","lag":"3s"}`), http.StatusOK)
	want := worker.Faults{Fail: true, Lag: faults.Duration(3 * time.Second), Common: faults.Common{Slow: faults.Duration(2 * time.Second)}}
	is.Equal(w.Get(), want)
	for _, bad := range []string{`{"nonsense":1}`, `{"slow":"1h"}`, `{"lose":2}`, `{"slow":"2s"} x`, ``} {
		is.Equal(put(bad), http.StatusBadRequest)
		is.Equal(w.Get(), want) // unchanged
	}
	is.Equal(put(`{"down":true}`), http.StatusOK)
	is.Equal(request(w, firstHeader, "/services/pricing/x").Header().Get(wire.HeaderFault), "Unavailable")
	recorder := httptest.NewRecorder()
	w.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ledger", nil)) // exempt from faults
	var ledger worker.Ledger
	is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &ledger))
	is.Equal(ledger.Worker, "w1")
}
