package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// unknown stands for a field that a line of an earlier version doesn't have.
const unknown = "unknown"

// stops is a number of stopped runs and what they had used.
type stops struct {
	runs        int
	coreSeconds float64
}

// addStop counts a run that the owner stopped.
func (t *Table) addStop(e timeline.Event) {
	k := row{cmp.Or(e.Field("kind"), unknown), e.Field("reason")}
	n := t.stopped[k]
	t.stopped[k] = stops{runs: n.runs + 1, coreSeconds: n.coreSeconds + duration(e, "ran").Seconds()*number(e, "cores")}
}

// writeStops writes the stopped runs by kind and reason.
func (t *Table) writeStops(w io.Writer) {
	if len(t.stopped) == 0 {
		return
	}
	rows := slices.SortedFunc(maps.Keys(t.stopped), func(x, y row) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(t.stopped[y].runs, t.stopped[x].runs), cmp.Compare(x.reason, y.reason))
	})
	fmt.Fprintln(w, "\nruns that the owner stopped:")
	writeTable(w, "  ", []string{"kind", "reason", "runs", "core-seconds"}, len(rows), func(i int) []any {
		n := t.stopped[rows[i]]
		return []any{rows[i].kind, rows[i].reason, n.runs, fmt.Sprintf("%.1f", n.coreSeconds)}
	})
}
