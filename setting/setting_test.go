package setting

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap/zapcore"
)

// TestParseBad has one case for each pair of files in testdata/bad: a settings file and
// the problems that must be reported for it.
func TestParseBad(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			s, err := Parse(filepath.Base(file), data)
			is.True(err != nil) // rejected
			is.Equal(s, nil)    // no partial settings
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/bad"))
			golden.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/instance.yaml")
	is.NoErr(err)
	s, err := Parse("instance.yaml", data)
	is.NoErr(err)
	want := Default()
	want.Instance = "kurasini-1"
	want.AvailabilityZone = "kurasini"
	want.CallerAddress = netip.MustParseAddrPort("10.1.0.7:8080")
	want.PeerAddress = netip.MustParseAddrPort("10.1.0.7:8081")
	want.OperatorAddress = netip.MustParseAddrPort("127.0.0.1:8082")
	want.LogAddress = netip.MustParseAddrPort("10.1.0.2:9000")
	want.ListAddress = netip.MustParseAddrPort("[fd00::2]:9001")
	want.LogLevel = zapcore.WarnLevel
	want.Limits = Limits{Connections: 5000, Memory: 1 << 30}
	want.Timing.HeartbeatInterval = time.Second
	want.Timing.TaskLease = 2 * time.Minute
	is.Equal(*s, want)
}

func TestDefaultsHoldRelations(t *testing.T) {
	for _, r := range relations {
		is.New(t).True(r.holds(Default().Timing)) // see r.reason
	}
}

func TestTable(t *testing.T) {
	goldie.New(t).Assert(t, "table", []byte(Table()))
}
