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
	return printLines(w, lines)
}

func printLines(w io.Writer, lines []string) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fault.Wrap(fault.Internal, err, "print table")
		}
	}
	return nil
}

// Sizes of the distribution through standbys.
const (
	standbys      = 20    // of five availability zones
	linkBandwidth = 125e6 // of a standby in bytes a second
)

// versions are the options of a storm of configurations: six within two seconds.
func versions(seed uint64, bytes int) []Option {
	return []Option{WithSeed(seed), WithOutage(0, 0), WithVersions(6, bytes, 400*time.Millisecond), WithLength(30 * time.Second)}
}

// Direct plays the storm with all instances reading the store.
func Direct(seed uint64, instances, bytes int) Result {
	return New(append(versions(seed, bytes), WithReaders(instances))...).Run()
}

// Distributed plays the storm with a few standbys reading the store, of each of which its
// share of the other instances reads. The ages of both steps add up.
func Distributed(seed uint64, instances, bytes int) Result {
	first := Direct(seed, standbys, bytes)
	second := New(append(versions(seed, bytes), WithReaders((instances+standbys-1)/standbys), WithBandwidth(linkBandwidth))...).Run()
	first.Readers = instances
	first.Oldest += second.Oldest
	first.CaughtUp += second.CaughtUp
	return first
}

// Versions prints how long a storm of configurations takes to reach all instances, as a
// Markdown table.
func Versions(w io.Writer, seed uint64, sizes []int, bytes int) error {
	lines := []string{
		"| instances | way | last version in force at all after | oldest configuration in force | answers given up | GB read from the store |",
		"|--:|---|--:|--:|--:|--:|",
	}
	for _, n := range sizes {
		lines = append(lines, Direct(seed, n, bytes).versionsRow("each reads the store"), Distributed(seed, n, bytes).versionsRow("through standbys"))
	}
	return printLines(w, lines)
}

func (r Result) versionsRow(way string) string {
	return fmt.Sprintf("| %d | %s | %v | %v | %d | %.3f |", r.Readers, way, r.CaughtUp, r.Oldest, r.GivenUp, r.Transmitted/1e9)
}

func (r Result) row(share float64, policy string) string {
	caughtUp := "never"
	if r.CaughtUp > 0 {
		caughtUp = r.CaughtUp.String()
	}
	return fmt.Sprintf("| %d | %.0f%% | %s | %s | %d | %d | %.2f | %.0f%% |",
		r.Readers, 100*share, policy, caughtUp, r.GivenUp, r.Rejected, r.Transmitted/1e9, 100*r.Useful/r.Transmitted)
}
