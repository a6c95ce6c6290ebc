package fault

import "errors"

//go:generate go tool stringer -type=Reason -linecomment -output=reason_string.go

// Reason tells what made a request fail, for the account of rejections. It is more specific
// than a Kind and has no effect on the answer.
type Reason uint8

// Reasons. Their names are written to logs.
const (
	NoReason     Reason = iota // none
	StoreRejects               // rejects
	StoreSilent                // silent
	Overload                   // overloaded
	PoolFull                   // full
	OtherReason                // other
)

// Meaning of the names:
//
//	rejects     the store rejects writes
//	silent      the store doesn't answer writes, or not in time
//	overloaded  more is waiting than can be started or written in time
//	full        the pool of workers has no free capacity for the job
//	other       anything else

// AllReasons returns all reasons except NoReason.
func AllReasons() []Reason {
	return []Reason{StoreRejects, StoreSilent, Overload, PoolFull, OtherReason}
}

// Because sets the reason of e and returns e.
func (e *Error) Because(r Reason) *Error {
	e.Reason = r
	return e
}

// ReasonOf returns the reason of err: the first one that is set in its chain, else the most
// likely one for its kind. It is NoReason without an error.
func ReasonOf(err error) Reason {
	if err == nil {
		return NoReason
	}
	var e *Error
	for rest := err; errors.As(rest, &e); rest = e.Cause {
		if e.Reason != NoReason {
			return e.Reason
		}
	}
	switch KindOf(err) {
	case Unavailable:
		return StoreRejects
	case MayHaveRun, TimedOut, DeadlinePassed:
		return StoreSilent
	case Overloaded, OverShare:
		return Overload
	}
	return OtherReason
}
