package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Due returns the workers whose renewal is to be sent now, those that lapse
// first in front. One whose answer stays away is returned again after a part
// of the interval.
func (b *Book) Due(now time.Time) []string {
	var due []string
	for worker, e := range b.entries {
		if e.held && !now.Before(e.renew) {
			e.renew = now.Add(b.interval / retryPart)
			due = append(due, worker)
		}
	}
	slices.SortFunc(due, func(x, y string) int {
		return cmp.Or(b.entries[x].until.Compare(b.entries[y].until), cmp.Compare(x, y))
	})
	return due
}

// Renewal returns the request that renews a worker's lease and, where that is
// allowed, extends the leases of its batch tasks. lastTail is when the log's
// tail was last read with success.
func (b *Book) Renewal(now time.Time, worker string, lastTail time.Time) (provider.LeaseRequest, bool) {
	e, known := b.entries[worker]
	if !known || !e.held {
		return provider.LeaseRequest{}, false
	}
	request := provider.LeaseRequest{Holder: b.holder, Epoch: e.epoch, TTL: b.ttl}
	if b.MayExtend(worker) {
		request.Tasks = b.Extend(now, lastTail)
	}
	return request, true
}

// Lost notes that a renewal failed without an answer. The lease lasts to its
// end, and the renewal is tried again soon.
func (b *Book) Lost(now time.Time, worker string) {
	if e, known := b.entries[worker]; known && e.held {
		e.renew = now.Add(b.interval / lostPart)
	}
}

// Confirm notes that the ownership record of a worker's epoch was read back
// from the log and is in force.
func (b *Book) Confirm(worker string, epoch uint64) {
	if e, known := b.entries[worker]; known && e.held && e.epoch == epoch {
		e.confirmed = true
	}
}

// MayExtend reports whether batch tasks may be started on a worker and their
// leases extended: the ownership record of the epoch held was read back.
//
// What goes wrong: an owner starts a task on a worker before its ownership
// record is in the log, and dies. Whoever recovers its escrow doesn't know that
// worker and starts the task a second time. One would see two completions of
// one attempt. The set of workers to wait for is therefore closed by the log.
func (b *Book) MayExtend(worker string) bool {
	e, known := b.entries[worker]
	return known && e.held && e.confirmed
}

// Extend returns for how long the leases of batch tasks are extended by a
// renewal sent now; zero once the isolation bound has passed.
//
// What goes wrong: an owner that can't reach the log goes on extending, while
// another has waited for the leases to end and starts the same tasks. One
// would see a task run in two places after a long cut. Nothing is therefore
// extended later than the isolation bound after the last successful read of
// the tail. A read from before a pause doesn't count, because the clock may
// have stood still since.
func (b *Book) Extend(now time.Time, lastTail time.Time) time.Duration {
	if lastTail.IsZero() || lastTail.Before(b.resumed) || b.paused(now) {
		return 0
	}
	if now.Sub(lastTail) >= b.isolation {
		return 0
	}
	return b.tasks
}

// slot returns the first time after sent at which a worker is renewed. Each
// worker has its own offset within the interval, from its ID, so that leases
// taken in one moment are renewed evenly spread from the next interval on.
func (b *Book) slot(worker string, sent time.Time) time.Time {
	offset := time.Duration(xxhash.Sum64String(worker) % uint64(b.interval))
	past := time.Duration(sent.UnixNano()) % b.interval
	wait := (offset - past + b.interval) % b.interval
	if wait == 0 {
		wait = b.interval
	}
	return sent.Add(wait)
}
