package catalog_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// TestTwoStreams folds records of both streams in the given orders.
func TestTwoStreams(t *testing.T) {
	type read struct {
		aggregated bool
		record     provider.KeyedRecord
	}
	accept, cancel := acceptRecord(t, "a"), catalog.CancelRecord("a")
	deleted, cancelDeleted := catalog.DropRecords("a")[0], catalog.DropRecords("a")[1]
	tests := []struct {
		name  string
		reads []read
		state progress.State
		known bool
	}{
		{"in the second alone", []read{{true, accept}}, progress.Queued, true},
		{"in both", []read{{false, accept}, {true, accept}, {true, accept}, {false, accept}}, progress.Queued, true},
		{"accepted in the first, cancelled in the second", []read{{false, accept}, {true, cancel}}, progress.Cancelled, true},
		{"accepted in the second, cancelled in the first", []read{{true, accept}, {false, cancel}}, progress.Cancelled, true},
		{"cancelled in the second before it was seen in the first", []read{{true, cancel}, {false, accept}}, progress.Cancelled, true},
		{"deleted in the first", []read{{false, accept}, {true, accept}, {false, deleted}}, progress.Queued, true},
		{"deleted in the second", []read{{false, accept}, {true, accept}, {true, deleted}}, progress.Queued, true},
		{"deleted in both", []read{{false, accept}, {true, accept}, {true, deleted}, {false, deleted}}, progress.Queued, false},
		{"deleted where it never was", []read{{false, accept}, {true, deleted}, {true, cancelDeleted}}, progress.Queued, true},
		{
			"cancelled in one stream, deleted there",
			[]read{{false, accept}, {true, accept}, {false, cancel}, {false, deleted}, {false, cancelDeleted}},
			progress.Cancelled, true,
		},
		{
			"deleted in one stream, still cancelled in the other when a late accept is read",
			[]read{{false, accept}, {true, cancel}, {false, deleted}, {false, accept}},
			progress.Cancelled, true,
		},
		{
			"accepted again after both deletions",
			[]read{{false, accept}, {true, cancel}, {false, deleted}, {true, deleted}, {true, cancelDeleted}, {true, accept}},
			progress.Queued, true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			for _, r := range tt.reads {
				fold := c.Accept
				if r.aggregated {
					fold = c.AcceptAggregated
				}
				is.NoErr(fold(r.record))
			}
			state, known := c.State("a")
			is.Equal(known, tt.known)
			is.Equal(state, tt.state)
		})
	}
}

// streamReader reads a stream record by record or by full loads, and keeps what it has read.
type streamReader struct {
	fold   func(provider.KeyedRecord) error
	retain func([]provider.KeyedRecord)
	unread []provider.KeyedRecord
	newest map[string][]byte
}

func (r *streamReader) take(n int) []provider.KeyedRecord {
	taken := r.unread[:n]
	r.unread = r.unread[n:]
	for _, record := range taken {
		r.newest[record.Key] = record.Value
	}
	return taken
}

func (r *streamReader) load(skip int) []provider.KeyedRecord {
	r.take(skip)
	var all []provider.KeyedRecord
	for key, value := range r.newest {
		if len(value) > 0 {
			all = append(all, provider.KeyedRecord{Key: key, Value: value})
		}
	}
	r.retain(all)
	return all
}

func (r *streamReader) has(key string) bool { return len(r.newest[key]) > 0 }

// Guards against a job that is dropped while a stream still has it, is kept though neither has
// it, or runs again though it was cancelled, for any order of reads and full loads.
func TestOrdersOfTwoStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accept, cancel := acceptRecord(t, "a"), catalog.CancelRecord("a")
		operations := [][]provider.KeyedRecord{{accept}, {cancel}, {accept, cancel}, catalog.DropRecords("a"), {acceptRecord(t, "b")}}
		c := catalog.New()
		draw := func(name string) []provider.KeyedRecord {
			var records []provider.KeyedRecord
			for range rapid.IntRange(0, 8).Draw(t, name) {
				records = append(records, rapid.SampledFrom(operations).Draw(t, "operation")...)
			}
			return records
		}
		readers := []*streamReader{
			{c.Accept, c.RetainAccepts, draw("accepts"), make(map[string][]byte)},
			{c.AcceptAggregated, c.RetainAggregated, draw("aggregated"), make(map[string][]byte)},
		}
		wasKnown, cancelled := false, false
		for range 20 {
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			n := rapid.IntRange(0, len(r.unread)).Draw(t, "records")
			var records []provider.KeyedRecord
			if rapid.Bool().Draw(t, "load") {
				records = r.load(n)
			} else {
				records = r.take(min(n, 1))
			}
			for _, record := range records {
				if err := r.fold(record); err != nil {
					t.Fatal(err)
				}
			}
			isKnown := readers[0].has(accept.Key) || readers[1].has(accept.Key)
			cancelled = readers[0].has(cancel.Key) || readers[1].has(cancel.Key) || cancelled && wasKnown && isKnown
			state, known := c.State("a")
			if known != isKnown || known && (state == progress.Cancelled) != cancelled {
				t.Fatalf("known %v, state %v; want known %v, cancelled %v", known, state, isKnown, cancelled)
			}
			wasKnown = isKnown
		}
	})
}

// Guards against a load of one stream that drops the jobs of the other, and against a job that
// stays although neither stream has it any more.
func TestLoadKeepsWhatTheOtherStreamHas(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	first, second, both := acceptRecord(t, "first"), acceptRecord(t, "second"), acceptRecord(t, "both")
	for _, r := range []provider.KeyedRecord{first, both} {
		is.NoErr(c.Accept(r))
	}
	for _, r := range []provider.KeyedRecord{second, both} {
		is.NoErr(c.AcceptAggregated(r))
	}
	known := func() (ids []string) {
		for _, id := range []string{"first", "second", "both"} {
			if _, ok := c.State(id); ok {
				ids = append(ids, id)
			}
		}
		return ids
	}
	c.RetainAccepts([]provider.KeyedRecord{first})
	is.Equal(known(), []string{"first", "second", "both"})
	is.Equal([]bool{c.IsAggregated("first"), c.IsAggregated("second"), c.IsAggregated("both")}, []bool{false, true, true})
	c.RetainAggregated([]provider.KeyedRecord{second})
	is.Equal(known(), []string{"first", "second"})
	c.RetainAggregated(nil)
	is.Equal(known(), []string{"first"})
	c.RetainAccepts(nil)
	is.Equal(c.Len(), 0)
}
