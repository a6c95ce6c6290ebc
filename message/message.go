// Package message holds what entry instances tell each other, as plain data.
// Package peer carries it; the controller decides on it without knowing how.
//
// Usage:
//
//	actions = append(actions, controller.Send{To: id, Message: message.Handover{Worker: w, Epoch: e}})
package message

import "github.com/dogwoodladder/dogwoodladder/member"

// Message is one of the types of this package.
type Message interface {
	message()
}

// Heartbeat tells a peer of the sender.
type Heartbeat member.Heartbeat

// ConfigRequest asks for a configuration by revision.
type ConfigRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Config carries a configuration.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Manifest []byte `cbor:"3,keyasint"`
}

// Handover tells the receiver that a leaving owner transferred a worker's
// lease to it.
type Handover struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Call asks a peer that can reach the log to carry out an operator command
// or a batch submission.
type Call struct {
	ID   uint64 `cbor:"1,keyasint"` // unique among the sender's calls
	Kind string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

// Reply answers the Call of the same ID.
type Reply struct {
	ID   uint64 `cbor:"1,keyasint"`
	Kind string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

// Linked is a local event: a link to the peer is up.
type Linked struct{}

// Unlinked is a local event: the link went down, or couldn't be made. Calls
// without a reply may have run.
type Unlinked struct {
	Refused bool // the address refused the connection or belongs to another instance
	Reason  string
}

func (Heartbeat) message()     {}
func (ConfigRequest) message() {}
func (Config) message()        {}
func (Handover) message()      {}
func (Call) message()          {}
func (Reply) message()         {}
func (Linked) message()        {}
func (Unlinked) message()      {}

// Peer is an instance to link with.
type Peer struct {
	ID               string
	Address          string // host:port of its peer listener
	AvailabilityZone string
}
