package worker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const failAfter = 10 * time.Millisecond

// program is what a batch task does.
type program struct {
	work    time.Duration
	endless bool
	failure string // reason, empty when it succeeds
	use     float64
}

// compile returns the program of a command on the worker called id. A
// command that makes no sense gives a program that fails.
func compile(spec provider.TaskSpec, id string) program {
	words := strings.Fields(spec.Command)
	use, words, err := cutUse(words)
	if err != nil {
		return failing(err.Error())
	}
	p, err := compileWords(words, spec.Duration, id)
	if err != nil {
		return failing(err.Error())
	}
	p.use = use
	return p
}

func failing(reason string) program {
	return program{work: failAfter, failure: reason, use: 1}
}

func compileWords(words []string, declared time.Duration, id string) (program, error) {
	if len(words) == 0 {
		return program{work: declared}, nil
	}
	switch name, rest := words[0], words[1:]; name {
	case "sleep":
		work, err := workOf(rest, declared)
		return program{work: work}, err
	case "fail":
		work, err := workOf(rest, failAfter)
		return program{work: work, failure: "command failed"}, err
	case "fail-here":
		return compileFailHere(rest, declared, id)
	case "never":
		return program{endless: true}, nil
	default:
		return program{}, fault.New(fault.Invalid, "unknown command %q", name)
	}
}

func compileFailHere(words []string, declared time.Duration, id string) (program, error) {
	if len(words) == 0 {
		return program{}, fault.New(fault.Invalid, "fail-here without workers")
	}
	if slices.Contains(strings.Split(words[0], ","), id) {
		return failing("command failed on " + id), nil
	}
	work, err := workOf(words[1:], declared)
	return program{work: work}, err
}

func workOf(words []string, otherwise time.Duration) (time.Duration, error) {
	if len(words) == 0 {
		return otherwise, nil
	}
	work, err := time.ParseDuration(words[0])
	if err != nil || work < 0 || work > maxWork || len(words) > 1 {
		return 0, fault.New(fault.Invalid, "time of work %q", words)
	}
	return work, nil
}

func cutUse(words []string) (float64, []string, error) {
	if len(words) == 0 {
		return 1, words, nil
	}
	value, ok := strings.CutPrefix(words[len(words)-1], "use=")
	if !ok {
		return 1, words, nil
	}
	use, err := strconv.ParseFloat(value, 64)
	if err != nil || use < 0 || use > 100 {
		return 0, nil, fault.New(fault.Invalid, "use %q", value)
	}
	return use, words[:len(words)-1], nil
}
