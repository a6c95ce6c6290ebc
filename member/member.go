package member

//go:generate go tool stringer -type=State,Outcome -linecomment -output=strings.go

import "time"

// State is the state of a member in one instance's view.
type State int

// States of a member. Live and Suspect members own workers; Isolated is
// only ever the state of the instance itself.
const (
	Unknown    State = iota // unknown
	Joining                 // joining
	Live                    // live
	Suspect                 // suspect
	Dead                    // dead
	Leaving                 // leaving
	Left                    // left
	Isolated                // isolated
	stateCount              // states
)

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Outcome is the result of handling a heartbeat.
type Outcome int

// Outcomes of a heartbeat. Accepted and Restarted are direct evidence, the
// latter of a newer incarnation under a known ID. Duplicate isn't newer than
// the last heartbeat of its incarnation, and Outdated is from an incarnation
// that was replaced. Replaced means that a newer incarnation of the table's own
// instance exists, so this one should stop. Rejected is malformed or above the
// bound on members.
const (
	Accepted  Outcome = iota // accepted
	Restarted                // restarted
	Duplicate                // duplicate
	Outdated                 // outdated
	Replaced                 // replaced
	Rejected                 // rejected
)

// Self names the instance that holds a Table.
type Self struct {
	ID               string
	AvailabilityZone string
	Incarnation      uint64 // grows with each restart under the same ID
}

// Heartbeat is the message with which an instance announces itself to its peers.
type Heartbeat struct {
	ID               string         `cbor:"1,keyasint,omitempty"`
	AvailabilityZone string         `cbor:"2,keyasint,omitempty"`
	Address          string         `cbor:"3,keyasint,omitempty"` // host:port of its peer listener
	Incarnation      uint64         `cbor:"4,keyasint,omitempty"`
	Leaving          bool           `cbor:"5,keyasint,omitempty"` // never reset within an incarnation
	Revision         uint64         `cbor:"6,keyasint,omitempty"` // newest configuration it holds
	Digest           string         `cbor:"7,keyasint,omitempty"` // of that configuration
	Free             map[string]int `cbor:"8,keyasint,omitempty"` // free slots by service
	Sequence         uint64         `cbor:"9,keyasint,omitempty"` // grows within an incarnation
}

// Member is the view of one instance.
type Member struct {
	ID               string         `json:"id"`
	AvailabilityZone string         `json:"zone"`
	Address          string         `json:"address"`
	Incarnation      uint64         `json:"incarnation"` // zero before the first heartbeat
	State            State          `json:"state"`
	Since            time.Time      `json:"since"`  // when it entered the state
	Heard            time.Time      `json:"heard"`  // last heartbeat, zero for none
	Deaths           int            `json:"deaths"` // reset after the member was live for long enough
	Listed           bool           `json:"listed"` // in the newest instance list
	Revision         uint64         `json:"revision"`
	Digest           string         `json:"digest"`
	Free             map[string]int `json:"free,omitempty"`
}

// Change is a member's transition from the state last returned by Tick to
// another state or incarnation.
type Change struct {
	ID                  string
	AvailabilityZone    string
	Incarnation         uint64
	PreviousIncarnation uint64 // incarnation last returned; smaller after a restart
	From                State
	To                  State
}
