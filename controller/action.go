package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/route"
)

//go:generate go tool stringer -type=Verb,Level,phase,stage -output=strings.go

// Verb is a call to a worker.
type Verb int

// Calls to a worker.
const (
	Acquire Verb = iota
	Renew
	Release
	Transfer
	Start
	Stop
	Throttle
	Acknowledge
)

// Action is something that the adapters have to do. An action that calls out
// is answered by an Input.
type Action interface{ action() }

// Append asks to append records to a stream.
type Append struct {
	Stream string
	Data   [][]byte
}

// Call asks for one call to a worker. A worker gets its next call only after
// the answer to the one before it.
type Call struct {
	Worker     string
	Address    string // host:port
	Verb       Verb
	Epoch      uint64
	Lease      provider.LeaseRequest // of Acquire and Renew
	To         string                // new holder, of Transfer
	Spec       provider.TaskSpec     // of Start
	Task       string                // of Stop and Throttle
	Checkpoint bool                  // of Stop
	Percent    int                   // of Throttle
	Tasks      []string              // of Acknowledge
}

// Poll asks for a worker's report, beside its other calls.
type Poll struct {
	Worker  string
	Address string // host:port
}

// Send asks to send a message to another instance.
type Send struct {
	To      string
	Message message.Message
}

// Link says which instances to hold links with.
type Link struct {
	Peers []message.Peer
}

// Publish hands a routing table to traffic.
type Publish struct {
	Table *route.Table
}

// Answer answers a command. Err is nil, or an error of package fault.
type Answer struct {
	ID       uint64
	Err      error
	Revision uint64 // of an Apply that succeeded
}

// Level is the severity of an event.
type Level int

// Severities.
const (
	Debug Level = iota
	Info
	Warn
)

// Event is one thing worth a log line. Fields alternate keys and values.
type Event struct {
	Level  Level
	Name   string
	Fields []any
}

// Left says that a planned stop has handed over everything.
type Left struct {
	At time.Time
}

func (Append) action()  {}
func (Call) action()    {}
func (Poll) action()    {}
func (Send) action()    {}
func (Link) action()    {}
func (Publish) action() {}
func (Answer) action()  {}
func (Event) action()   {}
func (Left) action()    {}
