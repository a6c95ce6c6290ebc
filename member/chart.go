package member

import (
	_ "embed"

	"github.com/dogwoodladder/dogwoodladder/chart"
)

//go:generate go tool stringer -type=event -linecomment -output=event_strings.go

// event is an event of the state chart of a member.
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
	eventCount                  // events
)

//go:embed member.yaml
var chartFile []byte

var (
	transitions = loadChart()
	chartEvents = loadEvents()
)

// Chart returns the state chart of a member.
func Chart() *chart.Chart {
	return transitions
}

// loadChart loads and checks the embedded file when the program starts.
func loadChart() *chart.Chart {
	c, err := chart.New(chartFile)
	if err != nil {
		panic(err) // the file is part of the program
	}
	for s := range stateCount {
		if number, ok := c.State(s.String()); !ok || State(number) != s {
			panic("member.yaml: state " + s.String() + " is missing or out of order")
		}
	}
	return c
}

func loadEvents() [eventCount]chart.Event {
	var numbers [eventCount]chart.Event
	for ev := range eventCount {
		number, ok := transitions.Event(ev.String())
		if !ok {
			panic("member.yaml: no event " + ev.String())
		}
		numbers[ev] = number
	}
	return numbers
}

// next returns the state after an event, and false if the state has no
// transition for it.
func next(s State, ev event) (State, bool) {
	to, err := transitions.Next(chart.State(s), chartEvents[ev])
	return State(to), err == nil
}
