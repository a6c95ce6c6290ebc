// Package manifest reads the operators' declarative file, which holds the
// whole desired state: availability zones, groups with their shares, the
// services that run in every zone, and the batch jobs.
//
// Usage:
//
//	m, err := manifest.Parse("site.yaml", data)
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one line for each problem: file:line:column: reason
//		return err
//	}
//	if err := m.Follow(inForce); err != nil { // jobs keep the zone they have
//		return err
//	}
//	published, err := m.Encode()
//
// A manifest is accepted whole or refused whole. What Limits and Tasks return
// depends on the manifest alone, so every instance computes the same.
package manifest

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Problems is the error of a refused manifest: every problem found, sorted
// by place.
type Problems = document.Problems

// Manifest is the whole desired state.
type Manifest struct {
	AvailabilityZones []AvailabilityZone
	Groups            []Group
	Services          []Service
	Jobs              []Job

	places map[jobKey]document.Place // where Parse found each job
}

// AvailabilityZone is a zone and what its workers hold together.
type AvailabilityZone struct {
	Name     string
	Region   string
	Capacity resource.Vector
}

// Group is a team with a share of the whole.
type Group struct {
	Name  string
	Share Share
}

// Share is what a group may hold, of each resource. A zone listed in Zones
// has its own portion in place of the share; over all zones the group still
// holds no more than its share of the whole.
type Share struct {
	Portion
	Zones map[string]Portion
}

// In returns the portion of the zone that the group may hold.
func (s Share) In(zone string) Portion {
	if p, ok := s.Zones[zone]; ok {
		return p
	}
	return s.Portion
}

// Portion is a percentage of each resource.
type Portion struct {
	Processors   Percent
	Memory       Percent
	Accelerators Percent
}

// Of returns the portion of whole, rounded down.
func (p Portion) Of(whole resource.Vector) resource.Vector {
	return resource.Vector{
		Processors:   p.Processors.of(whole.Processors),
		Memory:       p.Memory.of(whole.Memory),
		Accelerators: p.Accelerators.of(whole.Accelerators),
	}
}

// Service is a latency-critical service that runs in every zone.
type Service struct {
	Name       string
	Group      string
	Replicas   int             // in each availability zone
	Need       resource.Vector // of one replica
	Slots      int             // concurrent requests of one replica
	Timeout    time.Duration   // default deadline of a request
	Idempotent bool            // every request may be repeated
	Queue      int             // bound on requests that wait at one instance
	Command    string          // opaque to the scheduler
}

// Job is batch work of one or more equal tasks.
type Job struct {
	Name             string
	Group            string
	Need             resource.Vector // of one task
	Tasks            int
	Command          string        // opaque to the scheduler
	Duration         time.Duration // expected run time of one task; zero when not known
	Urgent           bool
	AvailabilityZone string // empty: chosen by hash
}

// jobKey tells jobs apart: two groups may use the same name.
type jobKey struct {
	group string
	name  string
}

func (j Job) key() jobKey {
	return jobKey{j.Group, j.Name}
}

func (m *Manifest) zone(name string) *AvailabilityZone {
	return find(m.AvailabilityZones, func(z AvailabilityZone) bool { return z.Name == name })
}

func (m *Manifest) group(name string) *Group {
	return find(m.Groups, func(g Group) bool { return g.Name == name })
}

func (m *Manifest) service(name string) *Service {
	return find(m.Services, func(s Service) bool { return s.Name == name })
}

func find[T any](list []T, match func(T) bool) *T {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		return nil
	}
	return &list[i]
}
