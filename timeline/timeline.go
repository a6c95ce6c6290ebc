// Package timeline collects the events of one job from the logs of the instances.
//
// Usage:
//
//	t := timeline.New("5c0e7a21d94b36f8")
//	err := t.Read("edge-1.log", file)
//	for _, e := range t.Events() {
//		fmt.Println(e)
//	}
//
// Logs are lines of key=value pairs in the format of package logs. Text before the
// timestamp of a line is skipped, so that logs may pass through a collector that adds a
// prefix. Lines of several instances are sorted by their timestamps, whose order is only
// as accurate as the instances' clocks.
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

// maxLineLength is the maximum length of a line. Common log collectors truncate longer ones.
const maxLineLength = 1 << 20

// OmittedMessage is the message of the lines about lines omitted from a log: the field kind
// holds the message of the omitted lines, the field count their number.
const OmittedMessage = "lines left out"

// Event is one line of a log.
type Event struct {
	Time     time.Time
	Instance string
	Name     string // the message
	Fields   []Field
}

// Field is one key=value pair of a line.
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

// Timeline holds the events of one job. It isn't safe for concurrent use.
type Timeline struct {
	id      string
	events  []Event
	skipped int
}

// New returns an empty Timeline of a job.
func New(id string) *Timeline {
	return &Timeline{id: strings.ToLower(id)}
}

// Field returns the value of a field, empty if the event has none of that name.
func (e Event) Field(name string) string {
	for _, f := range e.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Read adds the lines of a log that contain the job's id.
func (t *Timeline) Read(name string, r io.Reader) error {
	return lines(name, r, func(line string) {
		if strings.Contains(strings.ToLower(line), t.id) {
			t.add(line)
		}
	})
}

// Each calls f for each event of a log. Incomplete lines are skipped.
func Each(name string, r io.Reader, f func(Event)) error {
	return lines(name, r, func(line string) {
		if e, err := parse(line); err == nil {
			f(e)
		}
	})
}

func lines(name string, r io.Reader, f func(string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		f(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fault.Wrap(fault.Invalid, err, "%s", name)
	}
	return nil
}

// add adds the event of a line. Incomplete lines are counted as skipped.
func (t *Timeline) add(line string) {
	e, err := parse(line)
	if err != nil {
		t.skipped++
		return
	}
	t.events = append(t.events, e)
}

var errNoTimestamp = errors.New("line without a timestamp")

// parse returns the event of a line. It skips the text before the timestamp.
func parse(line string) (Event, error) {
	var e Event
	start := strings.Index(line, "ts=")
	if start < 0 {
		return e, errNoTimestamp
	}
	decoder := logfmt.NewDecoder(strings.NewReader(line[start:]))
	if !decoder.ScanRecord() {
		return e, errors.Join(errNoTimestamp, decoder.Err())
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
		return e, errNoTimestamp
	}
	return e, decoder.Err()
}

// Events returns the events sorted by time.
func (t *Timeline) Events() []Event {
	slices.SortStableFunc(t.events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return t.events
}

// Skipped returns the number of lines that contain the job's id but couldn't be parsed.
func (t *Timeline) Skipped() int {
	return t.skipped
}
