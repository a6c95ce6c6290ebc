// Package wire holds the messages between the owner of a cell and the instances
// that relay its orders to workers.
//
// Usage:
//
//	data, err := wire.Encode(wire.Orders{Sent: ms, Orders: orders})
//	orders, err := wire.Decode[wire.Orders](data)
//
// A connection carries Orders in one direction and Results in the other, in
// CBOR. What is known at the other end is named by a number: a worker and the
// specification of a job are sent whole once, and the list of what runs on a
// worker as its difference from the list before (package type Lists). A start
// takes 70 bytes so, where one over HTTP takes 250 and the specification.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

//go:generate go tool stringer -type=Kind,Outcome -output=strings.go

// Path is where an instance takes connections; its number is the version of the
// messages.
const Path = "/relay/1"

// ToHeader names the instance that a connection is meant for. An address may have
// gone to another one.
const ToHeader = "Relay-To"

// MaxFrame bounds a message, in bytes.
const MaxFrame = 4 << 20

// Kind is what an order asks for.
type Kind uint8

// Kinds of orders.
const (
	Hold Kind = iota
	Start
	Stop
	Pace
)

// Orders is what an owner sends.
type Orders struct {
	Sent   int64   `cbor:"1,keyasint"` // on the owner's clock, milliseconds
	Hosts  []Host  `cbor:"2,keyasint,omitempty"`
	Orders []Order `cbor:"3,keyasint,omitempty"`
	Gap    int64   `cbor:"4,keyasint,omitempty"` // least time between two Results from now on, microseconds
}

// Host gives a worker its number on this connection.
type Host struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	ID      string
	Address string
}

// Order is an order to a worker. Fields that its kind doesn't need are zero.
type Order struct {
	Number     uint64 `cbor:"1,keyasint"` // of the order; the result has it too
	Kind       Kind   `cbor:"2,keyasint,omitempty"`
	Host       uint64 `cbor:"3,keyasint,omitempty"`
	Token      uint64 `cbor:"4,keyasint,omitempty"`
	Task       string `cbor:"5,keyasint,omitempty"`
	Attempt    uint64 `cbor:"6,keyasint,omitempty"`
	Spec       uint64 `cbor:"7,keyasint,omitempty"` // number of the specification
	SpecText   string `cbor:"8,keyasint,omitempty"` // where the number is given to it
	Deadline   int64  `cbor:"9,keyasint,omitempty"`
	Seen       uint64 `cbor:"10,keyasint,omitempty"`
	Wait       int64  `cbor:"11,keyasint,omitempty"` // milliseconds
	Percent    int    `cbor:"12,keyasint,omitempty"`
	Checkpoint string `cbor:"13,keyasint,omitempty"`
	Ticket     string `cbor:"14,keyasint,omitempty"`
}

// Results is what an instance sends back.
type Results struct {
	Results []Result `cbor:"1,keyasint,omitempty"`
	Leaving bool     `cbor:"2,keyasint,omitempty"` // it takes no further orders
}

// Outcome is what became of an order.
type Outcome uint8

// Outcomes: the worker answered; it has seen a higher token; a worker with
// another ID answered; it refused; the order wasn't sent; it was sent and has no
// answer; it came so late that it wasn't sent.
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
	Text    string           `cbor:"3,keyasint,omitempty"` // of an outcome that isn't good
	Refusal provider.Refusal `cbor:"4,keyasint,omitempty"` // of a start
	Host    uint64           `cbor:"5,keyasint,omitempty"` // of a hold
	Held    *Held            `cbor:"6,keyasint,omitempty"` // of a hold
}

// OutcomeOf returns the outcome that stands for an error of an Executor.
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

// Err returns the error that the outcome of a result stands for.
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

// Encode returns a message as bytes.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode %T", message)
	}
	return data, nil
}

// Decode reads a message. Keys of newer versions are passed over.
func Decode[T any](data []byte) (T, error) {
	var message T
	if err := cbor.Unmarshal(data, &message); err != nil {
		return message, fault.Wrap(fault.Invalid, err, "decode %T", message)
	}
	return message, nil
}
