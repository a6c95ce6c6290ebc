package catalog_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

func newJob(id string) *job.Job {
	return &job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 2}}}
}

func acceptRecord(t fataler, id string) provider.KeyedRecord {
	r, err := catalog.AcceptRecord(newJob(id))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func progressRecord(t fataler, id string, s progress.State) provider.KeyedRecord {
	p := progress.New(newJob(id))
	p.State = s
	r, err := catalog.ProgressRecord(id, p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

type fataler interface{ Fatal(...any) }

func TestState(t *testing.T) {
	tests := []struct {
		name     string
		accepts  []provider.KeyedRecord
		progress []provider.KeyedRecord
		state    progress.State
		known    bool
	}{
		{name: "never accepted"},
		{name: "accepted", accepts: []provider.KeyedRecord{acceptRecord(t, "a")}, state: progress.Queued, known: true},
		{name: "cancelled", accepts: []provider.KeyedRecord{acceptRecord(t, "a"), catalog.CancelRecord("a")}, state: progress.Cancelled, known: true},
		{name: "cancelled before it was seen", accepts: []provider.KeyedRecord{catalog.CancelRecord("a"), acceptRecord(t, "a")}, state: progress.Cancelled, known: true},
		{
			name:     "cancelled after it had completed",
			accepts:  []provider.KeyedRecord{acceptRecord(t, "a"), catalog.CancelRecord("a")},
			progress: []provider.KeyedRecord{progressRecord(t, "a", progress.Completed)},
			state:    progress.Completed,
			known:    true,
		},
		{
			name:     "an older record is read again",
			accepts:  []provider.KeyedRecord{acceptRecord(t, "a")},
			progress: []provider.KeyedRecord{progressRecord(t, "a", progress.Completed), progressRecord(t, "a", progress.Running)},
			state:    progress.Completed,
			known:    true,
		},
		{name: "progress alone is no job", progress: []provider.KeyedRecord{progressRecord(t, "a", progress.Running)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			for _, r := range test.accepts {
				is.NoErr(c.Accept(r))
			}
			for _, r := range test.progress {
				is.NoErr(c.Progress(r))
			}
			state, known := c.State("a")
			is.Equal(known, test.known)
			is.Equal(state, test.state)
		})
	}
}

// TestOrderOfStreams reads the two streams in random interleavings. The result must be
// the same, since instances read them independently.
func TestOrderOfStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepts := []provider.KeyedRecord{acceptRecord(t, "a"), acceptRecord(t, "b"), catalog.CancelRecord("b"), acceptRecord(t, "a")}
		done := []provider.KeyedRecord{progressRecord(t, "a", progress.Running), progressRecord(t, "a", progress.Completed)}
		c := catalog.New()
		for len(accepts)+len(done) > 0 {
			if len(done) == 0 || len(accepts) > 0 && rapid.Bool().Draw(t, "accept") {
				if err := c.Accept(accepts[0]); err != nil {
					t.Fatal(err)
				}
				accepts = accepts[1:]
				continue
			}
			if err := c.Progress(done[0]); err != nil {
				t.Fatal(err)
			}
			done = done[1:]
		}
		a, _ := c.State("a")
		b, _ := c.State("b")
		if a != progress.Completed || b != progress.Cancelled || c.Pending("q") != 0 {
			t.Fatal(a, b, c.Pending("q"))
		}
	})
}

// Guards against rejections because of a backlog that an earlier owner wrote.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	is.Equal(c.Backlog(), nil)
	setOwner := func(term uint64) {
		r, err := catalog.OwnerRecord(catalog.Owner{Term: term})
		is.NoErr(err)
		is.NoErr(c.Progress(r))
	}
	writeBacklog := func(term uint64, b *overload.Backlog) {
		r, err := catalog.BacklogRecord(term, b)
		is.NoErr(err)
		is.NoErr(c.Progress(r))
	}
	backlog := &overload.Backlog{Rate: 100, Tasks: map[int]int{0: 300, 2: 100}}
	setOwner(1)
	writeBacklog(1, backlog)
	is.Equal(c.Backlog(), backlog)
	setOwner(2)
	is.Equal(c.Backlog(), nil)
	writeBacklog(2, backlog)
	is.Equal(c.Backlog(), backlog)
	writeBacklog(2, nil)
	is.Equal(c.Backlog(), nil)
	is.True(c.Progress(provider.KeyedRecord{Key: "backlog", Value: []byte("?")}) != nil)
}

// Guards against jobs and workers that an instance still knows after their deletion, since it
// was away for longer than the stream retains records: an owner would run the jobs again.
func TestLoadDropsWhatWasDeleted(t *testing.T) {
	is := is.New(t)
	c := catalog.New()
	accept := func(id string) provider.KeyedRecord {
		r, err := catalog.AcceptRecord(&job.Job{ID: id, Queue: "q", Steps: []job.Step{{Count: 1}}})
		is.NoErr(err)
		is.NoErr(c.Accept(r))
		return r
	}
	host := func(id string) provider.KeyedRecord {
		r, err := catalog.HostRecord(id, &provider.Host{ID: id, Address: "10.0.0.1:1"})
		is.NoErr(err)
		is.NoErr(c.Progress(r))
		return r
	}
	accept("deleted")
	kept := accept("kept")
	is.NoErr(c.Accept(catalog.CancelRecord("deleted")))
	p, err := catalog.ProgressRecord("deleted", &progress.Progress{State: progress.Running})
	is.NoErr(err)
	is.NoErr(c.Progress(p))
	host("gone")
	keptHost := host("here")

	c.RetainAccepts([]provider.KeyedRecord{kept, {Key: "a/deleted"}})
	c.RetainProgress([]provider.KeyedRecord{keptHost})
	_, known := c.State("deleted")
	is.Equal(known, false)
	_, known = c.State("kept")
	is.True(known)
	is.Equal(c.Len(), 1)
	is.Equal(len(c.Hosts()), 1)
}

// Guards against a cancellation that is forgotten while its job may still come on record, and one
// that is kept for good without a job.
func TestUnmatched(t *testing.T) {
	accept, cancel, drop := acceptRecord(t, "a"), catalog.CancelRecord("a"), catalog.DropRecords("a")
	deletion := catalog.CancelDeletion("a")
	tests := []struct {
		name      string
		fold      func(c *catalog.Catalog) error
		unmatched []string
	}{
		{"no record", func(*catalog.Catalog) error { return nil }, nil},
		{"cancelled", func(c *catalog.Catalog) error { return c.Accept(cancel) }, []string{"a"}},
		{"accepted later", func(c *catalog.Catalog) error { return errors.Join(c.Accept(cancel), c.AcceptAggregated(accept)) }, nil},
		{"job deleted first", func(c *catalog.Catalog) error {
			return errors.Join(c.Accept(accept), c.Accept(cancel), c.Accept(drop[0]))
		}, []string{"a"}},
		{"cancelled after both were deleted", func(c *catalog.Catalog) error {
			return errors.Join(c.Accept(accept), c.Accept(drop[0]), c.Accept(drop[1]), c.AcceptAggregated(cancel))
		}, []string{"a"}},
		{"deleted in one of two streams", func(c *catalog.Catalog) error {
			return errors.Join(c.Accept(cancel), c.AcceptAggregated(cancel), c.Accept(deletion))
		}, []string{"a"}},
		{"deleted", func(c *catalog.Catalog) error { return errors.Join(c.Accept(cancel), c.Accept(deletion)) }, nil},
		{"progress deleted", func(c *catalog.Catalog) error {
			return errors.Join(c.Progress(progressRecord(t, "a", progress.Running)), c.Accept(cancel), c.Progress(catalog.ProgressDeletion("a")))
		}, []string{"a"}},
		{"read again without it", func(c *catalog.Catalog) error { err := c.Accept(cancel); c.RetainAccepts(nil); return err }, nil},
		{"read again with it", func(c *catalog.Catalog) error {
			err := c.Accept(cancel)
			c.RetainAccepts([]provider.KeyedRecord{cancel})
			return err
		}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.New()
			is.NoErr(tt.fold(c))
			is.Equal(c.Unmatched(), tt.unmatched)
			is.Equal(c.UnmatchedCount(), len(tt.unmatched))
			is.Equal(c.IsCancelled("a"), len(tt.unmatched) > 0 || tt.name == "accepted later")
			if len(tt.unmatched) > 0 {
				is.NoErr(c.Accept(accept))
				state, _ := c.State("a")
				is.Equal(state, progress.Cancelled)
			}
		})
	}
}
