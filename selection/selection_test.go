package selection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/roster"
	"github.com/dogwoodladder/dogwoodladder/selection"
)

// candidates returns n instances in each of some zones, the first large of each zone with
// more processors.
func candidates(zones, n, large int) []selection.Candidate {
	var all []selection.Candidate
	for z := range zones {
		for i := range n {
			c := selection.Candidate{Member: roster.Member{ID: fmt.Sprintf("z%d-%03d", z, i), AvailabilityZone: fmt.Sprintf("z%d", z)}, Processors: 0.2}
			if i < large {
				c.Processors = 1.6
			}
			all = append(all, c)
		}
	}
	return all
}

// play selects standbys every half second; those that aren't down send heartbeats.
func play(s *selection.Selector, from, until time.Duration, all []selection.Candidate, down func(id string) bool) []roster.Member {
	var members []roster.Member
	for now := from; now < until; now += 500 * time.Millisecond {
		members = s.Select(now, all)
		for _, m := range members {
			if !down(m.ID) {
				s.Heard(now, m.ID)
			}
		}
	}
	return members
}

func none(string) bool { return false }

func TestNumberOfStandbys(t *testing.T) {
	tests := []struct {
		zones, instances, large int
		standbys                int
	}{
		{1, 1, 0, 1},
		{3, 3, 0, 9},
		{3, 10, 0, 12},
		{5, 117, 12, 20},
		{5, 480, 12, 20}, // the same at four times the size
	}
	for _, tt := range tests {
		is := is.New(t)
		all := candidates(tt.zones, tt.instances, tt.large)
		members := play(selection.New(), 0, 10*time.Second, all, none)
		is.Equal(len(members), tt.standbys)
		for _, m := range members {
			i := slices.IndexFunc(all, func(c selection.Candidate) bool { return c.ID == m.ID })
			is.True(tt.large == 0 || all[i].Processors > 1) // large ones first
		}
	}
}

// Guards against a zone without standbys after most of its instances were lost.
func TestLostStandbysAreReplaced(t *testing.T) {
	tests := []struct {
		name string
		down func(id string) bool
	}{
		{"large ones", func(id string) bool { return id < "z0-012" }},
		{"all but five", func(id string) bool { return id < "z0-095" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			all := candidates(1, 100, 12)
			s := selection.New()
			play(s, 0, 10*time.Second, all, none)
			members := play(s, 10*time.Second, 10*time.Minute, all, tt.down)
			live := 0
			for _, m := range members {
				if !tt.down(m.ID) {
					live++
				}
			}
			is.True(live >= 2)
		})
	}
}

// Guards against a zone whose large instances aren't selected for minutes after it was cut off
// for some seconds.
func TestZoneComesBack(t *testing.T) {
	is := is.New(t)
	all := candidates(2, 100, 12)
	s := selection.New()
	before := play(s, 0, 10*time.Second, all, none)
	play(s, 10*time.Second, 20*time.Second, all, func(id string) bool { return id < "z1" })
	is.Equal(play(s, 20*time.Second, time.Minute, all, none), before)
}

// Guards against standbys that change without cause, each of which reads the state of all
// jobs anew.
func TestSelectionIsStable(t *testing.T) {
	is := is.New(t)
	all := candidates(5, 117, 12)
	s := selection.New()
	before := play(s, 0, 10*time.Second, all, none)
	successor := selection.New()
	successor.Adopt(0, before)
	slices.Reverse(all)
	is.Equal(play(successor, 0, 10*time.Second, all, none), before)
}

// Guards against a zone that loses its working standbys the moment that others are selected,
// which have yet to read the state of all jobs.
func TestOthersStayUntilPreferredOnesWork(t *testing.T) {
	is := is.New(t)
	small := candidates(1, 6, 0)
	s := selection.New()
	before := play(s, 0, 10*time.Second, small, none)
	all := candidates(1, 12, 6) // the first six are larger now
	members := s.Select(11*time.Second, append(all[:0:0], slices.Concat(small, rename(all))...))
	for _, m := range before {
		is.True(slices.Contains(members, m))
	}
}

func rename(all []selection.Candidate) []selection.Candidate {
	for i := range all {
		all[i].ID = "new-" + all[i].ID
	}
	return all
}
