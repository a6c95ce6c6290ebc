package member

import (
	_ "embed"

	"github.com/dogwoodladder/dogwoodladder/chart"
)

//go:generate go tool stringer -type=event -linecomment -output=event_strings.go

// event is what may move a member to another state.
type event int

// Events of member.yaml.
const (
	eventStart     event = iota // start
	eventSeeded                 // seeded
	eventListed                 // listed
	eventHeard                  // heard
	eventSteady                 // steady
	eventSilent                 // silent
	eventRefused                // refused
	eventExpired                // expired
	eventRestarted              // restarted
	eventLeaving                // leaving
	eventAlone                  // alone
	events
)

//go:embed member.yaml
var chartFile []byte

var (
	transitions = loadChart()
	chartEvents = loadEvents()
)

// Chart returns the state chart that moves members.
func Chart() *chart.Chart {
	return transitions
}

// loadChart checks the embedded file when the program starts.
func loadChart() *chart.Chart {
	c, err := chart.New(chartFile)
	if err != nil {
		panic(err) // the file is part of the program
	}
	for s := range states {
		if number, ok := c.State(s.String()); !ok || State(number) != s {
			panic("member.yaml: state " + s.String() + " is missing or out of order")
		}
	}
	return c
}

func loadEvents() [events]chart.Event {
	var numbers [events]chart.Event
	for ev := range events {
		number, ok := transitions.Event(ev.String())
		if !ok {
			panic("member.yaml: no event " + ev.String())
		}
		numbers[ev] = number
	}
	return numbers
}

// next returns the state after an event, and false where the state has no
// use for it.
func next(s State, ev event) (State, bool) {
	to, err := transitions.Next(chart.State(s), chartEvents[ev])
	return State(to), err == nil
}
