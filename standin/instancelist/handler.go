package instancelist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	goji "goji.io"
	"goji.io/pat"
	"goji.io/pattern"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const maxBody = 64 << 10

func (l *List) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(wire.PathInstances), l.serveInstances)
	mux.HandleFunc(pat.Put(wire.PathInstances+"/*"), l.servePut)
	mux.HandleFunc(pat.Delete(wire.PathInstances+"/*"), l.serveDelete)
	return mux
}

// serveInstances sends the list, or 304 if the reader's ETag is current.
func (l *List) serveInstances(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(l.Instances())
	if err != nil {
		wire.Refuse(w, fault.Wrap(fault.Internal, err, "encode instance list"))
		return
	}
	w.Header().Set("Content-Type", wire.TypeJSON)
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	instance, err := parsePut(w, r)
	if err == nil {
		err = l.Put(instance)
	}
	if err != nil {
		wire.Refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveDelete(w http.ResponseWriter, r *http.Request) {
	id, err := instanceID(r)
	if err != nil {
		wire.Refuse(w, err)
		return
	}
	l.Delete(id)
	w.WriteHeader(http.StatusNoContent)
}

func parsePut(w http.ResponseWriter, r *http.Request) (provider.Instance, error) {
	id, err := instanceID(r)
	if err != nil {
		return provider.Instance{}, err
	}
	var instance provider.Instance
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&instance); err != nil {
		return provider.Instance{}, fault.Wrap(fault.Invalid, err, "decode instance %q", id)
	}
	if instance.ID != id {
		return provider.Instance{}, fault.New(fault.Invalid, "ID %q in the path, %q in the body", id, instance.ID)
	}
	return instance, nil
}

func instanceID(r *http.Request) (string, error) {
	rest, err := url.PathUnescape(pattern.Path(r.Context()))
	if err != nil {
		return "", fault.Wrap(fault.Invalid, err, "unescape path %q", r.URL.Path)
	}
	id := strings.TrimPrefix(rest, "/")
	if id == "" {
		return "", fault.New(fault.NotFound, "no ID in the path")
	}
	return id, nil
}

func byID(a, b provider.Instance) int {
	return strings.Compare(a.ID, b.ID)
}
