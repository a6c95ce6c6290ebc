package quick

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool stringer -type=ending -output=strings.go

// ending tells how a request ended for its caller.
type ending int

// Endings of a request.
const (
	answered ending = iota
	refused         // told "not run"
	failed          // told "may have run", or given up at the deadline
)

// Bounds of the histograms, in microseconds.
const (
	shortest  = 1
	longest   = int64(time.Minute / time.Microsecond)
	precision = 3
)

// outcome is what one run measured. Retries are those of all
// requests, also before the warm-up's end.
type outcome struct {
	from, until time.Duration // arrivals that count
	deadline    time.Duration
	latencies   map[string]*hdrhistogram.Histogram // of answers, by service
	refusals    *hdrhistogram.Histogram            // time until a refusal
	requests    int
	inTime      int
	refused     int
	failed      int
	allRequests int
	retries     int
}

func newOutcome(from, until, deadline time.Duration) *outcome {
	return &outcome{
		from:      from,
		until:     until,
		deadline:  deadline,
		latencies: map[string]*hdrhistogram.Histogram{},
		refusals:  newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortest, longest, precision)
}

func (o *outcome) arrived(r *request) {
	o.allRequests++
	if o.counts(r) {
		o.requests++
	}
}

func (o *outcome) counts(r *request) bool {
	return r.at >= o.from && r.at < o.until
}

// add takes the end of a request into account, which its caller learned at a
// time.
func (o *outcome) add(r *request, e ending, at time.Duration) {
	if !o.counts(r) {
		return
	}
	latency := at - r.at
	switch e {
	case refused:
		o.refused++
		record(o.refusals, latency)
	case failed:
		o.failed++
	case answered:
		o.answer(r.service, latency)
	}
}

func (o *outcome) answer(service string, latency time.Duration) {
	record(o.latency(service), latency)
	if latency <= o.deadline {
		o.inTime++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds, so there is no error to handle.
	_ = h.RecordValue(min(max(d.Microseconds(), shortest), longest))
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

// all returns the latencies of all services together.
func (o *outcome) all() *hdrhistogram.Histogram {
	h := newHistogram()
	for _, part := range o.latencies {
		h.Merge(part)
	}
	return h
}
