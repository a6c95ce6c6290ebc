package worker

import (
	"encoding/json"
	"net/http"

	goji "goji.io"
	"goji.io/pat"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const pathLedger = "/ledger"

func (w *Worker) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(wire.PathAcquire), jsonHandler(w.Acquire))
	mux.HandleFunc(pat.Post(wire.PathRenew), jsonHandler(w.Renew))
	mux.HandleFunc(pat.Post(wire.PathRelease), jsonHandler(func(in wire.Release) (struct{}, error) {
		return struct{}{}, w.Release(in.Epoch)
	}))
	mux.HandleFunc(pat.Post(wire.PathTransfer), jsonHandler(func(in wire.Transfer) (provider.Lease, error) {
		return w.Transfer(in.Epoch, in.To)
	}))
	mux.HandleFunc(pat.Post(wire.PathStart), jsonHandler(func(in wire.Start) (struct{}, error) {
		return struct{}{}, w.Start(in.Epoch, in.Task)
	}))
	mux.HandleFunc(pat.Post(wire.PathStop), jsonHandler(func(in wire.Stop) (struct{}, error) {
		return struct{}{}, w.Stop(in.Epoch, in.Task, in.Checkpoint)
	}))
	mux.HandleFunc(pat.Post(wire.PathThrottle), jsonHandler(func(in wire.Throttle) (struct{}, error) {
		return struct{}{}, w.Throttle(in.Epoch, in.Task, in.Percent)
	}))
	mux.HandleFunc(pat.Post(wire.PathAcknowledge), jsonHandler(func(in wire.Acknowledge) (struct{}, error) {
		return struct{}{}, w.Acknowledge(in.Epoch, in.Tasks)
	}))
	mux.HandleFunc(pat.Get(wire.PathReport), func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, w.Report())
	})
	mux.HandleFunc(pat.Get(pathLedger), func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, w.Ledger())
	})
	mux.HandleFunc(pat.Get(wire.PathHealth), w.serveHealth)
	mux.HandleFunc(pat.New(wire.PathServices+"*"), w.serveService)
	return mux
}

// jsonHandler returns a handler that decodes a JSON request, makes a call with it, and
// encodes the result as JSON.
func jsonHandler[In, Out any](call func(In) (Out, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, wire.MaxControlBytes))
		if err := decoder.Decode(&in); err != nil {
			wire.Refuse(rw, wire.BodyError(err))
			return
		}
		out, err := call(in)
		if err != nil {
			wire.Refuse(rw, err)
			return
		}
		writeJSON(rw, out)
	}
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", wire.TypeJSON)
	_ = json.NewEncoder(rw).Encode(v) // fails if the reader has disconnected
}
