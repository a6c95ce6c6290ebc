package zone

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/dogwoodladder/dogwoodladder/record"
)

// session is a file of records. About describes the failure that it guards
// against.
type session struct {
	About   string
	Records []step
}

// step is one record. By is "instance" or "instance/incarnation". The sequence
// defaults to the writer's next one.
type step struct {
	At            time.Duration
	By            string
	record.Record `yaml:",inline"`
}

var sessionStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSessions folds the sessions in testdata/sessions and compares outcomes
// and state with the golden file beside each. Run with -update to write them.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".yaml"), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(name)
			is.NoErr(err)
			var played session
			is.NoErr(yaml.UnmarshalWithOptions(data, &played, yaml.Strict()))
			g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"), goldie.WithDiffEngine(goldie.ColoredDiff))
			g.Assert(t, strings.TrimSuffix(filepath.Base(name), ".yaml"), []byte(played.play(t)))
		})
	}
}

// play returns the outcomes and the state at the end. At each step a state
// restored from a snapshot must behave like the state itself.
func (p session) play(t *testing.T) string {
	is := is.New(t)
	var b strings.Builder
	s := New("a")
	sequences := map[record.Writer]uint64{}
	for offset, step := range p.Records {
		r := step.decoded(t, sequences)
		at := sessionStart.Add(step.At)
		restored, err := Restore(snapshotOf(t, s))
		is.NoErr(err)
		o := s.Apply(uint64(offset), at, r)
		is.Equal(restored.Apply(uint64(offset), at, r), o)
		is.Equal(restored.Dump(), s.Dump())
		is.Equal(snapshotOf(t, restored), snapshotOf(t, s))
		fmt.Fprintln(&b, describe(offset, step.At, r, o)+queueOf(s))
	}
	return b.String() + "\n" + s.Dump()
}

func queueOf(s *State) string {
	var ids []string
	for task := range s.QueuedTasks() {
		ids = append(ids, task.ID)
	}
	return " queue=" + strings.Join(ids, ",")
}

func snapshotOf(t *testing.T, s *State) []byte {
	t.Helper()
	data, err := s.Snapshot()
	is.New(t).NoErr(err)
	return data
}

// decoded returns the step's record after encoding and decoding it.
func (p step) decoded(t *testing.T, sequences map[record.Writer]uint64) record.Record {
	is := is.New(t)
	r := p.Record
	id, incarnation, ok := strings.Cut(p.By, "/")
	r.Writer = record.Writer{ID: id, Incarnation: 1}
	if ok {
		n, err := strconv.ParseUint(incarnation, 10, 64)
		is.NoErr(err)
		r.Writer.Incarnation = n
	}
	if r.Sequence == 0 {
		r.Sequence = sequences[r.Writer] + 1
	}
	sequences[r.Writer] = max(sequences[r.Writer], r.Sequence)
	data, err := record.Encode(r)
	is.NoErr(err)
	r, err = record.Decode(data)
	is.NoErr(err)
	return r
}

func describe(offset int, at time.Duration, r record.Record, o Outcome) string {
	line := fmt.Sprintf("%d %s %s/%d#%d %s: %s", offset, at, r.Writer.ID, r.Writer.Incarnation, r.Sequence, describeBody(r), o.Effect)
	if o.Reason != None {
		line += " " + o.Reason.String()
	}
	if o.Detail != "" {
		line += fmt.Sprintf(" (%s)", o.Detail)
	}
	if len(o.Changed) > 0 {
		line += " changed=" + strings.Join(o.Changed, ",")
	}
	for _, refusal := range o.Refused {
		line += fmt.Sprintf(" refused=%s:%s", refusal.Task, refusal.Reason)
	}
	return line
}

// describeBody returns the name and content of a record's body.
func describeBody(r record.Record) string {
	v := reflect.ValueOf(r)
	var set []string
	for i := range v.NumField() {
		if body := v.Field(i); body.Kind() == reflect.Pointer && !body.IsNil() {
			set = append(set, fmt.Sprintf("%s%+v", strings.ToLower(v.Type().Field(i).Name), body.Elem().Interface()))
		}
	}
	return strings.Join(set, " ")
}
