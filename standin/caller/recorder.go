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

func (t *recorder) countSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

func (t *recorder) recordTry(try Try, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if kind != "" {
		t.kinds[kind]++
	}
	if len(t.tries) >= MaxTriesKept {
		t.triesDropped++
		return
	}
	t.tries = append(t.tries, try)
}

func (t *recorder) recordEnd(o Outcome, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[o]++
	t.intervalEnded++
	if o != Answered {
		return
	}
	micros := min(latency.Microseconds(), maxLatencyMicros)
	_ = t.total.RecordValue(micros) // within range
	_ = t.recent.RecordValue(micros)
}

func (t *recorder) intervalLine(at time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("event=interval at=%v ended=%d answered=%d p50=%v p99=%v max=%v",
		at.Round(time.Millisecond), t.intervalEnded, t.recent.TotalCount(),
		quantile(t.recent, 50), quantile(t.recent, 99), quantile(t.recent, 100))
	t.recent.Reset()
	t.intervalEnded = 0
	return line
}

func (t *recorder) summary(elapsed time.Duration) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Summary{
		Elapsed:      elapsed,
		Outcomes:     maps.Clone(t.outcomes),
		Kinds:        maps.Clone(t.kinds),
		Skipped:      t.skipped,
		P50:          quantile(t.total, 50),
		P99:          quantile(t.total, 99),
		P999:         quantile(t.total, 99.9),
		Max:          quantile(t.total, 100),
		Tries:        slices.Clone(t.tries),
		TriesDropped: t.triesDropped,
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
