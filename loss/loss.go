// Package loss reports from logs which jobs were late or not accepted, when and why, and
// which runs were stopped.
//
// Usage:
//
//	t := loss.New()
//	err := t.Read("edge-1.log", file)
//	fmt.Print(t.Report())
//
// The owner of a cell logs one line when a job ends, with its kind, its estimated objective
// and its delay by cause, and with the work that its tasks took. So lateness is reported both
// by the objective that the estimates give and as callers see it, by the work itself. A job
// that was taken over by a later owner is counted separately, since its delay before the
// takeover isn't known; nor is its work. The owner also logs one line for each run that it
// stops, and one a second on the load, with the number of serving tasks over their target.
// Every instance logs one line for each submitted job, and one with its availability zone
// when its process starts. Lines that the logger left out are counted in the report.
package loss

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// Table accumulates the events of logs. It isn't safe for concurrent use.
type Table struct {
	estimated         lateness // by the objective that the estimates give
	seen              lateness // by the objective that the work of the tasks gives
	stopped           map[row]stops
	answers           map[at]*answers   // by instance and Span
	zones             map[string]string // availability zones by instance
	overTargetSeconds float64           // total time of serving tasks over their target
	omitted           map[string]int    // number of omitted log lines by message
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		estimated: newLateness(),
		seen:      newLateness(),
		stopped:   make(map[row]stops),
		answers:   make(map[at]*answers),
		zones:     make(map[string]string),
		omitted:   make(map[string]int),
	}
}

// Read adds a log.
func (t *Table) Read(name string, r io.Reader) error {
	return timeline.Each(name, r, t.add)
}

func (t *Table) add(e timeline.Event) {
	switch e.Name {
	case "job ended":
		t.addJob(e)
	case "stop":
		t.addStop(e)
	case "accept":
		t.addAnswer(e)
	case "process start":
		if zone := e.Field("zone"); zone != "" { // older versions don't log it
			t.zones[e.Instance] = zone
		}
	case "load":
		t.overTargetSeconds += number(e, "over") // older versions don't log it
	case timeline.OmittedMessage:
		n, err := strconv.Atoi(e.Field("count"))
		if err == nil {
			t.omitted[e.Field("kind")] += n
		}
	}
}

// Report returns the tables as text. Lines are at most 120 columns wide.
func (t *Table) Report() string {
	var b strings.Builder
	fmt.Fprintln(&b, "late by the objective that the estimates give:")
	t.estimated.write(&b, "of completed")
	if len(t.seen.ended) > 0 {
		fmt.Fprintln(&b, "\nlate as callers see it, by the work that the tasks took:")
		t.seen.write(&b, "of measured")
	}
	fmt.Fprintf(&b, "\nserving tasks over their target: %.0f s\n", t.overTargetSeconds)
	t.writeLateBySpan(&b)
	t.writeStops(&b)
	t.writeAnswers(&b)
	t.writeOmitted(&b)
	return b.String()
}

// writeOmitted writes which part of the report is missing because of omitted lines: there
// is one line for each job that ended, and one for each second of an owner on its load.
func (t *Table) writeOmitted(b *strings.Builder) {
	if len(t.omitted) == 0 {
		return
	}
	ended := 0
	for _, n := range t.estimated.ended {
		ended += n
	}
	fmt.Fprintf(b, "\nleft out of the logs: the ends of %d jobs beside %d that are in the account, %d of its seconds\n",
		t.omitted["job ended"], ended, t.omitted["load"])
	for _, kind := range slices.Sorted(maps.Keys(t.omitted)) {
		fmt.Fprintf(b, "  %-20s  %d lines\n", kind, t.omitted[kind])
	}
}
