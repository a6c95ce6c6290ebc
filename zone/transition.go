package zone

import (
	_ "embed"
	"strings"

	"github.com/dogwoodladder/dogwoodladder/chart"
)

//go:embed task.yaml
var taskFile []byte

var (
	taskChart  = loadTaskChart()
	taskStates = taskChart.States()

	stateQueued     = chart.State(Queued)
	stateEscrowed   = chart.State(Escrowed)
	stateParked     = chart.State(Parked)
	stateDone       = chart.State(Done)
	stateCancelled  = chart.State(Cancelled)
	stateCancelling = mustState("cancelling")

	eventClaim    = mustEvent("claim")
	eventHold     = mustEvent("hold")
	eventPark     = mustEvent("park")
	eventCancel   = mustEvent("cancel")
	eventRestore  = mustEvent("restore")
	eventEvict    = mustEvent("evict")
	eventFail     = mustEvent("fail")
	eventExhaust  = mustEvent("exhaust")
	eventRecover  = mustEvent("recover")
	eventComplete = mustEvent("complete")
	eventAbsolve  = mustEvent("absolve")
)

// Chart returns the state chart of a task as a Mermaid diagram.
func Chart() string {
	return taskChart.Render()
}

func loadTaskChart() *chart.Chart {
	c, err := chart.New(taskFile)
	if err != nil {
		panic(err) // the file is embedded
	}
	for s := Queued; s <= Cancelled; s++ {
		name := strings.ToLower(s.String())
		if got, ok := c.State(name); !ok || got != chart.State(s) {
			panic("task.yaml: state " + name + " isn't where TaskState has it")
		}
	}
	return c
}

func mustState(name string) chart.State {
	s, ok := taskChart.State(name)
	if !ok {
		panic("task.yaml: no state " + name)
	}
	return s
}

func mustEvent(name string) chart.Event {
	e, ok := taskChart.Event(name)
	if !ok {
		panic("task.yaml: no event " + name)
	}
	return e
}

// isEnded reports whether s is final.
func isEnded(s chart.State) bool {
	return s == stateDone || s == stateCancelled
}

// isInEscrow reports whether a task in s belongs to an escrow.
func isInEscrow(s chart.State) bool {
	return s == stateEscrowed || s == stateCancelling
}
