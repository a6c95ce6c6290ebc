package batch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/bench/batch"
)

func small() batch.Size {
	return batch.Size{
		AvailabilityZones: 2, Instances: 6, Workers: 22, Groups: 4, Services: 4,
		Replicas: 16, Tasks: 60, StartsPerSecond: 1, Queued: 200,
	}
}

func TestSectionsPrint(t *testing.T) {
	for _, c := range []struct {
		section string
		title   string
	}{
		{"steady", "### Baselines"},
		{"fold", "### Fold"},
		{"outage", "### The log down for 1m0s"},
	} {
		t.Run(c.section, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			b := batch.New(batch.WithSize(small()), batch.WithSections(c.section), batch.WithWindow(10*time.Second),
				batch.WithOutage(time.Minute), batch.WithParallel(2))
			is.NoErr(b.Run(&out))
			is.True(strings.Contains(out.String(), c.title))
		})
	}
}

// The figures taken in virtual time must depend on the seed alone.
func TestMeasureRepeats(t *testing.T) {
	is := is.New(t)
	var figures [2]batch.Figures
	for i := range figures {
		f, err := batch.New(batch.WithWindow(10 * time.Second)).Measure(small())
		is.NoErr(err)
		figures[i] = f
	}
	is.True(figures[0].StartsPerSecond > 0)
	is.Equal(figures[0].StartsPerSecond, figures[1].StartsPerSecond)
	is.Equal(figures[0].AppendsPerSecond, figures[1].AppendsPerSecond)
	is.Equal(figures[0].Bytes["zone stream, read"], figures[1].Bytes["zone stream, read"])
}
