package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// DueRenewals returns the workers whose renewal must be sent now, ordered by
// the end of their leases. A worker that doesn't answer is returned again
// after a part of the renewal interval.
func (t *Table) DueRenewals(now time.Time) []string {
	var due []string
	for worker, e := range t.entries {
		if e.held && !now.Before(e.nextRenewal) {
			e.nextRenewal = now.Add(t.renewalInterval / retryDivisor)
			due = append(due, worker)
		}
	}
	slices.SortFunc(due, func(x, y string) int {
		return cmp.Or(t.entries[x].validUntil.Compare(t.entries[y].validUntil), cmp.Compare(x, y))
	})
	return due
}

// RenewRequest returns the request that renews a worker's lease and, if
// allowed, extends the leases of its batch tasks. lastTail is the time of the
// last successful read of the log's tail.
func (t *Table) RenewRequest(now time.Time, worker string, lastTail time.Time) (provider.LeaseRequest, bool) {
	e, known := t.entries[worker]
	if !known || !e.held {
		return provider.LeaseRequest{}, false
	}
	request := provider.LeaseRequest{Holder: t.holder, Epoch: e.epoch, TTL: t.ttl}
	if t.MayExtendTasks(worker) {
		request.TaskExtension = t.TaskExtension(now, lastTail)
	}
	return request, true
}

// RecordUnanswered records that a renewal failed without an answer. The lease
// stays valid until its end, and the renewal is soon repeated.
func (t *Table) RecordUnanswered(now time.Time, worker string) {
	if e, known := t.entries[worker]; known && e.held {
		e.nextRenewal = now.Add(t.renewalInterval / lostDivisor)
	}
}

// Confirm records that the ownership record of a worker's epoch was read back
// from the log and is in force.
func (t *Table) Confirm(worker string, epoch uint64) {
	if e, known := t.entries[worker]; known && e.held && e.epoch == epoch {
		e.confirmed = true
	}
}

// MayExtendTasks reports whether batch tasks may be started on a worker and
// their leases extended, which requires that the ownership record of the
// current epoch was read back. If an owner started a task on a worker before
// the log has its ownership record and then died, the instance that recovers
// its escrow wouldn't know of that worker and would start the task a second
// time. The log thus determines all workers that a recovery must wait for.
func (t *Table) MayExtendTasks(worker string) bool {
	e, known := t.entries[worker]
	return known && e.held && e.confirmed
}

// TaskExtension returns by how long a renewal sent now extends the leases of
// batch tasks, which is zero once the isolation bound has passed. An owner
// that can't reach the log must not extend them forever: another instance
// waits for them to end and then starts the same tasks. A read of the tail
// from before a pause doesn't count, because the clock may have stood still
// during the pause.
func (t *Table) TaskExtension(now time.Time, lastTail time.Time) time.Duration {
	if lastTail.IsZero() || lastTail.Before(t.resumedAt) || t.wasPaused(now) {
		return 0
	}
	if now.Sub(lastTail) >= t.isolationBound {
		return 0
	}
	return t.taskTTL
}

// nextRenewalSlot returns the first renewal time of a worker after sent. Each
// worker has its own offset within the renewal interval, derived from its ID,
// so that leases acquired at the same moment are renewed evenly spread from
// the next interval on.
func (t *Table) nextRenewalSlot(worker string, sent time.Time) time.Time {
	offset := time.Duration(xxhash.Sum64String(worker) % uint64(t.renewalInterval))
	past := time.Duration(sent.UnixNano()) % t.renewalInterval
	wait := (offset - past + t.renewalInterval) % t.renewalInterval
	if wait == 0 {
		wait = t.renewalInterval
	}
	return sent.Add(wait)
}
