package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Wrap returns a handler that serves /faults and applies the common faults to
// all other requests before it passes them to next. Requests to the exempt paths
// are passed on without faults.
func (i *Injector[F]) Wrap(next http.Handler, exempt ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == faultsPath:
			i.serveFaults(w, r)
		case slices.Contains(exempt, r.URL.Path):
			next.ServeHTTP(w, r)
		default:
			i.serve(w, r, next)
		}
	})
}

func (i *Injector[F]) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	common := i.Get().Shared()
	if common.Down {
		wire.Refuse(w, fault.New(fault.Unavailable, "stand-in is down"))
		return
	}
	if err := readBody(w, r); err != nil {
		wire.Refuse(w, err)
		return
	}
	r, err := i.delay(r, common)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if i.drawsLoss(common.Lose) {
		next.ServeHTTP(&discard{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// delay waits for the times that the faults set, and returns the request to
// execute afterwards.
func (i *Injector[F]) delay(r *http.Request, common Common) (*http.Request, error) {
	if common.Slow > 0 {
		if err := sleep(r.Context(), time.Duration(common.Slow)); err != nil {
			return nil, err
		}
	}
	wait := max(i.remainingPause(), 0)
	if r.Method != http.MethodGet {
		wait += time.Duration(common.Late)
	}
	if wait == 0 {
		return r, nil
	}
	if err := sleep(serverContext(r), wait); err != nil {
		return nil, err
	}
	return r.WithContext(context.WithoutCancel(r.Context())), nil // executed even if the sender has disconnected
}

// readBody reads the whole body of the request before any delay. net/http
// detects a disconnected sender only after the body is read; otherwise a slow
// stand-in would execute requests whose senders have given up.
func readBody(w http.ResponseWriter, r *http.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxAppendBytes))
	if err != nil {
		return wire.BodyError(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decode[F FaultSet](body io.Reader) (F, error) {
	var f F
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, fault.Wrap(fault.Invalid, err, "decode faults")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return f, fault.New(fault.Invalid, "faults: more than one value")
	}
	return f, f.Shared().validate()
}

// discard is a ResponseWriter that discards the response.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
