// Package chart reads state charts from YAML and looks their transitions up.
//
// Usage:
//
//	//go:embed task.yaml
//	var file []byte
//
//	c, err := chart.New(file)
//	claim, ok := c.Event("claim")
//	next, err := c.Next(c.Initial(), claim)
//	fmt.Print(c.Render())
//
// A chart names its initial state and lists its states, each with the target
// of every event that it takes:
//
//	initial: queued
//	states:
//	  - name: queued
//	    on:
//	      claim: escrowed
//	  - name: escrowed
//
// States and events have names outside and small numbers inside: states are
// numbered from 0 in the order of the file, events in the order of their
// names. A chart with an unknown target, an unreachable state, a duplicate or
// an unknown key isn't loaded; the error tells line and column.
package chart

import (
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// State is the number of a state in its chart.
type State uint8

// Event is the number of an event in its chart.
type Event uint8

// Chart is a checked state chart. It doesn't change and may be shared.
type Chart struct {
	initial State
	states  []string
	events  []string
	next    [][]State // by state and event; absent where there is none
	missing [][]error // the error for each absent transition, made at load
}

// absent marks a state and event without a transition.
const absent = State(255)

// maxNames bounds the states and the events of a chart.
const maxNames = int(absent)

// New returns the chart in data after checking it.
func New(data []byte) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "read chart")
	}
	if err := f.check(data); err != nil {
		return nil, err
	}
	return f.chart(), nil
}

// Initial returns the state to start in.
func (c *Chart) Initial() State {
	return c.initial
}

// State returns the state of a name.
func (c *Chart) State(name string) (State, bool) {
	i := slices.Index(c.states, name)
	return State(max(i, 0)), i >= 0
}

// Event returns the event of a name.
func (c *Chart) Event(name string) (Event, bool) {
	i, ok := slices.BinarySearch(c.events, name)
	return Event(i), ok
}

// States returns the names of the states, indexed by State.
func (c *Chart) States() []string {
	return slices.Clone(c.states)
}

// Next returns the state that follows s at e. Without such a transition it
// returns s and an error of kind fault.Conflict. It allocates nothing.
func (c *Chart) Next(s State, e Event) (State, error) {
	if int(s) >= len(c.states) || int(e) >= len(c.events) {
		return s, errUnknown
	}
	next := c.next[s][e]
	if next == absent {
		return s, c.missing[s][e]
	}
	return next, nil
}

var errUnknown = fault.New(fault.Conflict, "no such state or event in the chart")
