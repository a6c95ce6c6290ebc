package wire

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Refusal is the body of a refusal.
type Refusal struct {
	Kind    string        `json:"kind"`
	Message string        `json:"message"`
	After   time.Duration `json:"after,omitempty"` // delay before a retry
}

var kindsByName = kindTable()

// ParseKind returns the kind with the given name.
func ParseKind(name string) (fault.Kind, bool) {
	k, ok := kindsByName[name]
	return k, ok
}

// Refuse responds with a refusal of err's kind. Use it only if the request took
// no effect.
func Refuse(w http.ResponseWriter, err error) {
	setRefusal(w.Header(), err)
	w.Header().Set("Content-Type", TypeJSON)
	w.WriteHeader(fault.KindOf(err).Answer().Status)
	_ = json.NewEncoder(w).Encode(Refusal{ // fails only if the client disconnected
		Kind:    fault.KindOf(err).String(),
		Message: messageOf(err),
		After:   answerOf(err).RetryAfter,
	})
}

// ParseRefusal returns the refusal in a response's header and body, and nil when
// the response isn't a refusal.
func ParseRefusal(header http.Header, body []byte) *fault.Error {
	kind, ok := ParseKind(header.Get(HeaderFault))
	if !ok {
		return nil
	}
	var r Refusal
	if err := json.Unmarshal(body, &r); err != nil {
		return fault.New(kind, "refused").After(retryAfter(header))
	}
	return fault.New(kind, "%s", r.Message).After(r.After)
}

// BodyError returns the error for a request body that could not be read or
// decoded.
func BodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "body above %d bytes", tooLarge.Limit)
	}
	return fault.Wrap(fault.Invalid, err, "read body")
}

func setRefusal(header http.Header, err error) {
	header.Set(HeaderFault, fault.KindOf(err).String())
	if after := answerOf(err).RetryAfter; after > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
}

func answerOf(err error) fault.Answer {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Answer()
	}
	return fault.Internal.Answer()
}

func messageOf(err error) string {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Message
	}
	return err.Error()
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func kindTable() map[string]fault.Kind {
	table := make(map[string]fault.Kind)
	for k := fault.Internal; k <= fault.TooLarge; k++ {
		table[k.String()] = k
	}
	return table
}
