// Package message defines the messages between entry instances as plain data.
// Package peer transports them; the controller handles and emits them without
// knowing the transport.
//
// Usage:
//
//	actions = append(actions, controller.Send{To: id, Message: message.Handover{Worker: w, Epoch: e}})
package message

import "github.com/dogwoodladder/dogwoodladder/member"

// Message is implemented by the message types of this package.
type Message interface {
	message()
}

// Heartbeat reports the sender's state to a peer.
type Heartbeat member.Heartbeat

// ConfigRequest requests a configuration by its revision.
type ConfigRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Config carries a configuration.
type Config struct {
	Revision uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Manifest []byte `cbor:"3,keyasint"`
}

// Handover informs the receiver that a leaving owner transferred a worker's
// lease to it.
type Handover struct {
	Worker string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// Call asks a peer that can reach the log to execute an operator command or a
// batch submission.
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

// Linked is a local event: the link to a peer was established.
type Linked struct{}

// Unlinked is a local event: the link to a peer broke or couldn't be
// established. Calls without a reply may have run.
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

// Peer is an instance to keep a link with.
type Peer struct {
	ID               string
	Address          string // host:port of its peer listener
	AvailabilityZone string
}
