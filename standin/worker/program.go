package worker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const failDelay = 10 * time.Millisecond

// program is the simulated behaviour of a batch task.
type program struct {
	workTime    time.Duration
	endless     bool
	failure     string // reason; empty if the task succeeds
	usageFactor float64
}

// parseProgram returns the program of a task's command on the worker called id. An
// invalid command results in a program that fails.
func parseProgram(spec provider.TaskSpec, id string) program {
	words := strings.Fields(spec.Command)
	use, words, err := cutUsageFactor(words)
	if err != nil {
		return failingProgram(err.Error())
	}
	p, err := parseCommand(words, spec.Duration, id)
	if err != nil {
		return failingProgram(err.Error())
	}
	p.usageFactor = use
	return p
}

func failingProgram(reason string) program {
	return program{workTime: failDelay, failure: reason, usageFactor: 1}
}

func parseCommand(words []string, declared time.Duration, id string) (program, error) {
	if len(words) == 0 {
		return program{workTime: declared}, nil
	}
	switch name, rest := words[0], words[1:]; name {
	case "sleep":
		work, err := parseWorkTime(rest, declared)
		return program{workTime: work}, err
	case "fail":
		work, err := parseWorkTime(rest, failDelay)
		return program{workTime: work, failure: "command failed"}, err
	case "fail-here":
		return parseFailHere(rest, declared, id)
	case "never":
		return program{endless: true}, nil
	default:
		return program{}, fault.New(fault.Invalid, "unknown command %q", name)
	}
}

func parseFailHere(words []string, declared time.Duration, id string) (program, error) {
	if len(words) == 0 {
		return program{}, fault.New(fault.Invalid, "command fail-here names no workers")
	}
	if slices.Contains(strings.Split(words[0], ","), id) {
		return failingProgram("command failed on " + id), nil
	}
	work, err := parseWorkTime(words[1:], declared)
	return program{workTime: work}, err
}

func parseWorkTime(words []string, otherwise time.Duration) (time.Duration, error) {
	if len(words) == 0 {
		return otherwise, nil
	}
	work, err := time.ParseDuration(words[0])
	if err != nil || work < 0 || work > maxWork || len(words) > 1 {
		return 0, fault.New(fault.Invalid, "work time %q, want one duration up to %v", words, maxWork)
	}
	return work, nil
}

func cutUsageFactor(words []string) (float64, []string, error) {
	if len(words) == 0 {
		return 1, words, nil
	}
	value, ok := strings.CutPrefix(words[len(words)-1], "use=")
	if !ok {
		return 1, words, nil
	}
	use, err := strconv.ParseFloat(value, 64)
	if err != nil || use < 0 || use > 100 {
		return 0, nil, fault.New(fault.Invalid, "usage factor %q outside 0 to 100", value)
	}
	return use, words[:len(words)-1], nil
}
