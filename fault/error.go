package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Error is an error with a kind.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration // overrides the kind's default when not zero
	Cause      error
	Reason     Reason // what made the request fail; see ReasonOf
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k that keeps cause and its stack.
func Wrap(k Kind, cause error, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.Cause = eris.Wrap(cause, e.Message)
	return e
}

// After sets the retry delay of e and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the kind with the cause if there is one, and otherwise with the
// message.
func (e *Error) Error() string {
	if e.Cause != nil {
		return e.Kind.String() + ": " + e.Cause.Error()
	}
	return e.Kind.String() + ": " + e.Message
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Answer returns the answer of the error's kind, with the error's own retry
// delay if it is set.
func (e *Error) Answer() Answer {
	a := e.Kind.Answer()
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}
