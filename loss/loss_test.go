package loss_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/loss"
)

const log = `ts=2026-04-21T11:03:44.1Z level=info msg="job ended" instance=e1 job=01 state=completed after=1200 kind=urgent objective=1500 room=100
ts=2026-04-21T11:03:45.1Z level=info msg="job ended" instance=e1 job=02 state=completed after=2500 kind=urgent objective=1500 room=1200 longer=300
   1.2 e1 ts=2026-04-21T11:03:46.1Z level=info msg="job ended" instance=e1 job=03 state=completed after=3500 kind=urgent objective=1500 room=200 failed=1700
ts=2026-04-21T11:03:51.1Z level=info msg="job ended" instance=e1 job=04 state=completed after=9000 kind=filling objective=7000 taken=true slowed=4000
ts=2026-04-21T11:03:52.1Z level=info msg="job ended" instance=e1 job=05 state=cancelled after=9000 kind=filling objective=7000
ts=2026-04-21T11:03:52.2Z level=info msg=load instance=e1 waiting=3 over=2
half a line ts=2026-04
`

const gaps = `ts=2026-04-21T11:03:53.0Z level=warn msg="lines left out" kind="start" count=120
ts=2026-04-21T11:03:54.0Z level=warn msg="lines left out" kind="start" count=30
ts=2026-04-21T11:03:54.0Z level=warn msg="lines left out" kind="job ended" count=2
`

func TestReport(t *testing.T) {
	is := is.New(t)
	table := loss.New()
	is.NoErr(table.Read("e1.log", strings.NewReader(log)))
	is.Equal(table.Report(), `kind     reason    late jobs  of completed  mean lateness
filling  takeover  1          1             2s
urgent   failed    1          3             2s
urgent   room      1          3             1s

serving tasks over their target: 2 s

filling jobs that ended late, by 10s:
  11:03:50  1

urgent jobs that ended late, by 10s:
  11:03:40  2
`)
}

// TestReportCountsOmittedLines guards against a partial report that looks complete: lines
// omitted from the logs must be counted.
func TestReportCountsOmittedLines(t *testing.T) {
	is := is.New(t)
	table := loss.New()
	is.NoErr(table.Read("e1.log", strings.NewReader(log)))
	is.NoErr(table.Read("e2.log", strings.NewReader(gaps)))
	_, missing, found := strings.Cut(table.Report(), "\nleft out of the logs: ")
	is.True(found)
	is.Equal(missing, `the ends of 2 jobs beside 4 that are in the account, 0 of its seconds
  job ended             2 lines
  start                 150 lines
`)
}
