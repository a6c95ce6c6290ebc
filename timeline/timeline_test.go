package timeline_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/timeline"
)

const id = "5c0e7a21d94b36f8"

func TestTimeline(t *testing.T) {
	tests := []struct {
		name    string
		logs    []string
		events  []string
		skipped int
	}{
		{
			name: "several instances in order of time",
			logs: []string{
				"ts=2026-01-01T00:00:02Z level=info msg=start instance=e2 task=" + id + ".0.0.1 attempt=4097 worker=w1\n",
				"ts=2026-01-01T00:00:01Z level=info msg=accept instance=e1 job=" + id + " took=4\n" +
					"ts=2026-01-01T00:00:01Z level=info msg=accept instance=e1 job=0000000000000000 took=4\n",
			},
			events: []string{
				"00:00:01.000  e1                     accept           job=" + id + " took=4",
				"00:00:02.000  e2                     start            task=" + id + ".0.0.1 attempt=4097 worker=w1",
			},
		},
		{
			name:   "a prefix is passed over",
			logs:   []string{"  12.5 edge-1 ts=2026-01-01T00:00:01Z msg=refused instance=e1 path=/q/" + id + " status=503\n"},
			events: []string{"00:00:01.000  e1                     refused          path=/q/" + id + " status=503"},
		},
		{
			name:    "lines that are cut are counted",
			logs:    []string{"job=" + id + "\nts=yesterday msg=accept job=" + id + "\nts=2026-01-01T00:00:01Z msg=\"accept job=" + id + "\n"},
			skipped: 3,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			line := timeline.New(id)
			for _, log := range test.logs {
				is.NoErr(line.Read("log", strings.NewReader(log)))
			}
			var got []string
			for _, e := range line.Events() {
				got = append(got, e.String())
			}
			is.Equal(got, test.events)
			is.Equal(line.Skipped(), test.skipped)
		})
	}
}
