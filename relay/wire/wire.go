// Package wire defines the messages between the owner of a cell and the instances that
// relay its orders to workers.
//
// Usage:
//
//	data, err := wire.Encode(wire.Orders{Sent: ms, Orders: orders})
//	orders, err := wire.DecodeOrders(data)
//	results, err := wire.Decode[wire.Results](data)
//
// A connection carries Orders in one direction and Results in the other, in
// CBOR. Workers and job specifications are sent in full once per connection and
// then referenced by number. The list of runs on a worker is sent as its
// difference from the previous list; see type RunLists. A start takes 70 bytes,
// compared with 250 plus the specification over HTTP.
package wire

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

//go:generate go tool stringer -type=Kind,Outcome -output=strings.go

// Path is the HTTP path of the connections; its number is the version of the protocol.
const Path = "/relay/2"

// ToHeader is the request header with the ID of the instance that a connection is meant
// for. Another instance may have taken over its address.
const ToHeader = "Relay-To"

// SentHeader is the request header with the time of the request on the owner's clock, in
// milliseconds. Even the first message of a connection can be late compared with it.
const SentHeader = "Relay-Sent"

// AckedProtocol is the WebSocket subprotocol of an instance that handles Order.Acked. Earlier
// versions ignore it, and the worker would list its ended runs forever.
const AckedProtocol = "acked"

// MaxSpecs is how many specifications a connection has at a time; their numbers are below it. It
// can be small, as the tasks of a job start at about the same time.
const MaxSpecs = 256

// MaxOrders is how many orders, and how many workers, one message may have.
const MaxOrders = 4096

// MaxMessageSize is the maximum size of a message in bytes.
const MaxMessageSize = 4 << 20

// Kind is the kind of an order.
type Kind uint8

// Kinds of orders.
const (
	Hold Kind = iota
	Start
	Stop
	Pace
)

// Orders is the message of an owner.
type Orders struct {
	Sent   int64   `cbor:"1,keyasint"` // time on the owner's clock in milliseconds
	Hosts  []Host  `cbor:"2,keyasint,omitempty"`
	Orders []Order `cbor:"3,keyasint,omitempty"`
	Gap    int64   `cbor:"4,keyasint,omitempty"` // least time between two Results from now on, in microseconds
}

// Host assigns a worker its number on this connection.
type Host struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	ID      string
	Address string
}

// Order is an order to a worker. Fields that its kind doesn't need are zero.
type Order struct {
	Number     uint64 `cbor:"1,keyasint"` // identifies the order in its Result
	Kind       Kind   `cbor:"2,keyasint,omitempty"`
	Host       uint64 `cbor:"3,keyasint,omitempty"`
	Token      uint64 `cbor:"4,keyasint,omitempty"`
	Task       string `cbor:"5,keyasint,omitempty"`
	Attempt    uint64 `cbor:"6,keyasint,omitempty"`
	Spec       uint64 `cbor:"7,keyasint,omitempty"`  // number of the specification
	SpecText   string `cbor:"8,keyasint,omitempty"`  // set if the number is new or reassigned
	Deadline   int64  `cbor:"9,keyasint,omitempty"`  // on the worker's clock in milliseconds
	Seen       uint64 `cbor:"10,keyasint,omitempty"` // of a hold: the worker may forget the ended runs up to this number, in any incarnation
	Wait       int64  `cbor:"11,keyasint,omitempty"` // milliseconds
	Percent    int    `cbor:"12,keyasint,omitempty"`
	Checkpoint string `cbor:"13,keyasint,omitempty"`
	Ticket     string `cbor:"14,keyasint,omitempty"`
	Acked      *Acked `cbor:"15,keyasint,omitempty"` // of a hold, in place of Seen where the platform tells incarnations apart
}

// Acked acknowledges the ended runs of one incarnation of a worker.
type Acked struct {
	_           struct{} `cbor:",toarray"`
	End         uint64   // the worker may forget the ended runs up to this number
	Incarnation uint64
}

// SetAcked sets the acknowledgement of a hold. The incarnation is zero if the platform
// doesn't tell incarnations apart.
func (o *Order) SetAcked(end, incarnation uint64) {
	switch {
	case incarnation == 0:
		o.Seen = end
	case end > 0:
		o.Acked = &Acked{End: end, Incarnation: incarnation}
	}
}

// AckedEnd returns the acknowledgement of a hold.
func (o *Order) AckedEnd() (end, incarnation uint64) {
	if o.Acked == nil {
		return o.Seen, 0
	}
	return o.Acked.End, o.Acked.Incarnation
}

// Results is the message of a relaying instance.
type Results struct {
	Results []Result `cbor:"1,keyasint,omitempty"`
	Leaving bool     `cbor:"2,keyasint,omitempty"` // the instance accepts no further orders
}

// Outcome tells how an order ended.
type Outcome uint8

// Outcomes of orders: the worker answered; it has seen a higher token; a worker with
// another ID answered; the worker refused; the order wasn't sent; it was sent without an
// answer; it reached the relay too late and wasn't sent.
const (
	Answered Outcome = iota
	Fenced
	Elsewhere
	Refused
	NotSent
	Unanswered
	Late
)

// Result is the outcome of an order.
type Result struct {
	Number  uint64           `cbor:"1,keyasint"`
	Outcome Outcome          `cbor:"2,keyasint,omitempty"`
	Text    string           `cbor:"3,keyasint,omitempty"` // error text of any outcome but Answered
	Refusal provider.Refusal `cbor:"4,keyasint,omitempty"` // of a start
	Host    uint64           `cbor:"5,keyasint,omitempty"` // of a hold
	Held    *Held            `cbor:"6,keyasint,omitempty"` // of a hold
}

// OutcomeOf returns the outcome that represents an error of an Executor.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Answered
	}
	switch fault.KindOf(err) {
	case fault.StaleEpoch:
		return Fenced
	case fault.NotFound:
		return Elsewhere
	case fault.Conflict:
		return Refused
	case fault.Unavailable:
		return NotSent
	}
	return Unanswered
}

// maxText is the maximum size of a Result's text in bytes.
const maxText = 512

// TextOf returns the text of an error for a Result. An error may quote the answer of a
// worker, which may be of any length and need not be text, while a message with invalid
// UTF-8 can't be decoded.
func TextOf(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxText)], "\uFFFD")
}

// Err returns the error that the outcome represents, nil for Answered.
func (r *Result) Err() error {
	switch r.Outcome {
	case Answered:
		return nil
	case Fenced:
		return fault.New(fault.StaleEpoch, "%s", r.Text)
	case Elsewhere:
		return fault.New(fault.NotFound, "%s", r.Text)
	case Refused:
		return fault.New(fault.Conflict, "%s", r.Text)
	case NotSent, Late:
		return fault.New(fault.Unavailable, "%s", r.Text)
	}
	return fault.New(fault.MayHaveRun, "%s", r.Text)
}

// Encode encodes a message.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode %T", message)
	}
	return data, nil
}

// Decode decodes a message. Unknown keys, which newer versions may send, are ignored.
func Decode[T any](data []byte) (T, error) {
	var message T
	if err := cbor.Unmarshal(data, &message); err != nil {
		return message, fault.Wrap(fault.Invalid, err, "decode %T", message)
	}
	return message, nil
}

// orderDecoding bounds the memory that a message can make the decoder allocate. An order takes
// 200 bytes, and may be encoded in one.
var orderDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: MaxOrders}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// DecodeOrders decodes the message of an owner.
func DecodeOrders(data []byte) (Orders, error) {
	var message Orders
	if err := orderDecoding.Unmarshal(data, &message); err != nil {
		return message, fault.Wrap(fault.Invalid, err, "decode %T", message)
	}
	return message, nil
}
