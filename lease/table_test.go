package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodladder/dogwoodladder/lease"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

const (
	ttl   = 6 * time.Second
	drift = 200 * time.Millisecond
	tick  = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

func newTable() *lease.Table {
	table := lease.New(lease.WithHolder("m"), lease.WithTTL(ttl), lease.WithMaxDrift(drift), lease.WithIsolationBound(time.Minute))
	table.Tick(start)
	return table
}

func newLease(epoch uint64) provider.Lease {
	return provider.Lease{Epoch: epoch, TTL: ttl}
}

// tickUntil ticks for a duration, so that no pause is detected, and returns
// the end.
func tickUntil(table *lease.Table, from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for now := from; !now.After(end); now = now.Add(tick) {
		table.Tick(now)
	}
	return end
}

// Guards against an owner that uses a lease after the worker granted it to
// another holder. A request is sent at 0 s and answered at 2 s; the worker
// granted it at 0.1 s, and its clock runs ahead by the drift. Validity must
// count from the request and not from the answer.
func TestValidityCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	table := newTable()
	now := tickUntil(table, start, 2*time.Second)
	is.True(table.RecordGrant(start, "w", newLease(1)))
	epoch, until, ok := table.Valid(now, "w")
	is.True(ok)
	is.Equal(epoch, uint64(1))
	is.Equal(until, start.Add(ttl-drift))

	now = tickUntil(table, now, until.Sub(now)-tick)
	_, _, ok = table.Valid(now, "w")
	is.True(ok)
	_, _, ok = table.Valid(until, "w")
	is.Equal(ok, false) // even before the next tick
	is.Equal(table.Tick(until), []lease.Lapse{{Worker: "w", Epoch: 1}})
	is.Equal(table.Tick(until), []lease.Lapse(nil))
	is.True(table.RecordGrant(until, "w", newLease(2)))
}

// Guards against the use of an epoch that is no longer in force. Answers
// arrive late and out of order around a refusal, a transfer to another holder
// and a newer grant.
func TestLateAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		act   func(table *lease.Table, now time.Time)
		late  uint64 // epoch of the late answer
		taken bool
		epoch uint64 // in use afterwards, zero for none
	}{
		{"after a refusal", func(table *lease.Table, _ time.Time) { table.RecordRefusal("w", 5) }, 5, false, 0},
		{"after a drop", func(table *lease.Table, _ time.Time) { table.Drop("w") }, 5, false, 0},
		{"refusal of an older epoch", func(table *lease.Table, _ time.Time) { table.RecordRefusal("w", 4) }, 5, true, 5},
		{"after a newer grant", func(table *lease.Table, now time.Time) { table.RecordGrant(now, "w", newLease(6)) }, 5, false, 6},
		{"new grant after a refusal", func(table *lease.Table, _ time.Time) { table.RecordRefusal("w", 5) }, 6, true, 6},
		{"an earlier renewal", func(table *lease.Table, now time.Time) { table.RecordGrant(now, "w", newLease(5)) }, 5, true, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.RecordGrant(start, "w", newLease(5))
			now := tickUntil(table, start, time.Second)
			c.act(table, now)
			_, before, _ := table.Valid(now, "w")
			is.Equal(table.RecordGrant(start.Add(tick), "w", newLease(c.late)), c.taken)
			epoch, until, _ := table.Valid(now, "w")
			is.Equal(epoch, c.epoch)
			is.True(!until.Before(before)) // an earlier request doesn't shorten the lease
		})
	}
}

// Guards against an owner that uses leases of unknown state after a pause. The
// holder stands still for 3 s, which is shorter than its leases, and an answer
// to a request from before the pause arrives after it; checking only the end
// of a lease isn't enough.
func TestPauseOfTheHolder(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.RecordGrant(start, "v", newLease(1))
	table.RecordGrant(start, "w", newLease(1))
	table.Confirm("w", 1)
	woken := start.Add(3 * time.Second)
	_, _, ok := table.Valid(woken, "w")
	is.Equal(ok, false) // before the tick that detects the pause
	is.Equal(table.TaskExtension(woken, start), time.Duration(0))
	is.Equal(table.Tick(woken), []lease.Lapse(nil))
	_, _, ok = table.Valid(woken, "w")
	is.Equal(ok, false)
	is.Equal(table.DueRenewals(woken), []string{"v", "w"}) // all at once

	table.RecordGrant(start.Add(tick), "v", newLease(1))
	table.RecordGrant(woken, "w", newLease(1))
	_, _, ok = table.Valid(woken, "v")
	is.Equal(ok, false) // requested before the pause
	_, _, ok = table.Valid(woken, "w")
	is.True(ok)
	is.True(table.MayExtendTasks("w")) // the confirmed epoch is still current

	is.Equal(table.TaskExtension(woken, start), time.Duration(0)) // tail read before the pause
	is.True(table.TaskExtension(woken, woken) > 0)
}

// Guards against the use of expired leases after a machine was suspended. The
// wall clock advances by an hour and the monotonic clock doesn't, since on
// Linux it excludes suspension.
func TestSuspendedMachine(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.RecordGrant(start, "w", newLease(1))
	now := tickUntil(table, start, tick)
	_, _, ok := table.Valid(now, "w")
	is.True(ok)
	table.Suspend(time.Hour)
	_, _, ok = table.Valid(now, "w")
	is.Equal(ok, false)
	table.Tick(now)
	is.Equal(table.DueRenewals(now), []string{"w"})
}

// Guards against a task that runs twice after a long partition, because task
// leases are extended without regard to the log, and against batch work that
// stops in a short log outage. The log can't be read from 0 s on; the
// isolation bound is 60 s.
func TestExtension(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.RecordGrant(start, "w", newLease(3))
	is.Equal(table.MayExtendTasks("w"), false)
	table.Confirm("w", 2) // not the current epoch
	is.Equal(table.MayExtendTasks("w"), false)
	table.Confirm("w", 3)
	is.True(table.MayExtendTasks("w"))

	now := start
	for now.Before(start.Add(time.Minute - tick)) {
		now = tickUntil(table, now, tick)
		table.RecordGrant(now, "w", newLease(3))
	}
	request, ok := table.RenewRequest(now, "w", start)
	is.True(ok)
	is.Equal(request, provider.LeaseRequest{Holder: "m", Epoch: 3, TTL: ttl, TaskExtension: 30 * time.Second})
	now = tickUntil(table, now, tick)
	request, ok = table.RenewRequest(now, "w", start)
	is.True(ok)
	is.Equal(request.TaskExtension, time.Duration(0)) // only the worker's lease is renewed

	table.RecordGrant(now, "w", newLease(4))
	is.Equal(table.MayExtendTasks("w"), false) // a new epoch needs its own record
	is.Equal(table.TaskExtension(now, time.Time{}), time.Duration(0))
}

// Guards against stalls of the control loop, and leases that expire although
// their workers are healthy, because all renewals fall into the same moment.
// Up to 250 leases are acquired at once; one worker never answers.
func TestRenewalsAreSpread(t *testing.T) {
	is := is.New(t)
	for _, workers := range []int{150, 250} {
		table := newTable()
		for i := range workers {
			table.RecordGrant(start, fmt.Sprint("worker-", i), newLease(1))
		}
		table.RecordGrant(start, "silent", newLease(1))
		sent, peak, lapses, retries := 0, 0, 0, 0
		for now := start.Add(tick); now.Before(start.Add(time.Minute)); now = now.Add(tick) {
			lapses += len(table.Tick(now))
			due := table.DueRenewals(now)
			sent += len(due)
			peak = max(peak, len(due))
			for _, w := range due {
				if w == "silent" {
					retries++
					table.RecordUnanswered(now.Add(4*tick), w)
					continue
				}
				table.RecordGrant(now, w, newLease(1))
			}
		}
		mean := float64(sent) / (float64(time.Minute-tick) / float64(tick))
		t.Logf("%d workers: %.1f renewals a tick of %s, at most %d", workers, mean, tick, peak)
		is.True(float64(peak) < 2.5*mean)
		is.Equal(lapses, 1)
		is.True(retries >= 8) // until it lapsed
	}
}

// Guards against unbounded growth when workers come and go under new names.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	table := lease.New(lease.WithMaxWorkers(50))
	now := start
	for i := range 50 {
		is.True(table.RecordGrant(now, fmt.Sprint(i), newLease(1)))
	}
	is.Equal(table.RecordGrant(now, "one more", newLease(1)), false)
	tickUntil(table, now, 2*time.Minute)
	is.Equal(len(table.Leases()), 0)
	is.True(table.RecordGrant(now.Add(2*time.Minute), "one more", newLease(1)))
	is.Equal(len(table.Leases()), 1)
}
