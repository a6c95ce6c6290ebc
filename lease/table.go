package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Table tracks the worker leases of one holder. It isn't safe for concurrent
// use.
type Table struct {
	options
	entries      map[string]*leaseEntry
	lastTick     time.Time
	lastWallTick time.Time // last tick by the wall clock
	resumedAt    time.Time // end of the last pause, zero for none
}

// leaseEntry is the state of one worker's lease.
type leaseEntry struct {
	held           bool
	epoch          uint64 // current epoch while held, else the highest known
	validUntil     time.Time
	nextRenewal    time.Time // send time of the next renewal
	confirmed      bool      // the ownership record of the epoch was read back
	mustRevalidate bool      // not valid until the next answer
	endedAt        time.Time // when it was last given up; zero while held
}

// HeldLease describes one held lease for dumps.
type HeldLease struct {
	Worker     string    `json:"worker"`
	Epoch      uint64    `json:"epoch"`
	Until      time.Time `json:"until"`
	Confirmed  bool      `json:"confirmed"`  // its ownership record was read back
	Revalidate bool      `json:"revalidate"` // a renewal is needed before use
}

// Lapse is a lease that expired.
type Lapse struct {
	Worker string
	Epoch  uint64
}

// New returns an empty Table.
func New(opts ...Option) *Table {
	return &Table{options: newOptions(opts), entries: map[string]*leaseEntry{}}
}

// AcquireRequest returns the request for a worker's lease that isn't held.
func (t *Table) AcquireRequest(worker string) provider.LeaseRequest {
	r := provider.LeaseRequest{Holder: t.holder, Worker: worker, TTL: t.ttl}
	if e, known := t.entries[worker]; known {
		r.AboveEpoch = e.epoch
	}
	return r
}

// RecordGrant records the answer to an acquisition or a renewal that was sent
// at sentAt, or a lease that a leaving owner transferred, where sentAt is a
// time at which the worker is known not to have granted it yet. It reports
// whether the lease is held with that epoch: an answer that a later event
// superseded changes nothing.
func (t *Table) RecordGrant(sentAt time.Time, worker string, l provider.Lease) bool {
	e, known := t.entries[worker]
	if !known {
		if len(t.entries) >= t.maxWorkers {
			return false
		}
		e = &leaseEntry{}
		t.entries[worker] = e
	}
	if e.isSuperseded(l.Epoch) {
		return false
	}
	if !e.held || l.Epoch > e.epoch {
		*e = leaseEntry{held: true, epoch: l.Epoch}
	}
	e.validUntil = later(e.validUntil, sentAt.Add(l.TTL-t.maxDrift))
	if !sentAt.Before(t.resumedAt) {
		e.mustRevalidate = false
		e.nextRenewal = t.nextRenewalSlot(worker, sentAt)
	}
	return true
}

// isSuperseded reports whether an epoch was given up or replaced already. The
// answer to a renewal can arrive after the worker refused the epoch, or after
// this holder released it. Accepting it would make the lease look held while
// the worker refuses every use, so an epoch at or below one that has ended is
// never accepted again.
func (e *leaseEntry) isSuperseded(epoch uint64) bool {
	if e.held {
		return epoch < e.epoch
	}
	return epoch <= e.epoch
}

// Valid returns the epoch of a worker's lease and the end of its validity.
// Callers must check it just before each use.
func (t *Table) Valid(now time.Time, worker string) (epoch uint64, until time.Time, ok bool) {
	e, known := t.entries[worker]
	if !known || !e.held || e.mustRevalidate || t.wasPaused(now) || !now.Before(e.validUntil) {
		return 0, time.Time{}, false
	}
	return e.epoch, e.validUntil, true
}

// RecordRefusal records that the worker refused an epoch as not in force,
// which ends the lease at once.
func (t *Table) RecordRefusal(worker string, epoch uint64) {
	if e, known := t.entries[worker]; known && epoch >= e.epoch {
		e.end(t.lastTick, epoch)
	}
}

// Drop records that this holder released or transferred a worker's lease, or
// is about to.
func (t *Table) Drop(worker string) {
	if e, known := t.entries[worker]; known && e.held {
		e.end(t.lastTick, e.epoch)
	}
}

func (e *leaseEntry) end(now time.Time, epoch uint64) {
	*e = leaseEntry{epoch: max(e.epoch, epoch), endedAt: now}
}

// Tick returns the leases that expired since the last call, sorted by worker,
// and detects pauses of the holder.
func (t *Table) Tick(now time.Time) []Lapse {
	t.detectPause(now)
	var lapses []Lapse
	for _, worker := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[worker]
		switch {
		case e.held && !now.Before(e.validUntil):
			lapses = append(lapses, Lapse{Worker: worker, Epoch: e.epoch})
			e.end(now, e.epoch)
		case !e.held && now.Sub(e.endedAt) > epochRetentionTTLs*t.ttl:
			delete(t.entries, worker)
		}
	}
	return lapses
}

// Leases returns the held leases, sorted by worker, for dumps.
func (t *Table) Leases() []HeldLease {
	var leases []HeldLease
	for _, worker := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[worker]
		if !e.held {
			continue
		}
		leases = append(leases, HeldLease{
			Worker:     worker,
			Epoch:      e.epoch,
			Until:      e.validUntil,
			Confirmed:  e.confirmed,
			Revalidate: e.mustRevalidate,
		})
	}
	return leases
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
