package batch

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/standin/worker"
)

// table prints rows under a title and a header.
func table(w io.Writer, title string, header []string, rows [][]string) error {
	var s strings.Builder
	fmt.Fprintf(&s, "\n### %s\n\n| %s |\n|%s\n", title, strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, row := range rows {
		fmt.Fprintf(&s, "| %s |\n", strings.Join(row, " | "))
	}
	_, err := io.WriteString(w, s.String())
	return err
}

func number(v float64) string {
	switch {
	case v >= 100 || v == 0:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.1f s", d.Seconds())
}

// quantile returns the value below which a share of the sorted values lies.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task string
	worker.Interval
}

// taskRuns returns the runs on all workers, sorted by start, and the number of
// tasks that ever ran in two places at once.
func (c *cluster) taskRuns() (all []taskRun, overlaps int) {
	var ledgers []worker.Ledger
	for _, b := range c.workers {
		ledgers = append(ledgers, b.Ledger())
	}
	for _, a := range worker.Merge(ledgers...).Tasks {
		if a.Overlap {
			overlaps++
		}
		for _, i := range a.Runs {
			all = append(all, taskRun{a.Task, i})
		}
	}
	slices.SortFunc(all, func(a, b taskRun) int { return a.Start.Compare(b.Start) })
	return all, overlaps
}

// countDone returns how many runs completed within [from, to).
func countDone(runs []taskRun, from, to time.Time) int {
	n := 0
	for _, r := range runs {
		if r.State == "done" && !r.End.Before(from) && r.End.Before(to) {
			n++
		}
	}
	return n
}

func countStarted(runs []taskRun, from, to time.Time) int {
	n := 0
	for _, r := range runs {
		if !r.Start.Before(from) && r.Start.Before(to) {
			n++
		}
	}
	return n
}

// countRunning returns how many runs are in progress at a time.
func countRunning(runs []taskRun, at time.Time) int {
	n := 0
	for _, r := range runs {
		if !r.Start.After(at) && (r.End.IsZero() || r.End.After(at)) {
			n++
		}
	}
	return n
}
