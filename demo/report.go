package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/dogwoodladder/dogwoodladder/standin/caller"
)

// report writes what happens, one line of key=value pairs for each event.
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

// requests writes what callers met during a phase.
func (r *report) requests(phase string, s caller.Summary) {
	total := s.Skipped
	for _, n := range s.Outcomes {
		total += n
	}
	r.event("requests", "phase=%s sent=%d answered=%d p50=%v p99=%v max=%v refused=%v",
		phase, total, s.Outcomes[caller.Answered], short(s.P50), short(s.P99), short(s.Max), counts(s.Kinds))
}

// verdict writes whether a guarantee held, and the first faults found.
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

func short(d time.Duration) time.Duration {
	return d.Round(100 * time.Microsecond)
}
