package mixed_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/bench/mixed"
	"github.com/dogwoodladder/dogwoodladder/fault"
)

func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	tables := make([]string, 2)
	for i := range tables {
		var out strings.Builder
		b := mixed.New(mixed.WithSeeds(1), mixed.WithDuration(12*time.Minute), mixed.WithSections("objectives"))
		is.NoErr(b.Run(&out))
		tables[i] = out.String()
	}
	is.Equal(tables[0], tables[1])
	is.Equal(strings.Count(tables[0], "\n| "), 5) // a header and four rows
}

func TestUnknownSectionIsRefused(t *testing.T) {
	is := is.New(t)
	err := mixed.New(mixed.WithSections("nothing")).Run(&strings.Builder{})
	is.True(fault.Is(err, fault.Invalid))
}
