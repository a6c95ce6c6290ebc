package controller

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/message"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/route"
)

//go:generate go tool stringer -type=Verb,Level,phase,stage -output=strings.go

// Verb is a kind of call to a worker.
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

// Action is something that the adapters have to carry out. An action with an
// external call is answered by an Input.
type Action interface{ action() }

// Append requests that records are appended to a stream.
type Append struct {
	Stream string
	Data   [][]byte
}

// Call requests one call to a worker. A worker gets its next call only after
// the previous one was answered.
type Call struct {
	Worker     string
	Address    string // host:port
	Verb       Verb
	Epoch      uint64
	Lease      provider.LeaseRequest // only for Acquire and Renew
	To         string                // new holder, only for Transfer
	Spec       provider.TaskSpec     // only for Start
	Task       string                // only for Stop and Throttle
	Checkpoint bool                  // only for Stop
	Percent    int                   // only for Throttle
	Tasks      []string              // only for Acknowledge
}

// Poll requests a worker's report, concurrently with its other calls.
type Poll struct {
	Worker  string
	Address string // host:port
}

// Send requests that a message is sent to another instance.
type Send struct {
	To      string
	Message message.Message
}

// Link lists the instances to keep links with.
type Link struct {
	Peers []message.Peer
}

// Publish installs a routing table for traffic.
type Publish struct {
	Table *route.Table
}

// Answer answers a command. Err is nil or an error of package fault.
type Answer struct {
	ID       uint64
	Err      error
	Revision uint64 // of a successful Apply
}

// Level is the severity of an event.
type Level int

// Severities.
const (
	Debug Level = iota
	Info
	Warn
)

// Event is one log line. Fields alternates keys and values.
type Event struct {
	Level  Level
	Name   string
	Fields []any
}

// Left signals that a planned shutdown has handed over everything.
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
