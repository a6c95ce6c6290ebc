package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/catalog"
	"github.com/dogwoodladder/dogwoodladder/dispatcher"
	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/provider"
	"github.com/dogwoodladder/dogwoodladder/queue"
)

// Guards against jobs that are accepted although they would end too late, and against
// rejections by figures of another owner, by old ones, or of jobs that are on record.
func TestFullPool(t *testing.T) {
	filling := job.Terms{Service: "pool", Priority: 2, Objective: time.Second} // too late 3 s after it was submitted
	full := func(queue string, waiting float64) *overload.Backlog {
		line := overload.Line{Origin: overload.Origin{Queue: queue, Priority: 2}, Waiting: waiting, Rate: 100}
		return &overload.Backlog{Pools: map[string]*overload.Pool{"pool": {Lines: []overload.Line{line}}}}
	}
	inPool := func(j *job.Job, service string) *job.Job {
		j.Terms = filling
		j.Terms.Service = service
		return j
	}
	scheduled := inPool(newJob(1), "pool")
	scheduled.Times = 1
	recorded := inPool(newJob(2), "pool")
	tests := []struct {
		name     string
		backlog  *overload.Backlog
		sharing  bool
		newOwner bool // another owner has taken the cell since
		silent   bool // the store hasn't answered reads for a while
		stale    bool // the owner hasn't written for a while
		job      *job.Job
		accepted bool
	}{
		{"too late", full("q", 1300), true, false, false, false, inPool(newJob(1), "pool"), false},
		{"only late", full("q", 200), true, false, false, false, inPool(newJob(1), "pool"), true},
		{"another pool", full("q", 1300), true, false, false, false, inPool(newJob(1), "other"), true},
		{"without sharing", full("q", 1300), false, false, false, false, inPool(newJob(1), "pool"), true},
		{"scheduled", full("q", 1300), true, false, false, false, scheduled, true},
		{"on record already", full("q", 1300), true, false, false, false, recorded, true},
		{"the owner is lost", full("q", 1300), true, true, false, false, inPool(newJob(1), "pool"), true},
		{"the store is silent", full("q", 1300), true, false, true, false, inPool(newJob(1), "pool"), true},
		{"the figures are old", full("q", 1300), true, false, false, true, inPool(newJob(1), "pool"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				store := newSlowStore(2 * time.Millisecond)
				write := func(stream string, term uint64, records ...provider.KeyedRecord) {
					is.NoErr(store.Append(ctx, stream, &provider.Writer{Name: "owner", Term: term, Sequence: 1}, records))
				}
				owner, err := catalog.OwnerRecord(catalog.Owner{Term: 1, Instance: "other", Nonce: 7})
				is.NoErr(err)
				backlog, err := catalog.BacklogRecord(1, tt.backlog)
				is.NoErr(err)
				write(catalog.Progress, 1, owner, backlog)
				if tt.newOwner {
					next, err := catalog.OwnerRecord(catalog.Owner{Term: 2, Instance: "third", Nonce: 8})
					is.NoErr(err)
					write(catalog.Progress, 2, next)
				}
				known, err := catalog.AcceptRecord(recorded)
				is.NoErr(err)
				d := dispatcher.New(dispatcher.Platform{Store: store, Executor: noWorkers{}}, dispatcher.WithInstance("e"), dispatcher.WithSharing(tt.sharing))
				d.Configure(queue.New(1, queue.Limits{}, nil, nil))
				go func() { _ = d.Run(ctx) }()
				time.Sleep(700 * time.Millisecond)
				is.NoErr(store.Append(ctx, catalog.Accepts, nil, []provider.KeyedRecord{known})) // by another instance just now
				if tt.silent {
					store.setUnreadable(catalog.Progress)
					time.Sleep(1500 * time.Millisecond)
				}
				if tt.stale {
					time.Sleep(500 * time.Millisecond) // before this instance claims the cell
				}
				err = d.Submit(ctx, tt.job)
				is.Equal(err == nil, tt.accepted)
				is.Equal(store.newest(catalog.Accepts, "a/"+tt.job.ID) != nil, tt.accepted)
				rejections := d.Vars().Get("jobs_rejected_for").String()
				if tt.accepted {
					is.Equal(rejections, "{}")
				} else {
					is.True(fault.Is(err, fault.Overloaded))
					var e *fault.Error
					is.True(errors.As(err, &e))
					is.True(e.RetryAfter >= 10*time.Second && e.RetryAfter <= 15*time.Second) // 13 s of backlog, 3 s may be left
					is.Equal(rejections, `{"too late": 1}`)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
