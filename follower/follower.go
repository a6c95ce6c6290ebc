// Package follower keeps a zone's state in step with its stream in the log
// service, and starts it from the newest usable snapshot.
//
// Usage:
//
//	applied := f.Feed(now, sentAt, page)
//	for _, a := range applied { ... }
//	if f.Ready() { state := f.State() }
//	from := f.Next() // where to read on
//
// The state exists once the stream was followed from its first record, or
// from a snapshot record whose successor is still kept.
package follower

import (
	"time"

	"github.com/dogwoodladder/dogwoodladder/platform"
	"github.com/dogwoodladder/dogwoodladder/record"
	"github.com/dogwoodladder/dogwoodladder/zone"
)

// Applied is a record that was folded, with what it changed.
type Applied struct {
	Offset  uint64
	Record  record.Record
	Outcome zone.Outcome
}

// Follower folds one stream. It isn't safe for use by several goroutines.
type Follower struct {
	create  func() *zone.State
	state   *zone.State
	next    uint64
	held    []platform.Entry // read before the tail was reached
	prior   *zone.State      // the state before a gap
	tail    time.Time        // when the newest read that reached the tail was sent
	caught  bool             // the tail was reached with a state
	empty   bool             // the tail was reached without a state
	restart bool             // the state starts from a snapshot
	newer   uint             // a record version above ours that was met, or zero
	bad     uint64           // records that could not be decoded
	gaps    uint64           // times the next offset had expired
}

// New returns a Follower that starts from an empty state made by create.
func New(create func() *zone.State) *Follower {
	return &Follower{create: create}
}

// State returns the folded state, or nil before there is one.
func (f *Follower) State() *zone.State {
	return f.state
}

// Ready reports whether the state exists and reached the tail once.
func (f *Follower) Ready() bool {
	return f.state != nil && f.caught && f.newer == 0
}

// Next returns the offset to read from.
func (f *Follower) Next() uint64 {
	return f.next
}

// Tail returns when the newest read that reached the tail was sent. The
// state held everything that the log had at that time.
func (f *Follower) Tail() time.Time {
	return f.tail
}

// Newer returns the version of a record that this program is too old to
// fold, or zero.
//
// What goes wrong: during a rolling upgrade a newer program writes a record
// whose rules this one doesn't know; folding on without it would give a
// state that differs from everyone else's. One would notice two instances
// that both think they own a task. The follower stops there, so the instance
// claims and extends nothing any more, and its workers move to others.
func (f *Follower) Newer() uint {
	return f.newer
}

// Damaged returns how many records could not be decoded.
func (f *Follower) Damaged() uint64 {
	return f.bad
}

// Gaps returns how often the next offset had expired.
func (f *Follower) Gaps() uint64 {
	return f.gaps
}

// Feed folds a page that was asked for at sentAt.
func (f *Follower) Feed(now, sentAt time.Time, page platform.Page) []Applied {
	if f.newer != 0 {
		return nil
	}
	f.begin(page)
	var applied []Applied
	for _, e := range page.Entries {
		if e.Offset < f.next {
			continue // a repeated answer
		}
		if e.Offset > f.next {
			break // a hole in the answer: read again from next
		}
		if !f.take(e, &applied) {
			return applied
		}
	}
	if f.next >= page.Next {
		f.reached(sentAt)
	}
	return applied
}

// begin decides where the state starts, and restarts it at a gap.
//
// What goes wrong: the instance was cut off for longer than the log keeps
// records, so some were never folded. One would notice a state that differs
// from that of others. Starting again from a snapshot record gives the state
// that everyone who reads that record has.
func (f *Follower) begin(page platform.Page) {
	if f.next < page.Oldest {
		if f.state != nil || f.next > 0 {
			f.gaps++
		}
		if f.state != nil {
			f.prior = f.state
		}
		f.state = nil
		f.held = nil
		f.caught = false
		f.restart = true
		f.next = page.Oldest
	}
	if f.state == nil && f.next == 0 {
		f.state = f.create()
	}
}

func (f *Follower) take(e platform.Entry, applied *[]Applied) bool {
	r, err := record.Decode(e.Data)
	if err != nil && r.Version > record.Version {
		f.newer = r.Version
		return false
	}
	f.next = e.Offset + 1
	if err != nil {
		f.bad++
		return true
	}
	if !f.caught && f.restart {
		f.held = append(f.held, e)
	}
	if f.usable(r.Snapshot) && f.restore(r.Snapshot, applied) {
		return true
	}
	if f.state != nil {
		*applied = append(*applied, Applied{e.Offset, r, f.state.Apply(e.Offset, e.Time, r)})
	}
	return true
}

// usable reports whether a snapshot record decides the state of a reader
// that is starting. A regular snapshot does so as long as the tail wasn't
// reached, so that the newest one wins; a recovery snapshot does so only
// where there is no state yet.
func (f *Follower) usable(s *record.Snapshot) bool {
	if s == nil || !f.restart || len(f.held) == 0 || s.At+1 < f.held[0].Offset {
		return false
	}
	if f.state == nil {
		return true
	}
	return !f.caught && !s.Recovery
}

// restore starts the state from a snapshot and folds the held records that
// follow it. It reports whether it did.
func (f *Follower) restore(s *record.Snapshot, applied *[]Applied) bool {
	state, err := zone.Restore(s.State)
	if err != nil {
		f.bad++
		return false
	}
	f.state = state
	*applied = (*applied)[:0]
	for _, e := range f.held {
		if e.Offset <= s.At {
			continue
		}
		r, err := record.Decode(e.Data)
		if err != nil {
			continue // counted when it was held
		}
		*applied = append(*applied, Applied{e.Offset, r, state.Apply(e.Offset, e.Time, r)})
	}
	return true
}

func (f *Follower) reached(sentAt time.Time) {
	if f.state != nil {
		f.caught = true
		f.held = nil
		f.prior = nil
	}
	f.empty = f.state == nil
	if sentAt.After(f.tail) {
		f.tail = sentAt
	}
}

// Lost reports whether the tail was reached without finding any state to
// start from, and the state from before the gap where there is one. Whoever
// has one writes it as a recovery snapshot that holds up to Next()-1.
func (f *Follower) Lost() (prior *zone.State, lost bool) {
	return f.prior, f.empty
}
