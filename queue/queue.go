// Package queue holds the operators' configuration of batch queues: which queue
// a request belongs to, which pool of workers runs its jobs, and on which terms.
//
// Usage:
//
//	table := queue.New(version, queues, services)
//	q, rest, ok := table.Find("nony24.example", "/lohu930/5c0e7a21d94b36f8")
//
// A Table is immutable and may be shared.
package queue

import (
	"strings"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Queue accepts the jobs of requests with a host and a path prefix.
type Queue struct {
	Name   string
	Host   string
	Prefix string // of the path; the longest match wins
	Terms  job.Terms
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse tasks that exceed their capacity
	Standby          bool // its workers are off until they are moved to another pool
}

// Limits bound the size of a request.
type Limits struct {
	Body   int64 // bytes of a body
	Header int   // bytes of the header
}

// Table holds one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	queues   []Queue
	byHost   map[string][]int
	byName   map[string]int
	services map[string]Service
}

// New returns a Table with a version.
func New(version uint64, limits Limits, queues []Queue, services []Service) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		queues:   queues,
		byHost:   make(map[string][]int),
		byName:   make(map[string]int),
		services: make(map[string]Service),
	}
	for i := range queues {
		host := strings.ToLower(queues[i].Host)
		t.byHost[host] = append(t.byHost[host], i)
		t.byName[queues[i].Name] = i
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Find returns the queue of a request and the rest of the path after its prefix.
func (t *Table) Find(host, path string) (*Queue, string, bool) {
	best := -1
	for _, i := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, t.queues[i].Prefix) && (best < 0 || len(t.queues[i].Prefix) > len(t.queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return nil, "", false
	}
	return &t.queues[best], path[len(t.queues[best].Prefix):], true
}

// ByName returns the queue with a name.
func (t *Table) ByName(name string) (*Queue, bool) {
	i, ok := t.byName[name]
	if !ok {
		return nil, false
	}
	return &t.queues[i], true
}

// Service returns the pool with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Serves reports whether any queue uses a pool.
func (t *Table) Serves(service string) bool {
	for i := range t.queues {
		if t.queues[i].Terms.Service == service {
			return true
		}
	}
	return false
}
