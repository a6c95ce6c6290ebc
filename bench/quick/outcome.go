package quick

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool stringer -type=ending -output=strings.go

// ending is the result of a request as its caller sees it.
type ending int

// Endings of a request.
const (
	answered ending = iota
	refused         // the request didn't run
	failed          // the request may have run, or reached its deadline
)

// Bounds of the histograms, in microseconds.
const (
	minMicros = 1
	maxMicros = int64(time.Minute / time.Microsecond)
	precision = 3
)

// outcome is the measurements of one run. Retries include those of requests
// during the warm-up.
type outcome struct {
	countFrom, countUntil time.Duration // only requests that arrive in this range count
	deadline              time.Duration
	latencies             map[string]*hdrhistogram.Histogram // of answers, by service
	refusals              *hdrhistogram.Histogram            // time until a refusal
	requests              int
	inTime                int
	refused               int
	failed                int
	allRequests           int
	retries               int
}

func newOutcome(from, until, deadline time.Duration) *outcome {
	return &outcome{
		countFrom:  from,
		countUntil: until,
		deadline:   deadline,
		latencies:  map[string]*hdrhistogram.Histogram{},
		refusals:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, precision)
}

func (o *outcome) addArrival(r *request) {
	o.allRequests++
	if o.counts(r) {
		o.requests++
	}
}

func (o *outcome) counts(r *request) bool {
	return r.arrivedAt >= o.countFrom && r.arrivedAt < o.countUntil
}

// addEnding records the end of a request, which its caller learns at a time.
func (o *outcome) addEnding(r *request, e ending, at time.Duration) {
	if !o.counts(r) {
		return
	}
	latency := at - r.arrivedAt
	switch e {
	case refused:
		o.refused++
		record(o.refusals, latency)
	case failed:
		o.failed++
	case answered:
		o.addAnswer(r.service, latency)
	}
}

func (o *outcome) addAnswer(service string, latency time.Duration) {
	record(o.latency(service), latency)
	if latency <= o.deadline {
		o.inTime++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The clamped value is within the histogram's bounds, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// latency returns the histogram of a service.
func (o *outcome) latency(service string) *hdrhistogram.Histogram {
	h := o.latencies[service]
	if h == nil {
		h = newHistogram()
		o.latencies[service] = h
	}
	return h
}

func (o *outcome) answers() int {
	n := 0
	for _, h := range o.latencies {
		n += int(h.TotalCount())
	}
	return n
}

// allLatencies merges the latencies of all services.
func (o *outcome) allLatencies() *hdrhistogram.Histogram {
	h := newHistogram()
	for _, part := range o.latencies {
		h.Merge(part)
	}
	return h
}
