package aggregation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	maxBody = MaxBytes + 64<<10 // the rest is the encoding's overhead
	// maxRemaining bounds the time within which a write may begin. Requests of callers have
	// shorter deadlines.
	maxRemaining = 10 * time.Second
)

// Handler serves the writes of other instances.
type Handler struct {
	instance string
	sink     Sink
}

// NewHandler returns the handler of an instance that writes to s.
func NewHandler(instance string, s Sink) *Handler {
	return &Handler{instance: instance, sink: s}
}

// ServeHTTP writes the records of a request. It answers 503 if they will never be written.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(toHeader) != h.instance {
		http.Error(w, "this is "+h.instance, http.StatusMisdirectedRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, fmt.Sprintf("body of more than %d bytes", tooLarge.Limit), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, remaining, err := decodeRequest(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), callerKey{}, r.Header.Get(fromHeader)), remaining)
	defer cancel()
	result := h.sink.Write(ctx, records)
	if result.Outcome == NotWritten {
		http.Error(w, result.Outcome.String(), http.StatusServiceUnavailable)
		return
	}
	body, err := encodeResponse(result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // the caller may have gone
}

// decoding bounds the memory that a malformed body can make the decoder allocate.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxRecords, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// decodeRequest returns the records of a request, and the time within which their write may
// begin.
func decodeRequest(data []byte) ([]provider.KeyedRecord, time.Duration, error) {
	var q request
	if err := decoding.Unmarshal(data, &q); err != nil {
		return nil, 0, fault.Wrap(fault.Invalid, err, "decode records")
	}
	if q.Remaining <= 0 {
		return nil, 0, fault.New(fault.Invalid, "remaining time of %d ms", q.Remaining)
	}
	records := make([]provider.KeyedRecord, len(q.Records))
	for i, r := range q.Records {
		records[i] = provider.KeyedRecord{Key: r.Key, Value: r.Value}
	}
	if err := Check(records); err != nil {
		return nil, 0, err
	}
	return records, time.Duration(min(q.Remaining, maxRemaining.Milliseconds())) * time.Millisecond, nil
}

func encodeResponse(r Result) ([]byte, error) {
	body := response{Written: r.Outcome == Written}
	if body.Written {
		body.AppendTime = (r.AppendTime + time.Millisecond - 1).Milliseconds()
	}
	return cbor.Marshal(body)
}
