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

func newBook() *lease.Book {
	b := lease.New(lease.WithHolder("m"), lease.WithTTL(ttl), lease.WithDrift(drift), lease.WithIsolation(time.Minute))
	b.Tick(start)
	return b
}

func grant(epoch uint64) provider.Lease {
	return provider.Lease{Epoch: epoch, TTL: ttl}
}

// run ticks up to a time, so that no pause is seen.
func run(b *lease.Book, from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for now := from; !now.After(end); now = now.Add(tick) {
		b.Tick(now)
	}
	return end
}

// Symptom: an owner starts a task on a worker that has granted its lease to
// another.
// Sequence: a request is sent at 0 s, the answer comes at 2 s; the worker
// granted at 0.1 s and its clock runs ahead by the drift.
// Cause: the holder counted from the answer.
func TestValidityCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	b := newBook()
	now := run(b, start, 2*time.Second)
	is.True(b.Granted(start, "w", grant(1)))
	epoch, until, ok := b.Valid(now, "w")
	is.True(ok)
	is.Equal(epoch, uint64(1))
	is.Equal(until, start.Add(ttl-drift))

	now = run(b, now, until.Sub(now)-tick)
	_, _, ok = b.Valid(now, "w")
	is.True(ok)
	_, _, ok = b.Valid(until, "w")
	is.Equal(ok, false) // before any tick says so
	is.Equal(b.Tick(until), []lease.Lapse{{Worker: "w", Epoch: 1}})
	is.Equal(b.Tick(until), []lease.Lapse(nil))
	is.True(b.Granted(until, "w", grant(2)))
}

// Symptom: an owner uses an epoch that is no longer in force.
// Sequence: answers come late and out of order around a refusal, a transfer
// to another holder, and a newer grant.
// Cause: the last answer to come was believed.
func TestLateAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		act   func(b *lease.Book, now time.Time)
		late  uint64 // epoch of the late answer
		taken bool
		epoch uint64 // in use afterwards, zero for none
	}{
		{"after a refusal", func(b *lease.Book, _ time.Time) { b.Refused("w", 5) }, 5, false, 0},
		{"after a drop", func(b *lease.Book, _ time.Time) { b.Drop("w") }, 5, false, 0},
		{"refusal of an older epoch", func(b *lease.Book, _ time.Time) { b.Refused("w", 4) }, 5, true, 5},
		{"after a newer grant", func(b *lease.Book, now time.Time) { b.Granted(now, "w", grant(6)) }, 5, false, 6},
		{"new grant after a refusal", func(b *lease.Book, _ time.Time) { b.Refused("w", 5) }, 6, true, 6},
		{"an earlier renewal", func(b *lease.Book, now time.Time) { b.Granted(now, "w", grant(5)) }, 5, true, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
			b.Granted(start, "w", grant(5))
			now := run(b, start, time.Second)
			c.act(b, now)
			_, before, _ := b.Valid(now, "w")
			is.Equal(b.Granted(start.Add(tick), "w", grant(c.late)), c.taken)
			epoch, until, _ := b.Valid(now, "w")
			is.Equal(epoch, c.epoch)
			is.True(!until.Before(before)) // an earlier request shortens nothing
		})
	}
}

// Symptom: after a pause an owner acts on leases whose state it can't know.
// Sequence: the holder stands still for 3 s, shorter than its leases; or its
// machine is suspended and the monotonic clock stood still with it; an answer
// to a request from before the pause arrives after it.
// Cause: only the end of the lease was checked.
func TestPauseOfTheHolder(t *testing.T) {
	is := is.New(t)
	b := newBook()
	b.Granted(start, "v", grant(1))
	b.Granted(start, "w", grant(1))
	b.Confirm("w", 1)
	woken := start.Add(3 * time.Second)
	_, _, ok := b.Valid(woken, "w")
	is.Equal(ok, false) // before the tick that notes the pause
	is.Equal(b.Extend(woken, start), time.Duration(0))
	is.Equal(b.Tick(woken), []lease.Lapse(nil))
	_, _, ok = b.Valid(woken, "w")
	is.Equal(ok, false)
	is.Equal(b.Due(woken), []string{"v", "w"}) // all at once

	b.Granted(start.Add(tick), "v", grant(1))
	b.Granted(woken, "w", grant(1))
	_, _, ok = b.Valid(woken, "v")
	is.Equal(ok, false) // asked before the pause
	_, _, ok = b.Valid(woken, "w")
	is.True(ok)
	is.True(b.MayExtend("w")) // the epoch is the one that was read back

	is.Equal(b.Extend(woken, start), time.Duration(0)) // tail read before the pause
	is.True(b.Extend(woken, woken) > 0)
}

// Symptom: a machine that was suspended uses leases that ran out.
// Sequence: the wall clock moves on by an hour, the monotonic clock by
// nothing.
// Cause: on Linux the monotonic clock doesn't count a suspension.
func TestSuspendedMachine(t *testing.T) {
	is := is.New(t)
	b := newBook()
	b.Granted(start, "w", grant(1))
	now := run(b, start, tick)
	_, _, ok := b.Valid(now, "w")
	is.True(ok)
	b.Suspend(time.Hour)
	_, _, ok = b.Valid(now, "w")
	is.Equal(ok, false)
	b.Tick(now)
	is.Equal(b.Due(now), []string{"w"})
}

// Symptom: a task runs twice after a long cut, or batch work stops in a short
// log outage.
// Sequence: the log can't be read from 0 s on; the isolation bound is 60 s.
// Cause: task leases were extended without regard to the log, or never
// without it.
func TestExtension(t *testing.T) {
	is := is.New(t)
	b := newBook()
	b.Granted(start, "w", grant(3))
	is.Equal(b.MayExtend("w"), false)
	b.Confirm("w", 2) // of an epoch that isn't held
	is.Equal(b.MayExtend("w"), false)
	b.Confirm("w", 3)
	is.True(b.MayExtend("w"))

	now := start
	for now.Before(start.Add(time.Minute - tick)) {
		now = run(b, now, tick)
		b.Granted(now, "w", grant(3))
	}
	request, ok := b.Renewal(now, "w", start)
	is.True(ok)
	is.Equal(request, provider.LeaseRequest{Holder: "m", Epoch: 3, TTL: ttl, Tasks: 30 * time.Second})
	now = run(b, now, tick)
	request, ok = b.Renewal(now, "w", start)
	is.True(ok)
	is.Equal(request.Tasks, time.Duration(0)) // the worker's lease goes on alone

	b.Granted(now, "w", grant(4))
	is.Equal(b.MayExtend("w"), false) // a new epoch needs its own record
	is.Equal(b.Extend(now, time.Time{}), time.Duration(0))
}

// Symptom: the control loop stalls every two seconds, and leases lapse though
// their workers are well.
// Sequence: 250 leases are taken in one moment; each renewal is answered after
// 5 ms, one worker never answers.
// Cause: all renewals fell into the same moment.
func TestRenewalsAreSpread(t *testing.T) {
	is := is.New(t)
	for _, workers := range []int{150, 250} {
		b := newBook()
		for i := range workers {
			b.Granted(start, fmt.Sprint("worker-", i), grant(1))
		}
		b.Granted(start, "silent", grant(1))
		sent, peak, lapses, retries := 0, 0, 0, 0
		for now := start.Add(tick); now.Before(start.Add(time.Minute)); now = now.Add(tick) {
			lapses += len(b.Tick(now))
			due := b.Due(now)
			sent += len(due)
			peak = max(peak, len(due))
			for _, w := range due {
				if w == "silent" {
					retries++
					b.Lost(now.Add(4*tick), w)
					continue
				}
				b.Granted(now, w, grant(1))
			}
		}
		mean := float64(sent) / (float64(time.Minute-tick) / float64(tick))
		t.Logf("%d workers: %.1f renewals a tick of %s, at most %d", workers, mean, tick, peak)
		is.True(float64(peak) < 2.5*mean)
		is.Equal(lapses, 1)
		is.True(retries >= 8) // until it lapsed
	}
}

// Symptom: an instance grows until it is killed.
// Sequence: workers come and go under ever new names.
// Cause: what ended was never forgotten.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	b := lease.New(lease.WithLimit(50))
	now := start
	for i := range 50 {
		is.True(b.Granted(now, fmt.Sprint(i), grant(1)))
	}
	is.Equal(b.Granted(now, "one more", grant(1)), false)
	run(b, now, 2*time.Minute)
	is.Equal(len(b.Leases()), 0)
	is.True(b.Granted(now.Add(2*time.Minute), "one more", grant(1)))
	is.Equal(len(b.Leases()), 1)
}
