// Package loss tells from logs which jobs were late, when and why.
//
// Usage:
//
//	t := loss.New()
//	err := t.Read("edge-1.log", file)
//	fmt.Print(t.Report())
//
// The owner of a cell logs one line when a job ends, with its kind, its
// objective by estimates and what held it up, and one line a second on the
// load, with the serving tasks over their target. A job that ended under a
// later owner than it began under is counted by itself, as the time before
// isn't known. What a log says was left out of it is told beside the account.
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

// Span is the length of the moments that a report tells apart.
const Span = 10 * time.Second

// takeover stands for what held a job up that changed its owner.
const takeover = "takeover"

// row is the jobs of a kind that were late for a reason.
type row struct {
	kind, reason string
}

// tally is a number of jobs and how late they were together.
type tally struct {
	jobs int
	late time.Duration
}

// Table gathers what logs say. It isn't safe for concurrent use.
type Table struct {
	ended map[string]int // jobs that completed, by kind
	late  map[row]tally
	when  map[row]map[int64]int // late jobs by kind and Span since the epoch; no reason
	over  float64               // seconds of serving tasks over their target
	gaps  map[string]int        // lines that were left out of the logs, by message
}

// New returns an empty Table.
func New() *Table {
	return &Table{ended: make(map[string]int), late: make(map[row]tally), when: make(map[row]map[int64]int), gaps: make(map[string]int)}
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
		if err == nil { // lines of older versions don't say
			t.over += over
		}
	case timeline.LeftOut:
		n, err := strconv.Atoi(e.Field("count"))
		if err == nil {
			t.gaps[e.Field("kind")] += n
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
	if t.when[k] == nil {
		t.when[k] = make(map[int64]int)
	}
	t.when[k][e.Time.UnixNano()/int64(Span)]++
}

// reason returns what held a job up most.
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

// duration returns a field that holds milliseconds, zero if there is none: a
// cause without time isn't logged.
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
	fmt.Fprintf(&b, "\nserving tasks over their target: %.0f s\n", t.over)
	t.reportMoments(&b)
	t.reportGaps(&b)
	return b.String()
}

// reportMoments adds when the late jobs ended.
func (t *Table) reportMoments(b *strings.Builder) {
	for _, k := range slices.SortedFunc(maps.Keys(t.when), func(x, y row) int { return cmp.Compare(x.kind, y.kind) }) {
		fmt.Fprintf(b, "\n%s jobs that ended late, by %v:\n", k.kind, Span)
		for _, span := range slices.Sorted(maps.Keys(t.when[k])) {
			at := time.Unix(0, span*int64(Span)).UTC()
			fmt.Fprintf(b, "  %s  %d\n", at.Format("15:04:05"), t.when[k][span])
		}
	}
}

// reportGaps adds which part of the account is missing: each job that ended has
// a line, and each second of an owner one on its load.
func (t *Table) reportGaps(b *strings.Builder) {
	if len(t.gaps) == 0 {
		return
	}
	ended := 0
	for _, n := range t.ended {
		ended += n
	}
	fmt.Fprintf(b, "\nleft out of the logs: the ends of %d jobs beside %d that are in the account, %d of its seconds\n",
		t.gaps["job ended"], ended, t.gaps["load"])
	for _, kind := range slices.Sorted(maps.Keys(t.gaps)) {
		fmt.Fprintf(b, "  %-20s  %d lines\n", kind, t.gaps[kind])
	}
}
