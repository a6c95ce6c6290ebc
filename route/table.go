// Package route holds the immutable snapshot that control publishes and
// traffic reads: services, the replicas on this instance's own workers, and
// the peers that requests may be forwarded to.
//
// Usage:
//
//	pointer.Store(table)            // control
//	table := pointer.Load()         // traffic, once per request
//	service, ok := table.Services[name]
//
// A Table is never changed after it was published.
package route

import "time"

// Table is one snapshot.
type Table struct {
	Instance         string
	AvailabilityZone string
	Revision         uint64 // of the configuration
	Leaving          bool   // this instance takes no new requests
	Services         map[string]Service
	Backends         map[string][]Backend // by service
	Peers            []Peer
}

// Service is what routing needs to know of a service.
type Service struct {
	Name       string
	Group      string
	Weight     float64       // the group's part of shared slots under overload
	Timeout    time.Duration // default deadline of a request
	Idempotent bool          // every method may be repeated
	Queue      int           // bound on requests that wait here
	Slots      int           // slots the group may hold on this instance
}

// Backend is a replica of a service on an owned worker.
type Backend struct {
	Worker           string
	Address          string // host:port
	AvailabilityZone string
	Epoch            uint64    // the lease's epoch, sent with each request
	Until            time.Time // the lease may not be used from then on (monotonic clock)
	Slots            int
}

// Peer is another entry instance.
type Peer struct {
	ID               string
	Address          string // host:port of its peer listener
	AvailabilityZone string
	Free             map[string]int // free slots by service, when heard
	Heard            time.Time
}
