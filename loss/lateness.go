package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/delay"
	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// takeover is the reason for a late job that had more than one owner.
const takeover = "takeover"

// row identifies the events of a kind of work that have a reason.
type row struct {
	kind, reason string
}

// tally is a number of jobs and their total lateness.
type tally struct {
	jobs int
	late time.Duration
}

// lateness counts the jobs that were late by one objective.
type lateness struct {
	ended  map[string]int // jobs that completed and have this objective, by kind
	late   map[row]tally
	bySpan map[string]map[int64]int // late jobs by kind and Span since the epoch
}

func newLateness() lateness {
	return lateness{ended: make(map[string]int), late: make(map[row]tally), bySpan: make(map[string]map[int64]int)}
}

// add counts a job with an objective.
func (l *lateness) add(kind, reason string, at time.Time, late time.Duration) {
	l.ended[kind]++
	if late <= 0 {
		return
	}
	k := row{kind, reason}
	n := l.late[k]
	l.late[k] = tally{jobs: n.jobs + 1, late: n.late + late}
	if l.bySpan[kind] == nil {
		l.bySpan[kind] = make(map[int64]int)
	}
	l.bySpan[kind][spanOf(at)]++
}

func (l *lateness) write(w io.Writer, total string) {
	rows := slices.SortedFunc(maps.Keys(l.late), func(x, y row) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(l.late[y].jobs, l.late[x].jobs), cmp.Compare(x.reason, y.reason))
	})
	writeTable(w, "  ", []string{"kind", "reason", "late jobs", total, "mean lateness"}, len(rows), func(i int) []any {
		n := l.late[rows[i]]
		return []any{rows[i].kind, rows[i].reason, n.jobs, l.ended[rows[i].kind], (n.late / time.Duration(n.jobs)).Round(10 * time.Millisecond)}
	})
}

// addJob counts a job that completed, by the objective that its estimates give and, if the
// line has the work that its tasks took, by the one that callers go by.
func (t *Table) addJob(e timeline.Event) {
	kind := e.Field("kind")
	if kind == "" || e.Field("state") != "completed" {
		return
	}
	after := duration(e, "after")
	t.estimated.add(kind, reason(e, delay.All()), e.Time, after-duration(e, "objective"))
	if chain := duration(e, "chain"); chain > 0 {
		objective := time.Duration(number(e, "stretch")*float64(chain)) + duration(e, "fixed")
		t.seen.add(kind, reason(e, lossCauses()), e.Time, after-objective)
	}
}

// lossCauses returns the causes of lateness as callers see it: work isn't one, as the
// objective grows with it.
func lossCauses() []delay.Cause {
	return slices.DeleteFunc(delay.All(), func(c delay.Cause) bool { return c == delay.Work || c == delay.Longer })
}

// reason returns the main one of some causes of a job's delay.
func reason(e timeline.Event, causes []delay.Cause) string {
	if e.Field("taken") == "true" {
		return takeover
	}
	var a delay.Account
	for _, c := range causes {
		a.Add(c, duration(e, c.String()))
	}
	largest, _ := a.Largest()
	return largest.String()
}

// writeLateBySpan writes the number of late jobs that ended in each Span, by both objectives.
func (t *Table) writeLateBySpan(w io.Writer) {
	kinds := make(map[string]bool)
	for _, l := range []*lateness{&t.estimated, &t.seen} {
		for kind := range l.bySpan {
			kinds[kind] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(w, "\n%s jobs that ended late, by %v:\n", kind, Span)
		all := maps.Clone(t.estimated.bySpan[kind])
		if all == nil {
			all = make(map[int64]int)
		}
		maps.Copy(all, t.seen.bySpan[kind])
		spans := slices.Sorted(maps.Keys(all))
		writeTable(w, "  ", []string{"time", "by the estimate", "as callers see it"}, len(spans), func(i int) []any {
			return []any{clock(spans[i]), t.estimated.bySpan[kind][spans[i]], t.seen.bySpan[kind][spans[i]]}
		})
	}
}
