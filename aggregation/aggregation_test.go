package aggregation_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/aggregation"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

// sink gives a result, or none within the time of a call if it hangs.
type sink struct {
	result  aggregation.Result
	hangs   bool
	records []provider.KeyedRecord
	caller  string
	within  time.Duration
}

func (s *sink) Write(ctx context.Context, records []provider.KeyedRecord) aggregation.Result {
	s.records, s.caller = records, aggregation.Caller(ctx)
	deadline, _ := ctx.Deadline()
	s.within = time.Until(deadline)
	if s.hangs {
		<-ctx.Done()
		return aggregation.Result{Outcome: aggregation.Unknown}
	}
	return s.result
}

var records = []provider.KeyedRecord{{Key: "a/1", Value: []byte("job")}, {Key: "c/2", Value: []byte{1}}}

func memberAt(server *httptest.Server) roster.Member {
	return roster.Member{ID: "e1", Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	s := &sink{result: aggregation.Result{Outcome: aggregation.Written, AppendTime: 2500 * time.Microsecond}}
	server := httptest.NewServer(aggregation.NewHandler("e1", s))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r := aggregation.NewClient(aggregation.WithInstance("e2")).Write(ctx, memberAt(server), records)
	is.Equal(r, aggregation.Result{Outcome: aggregation.Written, AppendTime: 3 * time.Millisecond})
	is.Equal(s.records, records)
	is.Equal(s.caller, "e2")
	is.True(s.within > 0 && s.within <= time.Second)
}

// Guards against records that count as not written although they may be, which a caller would
// submit elsewhere.
func TestOutcomes(t *testing.T) {
	answer := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		})
	}
	breakOff := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	tests := []struct {
		name    string
		handler http.Handler
		outcome aggregation.Outcome
	}{
		{"refused", aggregation.NewHandler("e1", &sink{result: aggregation.Result{Outcome: aggregation.NotWritten}}), aggregation.NotWritten},
		{"unknown", aggregation.NewHandler("e1", &sink{result: aggregation.Result{Outcome: aggregation.Unknown}}), aggregation.Unknown},
		{"another instance at the address", aggregation.NewHandler("e2", &sink{}), aggregation.NotWritten},
		{"no answer in time", aggregation.NewHandler("e1", &sink{hangs: true}), aggregation.Unknown},
		{"connection breaks off", breakOff, aggregation.Unknown},
		{"internal error", answer(http.StatusInternalServerError, ""), aggregation.Unknown},
		{"another error", answer(http.StatusNotFound, ""), aggregation.Unknown},
		{"no body", answer(http.StatusOK, ""), aggregation.Unknown},
		{"empty answer", answer(http.StatusOK, "\xa0"), aggregation.Unknown},
		{"malformed answer", answer(http.StatusOK, "\xa1\x01"), aggregation.Unknown},
		{"negative time", answer(http.StatusOK, "\xa2\x01\xf5\x02\x20"), aggregation.Unknown},
		{"written", answer(http.StatusOK, "\xa1\x01\xf5"), aggregation.Written},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			is.Equal(aggregation.NewClient().Write(ctx, memberAt(server), records).Outcome, tt.outcome)
		})
	}
}

// Guards against an ambiguous outcome for records that were never sent.
func TestNothingIsSent(t *testing.T) {
	large := []provider.KeyedRecord{{Key: "a/1", Value: make([]byte, aggregation.MaxBytes)}}
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	open := (&net.Dialer{}).DialContext
	tests := []struct {
		name    string
		dial    aggregation.Dialer
		within  time.Duration
		records []provider.KeyedRecord
	}{
		{"connection refused", refuse, time.Second, records},
		{"connection takes too long", hang, 50 * time.Millisecond, records},
		{"no time left", open, 0, records},
		{"no records", open, time.Second, nil},
		{"too many bytes", open, time.Second, large},
		{"too many records", open, time.Second, make([]provider.KeyedRecord, aggregation.MaxRecords+1)},
		{"a deletion", open, time.Second, []provider.KeyedRecord{{Key: "a/1"}}},
		{"a key that is too long", open, time.Second, []provider.KeyedRecord{{Key: strings.Repeat("k", 256), Value: []byte{1}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("sent") }))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), tt.within)
			defer cancel()
			c := aggregation.NewClient(aggregation.WithDialer(tt.dial))
			is.Equal(c.Write(ctx, memberAt(server), tt.records).Outcome, aggregation.NotWritten)
		})
	}
}

func post(body []byte, s aggregation.Sink) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, aggregation.Path, bytes.NewReader(body))
	r.Header.Set("Records-To", "e1")
	w := httptest.NewRecorder()
	aggregation.NewHandler("e1", s).ServeHTTP(w, r)
	return w
}

func encode(t testing.TB, v any) []byte {
	data, err := cbor.Marshal(v)
	is.New(t).NoErr(err)
	return data
}

// Guards against records that the store can't take or that delete jobs, and against a body that
// takes all memory.
func TestMalformedBodies(t *testing.T) {
	pair := []any{"a/1", []byte{1}}
	tests := []struct {
		name   string
		body   []byte
		status int
	}{
		{"well-formed", encode(t, map[int]any{1: []any{pair}, 2: 100}), http.StatusOK},
		{"empty", nil, http.StatusBadRequest},
		{"no map", []byte{0x01}, http.StatusBadRequest},
		{"truncated", encode(t, map[int]any{1: []any{pair}, 2: 100})[:6], http.StatusBadRequest},
		{"no records", encode(t, map[int]any{2: 100}), http.StatusBadRequest},
		{"no time", encode(t, map[int]any{1: []any{pair}}), http.StatusBadRequest},
		{"negative time", encode(t, map[int]any{1: []any{pair}, 2: -1}), http.StatusBadRequest},
		{"deletion", encode(t, map[int]any{1: []any{[]any{"a/1", []byte{}}}, 2: 100}), http.StatusBadRequest},
		{"no key", encode(t, map[int]any{1: []any{[]any{"", []byte{1}}}, 2: 100}), http.StatusBadRequest},
		{"long key", encode(t, map[int]any{1: []any{[]any{strings.Repeat("k", 256), []byte{1}}}, 2: 100}), http.StatusBadRequest},
		{"too many records", encode(t, map[int]any{1: make([]int, aggregation.MaxRecords+1), 2: 100}), http.StatusBadRequest},
		{"announces billions of records", []byte{0xa1, 0x01, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, http.StatusBadRequest},
		{"too many bytes", make([]byte, aggregation.MaxBytes<<1), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &sink{result: aggregation.Result{Outcome: aggregation.Written}}
			w := post(tt.body, s)
			is.Equal(w.Code, tt.status)
			is.Equal(len(s.records) > 0, tt.status == http.StatusOK)
			is.True(w.Body.Len() > 0) // says why
		})
	}
}

// Guards against a body that crashes the handler, or passes it with records that no store takes.
func FuzzHandler(f *testing.F) {
	f.Add(encode(f, map[int]any{1: []any{[]any{"a/1", []byte{1}}}, 2: 100}))
	f.Add([]byte{0xa1, 0x01, 0x9b, 0, 0, 0, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &sink{result: aggregation.Result{Outcome: aggregation.Written}}
		w := post(body, s)
		if w.Code == http.StatusOK && aggregation.Check(s.records) != nil {
			t.Errorf("passed %v", s.records)
		}
	})
}
