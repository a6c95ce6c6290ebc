package worker

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/standin/answer"
)

const maxShapeTime = time.Minute

// answerShape holds the properties of an answer that the request's query sets.
type answerShape struct {
	work     time.Duration
	delay    time.Duration
	size     int
	status   int
	truncate bool
	nonce    string
}

func parseShape(query url.Values) (answerShape, error) {
	s := answerShape{status: http.StatusOK, nonce: query.Get("nonce"), truncate: query.Get("truncate") == "true"}
	if len(s.nonce) > maxID {
		return s, fault.New(fault.Invalid, "nonce of %d bytes, want up to %d", len(s.nonce), maxID)
	}
	var err error
	if s.work, err = parseTime(query.Get("work")); err != nil {
		return s, err
	}
	if s.delay, err = parseTime(query.Get("delay")); err != nil {
		return s, err
	}
	if s.size, err = parseSize(query.Get("size")); err != nil {
		return s, err
	}
	s.status, err = parseStatus(query.Get("status"))
	return s, err
}

func parseTime(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxShapeTime {
		return 0, fault.New(fault.Invalid, "time %q, want up to %v", text, maxShapeTime)
	}
	return d, nil
}

func parseSize(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	digits, unit := text, 1
	for suffix, bytes := range map[string]int{"KB": 1 << 10, "MB": 1 << 20} {
		if rest, ok := strings.CutSuffix(text, suffix); ok {
			digits, unit = rest, bytes
		}
	}
	n, err := strconv.Atoi(digits)
	if err != nil || n < 0 || n > answer.MaxSize/unit {
		return 0, fault.New(fault.Invalid, "size %q, want up to %d", text, answer.MaxSize)
	}
	return n * unit, nil
}

func parseStatus(text string) (int, error) {
	if text == "" {
		return http.StatusOK, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 200 || n > 599 {
		return 0, fault.New(fault.Invalid, "status %q outside 200 to 599", text)
	}
	return n, nil
}
