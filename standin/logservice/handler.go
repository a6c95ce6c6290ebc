package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	goji "goji.io"
	"goji.io/pat"
	"goji.io/pattern"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/record"
)

const (
	maxPageEntries   = 5000
	maxAppendRecords = 5000
)

type readRequest struct {
	stream string
	from   uint64
	limit  int
	wait   time.Duration
}

func (s *Service) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(wire.PathStreams+"*"), s.serveAppend)
	mux.HandleFunc(pat.Get(wire.PathStreams+"*"), s.serveRead)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	first, err := s.handleAppend(w, r)
	if err != nil {
		wire.Refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", wire.TypeJSON)
	_ = json.NewEncoder(w).Encode(wire.AppendResponse{First: first}) // fails if the reader has disconnected
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) (uint64, error) {
	name, err := streamName(r)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxAppendBytes))
	if err != nil {
		return 0, wire.BodyError(err)
	}
	records, err := wire.DecodeRecords(body)
	if err != nil {
		return 0, err
	}
	if err := checkRecords(records); err != nil {
		return 0, err
	}
	return s.append(name, records)
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	request, err := parseRead(r)
	if err != nil {
		wire.Refuse(w, err)
		return
	}
	page, err := s.waitForPage(r.Context(), request)
	switch {
	case fault.Is(err, fault.Expired):
		wire.RefuseExpired(w, page)
	case err != nil:
		wire.Refuse(w, err)
	default:
		writePage(w, page)
	}
}

// waitForPage returns a page, and waits for the next append while the page is
// empty, up to the request's wait time.
func (s *Service) waitForPage(ctx context.Context, request readRequest) (provider.Page, error) {
	timer := time.NewTimer(request.wait)
	defer timer.Stop()
	for {
		page, appended, err := s.read(request.stream, request.from, request.limit)
		if err != nil || appended == nil {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, nil
		}
	}
}

func writePage(w http.ResponseWriter, page provider.Page) {
	body, err := wire.EncodePage(page)
	if err != nil {
		wire.Refuse(w, fault.Wrap(fault.Internal, err, "encode page"))
		return
	}
	w.Header().Set("Content-Type", wire.TypeCBOR)
	_, _ = w.Write(body) // fails if the reader has disconnected
}

func parseRead(r *http.Request) (readRequest, error) {
	name, err := streamName(r)
	if err != nil {
		return readRequest{}, err
	}
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		return readRequest{}, fault.Wrap(fault.Invalid, err, "parse offset from=%q", query.Get("from"))
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		return readRequest{}, fault.New(fault.Invalid, "limit %q isn't a positive integer", query.Get("limit"))
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > wire.MaxWait {
		return readRequest{}, fault.New(fault.Invalid, "wait %q, want a duration up to %v", query.Get("wait"), wire.MaxWait)
	}
	return readRequest{stream: name, from: from, limit: min(limit, maxPageEntries), wait: wait}, nil
}

func streamName(r *http.Request) (string, error) {
	rest, err := url.PathUnescape(pattern.Path(r.Context()))
	if err != nil {
		return "", fault.Wrap(fault.Invalid, err, "unescape path %q", r.URL.Path)
	}
	name, ok := strings.CutSuffix(strings.TrimPrefix(rest, "/"), wire.PathRecords)
	if !ok || !wire.ValidStream(name) {
		return "", fault.New(fault.NotFound, "no stream at %q", r.URL.Path)
	}
	return name, nil
}

func checkRecords(records [][]byte) error {
	if len(records) == 0 || len(records) > maxAppendRecords {
		return fault.New(fault.Invalid, "%d records, want 1 to %d", len(records), maxAppendRecords)
	}
	for _, data := range records {
		if len(data) > record.MaxSize {
			return fault.New(fault.TooLarge, "record of %d bytes, limit %d", len(data), record.MaxSize)
		}
	}
	return nil
}
