package caller_test

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/caller"
	"github.com/dogwoodladder/dogwoodladder/standin/faults"
	"github.com/dogwoodladder/dogwoodladder/standin/memory"
	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

const runTime = 5 * time.Second

// entry is an entry instance that forwards each request to one worker. before,
// if set, runs first and may answer the request itself.
type entry struct {
	worker *worker.Worker
	before func(w http.ResponseWriter, r *http.Request) (done bool)
}

func (e entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Header.Set(wire.HeaderEpoch, strconv.FormatUint(provider.NextEpoch(0, 0), 10))
	if e.before != nil && e.before(w, r) {
		return
	}
	e.worker.ServeHTTP(w, r)
}

// runLoad sends load to an entry instance in virtual time.
func runLoad(t *testing.T, f worker.Faults, slots int, before func(w *worker.Worker) func(http.ResponseWriter, *http.Request) bool) (caller.Summary, worker.Ledger, string) {
	var summary caller.Summary
	var ledger worker.Ledger
	var output bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := worker.New("w1", worker.WithSlots(slots), worker.WithIncarnation(0))
		lease, err := w.Acquire(provider.LeaseRequest{Holder: "a", TTL: time.Hour})
		is.NoErr(err)
		is.NoErr(w.Start(lease.Epoch, provider.TaskSpec{ID: "pricing/1", Kind: provider.KindService}))
		w.Set(f)
		e := entry{worker: w}
		if before != nil {
			e.before = before(w)
		}
		network := memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		injector := faults.New(faults.Common{}, time.Now)
		served := make(chan struct{})
		listener := network.Listen("entry")
		go func() {
			defer close(served)
			_ = injector.Serve(ctx, listener, e)
		}()
		c, err := caller.New([]string{"entry"}, "pricing", caller.WithDial(network.Dial), caller.WithRate(50),
			caller.WithWrites(0.5), caller.WithSize(300, 1000), caller.WithOutput(&output, time.Second))
		is.NoErr(err)
		running, stop := context.WithTimeout(t.Context(), runTime)
		defer stop()
		summary = c.Run(running)
		ledger = w.Ledger()
		cancel()
		<-served
	})
	return summary, ledger, output.String()
}

func TestRun(t *testing.T) {
	is := is.New(t)
	summary, ledger, output := runLoad(t, worker.Faults{}, 8, nil)
	is.True(summary.Outcomes[caller.Answered] > 200)
	is.Equal(len(summary.Outcomes), 1)                                // only answers
	is.Equal(summary.P99.Round(time.Millisecond), 5*time.Millisecond) // only the work takes virtual time
	is.Equal(caller.Audit(summary.Tries, ledger.Nonces), nil)
	is.Equal(strings.Count(output, "event=interval"), 5)
	is.Equal(strings.Count(output, "event=summary"), 1)
}

// TestRetries loses answers after the work ran, and refuses requests for lack
// of a slot. It guards against a caller that repeats a non-idempotent request
// that may have run, or that doesn't retry a refused one, which would make the
// audit report false violations or miss real ones.
func TestRetries(t *testing.T) {
	is := is.New(t)
	lost := worker.Faults{Common: faults.Common{Lose: 0.2}}
	summary, ledger, _ := runLoad(t, lost, 8, nil)
	is.True(summary.Outcomes[caller.MayHaveRun] > 10)
	is.True(len(summary.Tries) > summary.Outcomes[caller.Answered]+summary.Outcomes[caller.MayHaveRun]) // the idempotent ones
	is.Equal(caller.Audit(summary.Tries, ledger.Nonces), nil)

	summary, ledger, _ = runLoad(t, worker.Faults{}, 1, nil)
	is.True(summary.Kinds["Overloaded"] > 10)
	is.True(summary.Outcomes[caller.Refused] < summary.Kinds["Overloaded"]/2)
	is.Equal(caller.Audit(summary.Tries, ledger.Nonces), nil)
}

// TestAuditFinds checks that the audit detects an entry instance that reports
// "not run" for a request that ran, sends a write twice, or answers with another
// request's body.
func TestAuditFinds(t *testing.T) {
	tests := []struct {
		name   string
		want   string
		before func(w *worker.Worker) func(http.ResponseWriter, *http.Request) bool
	}{
		{"false refusal", "told not run", func(w *worker.Worker) func(http.ResponseWriter, *http.Request) bool {
			return func(rw http.ResponseWriter, r *http.Request) bool {
				w.ServeHTTP(discardWriter{}, r)
				wire.Refuse(rw, fault.New(fault.Overloaded, "a lie"))
				return true
			}
		}},
		{"sent twice", "not idempotent", func(w *worker.Worker) func(http.ResponseWriter, *http.Request) bool {
			return func(_ http.ResponseWriter, r *http.Request) bool {
				again := r.Clone(r.Context())
				again.Body = http.NoBody
				w.ServeHTTP(discardWriter{}, again)
				return false
			}
		}},
		{"mixed up", "another request's answer", func(*worker.Worker) func(http.ResponseWriter, *http.Request) bool {
			return func(_ http.ResponseWriter, r *http.Request) bool {
				r.URL.RawQuery = strings.Replace(r.URL.RawQuery, "nonce=", "nonce=x", 1)
				return false
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			summary, ledger, _ := runLoad(t, worker.Faults{}, 8, tt.before)
			broken := caller.Audit(summary.Tries, ledger.Nonces)
			is.True(len(broken) > 50)
			is.True(strings.Contains(strings.Join(broken, "\n"), tt.want))
		})
	}
}

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return make(http.Header) }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
