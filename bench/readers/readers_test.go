package readers_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/bench/readers"
	"github.com/dogwoodladder/dogwoodladder/pacing"
)

// idealCatchUp returns how long the store's spare bandwidth needs for what the cut readers
// missed.
func idealCatchUp(n int, written, share float64, outage time.Duration) time.Duration {
	missed := share * float64(n) * written * outage.Seconds()
	spare := readers.Bandwidth - float64(n)*written
	return time.Duration(missed / spare * float64(time.Second))
}

// Guards against a congestion that sustains itself: readers that return at the same moment
// give up the answers that they wait for and ask for the same again, without end.
func TestCongestionEnds(t *testing.T) {
	const outage = 9 * time.Second
	tests := []struct {
		name    string
		readers int
		share   float64
		written float64
		fixed   bool // whether readers with fixed bounds stay congested
	}{
		{"two fifths return", 600, 0.4, 40e3, false},
		{"the store returns for all", 600, 1, 40e3, true},
		{"two fifths of twice as many", 1200, 0.4, 40e3, true},
		{"all of twice as many", 1200, 1, 40e3, true},
		{"two fifths of four times as many", 2400, 0.4, 25e3, true},
		{"all of four times as many", 2400, 1, 25e3, true},
	}
	outages := []struct {
		bound  time.Duration
		silent bool
	}{
		{pacing.DefaultReturnBound, false},
		{2 * time.Second, false},
		{2 * time.Second, true},
		{4 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			play := func(opts ...readers.Option) readers.Result {
				opts = append(opts, readers.WithReaders(tt.readers), readers.WithOutage(tt.share, outage), readers.WithWrites(tt.written))
				return readers.New(opts...).Run()
			}
			fixed := play(readers.WithPolicy(readers.NewFixed))
			is.Equal(fixed.CaughtUp == 0, tt.fixed)
			for _, o := range outages {
				opts := []readers.Option{readers.WithPolicy(readers.Paced(o.bound))}
				if o.silent {
					opts = append(opts, readers.WithSilence())
				}
				paced := play(opts...)
				t.Log(o, paced)
				is.True(paced.CaughtUp > 0)
				is.True(paced.CaughtUp <= 2*time.Second+5*idealCatchUp(tt.readers, tt.written, tt.share, outage)/2)
				is.True(paced.Useful > 0.9*paced.Transmitted)
				is.True(paced.Noticed <= o.bound)
			}
		})
	}
}

// Guards against readers that stay behind after the store was slowed down 60 times.
func TestSlowStoreRecovers(t *testing.T) {
	for _, n := range []int{600, 1200} {
		is := is.New(t)
		r := readers.New(readers.WithReaders(n), readers.WithOutage(0, 5*time.Second), readers.WithSlowStore(60)).Run()
		t.Log(r)
		is.True(r.CaughtUp > 0)
		is.True(r.CaughtUp < 30*time.Second)
	}
}

// Guards against versions of a configuration that reach instances later than their bound,
// because each instance reads each of them from the store.
func TestConfigurationReachesAll(t *testing.T) {
	const bound = 5 * time.Second
	const bytes = 60_000
	is := is.New(t)
	is.True(readers.Direct(1, 2400, bytes).Oldest > bound)
	for _, n := range []int{600, 1200, 2400, 4800} {
		r := readers.Distributed(1, n, bytes)
		t.Log(r)
		is.True(r.CaughtUp > 0)
		is.True(r.Oldest < bound)
	}
}

func TestTable(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(readers.Table(&out, 1, []int{100, 300}))
	is.Equal(strings.Count(out.String(), "\n"), 2+2*4)
}
