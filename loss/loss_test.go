package loss_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/dogwoodladder/dogwoodladder/loss"
)

// maxColumns is the width of a report.
const maxColumns = 120

// Each case names the failure that it guards against.
func TestReport(t *testing.T) {
	tests := []struct {
		name   string
		logs   []string
		guards string
	}{
		{"estimates", []string{"estimates"}, "logs of versions with longer, without chain, cause and kind of stops that aren't read"},
		{"omitted", []string{"estimates", "omitted"}, "a partial report that looks complete"},
		{"callers", []string{"callers"}, "jobs with much work counted as late for their callers, and jobs with little as in time"},
		{"stops", []string{"stops"}, "stopped runs without their cost, and ends of runs counted as stops"},
		{"answers", []string{"answers-1", "answers-2"}, "answers of instances whose zone is known late, never, or isn't logged by an older version; unknown outcomes counted as rejections; a line that was cut off"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := loss.New()
			for _, name := range tt.logs {
				f, err := os.Open(filepath.Join("testdata", name+".log"))
				is.NoErr(err)
				defer f.Close()
				is.NoErr(table.Read(name, f))
			}
			report := table.Report()
			t.Log("guards against", tt.guards)
			for line := range strings.Lines(report) {
				is.True(utf8.RuneCountInString(line) <= maxColumns)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, tt.name, []byte(report))
		})
	}
}
