// Package timeline collects what the instances' logs say of one job.
//
// Usage:
//
//	t := timeline.New("5c0e7a21d94b36f8")
//	err := t.Read("edge-1.log", file)
//	for _, e := range t.Events() {
//		fmt.Println(e)
//	}
//
// Logs are lines of key=value pairs, as package logs writes them. Whatever
// precedes the first pair of a line is passed over, so that logs may be piped
// through a collector that adds a prefix. Lines of several instances are put in
// order by their time of day, which may be off by as much as their clocks are.
package timeline

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/dogwoodladder/dogwoodladder/fault"
)

// longest is the length of a line that is read. Longer ones are cut by the
// collectors that we know.
const longest = 1 << 20

// LeftOut is the message of the lines that tell what was left out of a log: their
// field kind holds the message of those lines, count how many there were.
const LeftOut = "lines left out"

// Event is one line that concerns the job.
type Event struct {
	Time     time.Time
	Instance string
	Name     string // what was decided
	Fields   []Field
}

// Field is one pair of a line.
type Field struct {
	Name, Value string
}

// String returns the event as one line.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-22s %-16s", e.Time.Format("15:04:05.000"), e.Instance, e.Name)
	for _, f := range e.Fields {
		fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
	}
	return strings.TrimRight(b.String(), " ")
}

// Timeline is what is known of one job. It isn't safe for concurrent use.
type Timeline struct {
	id      string
	events  []Event
	skipped int
}

// New returns an empty Timeline of a job.
func New(id string) *Timeline {
	return &Timeline{id: strings.ToLower(id)}
}

// Field returns the value of a field, nothing if there is none.
func (e Event) Field(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read adds the lines of a log that concern the job.
func (t *Timeline) Read(name string, r io.Reader) error {
	return lines(name, r, func(line string) {
		if strings.Contains(strings.ToLower(line), t.id) {
			t.add(line)
		}
	})
}

// Each hands the events of a log to a function. Lines that aren't whole are
// passed over.
func Each(name string, r io.Reader, f func(Event)) error {
	return lines(name, r, func(line string) {
		if e, err := parse(line); err == nil {
			f(e)
		}
	})
}

func lines(name string, r io.Reader, f func(string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longest)
	for scanner.Scan() {
		f(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fault.Wrap(fault.Invalid, err, "%s", name)
	}
	return nil
}

// add parses a line. One that isn't whole is counted, not guessed at.
func (t *Timeline) add(line string) {
	e, err := parse(line)
	if err != nil {
		t.skipped++
		return
	}
	t.events = append(t.events, e)
}

var errNoTime = errors.New("a line without a time")

// parse returns the event of a line, whatever stands before its time.
func parse(line string) (Event, error) {
	var e Event
	start := strings.Index(line, "ts=")
	if start < 0 {
		return e, errNoTime
	}
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	if !decoder.ScanRecord() {
		return e, errors.Join(errNoTime, decoder.Err())
	}
	for decoder.ScanKeyval() {
		name, value := string(decoder.Key()), string(decoder.Value())
		switch name {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return e, err
			}
			e.Time = at
		case "level":
		case "instance":
			e.Instance = value
		case "msg":
			e.Name = value
		default:
			e.Fields = append(e.Fields, Field{Name: name, Value: value})
		}
	}
	if e.Time.IsZero() {
		return e, errNoTime
	}
	return e, decoder.Err()
}

// Events returns the events in order of time.
func (t *Timeline) Events() []Event {
	slices.SortStableFunc(t.events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return t.events
}

// Skipped returns how many lines named the job but couldn't be read.
func (t *Timeline) Skipped() int {
	return t.skipped
}
