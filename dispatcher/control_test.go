package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/election"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// emptyStore holds no records and accepts claims.
type emptyStore struct{ provider.Keyed }

func (emptyStore) Newest(context.Context, string, string) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, nil
}

func (emptyStore) Read(context.Context, string, uint64, provider.ReadLimit) (provider.KeyedPage, error) {
	return provider.KeyedPage{}, nil
}

func (emptyStore) Claim(context.Context, string, provider.Writer, uint64, provider.KeyedRecord) error {
	return nil
}

func (emptyStore) Append(context.Context, string, *provider.Writer, []provider.KeyedRecord) error {
	return nil
}

// Guards against a cell without an owner on an empty store: the notification of the
// last read is handled before the read is marked as done, and none follows.
func TestElectionHearsOfAnEmptyStore(t *testing.T) {
	is := is.New(t)
	now := time.Second
	d := New(Platform{Store: emptyStore{}}, WithInstance("e1"), WithProcessors(1), WithClock(func() time.Duration { return now }))
	d.applyUpdates() // before either stream is marked as read
	is.NoErr(d.progress.Refresh(t.Context()))
	is.NoErr(d.accepts.Refresh(t.Context()))
	d.tick()
	now += election.DefaultTiming().MaxHandoverDelay
	d.tick()
	is.True(d.claiming)
	d.tomb.Kill(nil)
	is.NoErr(d.tomb.Wait())
}

// Guards against an instance that crashes as it becomes owner of jobs before it has read a
// configuration.
func TestOwnerWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	d := New(Platform{Store: emptyStore{}}, WithInstance("e1"))
	record, err := catalog.AcceptRecord(&job.Job{ID: "1", Queue: "q", Steps: []job.Step{{Count: 1}}})
	is.NoErr(err)
	is.NoErr(d.catalog.Accept(record))
	d.becomeOwner(catalog.Owner{Term: catalog.TermSpacing})
	is.True(d.cell != nil)
	d.Configure(queue.New(1, queue.Limits{}, nil, nil))
	d.applyUpdates()
	is.True(d.cell != nil)
	d.tomb.Kill(nil)
	is.NoErr(d.tomb.Wait())
}
