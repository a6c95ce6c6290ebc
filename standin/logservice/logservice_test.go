package logservice_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/client/wire"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/standin/logservice"
)

func appendOne(s *logservice.Service, body []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/streams/zone/a/records", bytes.NewReader(body)))
	return recorder
}

func read(s *logservice.Service, from uint64) (provider.Page, int) {
	recorder := httptest.NewRecorder()
	target := "/streams/zone/a/records?limit=100&wait=0s&from=" + strconv.FormatUint(from, 10)
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	page, _ := wire.DecodePage(recorder.Body.Bytes())
	return page, recorder.Code
}

// TestRetention lets a stream grow beyond its retention by count and by age. It
// guards against readers that silently miss entries, because offsets count from
// the oldest entry kept or a read at an expired offset returns the oldest entry.
func TestRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := logservice.New(logservice.WithClock(func() time.Time { return now }), logservice.WithRetention(3, time.Minute))
	body, err := wire.EncodeRecords([][]byte{{1}, {2}})
	is.NoErr(err)
	is.Equal(appendOne(s, body).Code, http.StatusOK)
	now = now.Add(30 * time.Second)
	is.Equal(appendOne(s, body).Code, http.StatusOK)

	page, code := read(s, 0)
	is.Equal(code, http.StatusGone)
	is.Equal(page.Oldest, uint64(1))
	page, code = read(s, page.Oldest)
	is.Equal(code, http.StatusOK)
	is.Equal(len(page.Entries), 3)

	now = now.Add(31 * time.Second) // the first append is over a minute old
	page, _ = read(s, 2)
	is.Equal(page.Oldest, uint64(2))
	is.Equal(page.Entries[1].Offset, uint64(3))

	now = now.Add(time.Hour)
	page, code = read(s, 4) // all entries expired, offsets continue
	is.Equal(code, http.StatusOK)
	is.Equal(page.Next, uint64(4))
	_, code = read(s, 5)
	is.Equal(code, http.StatusBadRequest)
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := logservice.New(logservice.WithClock(func() time.Time { return now }), logservice.WithRate(2))
	body, err := wire.EncodeRecords([][]byte{{1}})
	is.NoErr(err)
	is.Equal(appendOne(s, body).Code, http.StatusOK)
	is.Equal(appendOne(s, body).Code, http.StatusOK)
	refused := appendOne(s, body)
	is.Equal(refused.Header().Get(wire.HeaderFault), "Overloaded")
	is.Equal(refused.Header().Get("Retry-After"), "1")
	now = now.Add(time.Second)
	is.Equal(appendOne(s, body).Code, http.StatusOK)
	page, _ := read(s, 0)
	is.Equal(page.Next, uint64(3)) // the refused append had no effect

	is.Equal(appendOne(s, []byte("not CBOR")).Code, http.StatusBadRequest)
	is.Equal(appendOne(s, make([]byte, wire.MaxAppendBytes+1)).Code, http.StatusRequestEntityTooLarge)
}
