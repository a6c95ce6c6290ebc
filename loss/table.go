package loss

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

// Span is the length of the intervals by which a report counts events.
const Span = 10 * time.Second

// spanOf returns the number of the Span since the epoch that a time is in.
func spanOf(at time.Time) int64 {
	return at.UnixNano() / int64(Span)
}

// clock returns the time of day at which a Span begins.
func clock(span int64) string {
	return time.Unix(0, span*int64(Span)).UTC().Format("15:04:05")
}

// duration returns the value of a field in milliseconds. It is zero without the field,
// since causes with a duration of zero aren't logged.
func duration(e timeline.Event, name string) time.Duration {
	return time.Duration(number(e, name) * float64(time.Millisecond))
}

// number returns the value of a field, zero if the event has none.
func number(e timeline.Event, name string) float64 {
	n, err := strconv.ParseFloat(e.Field(name), 64)
	if err != nil {
		return 0
	}
	return n
}

// writeTable writes a number of rows in aligned columns.
func writeTable(w io.Writer, indent string, header []string, rows int, row func(i int) []any) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s%s\n", indent, strings.Join(header, "\t"))
	for i := range rows {
		cells := make([]string, 0, len(header))
		for _, c := range row(i) {
			cells = append(cells, fmt.Sprint(c))
		}
		fmt.Fprintf(tw, "%s%s\n", indent, strings.Join(cells, "\t"))
	}
	_ = tw.Flush() // into memory
}
