// Package route defines the routing table, an immutable snapshot that the
// control side publishes and the traffic side reads: the services, the replicas
// on this instance's own workers, and the peers that requests may be forwarded
// to.
//
// Usage:
//
//	pointer.Store(table)            // control side
//	table := pointer.Load()         // traffic side, once per request
//	service, ok := table.Services[name]
//
// A Table must not be changed after it was published.
package route

import "time"

// Table is a snapshot of the routing information.
type Table struct {
	Instance         string
	AvailabilityZone string
	Revision         uint64 // of the configuration
	Leaving          bool   // this instance takes no new requests
	Services         map[string]Service
	Backends         map[string][]Backend // by service
	Peers            []Peer
}

// Service holds the routing settings of a service.
type Service struct {
	Name       string
	Group      string
	Weight     float64       // of the group when slots are shared under overload
	Timeout    time.Duration // of a request without a deadline
	Idempotent bool          // requests of every method may be retried
	MaxQueue   int           // maximum number of requests waiting at this instance
	GroupSlots int           // maximum number of slots of the group on this instance
}

// Backend is a replica of a service on an owned worker.
type Backend struct {
	Worker           string
	Address          string // host:port
	AvailabilityZone string
	Epoch            uint64    // the lease's epoch, sent with each request
	LeaseUntil       time.Time // the lease must not be used from then on (monotonic clock)
	Slots            int
}

// Peer is another entry instance.
type Peer struct {
	ID               string
	Address          string // host:port of its peer listener
	AvailabilityZone string
	Free             map[string]int // free slots by service, as of LastContact
	LastContact      time.Time      // when the peer's last heartbeat arrived
}
