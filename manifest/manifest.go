// Package manifest parses the operators' declarative file, which contains the
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
//	if err := m.AssignZones(inForce); err != nil { // jobs keep their zones
//		return err
//	}
//	published, err := m.Encode()
//
// A manifest is accepted or refused as a whole. The results of Limits and Tasks
// depend only on the manifest, so every instance computes the same.
package manifest

import (
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/document"
	"github.com/dogwoodladder/dogwoodladder/resource"
)

// Problems is the error of a refused manifest: all problems found, sorted by
// position.
type Problems = document.Problems

// Manifest is the whole desired state.
type Manifest struct {
	AvailabilityZones []AvailabilityZone
	Groups            []Group
	Services          []Service
	Jobs              []Job

	places map[jobKey]document.Place // position of each job in the file
}

// AvailabilityZone is a zone with the total capacity of its workers.
type AvailabilityZone struct {
	Name     string
	Region   string
	Capacity resource.Vector
}

// Group is a team with its share of the resources.
type Group struct {
	Name  string
	Share Share
}

// Share is the part of each resource that a group may use. A portion in Zones
// replaces the share in that zone; over all zones the group still uses no more
// than its share of the total.
type Share struct {
	Portion
	Zones map[string]Portion
}

// In returns the portion of the zone that the group may use.
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

// Of returns this portion of whole, rounded down.
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
	Idempotent bool            // requests may be repeated
	Queue      int             // maximum requests queued at one instance
	Command    string          // opaque to the scheduler
}

// Job is batch work of one or more equal tasks.
type Job struct {
	Name             string
	Group            string
	Need             resource.Vector // of one task
	Tasks            int
	Command          string        // opaque to the scheduler
	Duration         time.Duration // expected run time of one task; zero if unknown
	Urgent           bool
	AvailabilityZone string // empty: chosen by hash
}

// jobKey identifies a job: two groups may use the same name.
type jobKey struct {
	group string
	name  string
}

func (j Job) key() jobKey {
	return jobKey{j.Group, j.Name}
}

func (m *Manifest) zone(name string) *AvailabilityZone {
	return findFirst(m.AvailabilityZones, func(z AvailabilityZone) bool { return z.Name == name })
}

func (m *Manifest) group(name string) *Group {
	return findFirst(m.Groups, func(g Group) bool { return g.Name == name })
}

func (m *Manifest) service(name string) *Service {
	return findFirst(m.Services, func(s Service) bool { return s.Name == name })
}

func findFirst[T any](list []T, match func(T) bool) *T {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		return nil
	}
	return &list[i]
}
