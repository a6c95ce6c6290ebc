package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/cell"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

func encoded(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// malformedRecords are malformed or unknown records in the cell's own streams, as another
// version or a manual edit may leave them.
var malformedRecords = []struct {
	name, stream, key string
	value             []byte
}{
	{"a job that can't be read", catalog.Accepts, "a/" + jobID(7), []byte{0xff}},
	{"a job without steps", catalog.Accepts, "a/" + jobID(7), encoded(job.Job{ID: jobID(7)})},
	{"a job of fewer than no tasks", catalog.Accepts, "a/" + jobID(7), encoded(job.Job{ID: jobID(7), Steps: []job.Step{{Count: -3}}})},
	{"a step that depends on a later one", catalog.Accepts, "a/" + jobID(7), encoded(job.Job{ID: jobID(7), Steps: []job.Step{{Count: 1, After: []int{5}}}})},
	{"a job under another's key", catalog.Accepts, "a/" + jobID(7), encoded(job.Job{ID: jobID(1), Steps: []job.Step{step(1, 1)}})},
	{"a key that isn't known", catalog.Accepts, "zz", []byte{1}},
	{"an empty key", catalog.Accepts, "", []byte{1}},
	{"progress that can't be read", catalog.Progress, "p/" + jobID(1), []byte("x")},
	{"progress of a state that isn't known", catalog.Progress, "p/" + jobID(1), encoded(progress.Progress{State: 17})},
	{"progress with fewer tasks", catalog.Progress, "p/" + jobID(1), encoded(progress.Progress{State: progress.Running, Claimed: true, Rounds: map[int]progress.Round{0: {Done: []byte{0}}}})},
	{"progress of tasks that aren't there", catalog.Progress, "p/" + jobID(1), encoded(progress.Progress{State: progress.Running, Claimed: true, Rounds: map[int]progress.Round{-2: {}, 0: {Failed: map[int][]uint64{-1: {1}, 900: {1}}, Saved: map[int]string{-5: "x"}}, 99: {}}, Closed: []int{-1, 40}})},
	{"a worker that can't be read", catalog.Progress, "w/x", []byte("?")},
	{"a worker without anything", catalog.Progress, "w/x", encoded(provider.Host{})},
	{"a worker under another's key", catalog.Progress, "w/x", encoded(provider.Host{ID: "w0-0", Address: "10.9.9.9:1", Service: service})},
	{"an owner that can't be read", catalog.Progress, "owner", []byte{0xff}},
	{"no owner", catalog.Progress, "owner", nil},
	{"weights that can't be read", catalog.Progress, "learned", []byte{0xff}},
	{"weights that are no numbers", catalog.Progress, "learned", encoded([]map[int]any{{1: "a", 2: "b", 3: float32(1) / float32(zero), 4: -1}})},
	{"a wave without a number", catalog.Progress, "v/x", encoded(catalog.Wave{})},
	{"a wave that can't be read", catalog.Progress, "v/3", []byte{0xff}},
}

var zero float32

// Guards against records of another version that crash each owner.
func TestMalformedRecords(t *testing.T) {
	for _, tt := range malformedRecords {
		if err := playMalformedRecord(t, tt.stream, provider.KeyedRecord{Key: tt.key, Value: tt.value}); err != "" {
			t.Errorf("%s: %s", tt.name, err)
		}
	}
}

// playMalformedRecord runs a site with a malformed record on record from the beginning. It
// returns what went wrong, if anything.
func playMalformedRecord(t *testing.T, stream string, r provider.KeyedRecord) (problem string) {
	is := is.New(t)
	defer func() {
		if p := recover(); p != nil {
			problem = fmt.Sprintf("the owner ended: %v", p)
		}
	}()
	s := newSite(t, 600, 3, 1)
	submitJobs(s, 3)
	wide := &job.Job{ID: jobID(3), Spec: "x", Steps: []job.Step{step(30, 1)}}
	s.submit(wide)
	known := catalog.New()
	for _, a := range s.store.accepts {
		is.NoErr(known.Accept(a))
	}
	_ = readerOf(known, stream)(r) // what is wrong with it is logged by its reader
	if err := s.owners[0].takeOverWith(known); err != nil {
		return "the cell isn't taken: " + err.Error()
	}
	s.run(settleTime)
	for _, b := range s.violations {
		return b
	}
	for i := range 4 {
		if i == 1 && r.Key == "p/"+jobID(1) {
			continue // its state is whatever the record says
		}
		if state := s.state(jobID(i)); state != "completed" {
			return "job " + jobID(i) + " is " + state
		}
	}
	return ""
}

// readerOf returns the function that reads the records of a stream.
func readerOf(known *catalog.Catalog, stream string) func(provider.KeyedRecord) error {
	if stream == catalog.Accepts {
		return known.Accept
	}
	return known.Progress
}

func FuzzRecords(f *testing.F) {
	for _, tt := range malformedRecords {
		f.Add(tt.stream, tt.key, tt.value)
	}
	f.Fuzz(func(t *testing.T, stream, key string, value []byte) {
		known := catalog.New()
		j := &job.Job{ID: jobID(1), Spec: "x", Queue: "q", Steps: []job.Step{step(3, 1), step(2, 1, 0)}}
		accepted, err := catalog.AcceptRecord(j)
		if err != nil {
			t.Fatal(err)
		}
		_ = known.Accept(accepted)
		_ = readerOf(known, stream)(provider.KeyedRecord{Key: key, Value: value}) // what is wrong with it is logged by its reader
		c, err := cell.New(cell.Self{Instance: "e", Term: 1, Sequence: 1}, cell.DefaultTiming(), known, 0, wall(0))
		if err != nil {
			t.Fatal(err)
		}
		for n := range 5 {
			c.Step(time.Duration(n)*time.Second, cell.Tick{Wall: wall(time.Duration(n) * time.Second)})
		}
	})
}
