package quick

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Targets for the dogwoodladder policy.
const (
	maxIdealRatio = 1.5 // p99 at load 0.8 over the ideal queue's
	minGoodput    = 0.9 // share of the capacity at load 2.0
	maxSlowRatio  = 1.3 // p99 with a slow worker over the one without
)

// Report holds the results of all runs.
type Report struct {
	Seed uint64
	Rows []Row
}

// Row is the result of one run. Latencies cover all answered requests, also
// those answered after their deadline. Refused and Failed are shares of the
// requests that arrived.
type Row struct {
	Scenario   string
	Policy     string
	Requests   int
	P50        time.Duration
	P99        time.Duration
	P999       time.Duration
	Refused    float64
	RefusalP99 time.Duration // time until a refusal reaches the caller
	Failed     float64       // lost, timed out or never answered
	Retries    float64       // attempts beyond the first per request
	Goodput    float64       // answers in time as a share of the capacity
}

func newRow(s *scenario, policy string, o *outcome) Row {
	h := o.allLatencies()
	if s.reportedService != "" {
		h = o.latency(s.reportedService)
	}
	requests := float64(max(o.requests, 1))
	return Row{
		Scenario:   s.name,
		Policy:     policy,
		Requests:   o.requests,
		P50:        quantile(h, 50),
		P99:        quantile(h, 99),
		P999:       quantile(h, 99.9),
		Refused:    float64(o.refused) / requests,
		RefusalP99: quantile(o.refusals, 99),
		Failed:     float64(o.requests-o.refused-o.answers()) / requests,
		Retries:    float64(o.retries) / float64(max(o.allRequests, 1)),
		Goodput:    float64(o.inTime) / (o.countUntil - o.countFrom).Seconds() / s.capacity(),
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Markdown returns the report as a table, with the targets below it.
func (r Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Seed %d. Latencies in ms, of answers; goodput is answers in time by the capacity.\n\n", r.Seed)
	b.WriteString("| scenario | policy | requests | p50 | p99 | p99.9 | refused | p99 of refusals | failed | retries per request | goodput |\n")
	b.WriteString("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, row := range r.Rows {
		b.WriteString(row.markdown())
	}
	b.WriteString(r.targets())
	return b.String()
}

func (r Row) markdown() string {
	return fmt.Sprintf("| %s | %s | %d | %s | %s | %s | %s | %s | %s | %.4f | %s |\n",
		r.Scenario, r.Policy, r.Requests,
		milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999),
		percent(r.Refused), milliseconds(r.RefusalP99), percent(r.Failed),
		r.Retries, percent(r.Goodput))
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func percent(part float64) string {
	return fmt.Sprintf("%.2f%%", 100*part)
}

// targets returns a line for each comparison that has a target and whose rows
// were measured.
func (r Report) targets() string {
	var b strings.Builder
	steadyName := steady(faultLoad).name
	system, ideal := r.row(steadyName, systemName), r.row(steadyName, idealName)
	slow := r.row(slowWorkerName, systemName)
	if system != nil && ideal != nil {
		b.WriteString(targetLine("p99 at load 0.80 by the ideal queue's", ratio(system.P99, ideal.P99), "at most", maxIdealRatio))
	}
	if system != nil && slow != nil {
		b.WriteString(targetLine("p99 with a slow worker by that without", ratio(slow.P99, system.P99), "below", maxSlowRatio))
	}
	if full := r.row(steady(2).name, systemName); full != nil {
		b.WriteString(targetLine("goodput at load 2.00 by the capacity", full.Goodput, "at least", minGoodput))
	}
	if b.Len() == 0 {
		return ""
	}
	return "\n" + b.String()
}

func targetLine(what string, value float64, relation string, target float64) string {
	met := value <= target
	if relation == "at least" {
		met = value >= target
	}
	word := "missed"
	if met {
		word = "met"
	}
	return fmt.Sprintf("- %s: %.3f, target %s %.2f: %s\n", what, value, relation, target, word)
}

func ratio(x, y time.Duration) float64 {
	return float64(x) / float64(max(y, 1))
}

func (r Report) row(scenario, policy string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Scenario == scenario && r.Rows[i].Policy == policy {
			return &r.Rows[i]
		}
	}
	return nil
}
