package quick

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Targets of the measurements.
const (
	targetIdeal   = 1.5 // p99 at load 0.8 by that of the ideal queue
	targetGoodput = 0.9 // of the capacity at load 2.0
	targetSlow    = 1.3 // p99 with a slow worker by that without
)

// Report is what all runs gave.
type Report struct {
	Seed uint64
	Rows []Row
}

// Row is what one run gave. Latencies are of answered requests, in time or
// not; parts are of the requests that arrived.
type Row struct {
	Scenario   string
	Policy     string
	Requests   int
	P50        time.Duration
	P99        time.Duration
	P999       time.Duration
	Refused    float64
	RefusalP99 time.Duration // how long a refused caller waited
	Failed     float64       // lost, timed out or never answered
	Retries    float64       // tries for each request beyond the first, of those sent
	Goodput    float64       // answers in time, by the capacity
}

func newRow(s *scenario, policy string, o *outcome) Row {
	h := o.all()
	if s.watched != "" {
		h = o.latency(s.watched)
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
		Goodput:    float64(o.inTime) / (o.until - o.from).Seconds() / s.capacity(),
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

// targets returns the comparisons that have a target, where both of their
// rows were measured.
func (r Report) targets() string {
	var b strings.Builder
	steadyName := steady(faultLoad).name
	own, ideal := r.row(steadyName, systemName), r.row(steadyName, idealName)
	slow := r.row(slowWorkerName, systemName)
	if own != nil && ideal != nil {
		b.WriteString(verdict("p99 at load 0.80 by the ideal queue's", ratio(own.P99, ideal.P99), "at most", targetIdeal))
	}
	if own != nil && slow != nil {
		b.WriteString(verdict("p99 with a slow worker by that without", ratio(slow.P99, own.P99), "below", targetSlow))
	}
	if full := r.row(steady(2).name, systemName); full != nil {
		b.WriteString(verdict("goodput at load 2.00 by the capacity", full.Goodput, "at least", targetGoodput))
	}
	if b.Len() == 0 {
		return ""
	}
	return "\n" + b.String()
}

func verdict(what string, value float64, relation string, target float64) string {
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
