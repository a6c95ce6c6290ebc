// Package selection selects the standbys of a cell's owner: a few instances in each
// availability zone, those with the most processors first.
//
// Usage, by the owner:
//
//	s := selection.New()
//	s.Adopt(now, members)              // the standbys of the owner before
//	s.Heard(now, "edge-1")             // after each heartbeat of a standby
//	members := s.Select(now, candidates)
//
// The number of standbys doesn't grow with the number of instances, since each of them reads
// the state of all jobs.
package selection

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/rendezvous"
	"github.com/dogwoodladder/dogwoodladder/roster"
)

const (
	// standbysPerZone is how many instances of a zone are standbys: the loss of a few
	// leaves one in the zone.
	standbysPerZone = 4
	// heartbeatTimeout is the time without a heartbeat after which a standby counts as
	// failed. Standbys send one every 2.5 s.
	heartbeatTimeout = 7 * time.Second
	// firstAvoidTime is how long a failed instance isn't selected again. Most are back after
	// some seconds.
	firstAvoidTime = 15 * time.Second
	// laterAvoidTime is the same for one that has sent no heartbeat since it failed before.
	laterAvoidTime = 5 * time.Minute
)

// Candidate is an instance that can be a standby.
type Candidate struct {
	roster.Member
	Processors float64
}

// Selector selects standbys. It isn't safe for concurrent use.
type Selector struct {
	lastSign map[string]time.Duration // by ID of a selected instance, its last heartbeat or the time of its selection
	heard    map[string]bool          // selected instances that have sent a heartbeat
	avoided  map[string]time.Duration // by ID of a failed instance, until when
	failed   map[string]bool          // instances that have sent no heartbeat since they failed
}

// New returns a Selector without standbys.
func New() *Selector {
	return &Selector{
		lastSign: make(map[string]time.Duration),
		heard:    make(map[string]bool),
		avoided:  make(map[string]time.Duration),
		failed:   make(map[string]bool),
	}
}

// Adopt takes over the standbys of another owner.
func (s *Selector) Adopt(now time.Duration, members []roster.Member) {
	for _, m := range members {
		s.Heard(now, m.ID)
	}
}

// Heard handles the heartbeat of a standby.
func (s *Selector) Heard(now time.Duration, id string) {
	s.lastSign[id] = now
	s.heard[id] = true
	delete(s.avoided, id)
	delete(s.failed, id)
}

// Select returns the standbys by ID. Candidates are all instances that are listed, of which
// some may have failed.
func (s *Selector) Select(now time.Duration, candidates []Candidate) []roster.Member {
	s.expire(now, candidates)
	zones := make(map[string][]Candidate)
	for _, c := range candidates {
		zones[c.AvailabilityZone] = append(zones[c.AvailabilityZone], c)
	}
	var members []roster.Member
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members = append(members, s.selectInZone(zone, zones[zone])...)
	}
	for _, m := range members {
		if _, selected := s.lastSign[m.ID]; !selected {
			s.lastSign[m.ID] = now
		}
	}
	slices.SortFunc(members, func(a, b roster.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// expire drops standbys that have failed or aren't listed any more.
func (s *Selector) expire(now time.Duration, candidates []Candidate) {
	listed := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		listed[c.ID] = true
	}
	for id, at := range s.lastSign {
		failed := now-at > heartbeatTimeout
		if failed {
			s.avoid(now, id)
		}
		if failed || !listed[id] {
			delete(s.lastSign, id)
			delete(s.heard, id)
		}
	}
	maps.DeleteFunc(s.avoided, func(_ string, until time.Duration) bool { return now >= until })
	maps.DeleteFunc(s.failed, func(id string, _ bool) bool { return !listed[id] })
}

// avoid keeps a failed instance from being selected for a time.
func (s *Selector) avoid(now time.Duration, id string) {
	d := firstAvoidTime
	if s.failed[id] {
		d = laterAvoidTime
	}
	s.avoided[id] = now + d
	s.failed[id] = true
}

// selectInZone returns the preferred instances of a zone and, until all of them have sent a
// heartbeat, the others that are standbys already.
func (s *Selector) selectInZone(zone string, candidates []Candidate) []roster.Member {
	preferred := s.preferred(zone, candidates)
	members := make([]roster.Member, 0, 2*standbysPerZone)
	allHeard := true
	for _, c := range preferred {
		members = append(members, c.Member)
		allHeard = allHeard && s.heard[c.ID]
	}
	if allHeard {
		return members
	}
	for _, c := range candidates {
		isMember := slices.ContainsFunc(preferred, func(p Candidate) bool { return p.ID == c.ID })
		if s.heard[c.ID] && !isMember && len(members) < 2*standbysPerZone {
			members = append(members, c.Member)
		}
	}
	return members
}

// preferred returns the instances of a zone that should be standbys. Failed ones are chosen
// only where there are no others.
func (s *Selector) preferred(zone string, candidates []Candidate) []Candidate {
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	rank := make(map[string]int, len(ids))
	for i, id := range rendezvous.Order(zone, ids) {
		rank[id] = i
	}
	ordered := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(s.avoided[a.ID], s.avoided[b.ID]), // zero for those that haven't failed
			cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(rank[a.ID], rank[b.ID]),
		)
	})
	return ordered[:min(standbysPerZone, len(ordered))]
}
