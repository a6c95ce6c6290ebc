package caller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600 * 1e6
	significantDigits = 3
)

// Try is one send of a request.
type Try struct {
	Request    string
	Nonce      string
	Idempotent bool
	Outcome    Outcome
}

// Summary holds the outcomes and latencies of a run.
type Summary struct {
	Elapsed      time.Duration
	Outcomes     map[Outcome]int // requests by final outcome
	Kinds        map[string]int  // tries by the fault or error status of their answer
	Skipped      int             // requests due while too many were in flight
	P50          time.Duration
	P99          time.Duration
	P999         time.Duration
	Max          time.Duration
	Tries        []Try // the first MaxTriesKept
	TriesDropped int   // tries beyond MaxTriesKept
}

// String returns the summary as key=value pairs.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "event=summary elapsed=%v", s.Elapsed.Round(time.Millisecond))
	for o := range outcomes {
		fmt.Fprintf(&b, " %s=%d", strings.ToLower(o.String()), s.Outcomes[o])
	}
	for _, kind := range slices.Sorted(maps.Keys(s.Kinds)) {
		fmt.Fprintf(&b, " fault.%s=%d", kind, s.Kinds[kind])
	}
	fmt.Fprintf(&b, " skipped=%d p50=%v p99=%v p999=%v max=%v", s.Skipped, s.P50, s.P99, s.P999, s.Max)
	return b.String()
}

// recorder counts outcomes, and records the latencies of whole answers.
type recorder struct {
	mu            sync.Mutex
	outcomes      map[Outcome]int
	kinds         map[string]int
	skipped       int
	tries         []Try
	triesDropped  int
	total         *hdrhistogram.Histogram
	recent        *hdrhistogram.Histogram
	intervalEnded int // requests in the current interval
}

func newRecorder() *recorder {
	return &recorder{
		outcomes: make(map[Outcome]int),
		kinds:    make(map[string]int),
		total:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		recent:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func (r *recorder) countSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

func (r *recorder) recordTry(try Try, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if kind != "" {
		r.kinds[kind]++
	}
	if len(r.tries) >= MaxTriesKept {
		r.triesDropped++
		return
	}
	r.tries = append(r.tries, try)
}

func (r *recorder) recordEnd(o Outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[o]++
	r.intervalEnded++
	if o != Answered {
		return
	}
	micros := min(latency.Microseconds(), maxLatencyMicros)
	_ = r.total.RecordValue(micros) // within range
	_ = r.recent.RecordValue(micros)
}

func (r *recorder) intervalLine(at time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("event=interval at=%v ended=%d answered=%d p50=%v p99=%v max=%v",
		at.Round(time.Millisecond), r.intervalEnded, r.recent.TotalCount(),
		quantile(r.recent, 50), quantile(r.recent, 99), quantile(r.recent, 100))
	r.recent.Reset()
	r.intervalEnded = 0
	return line
}

func (r *recorder) summary(elapsed time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Summary{
		Elapsed:      elapsed,
		Outcomes:     maps.Clone(r.outcomes),
		Kinds:        maps.Clone(r.kinds),
		Skipped:      r.skipped,
		P50:          quantile(r.total, 50),
		P99:          quantile(r.total, 99),
		P999:         quantile(r.total, 99.9),
		Max:          quantile(r.total, 100),
		Tries:        slices.Clone(r.tries),
		TriesDropped: r.triesDropped,
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
