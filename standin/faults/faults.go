// Package faults injects faults into a stand-in of the platform, from the start
// or at run time with PUT /faults.
//
// Usage:
//
//	type Faults struct {
//		faults.Common
//		Lag faults.Duration `json:"lag,omitempty"`
//	}
//
//	injector := faults.New(Faults{}, time.Now)
//	handler := injector.Wrap(mux)
//	err := injector.Serve(ctx, listener, handler)
//
//	curl -X PUT -d '{"slow":"2s","lose":0.1}' http://127.0.0.1:7001/faults
//
// A PUT replaces all faults; {} ends them, except that silent connections stay
// silent and a dead process stays dead.
package faults

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// MaxDuration bounds every duration in a fault.
const MaxDuration = 10 * time.Minute

// Common are the faults of every stand-in.
type Common struct {
	Down   bool     `json:"down,omitempty"`   // refuses all requests
	Slow   Duration `json:"slow,omitempty"`   // delays each request; one whose sender disconnects meanwhile has no effect
	Late   Duration `json:"late,omitempty"`   // delays each request other than GET, and executes it even if its sender disconnects
	Pause  Duration `json:"pause,omitempty"`  // holds all requests for this long from now, then executes them
	Lose   float64  `json:"lose,omitempty"`   // fraction of requests that are executed and whose connection is cut before the answer
	Silent bool     `json:"silent,omitempty"` // open connections carry no data any more; new ones work
	Dead   bool     `json:"dead,omitempty"`   // the process ends: connections are cut, new ones are refused
}

// FaultSet is the constraint on a stand-in's faults, which embed Common.
type FaultSet interface {
	Shared() Common
}

// Shared returns c.
func (c Common) Shared() Common {
	return c
}

func (c Common) validate() error {
	for _, d := range []Duration{c.Slow, c.Late, c.Pause} {
		if d < 0 || time.Duration(d) > MaxDuration {
			return fault.New(fault.Invalid, "time %v outside 0 to %v", time.Duration(d), MaxDuration)
		}
	}
	if c.Lose < 0 || c.Lose > 1 {
		return fault.New(fault.Invalid, "lose %v outside 0 to 1", c.Lose)
	}
	return nil
}

// Duration is a time.Duration that is encoded as text such as "1.5s" in JSON.
type Duration time.Duration

// MarshalText returns d as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText sets d from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
