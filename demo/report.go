package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/dogwoodladder/dogwoodladder/standin/caller"
)

// report writes the run's output, one line of key=value pairs for each event.
type report struct {
	out   io.Writer
	start time.Time
}

func newReport(out io.Writer) *report {
	return &report{out: out, start: time.Now()}
}

func (r *report) event(name, format string, args ...any) {
	at := time.Since(r.start).Round(10 * time.Millisecond)
	fmt.Fprintf(r.out, "%7.2fs %-14s %s\n", at.Seconds(), name, fmt.Sprintf(format, args...))
}

// requests writes the outcomes and latencies of a phase's requests.
func (r *report) requests(phase string, s caller.Summary) {
	total := s.Skipped
	for _, n := range s.Outcomes {
		total += n
	}
	r.event("requests", "phase=%s sent=%d answered=%d p50=%v p99=%v max=%v refused=%v",
		phase, total, s.Outcomes[caller.Answered], roundLatency(s.P50), roundLatency(s.P99), roundLatency(s.Max), counts(s.Kinds))
}

// verdict writes whether a guarantee held, with its first violations, and returns
// the result.
func (r *report) verdict(name string, faults []string) bool {
	const most = 5
	if len(faults) == 0 {
		fmt.Fprintf(r.out, "  ok      %s\n", name)
		return true
	}
	fmt.Fprintf(r.out, "  BROKEN  %s (%d)\n", name, len(faults))
	for _, f := range faults[:min(len(faults), most)] {
		fmt.Fprintf(r.out, "            %s\n", f)
	}
	return false
}

func roundLatency(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
