package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// answers counts the answers to submitted jobs.
type answers struct {
	accepted, rejected, unknown int
	byCause                     map[string]int // those that weren't accepted
}

// add adds other counts.
func (a *answers) add(other *answers) {
	a.accepted += other.accepted
	a.rejected += other.rejected
	a.unknown += other.unknown
	for cause, n := range other.byCause {
		a.byCause[cause] += n
	}
}

// at is an availability zone, or an instance, in one Span.
type at struct {
	span  int64
	place string
}

// countsOf returns the counts of a place, which it adds if there are none yet.
func countsOf(all map[at]*answers, k at) *answers {
	if all[k] == nil {
		all[k] = &answers{byCause: make(map[string]int)}
	}
	return all[k]
}

// addAnswer counts the answer to a submitted job. The availability zone of its instance may
// only become known later.
func (t *Table) addAnswer(e timeline.Event) {
	countsOf(t.answers, at{spanOf(e.Time), e.Instance}).add(answerOf(e))
}

// answerOf returns the answer of one line. A line of an earlier version only tells whether
// there was an error.
func answerOf(e timeline.Event) *answers {
	outcome, cause := e.Field("outcome"), e.Field("cause")
	if outcome == "accepted" || outcome == "" && e.Field("error") == "" {
		return &answers{accepted: 1}
	}
	if !isCause(cause) {
		cause = fault.OtherReason.String()
	}
	one := &answers{byCause: map[string]int{cause: 1}}
	if outcome == "rejected" || outcome == "" {
		one.rejected = 1
	} else { // also a value that was cut off
		one.unknown = 1
	}
	return one
}

func isCause(name string) bool {
	return slices.ContainsFunc(fault.AllReasons(), func(r fault.Reason) bool { return r.String() == name })
}

// writeAnswers writes the answers by availability zone, and by Span where some jobs weren't
// accepted.
func (t *Table) writeAnswers(w io.Writer) {
	if len(t.answers) == 0 {
		return
	}
	bySpan, total := make(map[at]*answers), make(map[at]*answers)
	for k, n := range t.answers {
		zone := cmp.Or(t.zones[k.place], unknown)
		countsOf(bySpan, at{k.span, zone}).add(n)
		countsOf(total, at{0, zone}).add(n)
	}
	fmt.Fprintln(w, "\nsubmitted jobs by availability zone, and those not accepted by cause:")
	writeAnswerTable(w, total, false)
	maps.DeleteFunc(bySpan, func(_ at, n *answers) bool { return n.rejected+n.unknown == 0 })
	if len(bySpan) > 0 {
		fmt.Fprintf(w, "\nthe same where some weren't accepted, by %v:\n", Span)
		writeAnswerTable(w, bySpan, true)
	}
}

func writeAnswerTable(w io.Writer, rows map[at]*answers, withTime bool) {
	header := []string{"zone", "accepted", "rejected", "unknown"}
	for _, r := range fault.AllReasons() {
		header = append(header, r.String())
	}
	if withTime {
		header = append([]string{"time"}, header...)
	}
	keys := slices.SortedFunc(maps.Keys(rows), func(x, y at) int { return cmp.Or(cmp.Compare(x.span, y.span), cmp.Compare(x.place, y.place)) })
	writeTable(w, "  ", header, len(keys), func(i int) []any {
		n := rows[keys[i]]
		cells := []any{keys[i].place, n.accepted, n.rejected, n.unknown}
		for _, r := range fault.AllReasons() {
			cells = append(cells, n.byCause[r.String()])
		}
		if withTime {
			cells = append([]any{clock(keys[i].span)}, cells...)
		}
		return cells
	})
}
