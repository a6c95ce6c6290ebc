// Package queue is the operators' configuration of batch queues: which queue
// a request belongs to, which pool of workers serves it, and on what terms.
//
// Usage:
//
//	table := queue.New(version, queues, services)
//	q, rest, ok := table.Find("nony24.example", "/lohu930/5c0e7a21d94b36f8")
//
// A Table doesn't change and may be shared.
package queue

import (
	"strings"

	"github.com/dogwoodladder/dogwoodladder/job"
)

// Queue is a named entrance for jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string // of the path; the longest that fits wins
	Terms  job.Terms
}

// Service is a pool of workers.
type Service struct {
	Name    string
	Guarded bool // its workers refuse what doesn't fit
	Standby bool // its workers are switched off until they are moved elsewhere
}

// Limits bound what a caller may send.
type Limits struct {
	Body   int64 // bytes of a body
	Header int   // bytes of the header
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	queues   []Queue
	byHost   map[string][]int
	byName   map[string]int
	services map[string]Service
}

// New returns the Table of a version.
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

// Find returns the queue of a request and what follows its prefix.
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

// Named returns the queue of a name.
func (t *Table) Named(name string) (*Queue, bool) {
	i, ok := t.byName[name]
	if !ok {
		return nil, false
	}
	return &t.queues[i], true
}

// Service returns the pool of a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Serves reports whether any queue sends its tasks to a pool.
func (t *Table) Serves(service string) bool {
	for i := range t.queues {
		if t.queues[i].Terms.Service == service {
			return true
		}
	}
	return false
}
