package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/election"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/inquiry"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
	"github.com/dogwoodladder/dogwoodladder/roster"
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

// pagedStore is an emptyStore with records of accepted jobs to read.
type pagedStore struct {
	emptyStore
	read func(from uint64) provider.KeyedPage
}

func (s *pagedStore) Read(_ context.Context, stream string, from uint64, _ provider.ReadLimit) (provider.KeyedPage, error) {
	if stream != catalog.Accepts || s.read == nil {
		return provider.KeyedPage{}, nil
	}
	return s.read(from), nil
}

type noPeers struct{}

func (noPeers) Ask(context.Context, roster.Member, inquiry.Question) (inquiry.Answer, error) {
	return inquiry.Answer{}, fault.New(fault.Unavailable, "no peers")
}

// Guards against an accepted job that a standby doesn't know because it drops its state
// while it looks the job up.
func TestStandbyStopsWhileItIsAsked(t *testing.T) {
	is := is.New(t)
	record, err := catalog.AcceptRecord(&job.Job{ID: "1", Queue: "q", Steps: []job.Step{{Count: 1}}})
	is.NoErr(err)
	store := &pagedStore{}
	d := New(Platform{Store: store}, WithInstance("e1"), WithPeers(roster.Member{ID: "e1"}, noPeers{}))
	d.standbys.update(true)
	is.NoErr(d.accepts.Refresh(t.Context()))
	is.NoErr(d.progress.Refresh(t.Context()))
	is.True(d.standbys.isCurrent())
	store.read = func(from uint64) provider.KeyedPage {
		if from == 0 {
			return provider.KeyedPage{Records: []provider.KeyedRecord{record}, Next: 2}
		}
		d.standbys.update(false)
		return provider.KeyedPage{Records: []provider.KeyedRecord{{Key: "other"}}, Next: 2}
	}
	_, err = d.Respond(t.Context(), inquiry.Question{Job: "1"})
	is.True(fault.Is(err, fault.Unavailable))
}

// claimStore is an emptyStore that keeps the claim.
type claimStore struct {
	emptyStore
	claims chan provider.KeyedRecord
}

func (s claimStore) Claim(_ context.Context, _ string, _ provider.Writer, _ uint64, r provider.KeyedRecord) error {
	s.claims <- r
	return nil
}

// Guards against a successor that takes the starts of a failed owner for settled, or doesn't know that those of
// lasting tasks are on record.
func TestClaimTellsWhatIsOnRecord(t *testing.T) {
	tests := []struct {
		name    string
		earlier catalog.Owner
		settled bool
		records bool
	}{
		{"the owner left with its starts settled", catalog.Owner{Leaving: true, Settled: true}, true, false},
		{"it left with a start under way", catalog.Owner{Leaving: true}, false, false},
		{"it failed after it had claimed a settled cell", catalog.Owner{Settled: true}, false, false},
		{"it had the starts of lasting tasks on record", catalog.Owner{RecordsStarts: true}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := claimStore{claims: make(chan provider.KeyedRecord, 1)}
			d := New(Platform{Store: store}, WithInstance("e1"))
			tt.earlier.Term = catalog.TermSpacing
			record, err := catalog.OwnerRecord(tt.earlier)
			is.NoErr(err)
			is.NoErr(d.catalog.Progress(record))
			d.startClaim()
			claimed := catalog.New()
			is.NoErr(claimed.Progress(<-store.claims))
			is.Equal(claimed.Owner().Settled, tt.settled)
			is.Equal(claimed.Owner().RecordsStarts, tt.records)
			d.tomb.Kill(nil)
			is.NoErr(d.tomb.Wait())
		})
	}
}
