// Package chart reads state charts from YAML and looks up their transitions.
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
// state of every event that it accepts:
//
//	initial: queued
//	states:
//	  - name: queued
//	    on:
//	      claim: escrowed
//	  - name: escrowed
//
// States and events are represented by small numbers: states are numbered from
// 0 in the order of the file, events in the order of their names. A chart with
// an unknown target, an unreachable state, a duplicate or an unknown key is
// rejected with an error that contains the line and column.
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

// Chart is a valid state chart. It is immutable and may be shared.
type Chart struct {
	initial State
	states  []string
	events  []string
	next    [][]State // by state and event; absent if there is no transition
	missing [][]error // by state and event; preallocated error of each absent transition
}

// absent marks a state and event without a transition.
const absent = State(255)

// maxNames bounds the states and the events of a chart.
const maxNames = int(absent)

// New parses and checks the chart in data.
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

// Initial returns the initial state.
func (c *Chart) Initial() State {
	return c.initial
}

// State returns the state with a name, and whether it exists.
func (c *Chart) State(name string) (State, bool) {
	i := slices.Index(c.states, name)
	return State(max(i, 0)), i >= 0
}

// Event returns the event with a name, and whether it exists.
func (c *Chart) Event(name string) (Event, bool) {
	i, ok := slices.BinarySearch(c.events, name)
	return Event(i), ok
}

// States returns the names of the states, indexed by State.
func (c *Chart) States() []string {
	return slices.Clone(c.states)
}

// Next returns the state after event e in state s. Without such a transition it
// returns s and an error of kind fault.Conflict. It doesn't allocate.
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
