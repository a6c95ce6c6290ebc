// Package roster holds the roster of a cell: its owner, whether the owner is alive, and the
// standbys, which are the instances that follow the streams of all jobs. Only standbys
// answer queries by themselves and succeed the owner; all other instances ask them.
//
// Usage, by the owner:
//
//	record, err := roster.HeartbeatRecord(roster.Heartbeat{Term: term, Count: n, Owner: "edge-1"})
//	record, err := roster.MembersRecord(term, members)
//
// and by every instance:
//
//	r := roster.New()
//	err := r.Apply(record) // of stream roster.Stream
//	members := r.Members()
//
// The roster is small and changes seldom, so that all instances can read it where only few
// can read the state of all jobs.
package roster

import (
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Stream is the keyed stream of the roster. Only the owner writes to it, fenced by its term.
const Stream = "roster"

// Keys of the stream's records.
const (
	heartbeatKey = "heartbeat"
	membersKey   = "members"
)

// Member is an instance that follows the streams of all jobs.
type Member struct {
	ID               string `cbor:"1,keyasint"`
	Address          string `cbor:"2,keyasint"` // host:port for queries
	AvailabilityZone string `cbor:"3,keyasint"`
}

// Heartbeat tells that the owner is alive, and what waits for it.
type Heartbeat struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"` // of the term's heartbeats
	Owner string `cbor:"3,keyasint"` // ID of the owner
	// Backlog is nil if the owner keeps up and no pool is full.
	Backlog *overload.Backlog `cbor:"4,keyasint,omitempty"`
}

type memberList struct {
	Term    uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// HeartbeatRecord returns the record of a heartbeat.
func HeartbeatRecord(h Heartbeat) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(h)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "heartbeat of owner %s", h.Owner)
	}
	return provider.KeyedRecord{Key: heartbeatKey, Value: data}, nil
}

// MembersRecord returns the record of the standbys that the owner of a term has selected.
func MembersRecord(term uint64, members []Member) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(memberList{Term: term, Members: members})
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "list of %d standbys", len(members))
	}
	return provider.KeyedRecord{Key: membersKey, Value: data}, nil
}

// Roster is the roster as read so far. It is safe for concurrent use.
type Roster struct {
	mu        sync.Mutex
	heartbeat Heartbeat
	list      memberList
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{}
}

// Apply applies a record of Stream. A record of an earlier term changes nothing.
func (r *Roster) Apply(record provider.KeyedRecord) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch record.Key {
	case heartbeatKey:
		var h Heartbeat
		if err := cbor.Unmarshal(record.Value, &h); err != nil {
			return fault.Wrap(fault.Invalid, err, "record of the owner's heartbeat")
		}
		if h.Term >= r.heartbeat.Term {
			r.heartbeat = h
		}
		return nil
	case membersKey:
		var l memberList
		if err := cbor.Unmarshal(record.Value, &l); err != nil {
			return fault.Wrap(fault.Invalid, err, "record of the standbys")
		}
		if l.Term >= r.list.Term {
			r.list = l
		}
		return nil
	}
	return fault.New(fault.Invalid, "unknown key %q", record.Key)
}

// Heartbeat returns the newest heartbeat. Its term is zero if there was none.
func (r *Roster) Heartbeat() Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeat
}

// Members returns the standbys. The caller must not change them.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Members
}

// Names reports whether an instance is a standby.
func (r *Roster) Names(id string) bool {
	return slices.ContainsFunc(r.Members(), func(m Member) bool { return m.ID == id })
}
