// Package loss reports from logs which jobs were late, when and why.
//
// Usage:
//
//	t := loss.New()
//	err := t.Read("edge-1.log", file)
//	fmt.Print(t.Report())
//
// The owner of a cell logs one line when a job ends, with its kind, its estimated
// objective and its delay by cause, and one line a second on the load, with the number of
// serving tasks over their target. A job that was taken over by a later owner is counted
// separately, since its delay before the takeover isn't known. Lines that the logger left
// out are counted in the report.
package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// Span is the length of the intervals by which a report counts late jobs.
const Span = 10 * time.Second

// takeover is the reason for a late job that had more than one owner.
const takeover = "takeover"

// row identifies the jobs of a kind that were late for a reason.
type row struct {
	kind, reason string
}

// tally is a number of jobs and their total lateness.
type tally struct {
	jobs int
	late time.Duration
}

// Table accumulates the events of logs. It isn't safe for concurrent use.
type Table struct {
	ended             map[string]int // jobs that completed, by kind
	late              map[row]tally
	lateBySpan        map[row]map[int64]int // late jobs by kind (the reason is empty) and Span since the epoch
	overTargetSeconds float64               // total time of serving tasks over their target
	omitted           map[string]int        // number of omitted log lines by message
}

// New returns an empty Table.
func New() *Table {
	return &Table{ended: make(map[string]int), late: make(map[row]tally), lateBySpan: make(map[row]map[int64]int), omitted: make(map[string]int)}
}

// Read adds a log.
func (t *Table) Read(name string, r io.Reader) error {
	return timeline.Each(name, r, t.add)
}

func (t *Table) add(e timeline.Event) {
	switch e.Name {
	case "job ended":
		t.addJob(e)
	case "load":
		over, err := strconv.ParseFloat(e.Field("over"), 64)
		if err == nil { // older versions don't log it
			t.overTargetSeconds += over
		}
	case timeline.OmittedMessage:
		n, err := strconv.Atoi(e.Field("count"))
		if err == nil {
			t.omitted[e.Field("kind")] += n
		}
	}
}

func (t *Table) addJob(e timeline.Event) {
	kind := e.Field("kind")
	if kind == "" || e.Field("state") != "completed" {
		return
	}
	t.ended[kind]++
	late := duration(e, "after") - duration(e, "objective")
	if late <= 0 {
		return
	}
	k := row{kind, reason(e)}
	n := t.late[k]
	t.late[k] = tally{jobs: n.jobs + 1, late: n.late + late}
	k.reason = ""
	if t.lateBySpan[k] == nil {
		t.lateBySpan[k] = make(map[int64]int)
	}
	t.lateBySpan[k][e.Time.UnixNano()/int64(Span)]++
}

// reason returns the main cause of a job's delay.
func reason(e timeline.Event) string {
	if e.Field("taken") == "true" {
		return takeover
	}
	var a delay.Account
	for _, c := range delay.All() {
		a.Add(c, duration(e, c.String()))
	}
	largest, _ := a.Largest()
	return largest.String()
}

// duration returns the value of a field in milliseconds. It is zero without the field,
// since causes with a duration of zero aren't logged.
func duration(e timeline.Event, name string) time.Duration {
	ms, err := strconv.ParseFloat(e.Field(name), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Report returns the table as text.
func (t *Table) Report() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "kind\treason\tlate jobs\tof completed\tmean lateness")
	rows := slices.SortedFunc(maps.Keys(t.late), func(x, y row) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(t.late[y].jobs, t.late[x].jobs), cmp.Compare(x.reason, y.reason))
	})
	for _, k := range rows {
		n := t.late[k]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", k.kind, k.reason, n.jobs, t.ended[k.kind], (n.late / time.Duration(n.jobs)).Round(10*time.Millisecond))
	}
	_ = w.Flush() // into memory
	fmt.Fprintf(&b, "\nserving tasks over their target: %.0f s\n", t.overTargetSeconds)
	t.writeLateBySpan(&b)
	t.writeOmitted(&b)
	return b.String()
}

// writeLateBySpan writes the number of late jobs that ended in each Span.
func (t *Table) writeLateBySpan(b *strings.Builder) {
	for _, k := range slices.SortedFunc(maps.Keys(t.lateBySpan), func(x, y row) int { return cmp.Compare(x.kind, y.kind) }) {
		fmt.Fprintf(b, "\n%s jobs that ended late, by %v:\n", k.kind, Span)
		for _, span := range slices.Sorted(maps.Keys(t.lateBySpan[k])) {
			at := time.Unix(0, span*int64(Span)).UTC()
			fmt.Fprintf(b, "  %s  %d\n", at.Format("15:04:05"), t.lateBySpan[k][span])
		}
	}
}

// writeOmitted writes which part of the report is missing because of omitted lines: there
// is one line for each job that ended, and one for each second of an owner on its load.
func (t *Table) writeOmitted(b *strings.Builder) {
	if len(t.omitted) == 0 {
		return
	}
	ended := 0
	for _, n := range t.ended {
		ended += n
	}
	fmt.Fprintf(b, "\nleft out of the logs: the ends of %d jobs beside %d that are in the account, %d of its seconds\n",
		t.omitted["job ended"], ended, t.omitted["load"])
	for _, kind := range slices.Sorted(maps.Keys(t.omitted)) {
		fmt.Fprintf(b, "  %-20s  %d lines\n", kind, t.omitted[kind])
	}
}
