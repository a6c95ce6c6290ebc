package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Book is the holder's book of worker leases. It isn't safe for concurrent
// use.
type Book struct {
	settings
	entries map[string]*entry
	ticked  time.Time // last tick
	wall    time.Time // last tick by the wall clock
	resumed time.Time // end of the last pause, zero for none
}

// entry is what the book knows of one worker.
type entry struct {
	held       bool
	epoch      uint64 // held now, or the highest ever while not
	until      time.Time
	renew      time.Time // when the next renewal is to be sent
	confirmed  bool      // the ownership record of the epoch was read back
	revalidate bool      // no use before the next answer
	ended      time.Time // when it was last given up, while not held
}

// Held is one lease of the book, for dumps.
type Held struct {
	Worker     string    `json:"worker"`
	Epoch      uint64    `json:"epoch"`
	Until      time.Time `json:"until"`
	Confirmed  bool      `json:"confirmed"`  // its ownership record was read back
	Revalidate bool      `json:"revalidate"` // a renewal is needed before use
}

// Lapse is a lease that ran out.
type Lapse struct {
	Worker string
	Epoch  uint64
}

// New returns a new, empty Book.
func New(opts ...Option) *Book {
	return &Book{settings: newSettings(opts), entries: map[string]*entry{}}
}

// Acquire returns the request for a worker's lease that isn't held.
func (b *Book) Acquire(worker string) provider.LeaseRequest {
	r := provider.LeaseRequest{Holder: b.holder, TTL: b.ttl}
	if e, known := b.entries[worker]; known {
		r.After = e.epoch
	}
	return r
}

// Granted books the answer to an acquisition or a renewal that was sent at
// sentAt, or a lease that a leaving owner transferred, where sentAt is a time
// at which the worker is known not to have granted it yet. It reports whether
// the lease is held with it: an answer that a later event overtook changes
// nothing.
func (b *Book) Granted(sentAt time.Time, worker string, l provider.Lease) bool {
	e, known := b.entries[worker]
	if !known {
		if len(b.entries) >= b.limit {
			return false
		}
		e = &entry{}
		b.entries[worker] = e
	}
	if e.overtaken(l.Epoch) {
		return false
	}
	if !e.held || l.Epoch > e.epoch {
		*e = entry{held: true, epoch: l.Epoch}
	}
	e.until = later(e.until, sentAt.Add(l.TTL-b.drift))
	if !sentAt.Before(b.resumed) {
		e.revalidate = false
		e.renew = b.slot(worker, sentAt)
	}
	return true
}

// overtaken reports whether an epoch was given up or replaced already.
//
// What goes wrong: a renewal's answer comes after the worker refused the
// epoch, or after this holder released it, and the lease seems held again.
// One would see uses that the worker refuses, one after another. An epoch at
// or below one that has ended is therefore never taken back.
func (e *entry) overtaken(epoch uint64) bool {
	if e.held {
		return epoch < e.epoch
	}
	return epoch <= e.epoch
}

// Valid returns the epoch of a worker's lease and the end of its use. It is
// to be asked just before each use.
func (b *Book) Valid(now time.Time, worker string) (epoch uint64, until time.Time, ok bool) {
	e, known := b.entries[worker]
	if !known || !e.held || e.revalidate || b.paused(now) || !now.Before(e.until) {
		return 0, time.Time{}, false
	}
	return e.epoch, e.until, true
}

// Refused notes that the worker said an epoch isn't in force. The lease is
// gone at once.
func (b *Book) Refused(worker string, epoch uint64) {
	if e, known := b.entries[worker]; known && epoch >= e.epoch {
		e.end(b.ticked, epoch)
	}
}

// Drop notes that this holder released or transferred a worker's lease, or is
// about to.
func (b *Book) Drop(worker string) {
	if e, known := b.entries[worker]; known && e.held {
		e.end(b.ticked, e.epoch)
	}
}

func (e *entry) end(now time.Time, epoch uint64) {
	*e = entry{epoch: max(e.epoch, epoch), ended: now}
}

// Tick returns the leases that lapsed since the last call, sorted by worker,
// and notes a pause of the holder.
func (b *Book) Tick(now time.Time) []Lapse {
	b.notePause(now)
	var lapses []Lapse
	for _, worker := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[worker]
		switch {
		case e.held && !now.Before(e.until):
			lapses = append(lapses, Lapse{Worker: worker, Epoch: e.epoch})
			e.end(now, e.epoch)
		case !e.held && now.Sub(e.ended) > floorTTLs*b.ttl:
			delete(b.entries, worker)
		}
	}
	return lapses
}

// Leases returns the leases held, sorted by worker, for dumps.
func (b *Book) Leases() []Held {
	var leases []Held
	for _, worker := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[worker]
		if !e.held {
			continue
		}
		leases = append(leases, Held{
			Worker:     worker,
			Epoch:      e.epoch,
			Until:      e.until,
			Confirmed:  e.confirmed,
			Revalidate: e.revalidate,
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
