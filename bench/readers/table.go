package readers

import (
	"fmt"
	"io"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// Table plays an outage of the store for two fifths and for all of the readers, with fixed
// bounds of reads and with those of package pacing, and prints a Markdown table.
func Table(w io.Writer, seed uint64, sizes []int) error {
	policies := []struct {
		name string
		opts []Option
	}{
		{"fixed", []Option{WithPolicy(NewFixed)}},
		{"paced", nil},
	}
	lines := []string{
		"| readers | cut off | bounds | current again after | answers given up | reads rejected | GB transmitted | of these useful |",
		"|--:|--:|---|--:|--:|--:|--:|--:|",
	}
	for _, n := range sizes {
		for _, share := range []float64{0.4, 1} {
			for _, p := range policies {
				opts := append([]Option{WithSeed(seed), WithReaders(n), WithOutage(share, 9*time.Second)}, p.opts...)
				lines = append(lines, New(opts...).Run().row(share, p.name))
			}
		}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fault.Wrap(fault.Internal, err, "print table")
		}
	}
	return nil
}

func (r Result) row(share float64, policy string) string {
	caughtUp := "never"
	if r.CaughtUp > 0 {
		caughtUp = r.CaughtUp.String()
	}
	return fmt.Sprintf("| %d | %.0f%% | %s | %s | %d | %d | %.2f | %.0f%% |",
		r.Readers, 100*share, policy, caughtUp, r.GivenUp, r.Rejected, r.Transmitted/1e9, 100*r.Useful/r.Transmitted)
}
