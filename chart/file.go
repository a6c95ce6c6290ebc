package chart

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// file is the YAML form of a chart.
type file struct {
	Initial string      `yaml:"initial"`
	States  []fileState `yaml:"states"`
}

type fileState struct {
	Name string            `yaml:"name"`
	On   map[string]string `yaml:"on"`
}

func (f *file) check(data []byte) error {
	if len(f.States) == 0 || len(f.States) > maxNames || len(f.events()) > maxNames {
		return fault.New(fault.Invalid, "chart: need 1 to %d states and at most %d events", maxNames, maxNames)
	}
	if err := f.checkNames(data); err != nil {
		return err
	}
	if f.index(f.Initial) < 0 {
		return errorAt(data, "$.initial", "initial state %q is unknown", f.Initial)
	}
	if err := f.checkTargets(data); err != nil {
		return err
	}
	return f.checkReachable(data)
}

func (f *file) checkNames(data []byte) error {
	for i, s := range f.States {
		if !isValidName(s.Name) {
			return errorAt(data, statePath(i), "state name %q isn't lower-case letters, digits and _", s.Name)
		}
		if f.index(s.Name) < i {
			return errorAt(data, statePath(i), "state %q is a duplicate", s.Name)
		}
		for _, event := range slices.Sorted(maps.Keys(s.On)) {
			if !isValidName(event) {
				return errorAt(data, statePath(i)+".on", "event name %q isn't lower-case letters, digits and _", event)
			}
		}
	}
	return nil
}

func (f *file) checkTargets(data []byte) error {
	for i, s := range f.States {
		for _, event := range slices.Sorted(maps.Keys(s.On)) {
			if f.index(s.On[event]) < 0 {
				return errorAt(data, statePath(i)+".on."+event, "target %q is unknown", s.On[event])
			}
		}
	}
	return nil
}

func (f *file) checkReachable(data []byte) error {
	reached := make([]bool, len(f.States))
	todo := []int{f.index(f.Initial)}
	for len(todo) > 0 {
		i := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if reached[i] {
			continue
		}
		reached[i] = true
		for _, target := range f.States[i].On {
			todo = append(todo, f.index(target))
		}
	}
	if i := slices.Index(reached, false); i >= 0 {
		return errorAt(data, statePath(i), "state %q can't be reached", f.States[i].Name)
	}
	return nil
}

func (f *file) chart() *Chart {
	c := &Chart{
		initial: State(f.index(f.Initial)),
		events:  f.events(),
	}
	for _, s := range f.States {
		row := make([]State, len(c.events))
		missing := make([]error, len(c.events))
		for e, event := range c.events {
			target, ok := s.On[event]
			if !ok {
				row[e] = absent
				missing[e] = fault.New(fault.Conflict, "state %s takes no %s", s.Name, event)
				continue
			}
			row[e] = State(f.index(target))
		}
		c.states = append(c.states, s.Name)
		c.next = append(c.next, row)
		c.missing = append(c.missing, missing)
	}
	return c
}

// events returns the names of all events, sorted.
func (f *file) events() []string {
	seen := map[string]bool{}
	for _, s := range f.States {
		for event := range s.On {
			seen[event] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

func (f *file) index(name string) int {
	return slices.IndexFunc(f.States, func(s fileState) bool { return s.Name == name })
}

func statePath(i int) string {
	return fmt.Sprintf("$.states[%d]", i)
}

// isValidName reports whether name consists of lower-case letters, digits and _.
func isValidName(name string) bool {
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return false
		}
	}
	return name != ""
}

// errorAt returns an error with the line and column of a YAML path.
func errorAt(data []byte, path, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	line, column := positionOf(data, path)
	if line == 0 {
		return fault.New(fault.Invalid, "chart: %s", message)
	}
	return fault.New(fault.Invalid, "chart: line %d, column %d: %s", line, column, message)
}

func positionOf(data []byte, path string) (line, column int) {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0, 0
	}
	node, err := p.ReadNode(bytes.NewReader(data))
	if err != nil || node == nil {
		return 0, 0
	}
	position := node.GetToken().Position
	return position.Line, position.Column
}
