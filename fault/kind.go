// Package fault defines the closed list of error kinds. Every error that reaches
// a caller, a peer or an operator has one kind. A table gives the HTTP status of
// each kind, whether the work ran, and the default retry delay.
//
// Usage:
//
//	if slots == 0 {
//		return fault.New(fault.Overloaded, "no free slot").After(200 * time.Millisecond)
//	}
//	answer := fault.KindOf(err).Answer()
//
// A kind whose Ran is NotRun may be reported only if the request provably never
// reached a worker, or the worker itself refused it.
package fault

//go:generate go tool stringer -type=Kind,Ran -output=strings.go

import "time"

// Kind is one of the closed list of error kinds.
type Kind int

// Error kinds.
const (
	Internal       Kind = iota // a defect in the scheduler itself
	Invalid                    // the input is malformed
	NotFound                   // no such group, service, job or task
	Conflict                   // another change won
	Overloaded                 // no capacity before the deadline
	OverShare                  // the group's share is fully used
	DeadlinePassed             // the deadline passed before anything was sent
	NoWorker                   // no worker of the service can be reached
	Leaving                    // the instance is shutting down
	Unavailable                // the platform can't be reached
	StaleEpoch                 // the lease epoch isn't in force
	Expired                    // the log no longer keeps the offset
	Duplicate                  // the request key was seen before
	TimedOut                   // sent, no answer by the deadline
	Broken                     // sent, then the connection failed or went silent
	Truncated                  // the answer ended early
	MayHaveRun                 // the answer to an action was lost
	TooLarge                   // the input is above a size bound
	kinds
)

// Ran tells whether the work of a failed request was executed.
type Ran int

// Values of Ran.
const (
	NotRun Ran = iota
	MaybeRun
	DidRun
)

// Answer is the response to a caller for an error kind.
type Answer struct {
	Status     int           // HTTP status
	Ran        Ran           // whether the work ran
	RetryAfter time.Duration // default retry delay; zero means don't retry
}

var answers = [kinds]Answer{
	Internal:       {Status: 500, Ran: MaybeRun},
	Invalid:        {Status: 400, Ran: NotRun},
	NotFound:       {Status: 404, Ran: NotRun},
	Conflict:       {Status: 409, Ran: NotRun},
	Overloaded:     {Status: 503, Ran: NotRun, RetryAfter: time.Second},
	OverShare:      {Status: 429, Ran: NotRun, RetryAfter: time.Second},
	DeadlinePassed: {Status: 504, Ran: NotRun, RetryAfter: time.Second},
	NoWorker:       {Status: 503, Ran: NotRun, RetryAfter: 2 * time.Second},
	Leaving:        {Status: 503, Ran: NotRun, RetryAfter: time.Second},
	Unavailable:    {Status: 503, Ran: NotRun, RetryAfter: 5 * time.Second},
	StaleEpoch:     {Status: 503, Ran: NotRun, RetryAfter: time.Second},
	Expired:        {Status: 410, Ran: NotRun},
	Duplicate:      {Status: 409, Ran: MaybeRun},
	TimedOut:       {Status: 504, Ran: MaybeRun, RetryAfter: time.Second},
	Broken:         {Status: 502, Ran: MaybeRun, RetryAfter: time.Second},
	Truncated:      {Status: 502, Ran: DidRun},
	MayHaveRun:     {Status: 502, Ran: MaybeRun, RetryAfter: time.Second},
	TooLarge:       {Status: 413, Ran: NotRun},
}

// Answer returns the answer for k.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kinds {
		return answers[Internal]
	}
	return answers[k]
}

// MarshalText returns the kind's name.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}
