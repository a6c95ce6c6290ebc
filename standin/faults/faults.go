// Package faults lets a stand-in of the platform misbehave on purpose, by
// option or at run time with PUT /faults.
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
// A PUT replaces all faults; {} ends them, but for connections that went
// silent and a process that died, which stay so.
package faults

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// MaxDuration bounds every time in a fault.
const MaxDuration = 10 * time.Minute

// Common are the faults of every stand-in.
type Common struct {
	Down   bool     `json:"down,omitempty"`   // refuses everything
	Slow   Duration `json:"slow,omitempty"`   // waits before each request; one whose sender left by then has no effect
	Late   Duration `json:"late,omitempty"`   // waits before each request with an effect, and carries it out even if its sender left
	Pause  Duration `json:"pause,omitempty"`  // holds requests for so long from now, then carries them all out
	Lose   float64  `json:"lose,omitempty"`   // part of requests that are carried out and whose connection is cut before the answer
	Silent bool     `json:"silent,omitempty"` // connections open now never carry anything again; new ones work
	Dead   bool     `json:"dead,omitempty"`   // the process ends: connections are cut, new ones refused
}

// Set is a stand-in's own faults, which embed Common.
type Set interface {
	Shared() Common
}

// Shared returns c.
func (c Common) Shared() Common {
	return c
}

func (c Common) check() error {
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

// Duration is a time.Duration that is written like "1.5s" in JSON.
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
